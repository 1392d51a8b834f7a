// Package obs provides logging and metrics. Each log line is one event in key=value
// form. Metrics are served in the Prometheus text format.
package obs

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"

	"github.com/VictoriaMetrics/metrics"
	"github.com/samber/oops"
)

// NewLogger returns a logger that writes key=value lines, each with the node's name.
func NewLogger(w io.Writer, level slog.Level, node string) *slog.Logger {
	return slog.New(errorText{slog.NewTextHandler(w, &slog.HandlerOptions{Level: level})}).With("node", node)
}

// errorText is a handler that logs an error as its message followed by the step
// and the peer of its oops context. Errors of package oops would otherwise be logged
// with a stack trace.
type errorText struct{ slog.Handler }

func (h errorText) Handle(ctx context.Context, r slog.Record) error {
	out := slog.NewRecord(r.Time, r.Level, r.Message, r.PC)
	r.Attrs(func(a slog.Attr) bool {
		if err, ok := a.Value.Any().(error); ok {
			a.Value = slog.StringValue(formatError(err))
		}
		out.AddAttrs(a)
		return true
	})
	return h.Handler.Handle(ctx, out)
}

func (h errorText) WithAttrs(as []slog.Attr) slog.Handler { return errorText{h.Handler.WithAttrs(as)} }

func (h errorText) WithGroup(name string) slog.Handler { return errorText{h.Handler.WithGroup(name)} }

func formatError(err error) string {
	text := err.Error()
	if o, ok := oops.AsOops(err); ok {
		for _, key := range []string{"step", "peer"} {
			if v, ok := o.Context()[key]; ok {
				text += fmt.Sprintf(" %s=%v", key, v)
			}
		}
	}
	return text
}

// MetricsHandler returns a handler that serves the metrics of a set and of the process.
func MetricsHandler(set *metrics.Set) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		set.WritePrometheus(w)
		metrics.WriteProcessMetrics(w)
	})
}
