package membership

import (
	"slices"
	"time"
)

// PlatformSource is the evidence source of the platform. Data centres must have
// other names.
const PlatformSource = "platform"

// maxPending bounds the responses that wait for entries to be applied.
const maxPending = 32

// Evidence is the age of the newest information from a data centre or the
// platform. Age zero means that the sender vouches for its own data centre.
type Evidence struct {
	Source string
	Age    time.Duration
}

// knowledge is what a node knows of the change log and how recent that is.
type knowledge struct {
	seq      int64 // -1 before any state is known
	known    func(Digest) bool
	early    revocations
	evidence map[string]time.Time
	pending  []response
	// caughtUp is set once the node has been fresh since its start.
	caughtUp     bool
	contact      time.Time // newest contact with another member of the own data centre
	contactSince time.Time // since when contact has never been older than the bound
	mostSince    time.Time // since when most of the own data centre has not been dead
}

// response waits until the entries that its sender knew have been applied.
type response struct {
	sent     time.Time
	seq      int64
	from     Member
	evidence []Evidence
}

func newKnowledge() knowledge {
	return knowledge{
		seq:      -1,
		known:    func(Digest) bool { return false },
		early:    newRevocations(),
		evidence: map[string]time.Time{},
	}
}

// age is the larger of the monotonic and the wall-clock age, so that a stopped
// process and a suspended VM both count.
func age(now, t time.Time) time.Duration {
	if t.IsZero() {
		return 1 << 62
	}
	return max(now.Sub(t), now.Round(0).Sub(t.Round(0)))
}

// Applied tells the state that all entries up to seq are in force; revoked
// reports the revocations among them. Evidence that waited for them counts now.
func (s *State) Applied(now time.Time, seq int64, revoked func(Digest) bool) {
	if seq < s.seq {
		return
	}
	s.seq = seq
	s.known = revoked
	s.early.drop(revoked)
	waiting := s.pending
	s.pending = nil
	for _, r := range waiting {
		if r.seq <= seq {
			s.count(now, r)
		} else {
			s.pending = append(s.pending, r)
		}
	}
	s.noteFresh(now)
}

// PlatformRead tells the state that a read of the platform, sent at the given
// time, found no entry that is not applied.
func (s *State) PlatformRead(sent, now time.Time) {
	s.advance(now, PlatformSource, sent)
	s.noteFresh(now)
}

// Wanted returns the highest sequence number that a response waits for.
func (s *State) Wanted() int64 {
	want := s.seq
	for _, r := range s.pending {
		want = max(want, r.seq)
	}
	return want
}

// learn counts the evidence in a response, at once or when its entries are applied.
func (s *State) learn(sent, now time.Time, e Exchange) {
	if e.Seq < 0 || !s.holdsEarly(e) {
		return
	}
	r := response{sent: sent, seq: e.Seq, from: e.Self, evidence: e.Evidence}
	if e.Seq <= s.seq {
		s.count(now, r)
		s.noteFresh(now)
		return
	}
	if len(s.pending) == maxPending {
		s.pending = s.pending[1:]
	}
	s.pending = append(s.pending, r)
}

// holdsEarly reports whether all early revocations of the sender, already merged,
// are known here.
func (s *State) holdsEarly(e Exchange) bool {
	if n := len(e.Revocations); n > 0 && n < s.cfg.MaxRevocations {
		return true
	}
	return s.early.held(e.RevocationsDigest)
}

func (s *State) count(now time.Time, r response) {
	own := s.self.DataCentre
	for _, ev := range r.evidence {
		if ev.Age < 0 {
			continue
		}
		// Evidence on the own data centre that was passed on may stem from this node.
		if ev.Source == own && (ev.Age != 0 || r.from.DataCentre != own) {
			continue
		}
		s.advance(now, ev.Source, r.sent.Add(-ev.Age))
	}
	if r.from.DataCentre == own && r.from.ID != s.self.ID {
		if age(now, s.contact) > s.cfg.Bound {
			s.contactSince = now
		}
		s.contact = r.sent
	}
}

func (s *State) advance(now time.Time, source string, t time.Time) {
	if age(now, t) < age(now, s.evidence[source]) {
		s.evidence[source] = t
	}
}

// vouches reports whether the node may speak for its data centre; the package
// comment gives the reasons.
func (s *State) vouches(now time.Time) bool {
	if !s.caughtUp || !s.joined || s.superseded || s.self.Status == Left {
		return false
	}
	if len(s.view().others[s.self.DataCentre]) == 0 {
		return true
	}
	if age(now, s.contact) > s.cfg.Bound || now.Sub(s.contactSince) < s.cfg.JoinSettle {
		return false
	}
	return s.holdsMost(now) && now.Sub(s.mostSince) >= s.cfg.JoinSettle
}

