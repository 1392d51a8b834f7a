package membership

import (
	"math/rand/v2"
	"slices"
	"time"
)

// fillers is the number of records added to an exchange while digests differ, so
// that a delta that every copy of was lost still arrives.
const fillers = 4

// Exchange is one gossip message, request or response.
type Exchange struct {
	Self     Member
	Members  []Member // deltas, or the table in response to Full
	Evidence []Evidence
	Seq      int64 // newest applied change log entry; -1 before any state is known
	// RevocationsDigest covers the early revocations; Revocations lists them, or
	// some of them, if the digests differ.
	RevocationsDigest uint64
	Revocations       []Digest
	// MembersDigest covers the sender's table; zero if it has not got one yet.
	MembersDigest uint64
	// Full asks for the whole table; a response with it has the whole table.
	Full bool
}

// Request returns what to send to a peer; the ID is empty for a seed.
func (s *State) Request(now time.Time, peer string, full bool) Exchange {
	e := s.exchange(now, peer, nil)
	e.Full = full
	if s.early.digest != 0 {
		e.Revocations = s.early.sample(s.cfg.MaxRevocations)
	}
	return e
}

// Handle takes a peer's request and returns the response. Evidence in a request
// does not count, because the time at which it was sent is unknown.
func (s *State) Handle(now time.Time, e Exchange) Exchange {
	s.mergeAll(now, e)
	if !e.Full {
		out := s.exchange(now, e.Self.ID, e.Members)
		if r, ok := s.members[e.Self.ID]; ok && r.Incarnation != e.Self.Incarnation {
			out.Members = append(out.Members, r.Member) // tells the sender that it was replaced
		}
		if e.MembersDigest != s.digest {
			out.Members = append(out.Members, s.fill()...)
		}
		return s.withRevocations(out, e.RevocationsDigest)
	}
	out := s.exchange(now, e.Self.ID, nil)
	out.Members = s.table()
	out.Full = true
	return s.withRevocations(out, e.RevocationsDigest)
}

func (s *State) withRevocations(out Exchange, theirs uint64) Exchange {
	if theirs != s.early.digest {
		out.Revocations = s.early.sample(s.cfg.MaxRevocations)
	}
	return out
}

// Answer takes the response to a request that was sent at the given time to a
// peer, by ID; the ID is empty for a seed.
func (s *State) Answer(sent, now time.Time, peer string, e Exchange) {
	if r, ok := s.members[e.Self.ID]; ok && r.Status == Dead && now.Sub(s.lastFull) > s.cfg.FullEvery {
		s.fullDue = true // the other side of a healed partition
	}
	s.mergeAll(now, e)
	if e.Full {
		s.join(e)
		s.lastFull = now
		s.fullDue = !s.joined
		s.differed = time.Time{}
	}
	s.compareDigests(now, e.MembersDigest)
	if r, ok := s.members[e.Self.ID]; ok {
		r.misses = 0
	}
	if peer == "" || e.Self.ID == peer {
		s.learn(sent, now, e)
	}
}

// join decides whether a response completes the member table. A responder without
// a table does not know how many data centres there are. When a whole fleet
// starts, nobody has one; then the responses of most seeds together make it.
func (s *State) join(e Exchange) {
	if s.joined {
		return
	}
	if _, ok := s.seeds[e.Self.PeerAddress]; ok {
		s.seeds[e.Self.PeerAddress] = true
	}
	reached := 0
	for _, ok := range s.seeds {
		if ok {
			reached++
		}
	}
	s.joined = e.MembersDigest != 0 || 2*reached > len(s.seeds)
	if e.MembersDigest != 0 {
		for _, r := range s.queue {
			r.sends = 0 // others know these already
		}
	}
}

// Failed takes the failure of an exchange with a member and returns the indirect
// probes to make; the result of them goes to Probed.
func (s *State) Failed(now time.Time, peer Member, rnd *rand.Rand) []Action {
	r, ok := s.members[peer.ID]
	if !ok || r.Status != Alive || r.Incarnation != peer.Incarnation {
		return nil
	}
	via := s.proxies(peer, rnd)
	if len(via) == 0 {
		s.Probed(now, peer, false)
		return nil
	}
	return []Action{{Kind: ProbeVia, Peer: r.Member, Address: r.PeerAddress, Via: via}}
}

