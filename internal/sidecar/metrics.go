package sidecar

import (
	"time"

	"github.com/teaselseam/teaselseam/internal/obs"
	"github.com/teaselseam/teaselseam/internal/routing"
)

// histograms are the duration histograms of the node. Their counts also serve as the
// numbers of requests, attempts, runs and store calls.
type histograms struct {
	requests   *obs.HistogramVec // requests of callers and internal calls, by route and result
	attempts   *obs.HistogramVec // attempts at an endpoint, by service and result
	queueWaits *obs.HistogramVec // for a slot at the backend server beside this node, by route and result
	runs       *obs.HistogramVec // at the backend server beside this node, by route and result
	storeCalls *obs.HistogramVec // by call with table and result
	placement  *obs.HistogramVec // difference of an attempt's time from the expected one, by service and sign
}

func newHistograms(m *obs.Metrics) histograms {
	return histograms{
		requests:   m.HistogramVec("teaselseam_request_seconds", "route", "result"),
		attempts:   m.HistogramVec("teaselseam_attempt_seconds", "service", "result"),
		queueWaits: m.HistogramVec("teaselseam_backend_wait_seconds", "route", "result"),
		runs:       m.HistogramVec("teaselseam_backend_run_seconds", "route", "result"),
		storeCalls: m.HistogramVec("teaselseam_store_call_seconds", "call", "result"),
		placement:  m.HistogramVec("teaselseam_placement_error_seconds", "service", "sign"),
	}
}

// observePlacement records by how much an attempt took longer than expected when its endpoint
// was selected, or shorter if d is negative.
func (h *histograms) observePlacement(service string, d time.Duration) {
	if d < 0 {
		h.placement.Observe(service, "shorter", -d)
		return
	}
	h.placement.Observe(service, "longer", d)
}

// resultLabels are the values of the label "result".
var resultLabels = map[routing.ResultKind]string{
	routing.Completed: "completed", routing.Refused: "refused", routing.Failed: "failed", routing.Cancelled: "cancelled",
	routing.Elsewhere: "elsewhere",
}

func (n *Node) observeStoreCall(call, table string, took time.Duration, err error) {
	result := "answered"
	if err != nil {
		result = "failed"
	}
	if table != "" {
		call += " " + table
	}
	n.histograms.storeCalls.Observe(call, result, took)
}

// registerMetrics registers the gauges that are read when the metrics are served.
// Their number does not depend on the size of the fleet or of the configuration.
// docs/OPERATIONS.md lists them.
func (n *Node) registerMetrics() {
	gauge := n.metrics.Gauge
	gauge("teaselseam_configuration_age_seconds", func() float64 { return n.state.configAge().Seconds() })
	gauge("teaselseam_configuration_version", func() float64 {
		if c := n.state.catalog.Load(); c != nil {
			return float64(c.Version)
		}
		return 0 // no configuration yet
	})
	gauge("teaselseam_members", func() float64 { return float64(len(*n.state.members.Load())) })
	gauge("teaselseam_evacuated_data_centres", func() float64 { return float64(len(*n.state.evacuated.Load())) })
	gauge("teaselseam_scheduling_delay_seconds", func() float64 { return time.Duration(n.delay.Load()).Seconds() })
	gauge("teaselseam_sockets", func() float64 { return float64(n.sockets.Used()) })
	gauge("teaselseam_sockets_full", func() float64 { return float64(n.sockets.Full()) })
	gauge("teaselseam_body_bytes", func() float64 { return float64(n.memory.Used()) })
	gauge("teaselseam_body_bytes_peak", func() float64 { return float64(n.memory.Peak()) })
	gauge("teaselseam_body_memory_short", func() float64 { return float64(n.memory.Short()) })
	gauge("teaselseam_requests_active", func() float64 { return float64(n.activeRequests.Load()) })
	gauge("teaselseam_backend_running", func() float64 { return float64(n.guard.status().Running) })
	gauge("teaselseam_backend_waiting", func() float64 { return float64(n.guard.status().Waiting) })
	gauge("teaselseam_backend_limit", func() float64 { return float64(n.guard.status().Limit) })
	gauge("teaselseam_backend_rate_limit", func() float64 {
		if r, limited := n.guard.rate(); limited {
			return r.PerSecond
		}
		return -1 // no limit
	})
	gauge("teaselseam_requests_ahead", func() float64 { return float64(n.ahead.Requests()) })
	gauge(`teaselseam_connections_opened{to="backend"}`, func() float64 { return float64(n.guard.pool.Opened()) })
	gauge(`teaselseam_connections_opened{to="peer"}`, func() float64 { return float64(n.peers.Opened()) })
	gauge(`teaselseam_connections_lost{to="backend"}`, func() float64 { return float64(n.guard.pool.Lost()) })
	gauge(`teaselseam_connections_lost{to="peer"}`, func() float64 { return float64(n.peers.Lost()) })
}
