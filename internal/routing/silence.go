package routing

import (
	"math"
	"slices"
	"time"
)

// rareProbe is how many pauses later a call that may not be repeated is used.
const rareProbe = 3

// Overdue takes the news that a call sent to an endpoint at the given time has not
// been answered for unusually long. It returns true if nothing at all has come from
// the backend server since: it, its node or the way there stands still, and the endpoint
// gets only probes until it answers. A refusal by the node's queue is no sign of life,
// since the queue fills when the backend server stands still. An endpoint that answers
// other calls is only slow with this one.
func (p *Picker) Overdue(now time.Time, id string, sent time.Time) bool {
	s := p.byID[id]
	if s == nil {
		return true // it has left the fleet
	}
	if !s.heardAt.Before(sent) {
		return false
	}
	if !s.silent {
		s.silent, s.probeAt = true, now.Add(p.cfg.ProbeEvery)
	}
	return true
}

// Alternative tells whether an endpoint that is not excluded and not silent can be
// picked.
func (p *Picker) Alternative(now time.Time, exclude []string) bool {
	p.refresh(now)
	for _, tier := range [][]*state{p.tiers.local, p.tiers.remote, p.tiers.reserve} {
		for _, s := range tier {
			if !s.silent && !slices.Contains(exclude, s.ID) {
				return true
			}
		}
	}
	return false
}

func (s *state) observeSilence(now time.Time, r Result) {
	if r.Silent {
		return
	}
	if s.silent {
		s.silent, s.backAt = false, now
	}
	s.heardAt = now
}

// duringSilence tells whether a call that ends now was at the endpoint while that was
// silent. Its time says nothing about the endpoint's speed: counted as latency, a pause
// of some seconds would keep calls away from the endpoint for many more.
func (s *state) duringSilence(now time.Time, r Result) bool {
	sent := now.Add(-r.Latency)
	return r.Silent && s.heardAt.Before(sent) || sent.Before(s.backAt)
}

// Probe returns a silent endpoint whose next call is due and counts a call in flight
// there, as Pick does. A call that may not be repeated is a probe only if no other has
// come for long.
func (p *Picker) Probe(now time.Time, repeatable bool) (string, bool) {
	if !repeatable {
		now = now.Add(-rareProbe * p.cfg.ProbeEvery)
	}
	for _, tier := range [][]*state{p.tiers.local, p.tiers.remote} {
		for _, s := range tier {
			if s.silent && !now.Before(s.probeAt) {
				s.probeAt = now.Add(p.cfg.ProbeEvery)
				s.inFlight++
				return s.ID, true
			}
		}
	}
	return "", false
}

// leastSilent stands in when every endpoint is silent: the one with the fewest calls
// in flight.
func (p *Picker) leastSilent(exclude []string) *state {
	var best *state
	least := math.MaxInt
	for _, tier := range [][]*state{p.tiers.local, p.tiers.remote} {
		for _, s := range tier {
			if s.silent && s.inFlight < least && !slices.Contains(exclude, s.ID) {
				best, least = s, s.inFlight
			}
		}
	}
	return best
}
