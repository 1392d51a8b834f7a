package sidecar

import (
	"context"
	"log/slog"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/teaselseam/teaselseam/internal/backend"
	"github.com/teaselseam/teaselseam/internal/dispatch"
	"github.com/teaselseam/teaselseam/internal/hop"
	"github.com/teaselseam/teaselseam/internal/request"
	"github.com/teaselseam/teaselseam/platform"
)

const (
	// answerGrace is how long after the deadline an answer is still awaited. The
	// backend server gives up at the deadline itself and says so.
	answerGrace = 30 * time.Millisecond
	// silentPause is how long a backend server that takes no connection is left
	// alone.
	silentPause = 500 * time.Millisecond
)

// guard admits calls to the backend server beside the node. Only the node beside
// it reaches a backend server, so what the guard decides holds for the fleet.
type guard struct {
	n    *Node
	log  *slog.Logger
	pool *hop.Pool
	line *line

	active atomic.Int64
	// callFailedAt is when a call of the backend server's own last failed, in
	// nanoseconds since the start of the node.
	callFailedAt atomic.Int64
	began        time.Time

	mu          sync.Mutex
	server      backend.Server
	silentUntil time.Time
}

func newGuard(n *Node) *guard {
	return &guard{n: n, log: n.log, pool: hop.NewPool(backendDial, backendIdle), line: newLine(), began: time.Now()}
}

// announcement returns what is believed of the backend server.
func (g *guard) announcement() platform.Announcement {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.server.Announcement
}

// restore takes over what an earlier process knew.
func (g *guard) restore(a platform.Announcement) {
	g.mu.Lock()
	g.server.Restore(a)
	slots := g.server.Slots
	g.mu.Unlock()
	g.line.setSlots(slots)
}

// hear takes an announcement and returns whether the belief changed.
func (g *guard) hear(a platform.Announcement) bool {
	g.mu.Lock()
	replaced := g.server.ID
	changed := g.server.Apply(time.Now(), a)
	s := g.server
	g.silentUntil = time.Time{}
	g.mu.Unlock()
	if !changed {
		return false
	}
	if replaced != s.ID {
		g.pool.CloseIdle(s.Address)
	}
	if s.Ready() {
		g.line.setSlots(s.Slots)
	} else {
		g.line.drain()
	}
	return true
}

// serve takes a call from another node.
func (g *guard) serve(w http.ResponseWriter, r *http.Request) {
	c, err := hop.ReadCall(r, time.Now())
	if err != nil {
		g.log.Warn("call of a peer cannot be read", "event", "guard", "peer", r.RemoteAddr, "err", err)
		hop.WriteToNode(w, hop.Refused(request.ReasonBadRequest, 0))
		return
	}
	if g.n.stopping.Load() {
		w.Header()["Connection"] = []string{"close"}
	}
	a := g.handle(r.Context(), c)
	if c.AskConfig {
		a.Config = g.n.knowledge.evidence()
	}
	hop.WriteToNode(w, a)
}

// handle runs a call at the backend server or refuses it.
func (g *guard) handle(ctx context.Context, c *hop.Call) *hop.Response {
	g.active.Add(1)
	defer g.active.Add(-1)
	a := g.admit(ctx, c)
	a.Load = g.line.load(c.Route, c.Workspace == "")
	a.Hints = g.n.behind.hints(c)
	if a.Refusal != nil {
		g.n.metrics.CountRefusal("guard", a.Refusal)
		g.n.requests.Info("call refused at the guard", "event", "refused", "id", c.ID, "route", c.Route,
			"reason", string(a.Refusal.Reason), "outcome", a.Refusal.Outcome.String(),
			"running", a.Load.Running, "waiting", a.Load.Queued, "wait", a.Load.Wait)
	}
	return a
}

func (g *guard) admit(ctx context.Context, c *hop.Call) *hop.Response {
	if _, a := g.address(c); a != nil {
		return a
	}
	finish, refusal := g.n.crashes.start(c)
	if refusal != nil {
		return &hop.Response{Refusal: refusal}
	}
	arrived := time.Now()
	wait, cancel := context.WithDeadline(ctx, c.Deadline)
	defer cancel()
	leave, refusal := g.line.enter(wait, c)
	waited := time.Since(arrived)
	if refusal != nil {
		g.n.times.waits.Observe(c.Route, "refused", waited)
		finish(false)
		return &hop.Response{Refusal: refusal, RetryElsewhere: true}
	}
	g.n.times.waits.Observe(c.Route, "started", waited)
	// The backend server may have left while the call waited.
	addr, a := g.address(c)
	if a != nil {
		finish(false)
		leave(dispatch.Failed)
		return a
	}
	started := time.Since(g.began)
	g.n.behind.started(c)
	a, result := g.send(ctx, addr, c)
	g.n.behind.ended(c)
	leave(result)
	ran := time.Since(arrived) - waited
	g.n.times.runs.Observe(c.Route, resultNames[kindOf(a)], ran)
	g.logSlow(c, waited, ran)
	a.DownstreamFailed = a.Refusal == nil && a.Status >= 500 && g.callFailedAt.Load() > int64(started)
	finish(a.Refusal == nil)
	return a
}

