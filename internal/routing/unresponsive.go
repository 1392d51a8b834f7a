package routing

import (
	"math"
	"slices"
	"time"
)

// SinceLastContact returns the time since anything was last received from an endpoint's
// node. For a node that has left the fleet it returns the maximum duration.
func (p *Picker) SinceLastContact(now time.Time, id string) time.Duration {
	s := p.byID[id]
	if s == nil {
		return math.MaxInt64
	}
	return now.Sub(s.lastContactAt)
}

// RecordContact records that something other than the end of a call was received from
// an endpoint's node, for example the answer to a liveness check.
func (p *Picker) RecordContact(now time.Time, id string) {
	if s := p.byID[id]; s != nil {
		s.recordContact(now)
	}
}

// MarkUnresponsive records that an endpoint's node is stalled or unreachable: a call is
// overdue and the node failed the liveness check. The endpoint gets no calls until
// something is received from it (RecordContact, Done), unless all endpoints are
// unresponsive. It returns false if the endpoint was already marked or is unknown.
func (p *Picker) MarkUnresponsive(id string) bool {
	s := p.byID[id]
	if s == nil || s.unresponsive {
		return false
	}
	s.unresponsive = true
	return true
}

// HasAlternative reports whether Pick can return an endpoint that is neither excluded
// nor unresponsive.
func (p *Picker) HasAlternative(now time.Time, exclude []string) bool {
	p.refreshTiers(now)
	for _, tier := range [][]*endpointState{p.tiers.local, p.tiers.remote, p.tiers.fallback} {
		for _, s := range tier {
			if !s.unresponsive && !slices.Contains(exclude, s.ID) {
				return true
			}
		}
	}
	return false
}

func (s *endpointState) recordContact(now time.Time) {
	if s.unresponsive {
		s.unresponsive, s.recoveredAt = false, now
	}
	s.lastContactAt = now
}

// overlapsOutage reports whether a call that ends now was in flight while the endpoint
// was unresponsive. The duration of such a call says nothing about the endpoint's speed:
// counted as latency, a pause of a few seconds would keep calls away from the endpoint
// for much longer.
func (s *endpointState) overlapsOutage(now time.Time, r Result) bool {
	sent := now.Add(-r.Latency)
	return r.NoResponse && s.lastContactAt.Before(sent) || sent.Before(s.recoveredAt)
}

// leastLoadedUnresponsive returns the unresponsive endpoint with the fewest calls in
// flight, for use when no other endpoint is left.
func (p *Picker) leastLoadedUnresponsive(exclude []string) *endpointState {
	var best *endpointState
	least := math.MaxInt
	for _, tier := range [][]*endpointState{p.tiers.local, p.tiers.remote} {
		for _, s := range tier {
			if s.unresponsive && s.inFlight < least && !slices.Contains(exclude, s.ID) {
				best, least = s, s.inFlight
			}
		}
	}
	return best
}
