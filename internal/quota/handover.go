package quota

import "time"

// Close ends the lender for good, because another node lends since the given
// change log entry. It returns the hand-over for the successor with the given
// incarnation, and false if there is nothing to hand over. Close returns a
// hand-over once; the owner may send it again, but only to that incarnation.
// Afterwards the owner goes on calling Need, which reports to other lenders.
func (l *Lender) Close(now time.Time, since int64, successor string) (HandOver, bool) {
	l.update(now)
	wasLending := l.state == lending
	l.state = closed
	if !wasLending {
		return HandOver{}, false
	}
	h := HandOver{
		Workspace: l.cfg.Workspace, DataCentre: l.cfg.Self.DataCentre, Since: since, Incarnation: successor,
		Part: l.part, Level: l.level, Outstanding: l.outstanding(now),
	}
	l.level = 0
	return h, true
}

// HandedOver takes the predecessor's bucket. It reports whether the lender starts
// with it; a lender that has already started does not.
func (l *Lender) HandedOver(now time.Time, h HandOver) bool {
	l.update(now)
	if l.state != waiting && l.state != starting || h.Since != l.cfg.Since || h.Incarnation != l.cfg.Self.Incarnation ||
		h.Workspace != l.cfg.Workspace || h.DataCentre != l.cfg.Self.DataCentre {
		return false
	}
	l.state, l.refilled = lending, now
	l.level = max(0, h.Level)
	l.inherited, l.inheritEnd = h.Outstanding, now.Add(Life+reportGrace)
	// The predecessor's part stays in force until the successor's epoch has settled.
	l.layouts = append([]layout{{seq: h.Since, part: h.Part}}, l.layouts...)
	l.update(now)
	return true
}
