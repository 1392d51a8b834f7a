package sidecar

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/teaselseam/teaselseam/internal/backend"
	"github.com/teaselseam/teaselseam/internal/dispatch"
	"github.com/teaselseam/teaselseam/internal/hop"
	"github.com/teaselseam/teaselseam/internal/presence"
	"github.com/teaselseam/teaselseam/internal/request"
	"github.com/teaselseam/teaselseam/platform"
)

const (
	// responseGracePeriod is how long after the deadline a response is still awaited. The
	// backend server itself ends the request at the deadline and reports so.
	responseGracePeriod = 30 * time.Millisecond
	// unreachablePause is how long no call is sent to a backend server that did not accept
	// a connection in time.
	unreachablePause = 500 * time.Millisecond
)

// guard admits calls to the backend server beside the node. No other node sends calls
// to that backend server directly, so the guard's decisions hold for the whole fleet.
type guard struct {
	n     *Node
	log   *slog.Logger
	pool  *hop.Pool
	queue *backendQueue

	activeCalls atomic.Int64 // of other nodes
	calls       callSet
	// lastCallFailure is when an internal call of the backend server last failed,
	// in nanoseconds since startedAt.
	lastCallFailure atomic.Int64
	startedAt       time.Time

	mu     sync.Mutex
	server backend.Server
	// restored is set once it is known what an earlier process of the node has acknowledged.
	// Before that, an announcement that was late may name a backend server that has left.
	restored         bool
	restoredAt       time.Time // zero at the first start
	unreachableUntil time.Time
	identifiedAt     time.Time   // when the backend server was last asked who it is
	cold             bool        // as last logged
	rateTimer        *time.Timer // fires when the rate of the backend server changes without news
}

func newGuard(n *Node) *guard {
	g := &guard{n: n, log: n.log, pool: hop.NewPool(backendDialTimeout, defaultBackendIdleTimeout, n.sockets), queue: newBackendQueue(), startedAt: time.Now()}
	g.pool.UseMemory(n.memory)
	g.server.SetInterval(n.settings.AnnounceInterval)
	g.server.AssumeCold(g.startedAt)
	g.restored = n.settings.FirstStart // there was none
	return g
}

// announcement returns the current state of the backend server.
func (g *guard) announcement() platform.Announcement {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.server.Announcement
}

// departures returns the departures of backend servers to store with the announcement.
func (g *guard) departures() []backend.Departure {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.server.Departures()
}

// restore sets the state of the backend server that an earlier process has stored, the zero
// value if there was none.
func (g *guard) restore(a platform.Announcement, departures []backend.Departure) {
	g.mu.Lock()
	g.server.Restore(time.Now(), a, departures)
	g.restored, g.restoredAt = true, time.Now()
	s := g.server
	g.mu.Unlock()
	if !s.Known() {
		return
	}
	g.queue.setSlots(s.Slots)
	if !s.Ready() {
		g.queue.drain()
	}
	g.checkHealth()
}

// applyAnnouncement applies an announcement and returns whether it changed the state of
// the backend server.
func (g *guard) applyAnnouncement(a platform.Announcement) bool {
	g.mu.Lock()
	previousID := g.server.ID
	changed := g.server.Apply(time.Now(), a)
	s := g.server
	g.unreachableUntil = time.Time{}
	g.updateRate()
	g.mu.Unlock()
	g.checkHealth()
	if !changed {
		if s.Contested() {
			g.identify()
		}
		return false
	}
	g.serverChanged(previousID, &s)
	return true
}

// serverChanged adapts the queue and the connections to a changed state of the backend server.
func (g *guard) serverChanged(previousID string, s *backend.Server) {
	if previousID != s.ID {
		g.pool.CloseIdle(s.Address)
	}
	if s.Ready() {
		g.queue.setSlots(s.Slots)
	} else {
		g.queue.drain()
	}
}

// heeds reports whether an announcement that a backend server leaves was applied.
func (g *guard) heeds(a platform.Announcement) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.server.Heeds(a)
}

