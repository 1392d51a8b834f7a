package sidecar

import (
	"context"
	"net/http"
	"time"

	"github.com/teaselseam/teaselseam/internal/catalog"
	"github.com/teaselseam/teaselseam/internal/clock"
	"github.com/teaselseam/teaselseam/internal/hop"
	"github.com/teaselseam/teaselseam/internal/request"
	"github.com/teaselseam/teaselseam/internal/retry"
	"github.com/teaselseam/teaselseam/internal/routing"
)

const (
	// minReportedRate stands for a rate limit of zero, in requests per second.
	minReportedRate = 0.01
	// maxBodySentTwice is the largest body, in bytes, of a call that a node may leave to another
	// one that is expected to finish it sooner.
	maxBodySentTwice = 16 << 10
)

// progress describes the attempts of a call so far.
type progress struct {
	retry.Progress
	lastEndpoint string        // last endpoint tried
	lastDuration time.Duration // duration of the last attempt
}

// retryCall returns what the decision on a retry needs to know of a call.
func retryCall(c *hop.Call, route *catalog.Route) retry.Call {
	repeatable := c.Body.Repeatable()
	return retry.Call{Idempotent: c.Idempotent, Repeatable: repeatable, BodyLost: !repeatable, MaxAttempts: route.MaxAttempts}
}

// retryAttempt returns what the decision on a retry needs to know of an attempt.
func retryAttempt(resp *hop.Response) retry.Attempt {
	a := retry.Attempt{Outcome: request.Completed, ReachedBackend: resp.ReachedBackend, Elsewhere: resp.RetryElsewhere}
	if resp.Refusal != nil {
		a.Outcome, a.Reason = resp.Refusal.Outcome, resp.Refusal.Reason
		return a
	}
	a.Failed = resp.Status >= 500
	a.Final = resp.DownstreamFailed || resp.Status == http.StatusGatewayTimeout
	return a
}

// callWithRetries sends a call to one endpoint after the other until one has responded or
// no further attempt is allowed.
func (n *Node) callWithRetries(ctx context.Context, c *hop.Call, route *catalog.Route) *hop.Response {
	n.retryBudgets.countFirstAttempt(n, c.Service)
	var tried []string
	var last *hop.Response
	var p progress
	for p.EndpointsLeft() {
		ep, ok := n.pick(c, tried, last)
		if !ok {
			break
		}
		tried = append(tried, ep.id)
		last.Close()
		sent := time.Now()
		var abandoned bool
		last, abandoned = n.attemptMonitored(ctx, ep, c, p.Arrivals > 0, n.abandonRule(c, route, p, tried))
		p.lastEndpoint, p.lastDuration = ep.id, time.Since(sent)
		p.Record(retryAttempt(last))
		if last.Refusal != nil && last.Refusal.Reason == request.ReasonEvacuated {
			tried = append(tried, n.balancer.endpointsBeside(c.Service, ep)...)
		}
		if !n.doneBeforeStop(c) {
			break // it may not be done by then at another endpoint
		}
		if abandoned {
			continue
		}
		if !n.mayRetry(ctx, c, route, last, &p) {
			break
		}
	}
	if last == nil && n.balancer.allEvacuated(c.Service) {
		last = hop.Refused(request.ReasonEvacuated, evacuatedRetryAfter)
	}
	if last == nil {
		n.requestLog.Warn("no backend server available for a call", "event", "unplaced", "id", c.ID, "route", c.Route, "service", c.Service)
		return hop.Refused(request.ReasonNoBackend, shortRetryAfter)
	}
	n.histograms.requests.Observe(c.Route, resultLabels[resultKind(last)], time.Since(c.Arrived))
	n.logResponse(c, last, &p)
	if refusal := last.Refusal; refusal != nil && refusal.Outcome == request.NotRun && refusal.RetryAfter <= 0 {
		refusal.RetryAfter = returnAfter(refusal.Reason)
	}
	return last
}

// pick selects an endpoint that has not been tried. If the last one has refused the call in
// favour of another that is gone meanwhile, that one has to take it. If none is left and
// backend servers that have room reject calls, another than the last is tried again.
func (n *Node) pick(c *hop.Call, tried []string, last *hop.Response) (endpoint, bool) {
	ep, choice, ok := n.balancer.pick(c, tried)
	if !ok && last != nil && last.Refusal != nil && last.Refusal.Reason == request.ReasonElsewhere {
		ep, choice, ok = n.balancer.pick(c, nil)
	}
	if !ok && last != nil && last.Refusal != nil && last.Refusal.Reason == request.ReasonRejected {
		// It may pass at the next attempt, also where it was rejected before.
		ep, choice, ok = n.balancer.pick(c, tried[len(tried)-1:])
	}
	if len(tried) > 0 || !c.Body.Repeatable() || len(c.Body.Data) > maxBodySentTwice {
		ep.maxWait = 0
	}
	n.logChoice(c, &ep, choice)
	return ep, ok
}

// mayRetry decides whether the call may be sent to another endpoint after resp, and takes
// the retry from the account of the service if that is needed.
func (n *Node) mayRetry(ctx context.Context, c *hop.Call, route *catalog.Route, resp *hop.Response, p *progress) bool {
	if ctx.Err() != nil || !time.Now().Before(c.Deadline) || resp.Refusal != nil && resp.Refusal.Reason == request.ReasonCallerLeft {
		return false
	}
	c.Body.Retract() // the last attempt must not begin to read the rest any more
	switch p.Next(retryCall(c, route), retryAttempt(resp)) {
	case retry.Free:
		return true
	case retry.Charged:
		allowed := n.retryBudgets.take(n, c.Service, p.Runs > 0)
		n.logRetryDecision(c, resp, p, allowed)
		return allowed
	}
	return false
}