// noteCallFailed takes the failure of a call that the backend server made. Calls
// carry no mark of the request that they belong to, so all that run now may fail
// for it.
func (g *guard) noteCallFailed() { g.callFailedAt.Store(int64(time.Since(g.began))) }

// address returns where the call's backend server is, or the refusal if that is
// not the one beside the node or takes no work.
func (g *guard) address(c *hop.Call) (string, *hop.Response) {
	g.mu.Lock()
	defer g.mu.Unlock()
	refuse := func(r request.Reason) (string, *hop.Response) {
		a := hop.Refused(r, 0)
		a.RetryElsewhere = true
		return "", a
	}
	switch {
	case g.n.stopping.Load() || g.server.Known() && !g.server.Ready():
		return refuse(request.ReasonDraining)
	case !g.server.Known() || g.server.ID != c.Target || time.Now().Before(g.silentUntil):
		return refuse(request.ReasonNoBackend)
	}
	return g.server.Address, nil
}

// send passes the call to the backend server. A request that may not be repeated
// runs on when its caller leaves: cut off in the middle it would be half done.
func (g *guard) send(ctx context.Context, addr string, c *hop.Call) (*hop.Response, dispatch.Result) {
	if !c.Idempotent {
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithDeadline(ctx, c.Deadline.Add(answerGrace))
	a, err := g.pool.SendToBackend(ctx, addr, c)
	cancelWith(a, cancel)
	switch {
	case err != nil:
		return g.failed(addr, c, err), dispatch.Failed
	case a.Refusal != nil && full(a.ReportedLoad):
		return a, dispatch.AtCapacity
	case a.Refusal != nil:
		return a, dispatch.Failed
	}
	return a, dispatch.Served
}

// full tells whether a backend server that refused a request had no slot for it. One
// that tells no load is believed.
func full(l *platform.Load) bool { return l == nil || l.Waiting > 0 || l.Running >= l.Slots }

// failed turns the failure of an exchange into an answer.
func (g *guard) failed(addr string, c *hop.Call, err *hop.Error) *hop.Response {
	reason := request.ReasonBackendLost
	if err.ContextDone {
		reason = request.ReasonDeadline
	}
	g.n.requests.Warn("no answer of the backend server", "event", "backend_lost", "id", c.ID, "route", c.Route,
		"peer", addr, "sent", err.Sent, "reason", string(reason), "err", err.Err)
	if err.Sent {
		if !err.ContextDone {
			g.checkDeath(addr)
		}
		return hop.MayHaveRun(reason)
	}
	if !err.ConnRefused {
		g.mu.Lock()
		g.silentUntil = time.Now().Add(silentPause)
		g.mu.Unlock()
	}
	a := hop.Refused(request.ReasonNoBackend, 0)
	a.RetryElsewhere = true
	return a
}

// checkDeath records the requests that were running if the backend server has
// died: nothing listens at its address any more.
func (g *guard) checkDeath(addr string) {
	d := hop.NewDialer(backendDial)
	conn, err := d.Dial("tcp", addr)
	if err == nil {
		_ = conn.Close() // only the answer to the connection counts
		return
	}
	g.pool.CloseIdle(addr)
	g.crashed(err)
}

func (g *guard) crashed(err error) {
	if g.n.crashes.died() {
		g.log.Warn("backend server died", "event", "backend_died", "err", err)
	}
}

// cancelWith ends the context of an exchange now, or when the rest of its answer is
// closed.
func cancelWith(a *hop.Response, cancel context.CancelFunc) {
	if a != nil && a.Rest != nil {
		a.Rest = &cancelling{a.Rest, cancel}
		return
	}
	cancel()
}

// cancelling ends the context of an exchange when its answer is closed.
type cancelling struct {
	readCloser
	cancel context.CancelFunc
}

type readCloser interface {
	Read([]byte) (int, error)
	Close() error
}

// Close implements io.Closer.
func (c *cancelling) Close() error {
	defer c.cancel()
	return c.readCloser.Close()
}