// missesToSuspect is the number of failed rounds after which a member is
// suspected. With 20 % of messages lost, one round fails for 7 % of healthy
// members, which kept a fleet of 48 busy with refutations and now and then too
// late for one.
const missesToSuspect = 2

// Probed takes the combined result of indirect probes.
func (s *State) Probed(now time.Time, peer Member, reached bool) {
	r, ok := s.members[peer.ID]
	if !ok || reached || r.Status != Alive || r.Incarnation != peer.Incarnation || r.Version > peer.Version {
		return
	}
	if r.misses++; r.misses >= missesToSuspect {
		s.setStatus(now, peer.ID, Suspect)
		return
	}
	s.doubted = append(s.doubted, peer.ID)
	s.timers.suspect = now.Add(s.cfg.Interval / 2)
}

// proxies picks members to probe through, half of them in the target's data
// centre so that a broken link between two data centres is told from a dead node.
func (s *State) proxies(target Member, rnd *rand.Rand) []Member {
	v := s.view()
	var out []Member
	add := func(ids []string, n int) {
		for _, i := range rnd.Perm(len(ids)) {
			id := ids[i]
			known := slices.ContainsFunc(out, func(m Member) bool { return m.ID == id })
			if n > 0 && !known && id != target.ID && s.members[id].Status == Alive {
				out = append(out, s.members[id].Member)
				n--
			}
		}
	}
	add(v.live[target.DataCentre], (s.cfg.IndirectProbes+1)/2)
	add(v.live[s.self.DataCentre], s.cfg.IndirectProbes-len(out))
	return out
}

func (s *State) exchange(now time.Time, peer string, skip []Member) Exchange {
	return Exchange{
		Self:              s.Self(),
		Members:           s.deltas(peer, skip),
		Evidence:          s.evidenceList(now),
		Seq:               s.seq,
		RevocationsDigest: s.early.digest,
		MembersDigest:     s.tableDigest(),
	}
}

func (s *State) tableDigest() uint64 {
	if !s.joined {
		return 0
	}
	return s.digest
}

func (s *State) mergeAll(now time.Time, e Exchange) {
	s.merge(now, e.Self)
	for _, m := range e.Members {
		s.merge(now, m)
	}
	s.early.add(s.known, e.Revocations...)
}

func (s *State) compareDigests(now time.Time, theirs uint64) {
	switch {
	case theirs == 0:
	case theirs == s.digest:
		s.differed = time.Time{}
	case s.differed.IsZero():
		s.differed = now
	case now.Sub(s.differed) > s.cfg.FullAfter && now.Sub(s.lastFull) > s.cfg.FullEvery:
		s.fullDue = true
	}
}

func (s *State) enqueue(r *record) {
	if r.sends == 0 {
		s.queue = slices.DeleteFunc(s.queue, func(q *record) bool { return q == r })
		s.queue = append(s.queue, r)
	}
	r.sends = transmissions(len(s.members) + 1)
}

// deltas returns the least often sent changes, and what the peer should know
// about itself so that it can refute it.
func (s *State) deltas(peer string, skip []Member) []Member {
	var out []Member
	if r, ok := s.members[peer]; ok && r.Status != Alive {
		out = append(out, r.Member)
	}
	s.queue = slices.DeleteFunc(s.queue, func(r *record) bool { return r.sends == 0 })
	slices.SortStableFunc(s.queue, func(a, b *record) int { return b.sends - a.sends })
	for _, r := range s.queue {
		if len(out) >= s.cfg.MaxDeltas {
			break
		}
		if r.ID == peer || slices.ContainsFunc(skip, func(m Member) bool { return m.ID == r.ID }) {
			continue
		}
		r.sends--
		out = append(out, r.Member)
	}
	return out
}

// fill returns the next records of a round through the table.
func (s *State) fill() []Member {
	ids := s.ids
	var out []Member
	for range min(fillers, len(ids)) {
		s.filler = (s.filler + 1) % len(ids)
		out = append(out, s.members[ids[s.filler]].Member)
	}
	return out
}

func (s *State) table() []Member {
	ids := s.ids
	out := make([]Member, 0, min(len(ids), s.cfg.MaxFull))
	for _, id := range ids[:min(len(ids), s.cfg.MaxFull)] {
		out = append(out, s.members[id].Member)
	}
	return out
}
