package sidecar

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/teaselseam/teaselseam/internal/catalog"
	"github.com/teaselseam/teaselseam/internal/clock"
	"github.com/teaselseam/teaselseam/internal/hop"
	"github.com/teaselseam/teaselseam/internal/pressure"
	"github.com/teaselseam/teaselseam/internal/request"
	"github.com/teaselseam/teaselseam/internal/retry"
	"github.com/teaselseam/teaselseam/internal/routing"
)

const (
	// maxEndpoints bounds the endpoints tried for one request. Those that refuse the call
	// without forwarding it to their backend server cost a round trip.
	maxEndpoints = 4
	// maxOverloadRefusals bounds the nodes that may refuse a request for overload.
	maxOverloadRefusals = 2
	// afterRunFraction is the fraction of the allowed retries that is used for requests
	// that a backend server has run. The calls of a repeated run count as retries too, at
	// each service downstream: with a fraction of 0.5, forgedesk, which is downstream of
	// two services, got 2288 retries of the allowed 2235.
	afterRunFraction = 0.2
	// notRunFraction is the fraction that is used for requests that a backend server has
	// refused as not run. They have not caused any calls yet.
	notRunFraction = 0.3
)

// budgetKey identifies a retry budget of a service.
type budgetKey struct {
	service  string
	afterRun bool // for retries after a run; otherwise after a refusal by a backend server
}

// retryBudgets bounds the retries to each service. It is safe for concurrent use.
type retryBudgets struct {
	mu     sync.Mutex
	limiters map[budgetKey]*retry.RatioLimiter
}

func (b *retryBudgets) limiter(n *Node, k budgetKey) *retry.RatioLimiter {
	if b.limiters == nil {
		b.limiters = map[budgetKey]*retry.RatioLimiter{}
	}
	r := b.limiters[k]
	if r == nil {
		fraction := notRunFraction
		if k.afterRun {
			fraction = afterRunFraction
		}
		bounds := n.settings.Bounds
		nodes := max(len(*n.state.members.Load()), 1)
		r = retry.NewRatioLimiter(retry.RatioConfig{
			Fraction: min(fraction*bounds.RetryRatio, n.state.catalog.Load().Service(k.service).RetryRatio),
			Floor:    int(fraction * bounds.RetryExtra / float64(nodes)),
			Window:   bounds.RetryWindow,
		}, time.Now())
		b.limiters[k] = r
	}
	return r
}

func (b *retryBudgets) countFirstAttempt(n *Node, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	b.limiter(n, budgetKey{service, true}).RecordFirst(now)
	b.limiter(n, budgetKey{service, false}).RecordFirst(now)
}

func (b *retryBudgets) takeRetry(n *Node, k budgetKey) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.limiter(n, k).Take(time.Now())
}

// progress counts the attempts of a call so far.
type progress struct {
	arrivals         int // backend servers that received it
	runs             int // backend servers that ran it or may have run it
	overloadRefusals int // nodes that refused it for overload

	endpoints    int           // endpoints tried
	lastEndpoint string        // last endpoint tried
	lastDuration time.Duration // duration of the last attempt
}

func (p *progress) record(a *hop.Response) {
	if a.ReachedBackend {
		p.arrivals++
		if a.Refusal == nil || a.Refusal.Outcome != request.NotRun {
			p.runs++
		}
	} else if a.Refusal != nil && a.Refusal.Reason == request.ReasonOverload {
		p.overloadRefusals++
	}
}

// callWithRetries sends a call to one endpoint after the other until one has responded or
// no further attempt is allowed.
func (n *Node) callWithRetries(ctx context.Context, c *hop.Call, route *catalog.Route) *hop.Response {
	n.retryBudgets.countFirstAttempt(n, c.Service)
	var tried []string
	var last *hop.Response
	var p progress
	for len(tried) < maxEndpoints {
		at, ok := n.balancer.pick(c.Service, tried)
		if !ok {
			break
		}
		tried = append(tried, at.id)
		last.Close()
		sent := time.Now()
		var gaveUp bool
		last, gaveUp = n.attemptMonitored(ctx, at, c, p.arrivals > 0, n.abandonRule(c, route, p, tried))
		p.endpoints, p.lastEndpoint, p.lastDuration = len(tried), at.id, time.Since(sent)
		p.record(last)
		if gaveUp {
			continue
		}
		if !n.mayRetry(ctx, c, route, last, &p) {
			break
		}
	}
	if last == nil {
		n.requestLog.Warn("no backend server available for a call", "event", "unplaced", "id", c.ID, "route", c.Route, "service", c.Service)
		return hop.Refused(request.ReasonNoBackend, shortRetryAfter)
	}
	n.histograms.requests.Observe(c.Route, resultLabels[resultKind(last)], time.Since(c.Arrived))
	n.logResponse(c, last, &p)
	if f := last.Refusal; f != nil && f.Outcome == request.NotRun && f.RetryAfter <= 0 {
		f.RetryAfter = shortRetryAfter
	}
	return last
}

