package obs

import (
	"fmt"
	"sync"

	"github.com/VictoriaMetrics/metrics"

	"github.com/teaselseam/teaselseam/internal/request"
)

// Metrics holds the metrics of a node. They are listed in docs/OPERATIONS.md.
type Metrics struct {
	set *metrics.Set

	attempts *metrics.Counter
	retries  *metrics.Counter

	mu       sync.Mutex
	refusals map[refusalKey]*metrics.Counter
}

type refusalKey struct {
	step    string
	reason  request.Reason
	outcome request.Outcome
}

// NewMetrics returns metrics that start at zero.
func NewMetrics() *Metrics {
	set := metrics.NewSet()
	return &Metrics{
		set:      set,
		attempts: set.NewCounter("teaselseam_attempts_total"),
		retries:  set.NewCounter("teaselseam_retries_total"),
		refusals: map[refusalKey]*metrics.Counter{},
	}
}

// Set returns the underlying metrics set.
func (m *Metrics) Set() *metrics.Set { return m.set }

// Gauge registers a gauge whose value is read when the metrics are scraped.
func (m *Metrics) Gauge(name string, value func() float64) { m.set.NewGauge(name, value) }

// Counter returns the counter with the given name and registers it if necessary.
func (m *Metrics) Counter(name string) *metrics.Counter { return m.set.GetOrCreateCounter(name) }

// CountAttempt counts an attempt to send a call to a backend server's node. retry is
// true if the call may already have reached a backend server.
func (m *Metrics) CountAttempt(retry bool) {
	m.attempts.Inc()
	if retry {
		m.retries.Inc()
	}
}

// CountRefusal counts a refusal; step is "ingress" or "guard", the node beside the
// caller or the one beside the backend server.
func (m *Metrics) CountRefusal(step string, r *request.Refusal) {
	key := refusalKey{step: step, reason: r.Reason, outcome: r.Outcome}
	m.mu.Lock()
	c, ok := m.refusals[key]
	if !ok {
		c = m.set.NewCounter(fmt.Sprintf(`teaselseam_refusals_total{step=%q,reason=%q,outcome=%q}`, step, r.Reason, r.Outcome))
		m.refusals[key] = c
	}
	m.mu.Unlock()
	c.Inc()
}
