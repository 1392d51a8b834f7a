package sidecar

import (
	"time"

	"github.com/teaselseam/teaselseam/internal/backend"
	"github.com/teaselseam/teaselseam/internal/hop"
)

// applyCondition applies what the backend server states about itself in a response.
func (g *guard) applyCondition(c *hop.Call, r backend.Response) {
	if r.RateLimitErr != nil {
		g.n.requestLog.Warn("response of the backend server has an invalid header", "event", "backend", "id", c.ID, "err", r.RateLimitErr)
	}
	g.mu.Lock()
	previous := g.server.RateLimit()
	change := g.server.ApplyResponse(r)
	current := g.server.RateLimit()
	if change.RateLimit {
		g.updateRate()
	}
	if change.Leaving {
		g.queue.drain()
	}
	g.mu.Unlock()
	g.checkHealth()
	if change.Leaving {
		g.log.Info("backend server states that it leaves", "event", "backend", "id", r.ID, "request", c.ID, "born", r.Born)
		g.n.member.scheduleUpdate()
	}
	if change.RateLimit {
		// The limit may change with each response.
		g.n.requestLog.Info("rate limit of the backend server changed", "event", "backend_limit", "id", r.ID, "request", c.ID,
			"limit", limitText(current), "previous", limitText(previous))
	}
}

// limitText returns a rate limit as shown in logs.
func limitText(rate *float64) any {
	if rate == nil {
		return "none"
	}
	return *rate
}

// rate returns the rate that the backend server beside the node bears now; false if there is
// no limit.
func (g *guard) rate() (backend.Rate, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.server.Rate(time.Now())
}

// adoptRateLimit adopts the limit that the caller's node has heard of, if this node does not
// know whether there is one.
func (g *guard) adoptRateLimit(c *hop.Call) {
	g.mu.Lock()
	changed := g.server.AdoptRateLimit(time.Now(), backend.Incarnation{ID: c.Target, Born: c.TargetLimit.Born}, c.TargetLimit.Rate)
	if changed {
		g.updateRate()
	}
	g.mu.Unlock()
	if changed {
		g.n.requestLog.Info("rate limit of the backend server learned from another node", "event", "backend_limit", "id", c.Target, "request", c.ID,
			"limit", c.TargetLimit.Rate, "previous", "unknown")
	}
}

// backendState returns what the caller's node is to know of the call's backend server; nil
// if this node has no other one beside it or there is nothing to tell.
func (g *guard) backendState(c *hop.Call) *hop.BackendState {
	g.mu.Lock()
	defer g.mu.Unlock()
	limit, leaving := g.server.RateLimit(), g.server.Leaving()
	rate, limited := g.server.Rate(time.Now())
	if g.server.ID != c.Target || !limited && c.TargetLimit == nil && !leaving {
		return nil
	}
	s := &hop.BackendState{Born: g.server.Born, RateLimit: limit, RateLimitKnown: g.server.RateLimitKnown(), Leaving: leaving}
	if limited {
		s.RateWait = g.queue.rateWait()
	}
	if rate.Cold {
		s.Cold = &hop.Cold{Rate: rate.PerSecond, Remaining: g.server.ColdRemaining(time.Now())}
	}
	return s
}

// targetLimit returns the rate limit of a backend server to send with a call; nil if the
// node has heard of none.
func (b *balancer) targetLimit(i backend.Incarnation) *hop.TargetLimit {
	b.mu.Lock()
	defer b.mu.Unlock()
	rate, named := b.conditions.RateLimit(i)
	if rate == nil {
		return nil
	}
	return &hop.TargetLimit{Born: named.Born, Rate: *rate}
}

// applyBackendState records what the node beside a backend server knows of it.
func (b *balancer) applyBackendState(id string, s *hop.BackendState) {
	b.mu.Lock()
	defer b.mu.Unlock()
	i := backend.Incarnation{ID: id, Born: s.Born}
	if s.RateLimitKnown {
		b.conditions.SetRateLimit(time.Now(), i, s.RateLimit)
	}
	if s.Leaving {
		b.conditions.SetLeaving(time.Now(), i)
	}
}
