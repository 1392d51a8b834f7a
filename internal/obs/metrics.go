package obs

import (
	"fmt"
	"sync"

	"github.com/VictoriaMetrics/metrics"

	"github.com/teaselseam/teaselseam/internal/request"
)

// Metrics are a node's metrics. docs/OPERATIONS.md lists them.
type Metrics struct {
	set *metrics.Set

	attempts *metrics.Counter
	retries  *metrics.Counter

	mu      sync.Mutex
	refused map[refusalKey]*metrics.Counter
}

type refusalKey struct {
	step    string
	reason  request.Reason
	outcome request.Outcome
}

// NewMetrics returns a node's metrics, all zero.
func NewMetrics() *Metrics {
	set := metrics.NewSet()
	return &Metrics{
		set:      set,
		attempts: set.NewCounter("teaselseam_attempts_total"),
		retries:  set.NewCounter("teaselseam_retries_total"),
		refused:  map[refusalKey]*metrics.Counter{},
	}
}

// Set returns the underlying set.
func (m *Metrics) Set() *metrics.Set { return m.set }

// Gauge registers a figure that is read when the metrics are served.
func (m *Metrics) Gauge(name string, read func() float64) { m.set.NewGauge(name, read) }

// Counter registers a counter.
func (m *Metrics) Counter(name string) *metrics.Counter { return m.set.GetOrCreateCounter(name) }

// CountAttempt counts one attempt at a guard; retry tells whether it is an extra one.
func (m *Metrics) CountAttempt(retry bool) {
	m.attempts.Inc()
	if retry {
		m.retries.Inc()
	}
}

// CountRefusal counts a refusal at the ingress or at the guard.
func (m *Metrics) CountRefusal(step string, r *request.Refusal) {
	key := refusalKey{step: step, reason: r.Reason, outcome: r.Outcome}
	m.mu.Lock()
	c, ok := m.refused[key]
	if !ok {
		c = m.set.NewCounter(fmt.Sprintf(`teaselseam_refusals_total{step=%q,reason=%q,outcome=%q}`, step, r.Reason, r.Outcome))
		m.refused[key] = c
	}
	m.mu.Unlock()
	c.Inc()
}