// serve handles a call from another node.
func (g *guard) serve(w http.ResponseWriter, r *http.Request) {
	id := platform.ReadRequestHeader(r.Header).ID
	g.calls.add(id)
	defer g.calls.remove(id)
	g.activeCalls.Add(1) // until the whole answer is written, which may be streamed
	defer g.activeCalls.Add(-1)
	if g.n.memory.Full() {
		w.Header()["Connection"] = []string{"close"} // a body stands unread
		resp := hop.Refused(request.ReasonOverload, shortRetryAfter)
		resp.RetryElsewhere = true
		hop.WriteToNode(w, resp)
		return
	}
	c, err := hop.ReadCall(r, time.Now(), g.n.memory)
	if err != nil {
		g.log.Warn("call from a peer cannot be parsed", "event", "guard", "peer", r.RemoteAddr, "err", err)
		hop.WriteToNode(w, hop.Refused(request.ReasonBadRequest, 0))
		return
	}
	defer c.Body.Release()
	ctx := r.Context()
	if c.Body.Rest != nil { // the server does not watch the sending node until it is read
		var cancel context.CancelFunc
		ctx, cancel = presence.Watch(ctx)
		defer cancel()
	}
	endBody := c.AskForBody(w)
	resp := g.handle(ctx, c)
	defer resp.Close()
	endBody(resp)
	c.Body.LeaveUnread(w)
	if c.AskConfig {
		resp.Config = g.n.state.configFreshness()
	}
	if g.n.stopping.Load() || g.n.sockets.Scarce() {
		w.Header()["Connection"] = []string{"close"}
	}
	hop.WriteToNode(w, resp)
}

// handle runs a call at the backend server or refuses it.
func (g *guard) handle(ctx context.Context, c *hop.Call) *hop.Response {
	resp := g.admit(ctx, c)
	resp.Load = g.queue.load(c.Flow, c.Workspace == "")
	if resp.Work == nil {
		resp.Work = &hop.Work{}
	}
	g.queue.expectations(resp.Work, c.Workspace == "")
	resp.Hints = g.n.downstream.hints(c)
	resp.Backend = g.backendState(c)
	if resp.Refusal != nil {
		g.n.metrics.CountRefusal("guard", resp.Refusal)
	}
	if resp.Refusal != nil && resp.Refusal.Reason != request.ReasonElsewhere {
		g.n.requestLog.Info("call refused at the guard", "event", "refused", "id", c.ID, "route", c.Route,
			"reason", string(resp.Refusal.Reason), "outcome", resp.Refusal.Outcome.String(),
			"running", resp.Load.Running, "waiting", resp.Load.Queued, "wait", resp.Load.Wait)
	}
	return resp
}

// admit waits for a slot at the backend server and runs the call, or refuses it.
func (g *guard) admit(ctx context.Context, c *hop.Call) *hop.Response {
	if c.TargetLimit != nil {
		g.adoptRateLimit(c)
	}
	if _, _, resp := g.backendAddress(c); resp != nil {
		return resp
	}
	finish, refusal := g.n.crashes.start(c)
	if refusal != nil {
		return &hop.Response{Refusal: refusal}
	}
	arrived := time.Now()
	waitCtx, cancel := context.WithDeadline(ctx, c.Deadline)
	defer cancel()
	release, refusal := g.queue.acquire(waitCtx, c)
	waited := time.Since(arrived)
	if refusal != nil {
		g.n.histograms.queueWaits.Observe(c.Route, "refused", waited)
		finish(request.NotRun)
		if refusal.Reason == request.ReasonCallerLeft {
			g.n.recordCallerLeft(c, stageWaiting, "waited", waited)
		}
		if _, _, resp := g.backendAddress(c); resp != nil {
			return resp // the reason why the queue was emptied
		}
		return &hop.Response{Refusal: refusal, RetryElsewhere: true}
	}
	g.n.histograms.queueWaits.Observe(c.Route, "started", waited)
	// The backend server may have gone while the call waited.
	addr, incarnation, resp := g.backendAddress(c)
	if resp != nil {
		finish(request.NotRun)
		release(dispatch.Failed)
		return resp
	}
	started := time.Since(g.startedAt)
	g.n.downstream.requestStarted(c)
	sentAt := time.Now()
	resp, result := g.send(ctx, addr, incarnation, c)
	g.n.downstream.requestEnded(c)
	if resp.Condition != nil {
		g.applyCondition(c, backend.Response{
			Incarnation: incarnation, SentAt: sentAt, ReceivedAt: time.Now(), Run: resp.Refusal == nil, Condition: *resp.Condition,
		})
	}
	release(result)
	ran := time.Since(arrived) - waited
	resp.Work = &hop.Work{Waited: waited, Ran: ran}
	if result == dispatch.Served {
		g.queue.recordRun(c, ran, reportedSlowdown(resp))
	}
	g.n.histograms.runs.Observe(c.Route, resultLabels[resultKind(resp)], ran)
	g.logSlow(c, waited, ran)
	switch {
	case resp.Refusal != nil && resp.Refusal.Reason == request.ReasonCallerLeft && !resp.ReachedBackend:
		g.n.recordCallerLeft(c, stageUnsent, "waited", waited, "noticed", callerLeft(ctx))
	case callerLeft(ctx):
		g.n.recordCallerLeft(c, stageRunning, "waited", waited, "ran", ran)
	}
	resp.DownstreamFailed = resp.Refusal == nil && resp.Status >= 500 && g.lastCallFailure.Load() > int64(started)
	finish(outcome(resp))
	return resp
}

