// Package guard is the only way to the backend server beside a node. It decides
// what the backend server runs, hands out call tokens for nested calls, and
// knows for each call whether it was sent on.
//
// A call passes these steps, and each may refuse it as not run: the guard's
// incarnation, freshness and the key; admission (limit and queue); freshness,
// the key and the deadline again, because time has passed in the queue; the
// workspace's rate; the claim of a call that may not be repeated. Only then is
// it sent to the backend server, after which a failure means may have run.
package guard

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/teaselseam/teaselseam/internal/call"
	"github.com/teaselseam/teaselseam/internal/control"
	"github.com/teaselseam/teaselseam/internal/request"
	"github.com/teaselseam/teaselseam/internal/workspace"
)

// Control is what the guard needs from the control state.
type Control interface {
	Snapshot() *control.Snapshot
	Fresh(now time.Time) bool
}

// Limiter admits calls to the backend server.
type Limiter interface {
	// Acquire waits for a slot. It returns a refusal, or a function that the
	// caller calls once when the call has ended.
	Acquire(ctx context.Context, c *call.Call) (release func(Result), refusal *request.Refusal)
	// Load returns the figures that ride on responses.
	Load() call.Load
	// ServiceTime returns the typical time of a call at the backend server.
	ServiceTime() time.Duration
}

// Result is how a call to the backend server ended.
type Result struct {
	Started  time.Time
	Finished time.Time
	// Shed means that the backend server refused because it is overloaded.
	Shed bool
	// Failed means that there was no complete answer.
	Failed bool
	// TimedOut means that the deadline passed or the caller went away while the
	// call ran.
	TimedOut bool
	// NotSent means that the call ended before it reached the backend server.
	NotSent bool
	// Untimed means that the duration says nothing about the backend server: the
	// call was sent twice, or its caller set the pace of a streamed answer.
	Untimed bool
}

// RateTokens enforces the fleet-wide rate of workspaces.
type RateTokens interface {
	// Take takes one token of the workspace or refuses. refund gives the token
	// back; it is called only if the call is known not to have run.
	Take(ctx context.Context, workspace string) (refund func(), refusal *request.Refusal)
}

// Claims makes calls that may not be repeated run at most once.
type Claims interface {
	// Acquire claims the request ID or refuses.
	Acquire(ctx context.Context, id request.ID) (Claim, *request.Refusal)
}

// Claim is the right to run one attempt of such a call.
type Claim interface {
	// Start reports whether the call may be sent to the backend server now.
	Start() bool
	// Release gives the claim back for a call that is known not to have run.
	Release()
}

// Quarantine refuses requests that crashed backend servers.
type Quarantine interface {
	// Start refuses a quarantined call or records it as running until finish is
	// called; completed means that the backend server sent a whole response.
	Start(c *call.Call) (finish func(completed bool), refusal *request.Refusal)
}

// Guard serves the calls meant for the backend server beside the node.
type Guard struct {
	log         *slog.Logger
	incarnation string
	control     Control
	parts       Parts
	backend     *Backend
	running     *Running

	mu       sync.Mutex
	draining bool
	active   sync.WaitGroup
}

// Parts are the decisions that a guard delegates.
type Parts struct {
	Limiter    Limiter
	Rate       RateTokens
	Claims     Claims
	Quarantine Quarantine
}

// New returns the guard of a node with the given incarnation.
func New(log *slog.Logger, incarnation string, ctl Control, backend *Backend, parts Parts) *Guard {
	return &Guard{log: log, incarnation: incarnation, control: ctl, parts: parts, backend: backend, running: newRunning()}
}

// Running returns the calls that the backend server runs now.
func (g *Guard) Running() *Running { return g.running }

// Drain refuses new calls and waits until the running ones have ended.
func (g *Guard) Drain(ctx context.Context) error {
	g.mu.Lock()
	g.draining = true
	g.mu.Unlock()
	done := make(chan struct{})
	go func() {
		g.active.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// enter counts a call in unless the guard is draining.
func (g *Guard) enter() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.draining {
		return false
	}
	g.active.Add(1)
	return true
}

// Serve runs a call or refuses it. The context ends when the caller goes away.
func (g *Guard) Serve(ctx context.Context, c *call.Call) *call.Response {
	resp := g.serve(ctx, c)
	resp.Load.Encoded = g.parts.Limiter.Load().Encoded
	resp.Draining = g.backend.Draining() || g.isDraining()
	return resp
}

func (g *Guard) isDraining() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.draining
}

func (g *Guard) serve(ctx context.Context, c *call.Call) *call.Response {
	if c.Guard != g.incarnation {
		return unused(c, request.Refuse(request.ReasonWrongIncarnation, 0))
	}
	if !g.enter() {
		return unused(c, request.Refuse(request.ReasonDraining, 0))
	}
	resp := g.admit(ctx, c)
	resp.WhenRead(func(bool) { g.active.Done() })
	return resp
}

