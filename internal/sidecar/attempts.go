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
	// maxPlaces bounds the nodes that one request is offered to. Those that refuse
	// without passing it to their backend server cost a round trip.
	maxPlaces = 4
	// maxFull bounds the nodes that refuse because they are full.
	maxFull = 2
	// repeatPart of the retries that users allow is used after a run. Calls made by a
	// repeated run count as repeats too, at each service behind it: at a part of 0.5,
	// forgedesk, which lies behind two services, got 2288 of 2235 allowed.
	repeatPart = 0.2
	// offerPart is used for requests that a backend server has refused as not run. No
	// call was made for them yet.
	offerPart = 0.3
)

// budget is a kind of retries to a service.
type budget struct {
	service string
	ran     bool // after a run; else after a refusal of a backend server
}

// budgets bounds the retries to each service. It is safe for concurrent use.
type budgets struct {
	mu     sync.Mutex
	ratios map[budget]*retry.RatioLimiter
}

func (b *budgets) ratio(n *Node, k budget) *retry.RatioLimiter {
	if b.ratios == nil {
		b.ratios = map[budget]*retry.RatioLimiter{}
	}
	r := b.ratios[k]
	if r == nil {
		part := offerPart
		if k.ran {
			part = repeatPart
		}
		bounds := n.settings.Bounds
		nodes := max(len(*n.knowledge.members.Load()), 1)
		r = retry.NewRatioLimiter(retry.RatioConfig{
			Fraction: min(part*bounds.RetryRatio, n.knowledge.catalog.Load().Service(k.service).RetryRatio),
			Floor:    int(part * bounds.RetryExtra / float64(nodes)),
			Window:   bounds.RetryWindow,
		}, time.Now())
		b.ratios[k] = r
	}
	return r
}

func (b *budgets) first(n *Node, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	b.ratio(n, budget{service, true}).RecordFirst(now)
	b.ratio(n, budget{service, false}).RecordFirst(now)
}

func (b *budgets) take(n *Node, k budget) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ratio(n, k).Take(time.Now())
}

// progress is what has become of a call so far.
type progress struct {
	arrivals int // backend servers that got it
	runs     int // those that ran it, or may have
	full     int // nodes that had no room for it

	places   int           // nodes it was offered to
	last     string        // the last of them
	lastTook time.Duration // until that one had answered
}

func (p *progress) note(a *hop.Response) {
	if a.ReachedBackend {
		p.arrivals++
		if a.Refusal == nil || a.Refusal.Outcome != request.NotRun {
			p.runs++
		}
	} else if a.Refusal != nil && a.Refusal.Reason == request.ReasonOverload {
		p.full++
	}
}

// attempts offers a call to backend servers until one has answered or no further
// one may get it.
func (n *Node) attempts(ctx context.Context, c *hop.Call, route *catalog.Route) *hop.Response {
	n.budgets.first(n, c.Service)
	var tried []string
	var last *hop.Response
	var p progress
	for len(tried) < maxPlaces {
		at, ok := n.places.pick(c.Service, tried)
		if !ok {
			break
		}
		tried = append(tried, at.id)
		last.Close()
		sent := time.Now()
		var gaveUp bool
		last, gaveUp = n.tryWatched(ctx, at, c, p.arrivals > 0, n.leaveRule(c, route, p, tried))
		p.places, p.last, p.lastTook = len(tried), at.id, time.Since(sent)
		p.note(last)
		if gaveUp {
			continue
		}
		if !n.again(ctx, c, route, last, &p) {
			break
		}
	}
	if last == nil {
		n.requests.Warn("no backend server for a call", "event", "unplaced", "id", c.ID, "route", c.Route, "service", c.Service)
		return hop.Refused(request.ReasonNoBackend, shortReturn)
	}
	n.times.requests.Observe(c.Route, resultNames[kindOf(last)], time.Since(c.Arrived))
	n.logEnd(c, last, &p)
	if f := last.Refusal; f != nil && f.Outcome == request.NotRun && f.RetryAfter <= 0 {
		f.RetryAfter = shortReturn
	}
	return last
}

// again decides whether another backend server may get the call.
func (n *Node) again(ctx context.Context, c *hop.Call, route *catalog.Route, a *hop.Response, p *progress) bool {
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
	case outcome == request.NotRun && !a.RetryElsewhere, p.full >= maxFull:
		return false
	case outcome != request.Completed && !retry.MayRetry(outcome, c.Idempotent):
		return false
	}
	if p.arrivals == 0 {
		return true
	}
	allowed := n.budgets.take(n, budget{c.Service, p.runs > 0})
	n.logRepeat(c, a, p, allowed)
	return allowed
}

// try offers the call to one place.
func (n *Node) try(ctx context.Context, at place, c *hop.Call, again bool) *hop.Response {
	n.metrics.CountAttempt(again)
	sent := time.Now()
	attempt := *c
	attempt.Target = at.target
	attempt.TargetLatency = max(c.TargetLatency-time.Since(c.Arrived), 0)
	sinceBoot := clock.SinceBoot()
	attempt.AskConfig = n.knowledge.ageAt(sinceBoot) > askAge
	a, err := n.places.send(ctx, at, &attempt)
	took := time.Since(sent)
	if a != nil && a.Config != nil {
		n.knowledge.hearPeer(*a.Config, sinceBoot)
	}
	if err != nil {
		return n.lost(at, c, err, took)
	}
	if fromBackend(a) {
		n.patience.answered(c.Route, took)
	}
	kind := kindOf(a)
	n.times.attempts.Observe(c.Service, resultNames[kind], took)
	n.places.done(c.Service, at.id, routing.Result{
		Kind: kind, Latency: took, Draining: draining(a), Load: report(a.Load),
	})
	return a
}

// lost handles the failure of the exchange with a node.
func (n *Node) lost(at place, c *hop.Call, err *hop.Error, took time.Duration) *hop.Response {
	kind := routing.Failed
	reason := request.ReasonPeerLost
	if err.ContextDone {
		kind, reason = routing.Cancelled, request.ReasonDeadline
	}
	n.times.attempts.Observe(c.Service, resultNames[kind], took)
	n.places.done(c.Service, at.id, routing.Result{Kind: kind, Latency: took, NoResponse: true})
	n.requests.Warn("no answer of a node", "event", "peer_lost", "id", c.ID, "route", c.Route, "peer", at.address,
		"sent", err.Sent, "took", took, "err", err.Err)
	if err.Sent {
		return hop.MayHaveRun(reason)
	}
	a := hop.Refused(reason, shortReturn)
	a.RetryElsewhere = true
	return a
}

func kindOf(a *hop.Response) routing.ResultKind {
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

// fromBackend tells whether an answer comes from the backend server, if only a refusal.
func fromBackend(a *hop.Response) bool {
	return a.ReachedBackend && (a.Refusal == nil || a.Refusal.Outcome == request.NotRun)
}

func draining(a *hop.Response) bool {
	return a.Refusal != nil && a.Refusal.Reason == request.ReasonDraining
}

func report(l *pressure.Load) *routing.Report {
	if l == nil {
		return nil
	}
	return &routing.Report{Limit: l.Limit, QueueWait: l.Wait, ServiceTime: l.ServiceTime}
}