// outcome returns whether a call that was sent to the backend server has run.
func outcome(resp *hop.Response) request.Outcome {
	if resp.Refusal != nil {
		return resp.Refusal.Outcome
	}
	return request.Completed
}

// internalCallFailed records that an internal call of the backend server has failed.
// Internal calls do not identify the request that they belong to, so every request that
// is running now may fail because of it.
func (g *guard) internalCallFailed() { g.lastCallFailure.Store(int64(time.Since(g.startedAt))) }

// maxCrashRecordWait bounds how long a node that has started refuses calls because it knows no
// crash records. The store and all other nodes may be away.
const maxCrashRecordWait = 2 * time.Second

// crashRecordsKnown reports whether it is known which requests crash backend servers, as far as
// it can be. The caller holds guard.mu.
func (n *Node) crashRecordsKnown() bool {
	return n.settings.FirstStart || isClosed(n.state.crashesLoaded) || time.Since(n.guard.restoredAt) > maxCrashRecordWait
}

// backendAddress returns the address and the incarnation of the call's backend server, or a
// refusal if that is not the one beside the node or accepts no requests.
func (g *guard) backendAddress(c *hop.Call) (string, backend.Incarnation, *hop.Response) {
	g.mu.Lock()
	defer g.mu.Unlock()
	refuse := func(r request.Reason) (string, backend.Incarnation, *hop.Response) {
		resp := hop.Refused(r, 0)
		resp.RetryElsewhere = true
		return "", backend.Incarnation{}, resp
	}
	switch {
	case g.n.stopping.Load() || g.server.Known() && !g.server.Ready():
		return refuse(request.ReasonDraining)
	case g.evacuated():
		return refuse(request.ReasonEvacuated)
	case !g.restored || !g.n.crashRecordsKnown() || !g.server.Known() || g.server.ID != c.Target || time.Now().Before(g.unreachableUntil):
		return refuse(request.ReasonNoBackend)
	}
	return g.server.Address, g.server.Incarnation(), nil
}

// send sends the call to the backend server. A request that is not idempotent continues
// when its caller disconnects: cancelling it could leave it half done.
func (g *guard) send(ctx context.Context, addr string, incarnation backend.Incarnation, c *hop.Call) (*hop.Response, dispatch.Result) {
	if !c.Idempotent {
		ctx = context.WithoutCancel(ctx)
	}
	exchange, cancel := context.WithDeadline(ctx, c.Deadline.Add(responseGracePeriod))
	resp, err := g.pool.SendToBackend(exchange, addr, c)
	cancelOnClose(resp, cancel)
	switch {
	case err != nil:
		return g.backendFailed(ctx, addr, incarnation, c, err), dispatch.Failed
	case resp.Misdirected:
		g.refuted(incarnation, func(s *backend.Server) bool { return s.Misdirected(time.Now(), incarnation) })
		return resp, dispatch.Failed
	case resp.Refusal != nil && isFull(resp.ReportedLoad):
		if resp.ReportedLoad == nil {
			resp.Refusal.Reason = rejectedReason(resp.Refusal.Reason)
		}
		return resp, dispatch.AtCapacity
	case resp.Refusal != nil:
		resp.Refusal.Reason = rejectedReason(resp.Refusal.Reason)
		return resp, dispatch.Failed
	}
	return resp, dispatch.Served
}

