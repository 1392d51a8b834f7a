package routing

import (
	"math"
	"slices"
	"time"
)

// SinceLastContact returns how long nothing has come from an endpoint's node. A node that has left
// the fleet has been quiet for ever.
func (p *Picker) SinceLastContact(now time.Time, id string) time.Duration {
	s := p.byID[id]
	if s == nil {
		return math.MaxInt64
	}
	return now.Sub(s.heardAt)
}

// RecordContact takes a sign of life of an endpoint's node other than the end of a call.
func (p *Picker) RecordContact(now time.Time, id string) {
	if s := p.byID[id]; s != nil {
		s.hear(now)
	}
}

// MarkUnresponsive takes the news that an endpoint's node stands still or cannot be reached: a
// call is overdue and the node fails the liveness check. The
// endpoint gets no call until something comes from it (Heard, Done), unless all are
// silent. MarkUnresponsive returns true if this was not known.
func (p *Picker) MarkUnresponsive(id string) bool {
	s := p.byID[id]
	if s == nil || s.silent {
		return false
	}
	s.silent = true
	return true
}

// HasAlternative tells whether an endpoint that is not excluded and not silent can be
// picked.
func (p *Picker) HasAlternative(now time.Time, exclude []string) bool {
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

func (s *state) hear(now time.Time) {
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
	return r.NoResponse && s.heardAt.Before(sent) || sent.Before(s.backAt)
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
