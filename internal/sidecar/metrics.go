package sidecar

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