// admit waits for a slot and holds it until the response has been read.
func (g *Guard) admit(ctx context.Context, c *call.Call) *call.Response {
	if refusal := g.check(c); refusal != nil {
		return unused(c, *refusal)
	}
	ctx, cancel := context.WithDeadline(ctx, c.Deadline)
	release, refusal := g.parts.Limiter.Acquire(ctx, c)
	if refusal != nil {
		cancel()
		return unused(c, *refusal)
	}
	resp, result := g.run(ctx, c)
	resp.WhenRead(func(whole bool) {
		result.Finished = time.Now()
		result.Failed = result.Failed || !whole
		release(result)
		cancel()
	})
	return resp
}

// check is done on arrival, after the queue, and after the waits for claim and
// token, which a pause of the process may make long.
func (g *Guard) check(c *call.Call) *request.Refusal {
	now := time.Now()
	snap := g.control.Snapshot()
	if !g.control.Fresh(now) || snap.Settings == nil {
		return request.Refused(request.ReasonNodeStale, time.Second)
	}
	if !now.Before(c.Deadline) {
		return request.Refused(request.ReasonDeadline, 0)
	}
	ws, verdict := snap.Keys.Check(c.KeyDigest)
	switch {
	case verdict == workspace.Revoked:
		return request.Refused(request.ReasonKeyRevoked, 0)
	case verdict != workspace.Valid:
		// The ingress knows the key, so this node is behind in the change log.
		return request.Refused(request.ReasonNodeStale, 0)
	case ws != c.Workspace:
		return request.Refused(request.ReasonUnknownKey, 0)
	case g.backend.Draining():
		return request.Refused(request.ReasonDraining, 0)
	case !g.backend.Serves(c.Service):
		return request.Refused(request.ReasonNoBackend, time.Second)
	}
	return nil
}

// run does what remains after admission, in the order of increasing commitment.
func (g *Guard) run(ctx context.Context, c *call.Call) (*call.Response, Result) {
	started := time.Now()
	notSent := Result{Started: started, NotSent: true}
	if refusal := g.check(c); refusal != nil {
		return unused(c, *refusal), notSent
	}
	claim, refusal := g.claim(ctx, c)
	if refusal != nil {
		return unused(c, *refusal), notSent
	}
	refund, refusal := g.takeToken(ctx, c)
	if refusal != nil {
		claim.Release()
		return unused(c, *refusal), notSent
	}
	finish, refusal := g.parts.Quarantine.Start(c)
	if refusal != nil {
		claim.Release()
		refund()
		return unused(c, *refusal), notSent
	}
	if refusal := g.check(c); refusal != nil {
		finish(false)
		claim.Release()
		refund()
		return unused(c, *refusal), notSent
	}
	if !claim.Start() {
		finish(false)
		return unused(c, request.Unknown(request.ReasonClaimUnavailable)), notSent
	}
	resp, result := g.send(ctx, c)
	result.Started = started
	resp.WhenRead(func(whole bool) { finish(whole && resp.Refusal == nil) })
	if resp.Refusal != nil && resp.Refusal.Outcome == request.NotRun {
		claim.Release()
		refund()
	}
	return resp, result
}

func (g *Guard) claim(ctx context.Context, c *call.Call) (Claim, *request.Refusal) {
	if c.Idempotent {
		return noClaim{}, nil
	}
	return g.parts.Claims.Acquire(ctx, c.ID)
}

// noClaim is the claim of an idempotent call.
type noClaim struct{}

func (noClaim) Start() bool { return true }

func (noClaim) Release() {}

// takeToken charges a root call to its workspace. Nested calls are part of
// their root and are not charged again.
func (g *Guard) takeToken(ctx context.Context, c *call.Call) (refund func(), refusal *request.Refusal) {
	if c.Depth > 0 {
		return func() {}, nil
	}
	return g.parts.Rate.Take(ctx, c.Workspace)
}

func (g *Guard) send(ctx context.Context, c *call.Call) (*call.Response, Result) {
	entry := g.running.start(ctx, c)
	resp, result := g.backend.do(ctx, c, entry, g.silenceRule(c))
	resp.BudgetUnused = entry.settle()
	resp.Load.Hints = entry.gathered()
	resp.WhenRead(func(bool) { g.running.finish(entry) })
	return resp, result
}

// unused is a refusal that returns the call's whole retry budget.
func unused(c *call.Call, r request.Refusal) *call.Response {
	resp := call.Refused(r)
	resp.BudgetUnused = c.Budget
	return resp
}
