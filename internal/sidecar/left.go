package sidecar

import (
	"context"
	"errors"
	"log/slog"

	"github.com/teaselseam/teaselseam/internal/hop"
	"github.com/teaselseam/teaselseam/internal/request"
)

// errAbandoned is the cause for which an attempt at an unresponsive node ends.
var errAbandoned = errors.New("attempt at an unresponsive node was abandoned")

// endReason tells why the work for a call was given up whose context has ended, or whose
// deadline has passed. err is the failure of the last exchange, if there was one.
func endReason(ctx context.Context, err error) request.Reason {
	if callerLeft(ctx) || errors.Is(err, hop.ErrCallerLeft) {
		return request.ReasonCallerLeft
	}
	return request.ReasonDeadline
}

// callerLeft reports whether the context of a call has ended because its caller has left.
func callerLeft(ctx context.Context) bool {
	return errors.Is(context.Cause(ctx), context.Canceled)
}

// Stages of a call at which its caller is found to have left, in logs and metrics.
const (
	stageAttempt = "attempt" // sent, or to be sent, to another node
	stageWaiting = "waiting" // for a slot of the backend server beside this node
	stageUnsent  = "unsent"  // it had a slot and was not sent to the backend server
	stageRunning = "running" // at the backend server
)

// recordCallerLeft counts and logs that the caller of a call has left.
func (n *Node) recordCallerLeft(c *hop.Call, stage string, details ...any) {
	n.metrics.Counter(`teaselseam_callers_left_total{stage="` + stage + `"}`).Inc()
	n.requestLog.Info("caller has left", "event", "caller_left", "id", c.ID, "route", c.Route, "idempotent", c.Idempotent,
		"stage", stage, slog.Group("", details...))
}