// holdsMost reports whether most of the own data centre is caught up and not
// dead, and notes since when. Members that come back may bring entries with them, and those must
// spread before the node vouches again.
func (s *State) holdsMost(now time.Time) bool {
	most := s.mostOf(s.self.DataCentre, func(id string) bool {
		return id == s.self.ID || s.members[id].Status < Dead && s.members[id].CaughtUp()
	})
	if !most {
		s.mostSince = time.Time{}
	} else if s.mostSince.IsZero() {
		s.mostSince = now
	}
	return most
}

// mostOf reports whether the chosen members of a data centre are more than half
// of it or, of two equal halves, the one with the lowest name.
func (s *State) mostOf(dc string, chosen func(id string) bool) bool {
	ids := slices.Clone(s.view().others[dc])
	if dc == s.self.DataCentre {
		ids = append(ids, s.self.ID)
	}
	if len(ids) == 0 {
		return false
	}
	n := 0
	for _, id := range ids {
		if chosen(id) {
			n++
		}
	}
	return 2*n > len(ids) || 2*n == len(ids) && chosen(slices.Min(ids))
}

// evidenceList is what the node passes on: evidence too old to count is left out.
func (s *State) evidenceList(now time.Time) []Evidence {
	out := make([]Evidence, 0, len(s.view().dcs)+1)
	own := s.self.DataCentre
	vouches := s.vouches(now)
	for _, source := range append(slices.Clone(s.view().dcs), PlatformSource) {
		if source == own && vouches {
			out = append(out, Evidence{Source: own})
			continue
		}
		// Rounded up to whole milliseconds, the unit on the wire; zero would vouch.
		a := age(now, s.evidence[source]).Truncate(time.Millisecond) + time.Millisecond
		if a < s.cfg.Bound {
			out = append(out, Evidence{Source: source, Age: a})
		}
	}
	return out
}

// FreshFrom returns the time of the evidence on which freshness rests: the node is
// fresh until both clocks are Config.Bound past it. The time is zero if there is
// no such evidence.
func (s *State) FreshFrom(now time.Time) time.Time {
	if s.superseded {
		return time.Time{}
	}
	from := s.majorityFrom(now)
	if p := s.evidence[PlatformSource]; age(now, p) < age(now, from) {
		return p
	}
	return from
}

// Fresh reports whether the node may serve.
func (s *State) Fresh(now time.Time) bool { return age(now, s.FreshFrom(now)) < s.cfg.Bound }

func (s *State) majority(now time.Time) bool { return age(now, s.majorityFrom(now)) < s.cfg.Bound }

// majorityFrom returns the time since which information from more than half of
// the data centres has arrived. Before the node has a member table, it does not
// know how many data centres there are.
func (s *State) majorityFrom(now time.Time) time.Time {
	if !s.joined {
		return time.Time{}
	}
	v := s.view()
	times := make([]time.Time, 0, len(v.dcs))
	for _, dc := range v.dcs {
		t := s.evidence[dc]
		if dc == s.self.DataCentre && len(v.others[dc]) == 0 && s.caughtUp {
			t = now
		}
		times = append(times, t)
	}
	slices.SortFunc(times, func(a, b time.Time) int {
		switch x, y := age(now, a), age(now, b); {
		case x < y:
			return -1
		case x > y:
			return 1
		}
		return 0
	})
	return times[len(v.dcs)/2]
}

func (s *State) noteFresh(now time.Time) {
	if !s.caughtUp && s.seq >= 0 && s.Fresh(now) {
		s.caughtUp = true
		m := s.self
		m.raise(m.Version, true)
		s.setSelf(m)
	}
}

// Settled returns the data centres in which an entry counts as known, given the
// incarnation of each member that acknowledged it, and whether they are more than
// half of all.
func (s *State) Settled(now time.Time, acked map[string]string) (dcs []string, settled bool) {
	v := s.view()
	has := func(id string) bool {
		return id == s.self.ID || s.members[id] != nil && acked[id] == s.members[id].Incarnation
	}
	missing := map[string]bool{}
	for _, id := range s.ids {
		r := s.members[id]
		gone := r.Status == Left || r.Status == Dead &&
			now.Sub(r.since) > s.cfg.DeadGrace && now.Sub(s.appeared[r.DataCentre]) > s.cfg.DeadGrace
		if !gone && !has(id) {
			missing[r.DataCentre] = true
		}
	}
	for _, dc := range v.dcs {
		if !missing[dc] && s.mostOf(dc, has) {
			dcs = append(dcs, dc)
		}
	}
	return dcs, s.joined && 2*len(dcs) > len(v.dcs)
}
