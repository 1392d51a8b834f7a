package node

import (
	"time"

	"github.com/teaselseam/teaselseam/internal/admission"
	"github.com/teaselseam/teaselseam/internal/membership"
	"github.com/teaselseam/teaselseam/internal/peer"
)

// registerMetrics adds the figures that are read when the metrics are served.
// docs/operations/metrics.md lists them.
func (n *Node) registerMetrics() {
	limiter := func(read func(admission.Load) float64) func() float64 {
		return func() float64 { return read(n.limiter.Figures()) }
	}
	n.metrics.Gauge("teaselseam_concurrency_limit", limiter(func(l admission.Load) float64 { return float64(l.Limit) }))
	n.metrics.Gauge("teaselseam_calls_running", limiter(func(l admission.Load) float64 { return float64(l.Running) }))
	n.metrics.Gauge("teaselseam_calls_queued", limiter(func(l admission.Load) float64 { return float64(l.Queued) }))
	n.metrics.Gauge("teaselseam_queue_wait_seconds", limiter(func(l admission.Load) float64 { return l.Wait.Seconds() }))
	n.metrics.Gauge("teaselseam_service_time_seconds", limiter(func(l admission.Load) float64 { return l.ServiceTime.Seconds() }))
	n.metrics.Gauge("teaselseam_shed_level", limiter(func(l admission.Load) float64 { return float64(l.ShedLevel) }))
	traffic := func(name string, t *peer.Traffic) {
		n.metrics.Gauge(name+`{direction="sent"}`, func() float64 { return float64(t.Sent()) })
		n.metrics.Gauge(name+`{direction="received"}`, func() float64 { return float64(t.Received()) })
	}
	traffic("teaselseam_control_bytes_total", n.pool.Control())
	traffic("teaselseam_peer_listener_bytes_total", &n.peerTraffic)
	n.metrics.Gauge("teaselseam_claims_held", func() float64 { return float64(n.claims.Held()) })
	n.metrics.Gauge("teaselseam_control_events_dropped", func() float64 { return float64(n.control.DroppedEvents()) })
	n.metrics.Gauge("teaselseam_fresh", func() float64 {
		if n.control.Fresh(time.Now()) {
			return 1
		}
		return 0
	})
	n.metrics.Gauge("teaselseam_applied_seq", func() float64 {
		if s := n.control.Snapshot().State; s != nil {
			return float64(s.Seq)
		}
		return 0
	})
	n.metrics.Gauge("teaselseam_members_alive", func() float64 {
		alive := 0
		for _, m := range n.control.Snapshot().Members {
			if m.Status == membership.Alive {
				alive++
			}
		}
		return float64(alive)
	})
}
