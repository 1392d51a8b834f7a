// Package obs sets up logs and metrics. A log line is one event in key=value
// form. Metrics are served in the Prometheus text format.
package obs

import (
	"io"
	"log/slog"
	"net/http"

	"github.com/VictoriaMetrics/metrics"
)

// NewLogger returns a logger that writes key=value lines with the node's name.
func NewLogger(w io.Writer, level slog.Level, node string) *slog.Logger {
	return slog.New(slog.NewTextHandler(w, &slog.HandlerOptions{Level: level})).With("node", node)
}

// MetricsHandler serves the metrics of a set and of the process.
func MetricsHandler(set *metrics.Set) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		set.WritePrometheus(w)
		metrics.WriteProcessMetrics(w)
	})
}
