package sidecar

import (
	"time"

	"github.com/teaselseam/teaselseam/internal/backend"
)

// identifyPause is the shortest time between two questions to the backend server who it is.
const identifyPause = 500 * time.Millisecond

// identify asks the backend server who it is, since two incarnations with different IDs claim to
// be beside this node. Without a health check the next request tells (refuted).
func (g *guard) identify() {
	g.askHealthIf(func(*backend.Server) bool {
		now := time.Now()
		if now.Sub(g.identifiedAt) < identifyPause {
			return false
		}
		g.identifiedAt = now
		return true
	})
}

// refuted applies an answer of the backend server that it is not the incarnation that was asked,
// with apply, which returns whether another one has taken its place.
func (g *guard) refuted(asked backend.Incarnation, apply func(*backend.Server) bool) {
	g.mu.Lock()
	changed := apply(&g.server)
	s := g.server
	if changed {
		g.updateRate()
	}
	g.mu.Unlock()
	if !changed {
		return
	}
	g.serverChanged(asked.ID, &s)
	g.log.Warn("another backend server runs beside this node than was announced last", "event", "backend",
		"id", s.ID, "state", s.State.String(), "born", s.Born, "announced", asked.ID)
	g.n.member.scheduleUpdate()
	g.checkHealth()
}