// attempt sends the call to one endpoint and records the result.
func (n *Node) attempt(ctx context.Context, ep endpoint, c *hop.Call, isRetry bool) *hop.Response {
	n.metrics.CountAttempt(isRetry)
	sent := time.Now()
	sending := *c
	sending.Target, sending.Repeated = ep.backend.ID, isRetry
	sending.TargetLimit = n.balancer.targetLimit(ep.backend)
	sending.MaxWait = ep.maxWait
	sending.TargetLatency = remainingTarget(c, sent)
	sinceBoot := clock.SinceBoot()
	sending.AskConfig = n.state.configAgeAt(sinceBoot) > askPeersAge
	resp, err := n.balancer.send(ctx, ep, &sending)
	took := time.Since(sent)
	if resp != nil && resp.Config != nil {
		n.state.applyPeerFreshness(*resp.Config, sinceBoot)
	}
	if err != nil {
		return n.peerFailed(ctx, ep, c, err, took)
	}
	if resp.Backend != nil {
		n.balancer.applyBackendState(ep.backend.ID, resp.Backend)
	}
	if fromBackend(resp) {
		n.responseTimes.record(c.Flow, took)
	}
	kind := resultKind(resp)
	n.histograms.attempts.Observe(c.Service, resultLabels[kind], took)
	result := routing.Result{Kind: kind, Latency: took, Draining: isDraining(resp), Load: loadReport(resp, &ep), Cost: ep.cost}
	if resp.Work != nil && kind == routing.Completed {
		result.Ran = resp.Work.Ran
		n.balancer.recordRun(c, result.Ran)
		n.histograms.observePlacement(c.Service, took-ep.expected)
	}
	n.balancer.recordResult(c.Service, ep.id, result)
	return resp
}

// remainingTarget returns the time left until the latency target of a call, negative if it
// has passed and zero if the call has none.
func remainingTarget(c *hop.Call, now time.Time) time.Duration {
	if c.TargetLatency == 0 {
		return 0
	}
	if left := c.TargetLatency - now.Sub(c.Arrived); left > 0 {
		return max(left, time.Millisecond) // the resolution of the header between nodes
	}
	return -time.Millisecond
}

// peerFailed records a failed attempt and returns the response to use for it.
func (n *Node) peerFailed(ctx context.Context, ep endpoint, c *hop.Call, err *hop.Error, took time.Duration) *hop.Response {
	kind := routing.Failed
	reason := request.ReasonPeerLost
	if err.ContextDone {
		kind, reason = routing.Cancelled, endReason(ctx, err)
	} else if err.NoSocket {
		kind, reason = routing.Cancelled, request.ReasonOverload
	}
	n.histograms.attempts.Observe(c.Service, resultLabels[kind], took)
	n.balancer.recordResult(c.Service, ep.id, routing.Result{Kind: kind, Latency: took, NoResponse: true, Cost: ep.cost})
	if reason == request.ReasonCallerLeft {
		n.recordCallerLeft(c, stageAttempt, "peer", ep.address, "sent", err.Sent, "took", took)
	} else {
		n.requestLog.Warn("no answer from a node", "event", "peer_lost", "id", c.ID, "route", c.Route, "peer", ep.address,
			"sent", err.Sent, "took", took, "err", err.Err)
	}
	if err.Sent {
		return hop.MayHaveRun(reason)
	}
	resp := hop.Refused(reason, shortRetryAfter)
	resp.RetryElsewhere = true
	return resp
}

func resultKind(resp *hop.Response) routing.ResultKind {
	switch {
	case resp.Refusal == nil && resp.Status < 500:
		return routing.Completed
	case resp.Refusal == nil:
		return routing.Failed
	case resp.Refusal.Reason == request.ReasonDeadline, resp.Refusal.Reason == request.ReasonCallerLeft:
		return routing.Cancelled
	case resp.Refusal.Reason == request.ReasonElsewhere:
		return routing.Elsewhere
	case resp.Refusal.Outcome == request.NotRun && resp.Refusal.Reason != request.ReasonNoBackend:
		return routing.Refused
	}
	return routing.Failed
}

// fromBackend reports whether a response comes from the backend server. This includes the
// backend server's own refusals.
func fromBackend(resp *hop.Response) bool {
	return resp.ReachedBackend && (resp.Refusal == nil || resp.Refusal.Outcome == request.NotRun)
}

func isDraining(resp *hop.Response) bool {
	return resp.Refusal != nil && resp.Refusal.Reason == request.ReasonDraining || resp.Backend != nil && resp.Backend.Leaving
}

func loadReport(resp *hop.Response, ep *endpoint) *routing.Report {
	if resp.Load == nil {
		return nil
	}
	r := &routing.Report{Limit: resp.Load.Limit, Running: resp.Load.Running, QueueWait: resp.Load.Wait, ServiceTime: resp.Load.ServiceTime}
	if w := resp.Work; w != nil {
		r.QueueWait, r.Slowdown = w.Wait, w.Slowdown
	}
	if ep.flowCost > 0 {
		// The reported service time is that of a typical call of the flow.
		r.ServiceTime = time.Duration(float64(r.ServiceTime) * float64(ep.cost) / float64(ep.flowCost))
	}
	if b := resp.Backend; b != nil && b.RateLimit != nil {
		r.QueueWait = max(r.QueueWait, b.RateWait)
		r.RateLimit = max(*b.RateLimit, minReportedRate)
	}
	if b := resp.Backend; b != nil && b.Cold != nil {
		r.QueueWait = max(r.QueueWait, b.RateWait)
		r.ColdRate, r.ColdRemaining = max(b.Cold.Rate, minReportedRate), b.Cold.Remaining
	}
	return r
}
