package sidecar

import (
	"time"

	"github.com/teaselseam/teaselseam/internal/obs"
	"github.com/teaselseam/teaselseam/internal/routing"
)

// times are the latency histograms of the node. They count as well.
type times struct {
	requests *obs.HistogramVec // of callers, by route and result
	attempts *obs.HistogramVec // offers to a place, by service and result
	waits    *obs.HistogramVec // for a slot beside this node, by route and result
	runs     *obs.HistogramVec // at the backend server beside this node, by route and result
	store    *obs.HistogramVec // calls to the store, by call with table and result
}

func newTimes(m *obs.Metrics) times {
	return times{
		requests: m.HistogramVec("teaselseam_request_seconds", "route", "result"),
		attempts: m.HistogramVec("teaselseam_attempt_seconds", "service", "result"),
		waits:    m.HistogramVec("teaselseam_backend_wait_seconds", "route", "result"),
		runs:     m.HistogramVec("teaselseam_backend_run_seconds", "route", "result"),
		store:    m.HistogramVec("teaselseam_store_call_seconds", "call", "result"),
	}
}

// resultNames are the labels of results.
var resultNames = map[routing.ResultKind]string{
	routing.Completed: "completed", routing.Refused: "refused", routing.Failed: "failed", routing.Cancelled: "cancelled",
}

func (n *Node) observeStore(call, table string, took time.Duration, err error) {
	result := "answered"
	if err != nil {
		result = "failed"
	}
	if table != "" {
		call += " " + table
	}
	n.times.store.Observe(call, result, took)
}

// registerMetrics registers the figures that are read when the metrics are served.
// Their number does not depend on the size of the fleet or of the configuration.
// docs/OPERATIONS.md lists them.
func (n *Node) registerMetrics() {
	gauge := n.metrics.Gauge
	gauge("teaselseam_configuration_age_seconds", func() float64 { return n.knowledge.age().Seconds() })
	gauge("teaselseam_configuration_version", func() float64 {
		if c := n.knowledge.catalog.Load(); c != nil {
			return float64(c.Version)
		}
		return 0 // no version is in force
	})
	gauge("teaselseam_members", func() float64 { return float64(len(*n.knowledge.members.Load())) })
	gauge("teaselseam_requests_active", func() float64 { return float64(n.active.Load()) })
	gauge("teaselseam_backend_running", func() float64 { return float64(n.guard.status().Running) })
	gauge("teaselseam_backend_waiting", func() float64 { return float64(n.guard.status().Waiting) })
	gauge("teaselseam_backend_limit", func() float64 { return float64(n.guard.status().Limit) })
	gauge(`teaselseam_connections_opened{to="backend"}`, func() float64 { return float64(n.guard.pool.Opened()) })
	gauge(`teaselseam_connections_opened{to="peer"}`, func() float64 { return float64(n.peers.Opened()) })
}
