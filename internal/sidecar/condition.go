package sidecar

import (
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
		g.queue.setRate(current)
	}
	g.mu.Unlock()
	if change.RateLimit {
		g.log.Info("rate limit of the backend server changed", "event", "backend_limit", "id", r.ID, "request", c.ID,
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

// rateLimit returns the rate limit of the backend server beside the node; nil for none.
func (g *guard) rateLimit() *float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.server.RateLimit()
}