// rejectedReason replaces the reason of a refusal by a backend server that does not report
// that it is full.
func rejectedReason(r request.Reason) request.Reason {
	if r == request.ReasonOverload {
		return request.ReasonRejected
	}
	return r
}

// reportedSlowdown returns the slowdown that the backend server reports; zero for none.
func reportedSlowdown(resp *hop.Response) float64 {
	if resp.ReportedLoad == nil {
		return 0
	}
	return resp.ReportedLoad.Slowdown
}

// isFull reports whether a backend server that refused a request had no free slot. One
// that reports no load is assumed to be full.
func isFull(l *platform.Load) bool { return l == nil || l.Waiting > 0 || l.Running >= l.Slots }

// backendFailed records a failed exchange with the backend server and returns the
// response to use.
func (g *guard) backendFailed(ctx context.Context, addr string, incarnation backend.Incarnation, c *hop.Call, err *hop.Error) *hop.Response {
	reason := request.ReasonBackendLost
	if err.ContextDone {
		reason = endReason(ctx, err)
	}
	if reason != request.ReasonCallerLeft { // which admit records
		g.n.requestLog.Warn("no answer from the backend server", "event", "backend_lost", "id", c.ID, "route", c.Route,
			"peer", addr, "sent", err.Sent, "reason", string(reason), "err", err.Err)
	}
	if err.Sent {
		if !err.ContextDone {
			g.checkCrashed(addr, incarnation)
		}
		return hop.MayHaveRun(reason)
	}
	switch { // these tell nothing about the backend server
	case err.ContextDone:
		return hop.Refused(reason, 0)
	case err.NoSocket:
		resp := hop.Refused(request.ReasonOverload, shortRetryAfter)
		resp.RetryElsewhere = true
		return resp
	}
	if !err.ConnRefused {
		g.mu.Lock()
		g.unreachableUntil = time.Now().Add(unreachablePause)
		g.mu.Unlock()
	}
	g.backendDown(incarnation)
	resp := hop.Refused(request.ReasonNoBackend, 0)
	resp.RetryElsewhere = true
	return resp
}

// checkCrashed records a crash with the requests that were running if nothing listens at
// the address of the backend server any more. Only a refused connection shows that: a backend
// server that runs resets connections or leaves them waiting when it has too many, and links
// fail too.
func (g *guard) checkCrashed(addr string, incarnation backend.Incarnation) {
	d := hop.NewDialer(backendDialTimeout)
	conn, err := d.Dial("tcp", addr)
	if err == nil {
		_ = conn.Close() // only the result of the dial matters
		return
	}
	if !errors.Is(err, syscall.ECONNREFUSED) {
		g.log.Info("backend server not reached after a lost answer", "event", "backend_lost", "peer", addr, "err", err)
		return
	}
	g.pool.CloseIdle(addr)
	g.backendDown(incarnation)
	g.recordCrash(err)
}

func (g *guard) recordCrash(err error) {
	if g.n.crashes.recordCrash() {
		g.log.Warn("backend server crashed", "event", "backend_died", "err", err)
	}
}

// cancelOnClose cancels the context of an exchange when the streamed rest of the response
// body is closed, or at once if the body is already complete.
func cancelOnClose(resp *hop.Response, cancel context.CancelFunc) {
	if resp != nil && resp.Rest != nil {
		resp.Rest = &cancellingBody{resp.Rest, cancel}
		return
	}
	cancel()
}

// cancellingBody cancels the context of an exchange when it is closed.
type cancellingBody struct {
	readCloser
	cancel context.CancelFunc
}

type readCloser interface {
	Read([]byte) (int, error)
	Close() error
}

// Close implements io.Closer.
func (c *cancellingBody) Close() error {
	defer c.cancel()
	return c.readCloser.Close()
}