// mayRetry decides whether the call may be sent to another endpoint after the response a.
// It takes a retry from the budget if a backend server has received the call.
func (n *Node) mayRetry(ctx context.Context, c *hop.Call, route *catalog.Route, a *hop.Response, p *progress) bool {
	outcome := request.Completed
	if a.Refusal != nil {
		outcome = a.Refusal.Outcome
	}
	switch {
	case ctx.Err() != nil, !time.Now().Before(c.Deadline), p.runs >= route.MaxAttempts:
		return false
	case !c.Body.Repeatable() && (a.ReachedBackend || outcome != request.NotRun):
		return false
	case outcome == request.Completed && (a.Status < 500 || !c.Idempotent):
		return false
	case outcome == request.Completed && (a.DownstreamFailed || a.Status == http.StatusGatewayTimeout):
		return false
	case outcome == request.NotRun && !a.RetryElsewhere, p.overloadRefusals >= maxOverloadRefusals:
		return false
	case outcome != request.Completed && !retry.MayRetry(outcome, c.Idempotent):
		return false
	}
	if p.arrivals == 0 {
		return true
	}
	allowed := n.retryBudgets.takeRetry(n, budgetKey{c.Service, p.runs > 0})
	n.logRetryDecision(c, a, p, allowed)
	return allowed
}

// attempt sends the call to one endpoint.
func (n *Node) attempt(ctx context.Context, at endpoint, c *hop.Call, isRetry bool) *hop.Response {
	n.metrics.CountAttempt(isRetry)
	sent := time.Now()
	sending := *c
	sending.Target = at.target
	sending.TargetLatency = max(c.TargetLatency-time.Since(c.Arrived), 0)
	sinceBoot := clock.SinceBoot()
	sending.AskConfig = n.state.configAgeAt(sinceBoot) > askPeersAge
	a, err := n.balancer.send(ctx, at, &sending)
	took := time.Since(sent)
	if a != nil && a.Config != nil {
		n.state.applyPeerFreshness(*a.Config, sinceBoot)
	}
	if err != nil {
		return n.peerFailed(at, c, err, took)
	}
	if fromBackend(a) {
		n.responseTimes.record(c.Route, took)
	}
	kind := resultKind(a)
	n.histograms.attempts.Observe(c.Service, resultLabels[kind], took)
	n.balancer.recordResult(c.Service, at.id, routing.Result{
		Kind: kind, Latency: took, Draining: isDraining(a), Load: loadReport(a.Load),
	})
	return a
}

// peerFailed records a failed exchange with a node and returns the answer to use.
func (n *Node) peerFailed(at endpoint, c *hop.Call, err *hop.Error, took time.Duration) *hop.Response {
	kind := routing.Failed
	reason := request.ReasonPeerLost
	if err.ContextDone {
		kind, reason = routing.Cancelled, request.ReasonDeadline
	}
	n.histograms.attempts.Observe(c.Service, resultLabels[kind], took)
	n.balancer.recordResult(c.Service, at.id, routing.Result{Kind: kind, Latency: took, NoResponse: true})
	n.requestLog.Warn("no answer from a node", "event", "peer_lost", "id", c.ID, "route", c.Route, "peer", at.address,
		"sent", err.Sent, "took", took, "err", err.Err)
	if err.Sent {
		return hop.MayHaveRun(reason)
	}
	a := hop.Refused(reason, shortRetryAfter)
	a.RetryElsewhere = true
	return a
}

func resultKind(a *hop.Response) routing.ResultKind {
	switch {
	case a.Refusal == nil && a.Status < 500:
		return routing.Completed
	case a.Refusal == nil:
		return routing.Failed
	case a.Refusal.Reason == request.ReasonDeadline:
		return routing.Cancelled
	case a.Refusal.Outcome == request.NotRun && a.Refusal.Reason != request.ReasonNoBackend:
		return routing.Refused
	}
	return routing.Failed
}

// fromBackend reports whether an answer comes from the backend server, including refusals.
func fromBackend(a *hop.Response) bool {
	return a.ReachedBackend && (a.Refusal == nil || a.Refusal.Outcome == request.NotRun)
}

func isDraining(a *hop.Response) bool {
	return a.Refusal != nil && a.Refusal.Reason == request.ReasonDraining
}

func loadReport(l *pressure.Load) *routing.Report {
	if l == nil {
		return nil
	}
	return &routing.Report{Limit: l.Limit, QueueWait: l.Wait, ServiceTime: l.ServiceTime}
}
