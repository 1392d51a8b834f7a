package quota

import (
	"cmp"
	"slices"
	"time"

	"github.com/teaselseam/teaselseam/internal/ring"
)

const (
	// answerTimeout is how long an unanswered request keeps the next one back.
	answerTimeout = 100 * time.Millisecond
	// maxReportAfter is how long an unreported use or expiry may wait for a request
	// that wants tokens. It must be well below reportGrace. A small burst is
	// reported on sooner, because it is refilled only for reported tokens.
	maxReportAfter = 50 * time.Millisecond
	// slowAnswer is how long a lender may take to answer before another one is asked.
	slowAnswer = 10 * time.Millisecond
	// failureBackoff is how long a lender that failed is not asked.
	failureBackoff = 250 * time.Millisecond
)

// account is the borrower's side of the lots from one lender.
type account struct {
	lender    LenderID
	lots      []lot // by sequence
	waiting   bool  // for the answer to the request with number sequence
	sequence  uint64
	sent      time.Time     // when that request was sent
	asking    int64         // tokens wanted by that request, zero once it is answered
	changed   bool          // there is something to report
	notBefore time.Time     // of the next request that wants tokens
	ahead     time.Duration // Ahead of the newest answer that had one
	suspect   bool          // the last request failed; no tokens are asked for until one is answered
	failing   time.Time     // no request is made before this time
}

// lot is what became of a granted request.
type lot struct {
	sequence uint64
	expires  time.Time
	held     int64 // not taken and not lent on
	out      int64 // lent on, and not reported
	used     int64
	reported int64 // used as in the newest request
	final    bool  // nothing held or out as of the newest request
}

// expire gives up tokens of expired lots.
func (a *account) expire(now time.Time) {
	for i := range a.lots {
		l := &a.lots[i]
		if l.held > 0 && ring.After(now, l.expires) {
			l.held = 0
			a.changed = true
		}
	}
}

// held returns the number of tokens that can be taken at now.
func (a *account) held(now time.Time) (n int64) {
	for i := range a.lots {
		if l := &a.lots[i]; l.held > 0 && !ring.After(now, l.expires) {
			n += l.held
		}
	}
	return n
}

// next returns the valid lot that expires first, or nil.
func (a *account) next(now time.Time) (first *lot) {
	for i := range a.lots {
		l := &a.lots[i]
		if l.held > 0 && (first == nil || l.expires.Before(first.expires)) && !ring.After(now, l.expires) {
			first = l
		}
	}
	return first
}

func (a *account) lot(sequence uint64) *lot {
	for i := range a.lots {
		if a.lots[i].sequence == sequence {
			return &a.lots[i]
		}
	}
	return nil
}

// busy reports whether no request may be made now.
func (a *account) busy(now time.Time) bool {
	return now.Before(a.failing) || a.waiting && !a.suspect && !ring.After(now, a.sent.Add(answerTimeout))
}

// slow reports whether another lender is to be asked meanwhile.
func (a *account) slow(now time.Time) bool {
	return a.suspect || a.waiting && ring.After(now, a.sent.Add(slowAnswer))
}

// due reports whether a request that wants no tokens is to be made: reports have
// waited long enough, or the lender has to show that it answers.
func (a *account) due(now time.Time) bool {
	after := min(max(a.ahead, minAhead)/2, maxReportAfter)
	return a.suspect || a.changed && ring.After(now, a.sent.Add(after))
}

// request makes the next request. A request that is still unanswered is abandoned:
// its lot is reported as given up, and its answer will not be accepted.
func (a *account) request(now time.Time, sequence uint64, want int64, demand float64) Borrow {
	if a.waiting {
		a.lots = append(a.lots, lot{sequence: a.sequence, expires: a.sent.Add(Life)})
	}
	a.expire(now)
	a.forget(now)
	if a.suspect {
		a.failing = now.Add(failureBackoff)
	}
	a.waiting, a.sequence, a.sent, a.asking, a.changed = true, sequence, now, want, false
	reports := make([]Report, len(a.lots))
	for i := range a.lots {
		l := &a.lots[i]
		l.reported, l.final = l.used, l.held+l.out == 0
		reports[i] = Report{Sequence: l.sequence, Held: l.held + l.out, Used: l.used}
	}
	return Borrow{Lender: a.lender, Sequence: sequence, Want: want, Demand: demand, Reports: reports}
}

// granted takes an answer. It reports whether the answer is to the newest request.
func (a *account) granted(now time.Time, g Grant) bool {
	if !a.waiting || g.Sequence != a.sequence {
		return false
	}
	a.waiting, a.asking = false, 0
	if a.suspect = g.NotLender; g.NotLender {
		a.failing = now.Add(failureBackoff)
		return true
	}
	a.ahead = cmp.Or(g.Ahead, a.ahead)
	kept := a.lots[:0]
	for _, l := range a.lots {
		if !l.final { // the lender has applied the report
			kept = append(kept, l)
		}
	}
	a.lots = kept
	a.notBefore = now.Add(g.RetryAfter)
	if g.Granted > 0 {
		expires := a.sent.Add(min(g.Life, Life))
		a.lots = append(a.lots, lot{sequence: g.Sequence, expires: expires, held: g.Granted})
	}
	return true
}

// failed takes the failure of a request.
func (a *account) failed(now time.Time, sequence uint64) {
	if a.waiting && a.sequence == sequence {
		a.suspect, a.failing, a.asking = true, now.Add(failureBackoff), 0
	}
}

// forget drops lots whose reports the lender no longer accepts.
func (a *account) forget(now time.Time) {
	kept := a.lots[:0]
	for _, l := range a.lots {
		if !ring.After(now, l.expires.Add(2*reportGrace)) || l.held+l.out > 0 {
			kept = append(kept, l)
		}
	}
	a.lots = kept
}

// sameLender reports whether both are the same incarnation.
func sameLender(a, b LenderID) bool {
	return a.Node == b.Node && a.Incarnation == b.Incarnation
}

func findAccount(accounts []*account, id LenderID) *account {
	for _, a := range accounts {
		if sameLender(a.lender, id) {
			return a
		}
	}
	return nil
}

// rankLenders sorts lenders so that those with a part of the limit come first.
func rankLenders(workspace string, lenders []LenderID) []LenderID {
	names := make([]string, len(lenders))
	for i, id := range lenders {
		names[i] = id.DataCentre
	}
	ranked := make([]LenderID, 0, len(lenders))
	for _, name := range ring.Rank(workspace, names) {
		i := slices.IndexFunc(lenders, func(id LenderID) bool { return id.DataCentre == name })
		ranked = append(ranked, lenders[i])
	}
	return ranked
}

// setLenders returns the accounts for the lenders in their order. It keeps the
// accounts of dropped lenders last, as long as they hold lots, so that these can
// still be taken and reported. The second result is the number of lenders.
func setLenders(accounts []*account, lenders []LenderID) ([]*account, int) {
	var kept []*account
	for _, id := range lenders {
		a := findAccount(accounts, id)
		if a == nil {
			a = &account{}
		}
		a.lender = id
		kept = append(kept, a)
	}
	for _, old := range accounts {
		if findAccount(kept[:len(lenders)], old.lender) == nil && len(old.lots) > 0 {
			kept = append(kept, old)
		}
	}
	return kept, len(lenders)
}
