package membership

import (
	"math/rand/v2"
	"time"
)

// ActionKind says what the owner of the state is to do.
type ActionKind uint8

// Kinds of actions.
const (
	// DoExchange asks for an exchange with the peer or, without one, the address.
	DoExchange ActionKind = iota + 1
	// ProbeVia asks for probes of the peer through other members.
	ProbeVia
)

// Action is something to send.
type Action struct {
	Kind    ActionKind
	Peer    Member // zero for a seed
	Address string
	Full    bool
	Via     []Member
}

// timers are the times at which each kind of exchange is next due.
type timers struct{ local, remote, dead, seed, suspect time.Time }

// Tick ends suspicions, forgets old records and returns the exchanges that are
// due. It is called several times per interval.
func (s *State) Tick(now time.Time, rnd *rand.Rand) []Action {
	s.expire(now)
	s.holdsMost(now)
	s.noteFresh(now)
	if s.self.Status == Left {
		return nil
	}
	var out []Action
	v := s.view()
	if due(&s.timers.local, now, s.cfg.Interval, rnd) {
		out = s.addExchange(now, out, s.nextLocal(v, rnd))
	}
	if due(&s.timers.remote, now, s.cfg.Interval, rnd) {
		out = s.addExchange(now, out, s.nextRemote(v))
	}
	if len(s.doubted)+len(v.suspect) > 0 && due(&s.timers.suspect, now, s.cfg.Interval, rnd) {
		out = s.addExchange(now, out, s.nextDoubted(v, rnd))
	}
	if len(v.dead) > 0 && due(&s.timers.dead, now, s.cfg.DeadRetry, rnd) {
		out = s.addExchange(now, out, pick(v.dead, rnd))
	}
	return s.addSeed(out, now, rnd)
}

// due reports whether a timer has run out and sets it again, a little early at
// random so that nodes do not act in step.
func due(t *time.Time, now time.Time, every time.Duration, rnd *rand.Rand) bool {
	if now.Before(*t) {
		return false
	}
	*t = now.Add(time.Duration((0.9 + 0.1*rnd.Float64()) * float64(every)))
	return true
}

func pick(ids []string, rnd *rand.Rand) string {
	if len(ids) == 0 {
		return ""
	}
	return ids[rnd.IntN(len(ids))]
}

func (s *State) addExchange(now time.Time, out []Action, id string) []Action {
	r, ok := s.members[id]
	if !ok {
		return out
	}
	full := r.Status == Alive && s.askFull(now)
	return append(out, Action{Kind: DoExchange, Peer: r.Member, Address: r.PeerAddress, Full: full})
}

// askFull reports whether an exchange should ask for the whole table. Only one
// such request is under way at a time.
func (s *State) askFull(now time.Time) bool {
	if !s.fullDue || now.Sub(s.fullSent) < s.cfg.Interval {
		return false
	}
	s.fullSent = now
	return true
}

// addSeed tries a seed at the exchange rate until the node has joined, and rarely
// otherwise, so that two halves of a fleet that forgot each other meet again.
func (s *State) addSeed(out []Action, now time.Time, rnd *rand.Rand) []Action {
	every := s.cfg.SeedRetry
	if s.view().alive == 1 || !s.joined {
		every = s.cfg.Interval
		if s.timers.seed.After(now.Add(every)) {
			s.timers.seed = now
		}
	}
	if len(s.cfg.Seeds) == 0 || !due(&s.timers.seed, now, every, rnd) {
		return out
	}
	address := pick(s.cfg.Seeds, rnd)
	if id, known := s.addresses[address]; known && s.joined && s.members[id].Status == Alive {
		return out
	}
	return append(out, Action{Kind: DoExchange, Address: address, Full: s.askFull(now)})
}

// nextLocal goes through the partners in the own data centre in a shuffled round,
// so that each member is probed in bounded time.
func (s *State) nextLocal(v *view, rnd *rand.Rand) string {
	for {
		if len(s.round) == 0 {
			s.round = append(s.round, v.near...)
			rnd.Shuffle(len(s.round), func(i, j int) { s.round[i], s.round[j] = s.round[j], s.round[i] })
		}
		if len(s.round) == 0 {
			return ""
		}
		id := s.round[0]
		s.round = s.round[1:]
		if r, ok := s.members[id]; ok && r.Status < Dead && r.DataCentre == s.self.DataCentre {
			return id
		}
	}
}

// nextDoubted returns a member that missed one round of probes, to try it once
// more before it is suspected, or else a suspect.
func (s *State) nextDoubted(v *view, rnd *rand.Rand) string {
	for len(s.doubted) > 0 {
		id := s.doubted[0]
		s.doubted = s.doubted[1:]
		if r, ok := s.members[id]; ok && r.Status == Alive && r.misses > 0 {
			return id
		}
	}
	return pick(v.suspect, rnd)
}

// nextRemote takes the other data centres in turn.
func (s *State) nextRemote(v *view) string {
	for range v.dcs {
		s.nextDC = (s.nextDC + 1) % len(v.dcs)
		dc := v.dcs[s.nextDC]
		if id, ok := v.far[dc]; ok {
			return id
		}
	}
	return ""
}

func (s *State) expire(now time.Time) {
	v := s.view()
	timeout := s.cfg.suspicionTimeout(v.alive)
	mayForgetDead := s.majority(now)
	past := func(id string, d time.Duration) bool { return now.Sub(s.members[id].since) >= d }
	for _, id := range v.suspect {
		if past(id, timeout) {
			s.setStatus(now, id, Dead)
		}
	}
	for _, id := range v.dead {
		if mayForgetDead && past(id, s.cfg.ForgetDead) {
			s.forget(id)
		}
	}
	for _, id := range v.left {
		if past(id, s.cfg.ForgetLeft) {
			s.forget(id)
		}
	}
}
