package sidecar

import (
	"slices"
	"time"

	"github.com/teaselseam/teaselseam/internal/clock"
	"github.com/teaselseam/teaselseam/internal/era"
	"github.com/teaselseam/teaselseam/internal/evacuation"
	"github.com/teaselseam/teaselseam/internal/request"
)

// Package evacuation decides which data centres are evacuated. This file enforces it at
// both ends of a call, because either node may be the first to know: the balancer has no
// endpoints in these data centres, and the guard beside a backend server there refuses.

// evacuatedRetryAfter is the Retry-After of refusals because all backend servers of a
// service are evacuated. A data centre that is taken back gets requests within about this
// time.
const evacuatedRetryAfter = time.Second

// applyEvacuations applies the rows of evacuations in an update of the operator's table.
// The caller holds mu.
func (s *storeState) applyEvacuations(u update) {
	switch {
	case u.afterCopy:
		kept := s.evacuations.ReplaceByCopy(evacuation.Copy{Rows: u.rows, Known: u.previous.Version, Rewritten: s.era.WrittenIn})
		if len(kept) > 0 {
			s.log.Warn("store has older requests for evacuations; keeping the newer state for now", "event", "evacuation",
				"data_centres", kept, "era", u.revision.Era)
		}
		time.AfterFunc(era.Settle, s.settleEvacuations)
	case u.snapshot:
		s.evacuations.Replace(u.rows)
	case len(u.rows) == 0:
		return
	default:
		s.evacuations.Apply(u.rows)
	}
	s.publishEvacuations()
}

// settleEvacuations ends the precedence of the evacuations known from before the store came
// back from a copy.
func (s *storeState) settleEvacuations() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.era.Settled(clock.SinceBoot()) { // otherwise it has come back once more
		s.evacuations.Settle()
		s.publishEvacuations()
	}
}

// publishEvacuations puts the present set of evacuated data centres in force. The caller
// holds mu.
func (s *storeState) publishEvacuations() {
	evacuated := s.evacuations.DataCentres()
	change := evacuation.ChangeOf(*s.evacuated.Load(), evacuated)
	if len(change.Begun)+len(change.Ended) == 0 {
		return
	}
	own := s.n.settings.DataCentre
	if slices.Contains(change.Ended, own) {
		s.n.guard.evacuationEnded()
	}
	s.evacuated.Store(&evacuated)
	if slices.Contains(change.Begun, own) {
		s.n.guard.queue.drain()
	}
	s.n.balancer.setEvacuated(time.Now(), evacuated)
	for _, dc := range change.Begun {
		s.log.Info("data centre is evacuated", "event", "evacuation", "data_centre", dc, "own", dc == own, "evacuated", evacuated)
	}
	for _, dc := range change.Ended {
		s.log.Info("data centre is taken back", "event", "evacuation", "data_centre", dc, "own", dc == own, "evacuated", evacuated)
	}
}

// isEvacuated reports whether the backend servers of a data centre must get nothing more.
func (s *storeState) isEvacuated(dataCentre string) bool {
	return slices.Contains(*s.evacuated.Load(), dataCentre)
}

// evacuated reports whether the backend server beside the node must get nothing more.
func (g *guard) evacuated() bool { return g.n.state.isEvacuated(g.n.settings.DataCentre) }

// evacuationEnded is called when the node's own data centre was taken back, before the guard
// admits calls again. It must not block: the caller holds storeState.mu.
func (g *guard) evacuationEnded() {
	g.expectCold()
	g.log.Info("backend server may get requests again", "event", "evacuation", "id", g.announcement().ID)
}

// setEvacuated replaces the set of evacuated data centres. Their endpoints are left out
// without a fallback.
func (b *balancer) setEvacuated(now time.Time, dataCentres []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	ended := evacuation.ChangeOf(b.evacuated, dataCentres).Ended
	b.evacuated = dataCentres
	for _, m := range b.members {
		if slices.Contains(ended, m.DataCentre) {
			// Its servers may have become cold: they get work back as after a start.
			b.seen[incarnationOf(m)] = b.startAgain(now, m.Backend.Service)
		}
	}
	b.refresh(now, false)
}

// allEvacuated reports whether a service has backend servers, but only in evacuated data
// centres.
func (b *balancer) allEvacuated(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	found := false
	for _, m := range b.members {
		if m.Usable() && m.Backend.Service == service {
			if !slices.Contains(b.evacuated, m.DataCentre) {
				return false
			}
			found = true
		}
	}
	return found
}

// endpointsBeside returns the endpoints of a service in the data centre of an endpoint.
func (b *balancer) endpointsBeside(service string, ep endpoint) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.pickers[service].Beside(ep.id)
}

// returnAfter returns the time after which a caller may return whose request has not run
// for this reason, if the refusal does not state it.
func returnAfter(reason request.Reason) time.Duration {
	if reason == request.ReasonEvacuated {
		return evacuatedRetryAfter
	}
	return shortRetryAfter
}
