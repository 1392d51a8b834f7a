package sidecar

import (
	"context"
	"time"

	"github.com/teaselseam/teaselseam/internal/backend"
	"github.com/teaselseam/teaselseam/internal/dispatch"
	"github.com/teaselseam/teaselseam/platform"
)

// healthTimeout bounds a health check. Backend servers answer it without a slot.
const healthTimeout = 300 * time.Millisecond

// updateRate lets the queue keep to the rate that the backend server bears now. The caller
// holds mu.
func (g *guard) updateRate() {
	now := time.Now()
	r, limited := g.server.Rate(now)
	if g.rateTimer != nil {
		g.rateTimer.Stop()
	}
	if limited && !r.Until.IsZero() {
		g.rateTimer = time.AfterFunc(r.Until.Sub(now), func() {
			g.mu.Lock()
			defer g.mu.Unlock()
			g.updateRate()
		})
	}
	switch {
	case !limited:
		g.queue.setRate(nil)
	case r.Cold:
		g.queue.setRate(&dispatch.Rate{PerSecond: r.PerSecond, Burst: dispatch.ColdBurst, Until: r.Until})
	default:
		g.queue.setRate(&dispatch.Rate{PerSecond: r.PerSecond, Burst: dispatch.NamedBurst})
	}
	g.logCold(now)
}

func (g *guard) logCold(now time.Time) {
	cold, until := g.server.Cold(now)
	if cold == g.cold || !g.server.Known() {
		return
	}
	g.cold = cold
	switch {
	case !cold:
		g.log.Info("backend server is no longer cold", "event", "backend_limit", "id", g.server.ID)
	case until.IsZero():
		g.log.Info("backend server may be cold", "event", "backend_limit", "id", g.server.ID)
	default:
		g.log.Info("backend server is cold", "event", "backend_limit", "id", g.server.ID, "left", until.Sub(now))
	}
}

// setColdRate sets what the configuration says of cold backend servers of the service.
func (g *guard) setColdRate(s platform.Service) {
	g.mu.Lock()
	g.server.SetColdRate(s.ColdRate)
	g.updateRate()
	g.mu.Unlock()
	g.checkHealth()
}

// statedCold returns how much longer the backend server is cold by what it has told.
func (g *guard) statedCold() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.server.StatedCold(time.Now())
}

// expectCold takes the backend server for cold until it has told that it is not, and asks it
// at once.
func (g *guard) expectCold() {
	g.mu.Lock()
	g.server.AssumeCold(time.Now())
	g.updateRate()
	g.mu.Unlock()
	g.checkHealth()
}

// backendDown records that the backend server accepted no connection.
func (g *guard) backendDown(i backend.Incarnation) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.server.Crashed(time.Now(), i)
	g.updateRate()
}

// checkHealth asks the backend server whether it is cold if that is not known.
func (g *guard) checkHealth() {
	g.askHealthIf(func(s *backend.Server) bool { return s.ExpectsHealth(time.Now()) })
}

// askHealthIf asks the backend server for its health if it is expected to answer and wanted says so.
func (g *guard) askHealthIf(wanted func(*backend.Server) bool) {
	c := g.n.state.catalog.Load()
	if c == nil {
		return
	}
	path := c.Backends(g.n.settings.Service).HealthPath
	g.mu.Lock()
	expected := path != "" && wanted(&g.server)
	addr, incarnation := g.server.Address, g.server.Incarnation()
	g.mu.Unlock()
	if expected {
		go g.askHealth(addr, path, incarnation)
	}
}

func (g *guard) askHealth(addr, path string, i backend.Incarnation) {
	ctx, cancel := context.WithTimeout(context.Background(), healthTimeout)
	defer cancel()
	sentAt := time.Now()
	health, err := g.pool.CheckHealth(ctx, addr, path)
	if err != nil {
		g.log.Warn("health check of the backend server failed", "event", "backend_limit", "id", i.ID, "err", err)
		return
	}
	g.mu.Lock()
	if g.server.ApplyHealth(sentAt, time.Now(), i, health) {
		g.updateRate()
	}
	g.mu.Unlock()
	g.refuted(i, func(s *backend.Server) bool { return s.Identified(time.Now(), i, health.Instance) })
}
