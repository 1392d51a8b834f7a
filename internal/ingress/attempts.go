package ingress

import (
	"context"
	"time"

	"github.com/teaselseam/teaselseam/internal/call"
	"github.com/teaselseam/teaselseam/internal/membership"
	"github.com/teaselseam/teaselseam/internal/request"
	"github.com/teaselseam/teaselseam/internal/retry"
)

// noBackendRetry is when a caller may try again if a service has no backend server.
const noBackendRetry = time.Second

// elsewhere lists the reasons that say something about one guard only, so that
// another guard may serve the call.
var elsewhere = map[request.Reason]bool{
	request.ReasonOverload:         true,
	request.ReasonDraining:         true,
	request.ReasonNoBackend:        true,
	request.ReasonBackendLost:      true,
	request.ReasonPeerLost:         true,
	request.ReasonNodeStale:        true,
	request.ReasonWrongIncarnation: true,
	request.ReasonBadAnswer:        true,
	request.ReasonShareUnavailable: true,
}

// attempts sends the call to one guard after another, within the retry budget.
func (in *Ingress) attempts(ctx context.Context, c *call.Call) *call.Response {
	svc := in.services.get(c.Service)
	svc.first(time.Now())
	budget := retry.Open(c.Budget)
	var tried []string
	last := call.Refused(request.Refuse(request.ReasonNoBackend, noBackendRetry))
	mayHaveRun := false
	for n := 0; ; n++ {
		target, ok := svc.pick(time.Now(), in.control.Snapshot(), tried)
		if !ok {
			return final(last, mayHaveRun, budget.Close())
		}
		in.metrics.Attempt(n > 0)
		resp := in.attempt(ctx, c, svc, budget, target)
		tried = append(tried, target.ID)
		if resp.Refusal == nil {
			resp.BudgetUnused = budget.Close()
			return resp
		}
		last = resp
		mayHaveRun = mayHaveRun || resp.Refusal.Outcome != request.NotRun
		if !elsewhere[resp.Refusal.Reason] || !svc.anyLeft(time.Now(), in.control.Snapshot(), tried) {
			return final(resp, mayHaveRun, budget.Close())
		}
		delay, again := svc.next(time.Now(), c, resp.Refusal, n, budget)
		if !again || !wait(ctx, delay) {
			return final(resp, mayHaveRun, budget.Close())
		}
	}
}

// final is the refusal after the last attempt. It says not run only if no
// attempt may have run.
func final(last *call.Response, mayHaveRun bool, unusedBudget int) *call.Response {
	out := *last.Refusal
	if mayHaveRun {
		out.Outcome = request.MayHaveRun
	}
	resp := call.Refused(out)
	resp.Load = last.Load
	resp.BudgetUnused = unusedBudget
	return resp
}

// attempt sends the call to one guard.
func (in *Ingress) attempt(ctx context.Context, c *call.Call, svc *service, budget *retry.Budget, target membership.Member) *call.Response {
	loan := budget.Lend(1)
	sent := *c
	sent.Attempt = newAttempt()
	sent.Guard = target.Incarnation
	sent.Budget = loan.Attempts()
	started := time.Now()
	var resp *call.Response
	if target.ID == in.control.Snapshot().Self.ID {
		resp = in.guard.Serve(ctx, &sent)
	} else {
		resp = in.forward.Send(ctx, target, &sent)
	}
	loan.Return(resp.BudgetUnused)
	svc.done(time.Now(), target.ID, started, resp)
	in.pressure.Observe(time.Now(), c.Route, resp.Load)
	return resp
}

func wait(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
