package model

import (
	"testing"
	"time"

	"github.com/teaselseam/teaselseam/internal/request"
	"github.com/teaselseam/teaselseam/internal/retry"
	"github.com/teaselseam/teaselseam/internal/routing"
)

// TestResultsAsInIngress guards against results that the model treats differently
// from package sidecar: they would eject endpoints or spend retries in the model only.
func TestResultsAsInIngress(t *testing.T) {
	for _, tc := range []struct {
		reason  request.Reason
		outcome request.Outcome
		kind    routing.ResultKind
		again   bool
	}{
		{request.ReasonOverload, request.NotRun, routing.Refused, true},
		{request.ReasonNoBackend, request.NotRun, routing.Refused, true},
		{request.ReasonBackendLost, request.MayHaveRun, routing.Failed, false},
		{request.ReasonDeadline, request.NotRun, routing.Cancelled, false},
		{request.ReasonDownstream, request.NotRun, routing.Cancelled, false},
		{request.ReasonOverShare, request.NotRun, routing.Cancelled, false},
	} {
		w := newWorld(graph(t, "obrecz/chain"), Scenarios()[0], Ours, 1)
		r := result{outcome: tc.outcome, reason: tc.reason, refused: tc.outcome == request.NotRun}
		c := &call{
			w: w, req: &req{w: w, deadline: time.Second}, from: w.ingresses[0],
			budget: retry.NewBudget(retry.DefaultBudget), tries: 1,
		}
		for range 100 { // earns retries
			w.policy.(*ours).target(c.from, 0).policy.Ratio.RecordFirst(w.q.time())
		}
		if kind := kindOf(r); kind != tc.kind {
			t.Errorf("%s: kind %v, want %v", tc.reason, kind, tc.kind)
		}
		if _, again := w.policy.retry(c, r); again != tc.again {
			t.Errorf("%s: retried %v, want %v", tc.reason, again, tc.again)
		}
	}
}
