package guard

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/teaselseam/teaselseam/internal/call"
	"github.com/teaselseam/teaselseam/internal/control"
	"github.com/teaselseam/teaselseam/internal/request"
)

// Timers and limits towards the backend server.
const (
	backendDialTimeout = time.Second
	// backendIdleTimeout is below 5 s, the idle timeout of common HTTP servers. A
	// request that crosses the server's close may have run as far as the guard
	// can tell, and a new connection costs only about 1 ms.
	backendIdleTimeout = 4 * time.Second
	keepAliveInterval  = time.Second
	keepAliveProbes    = 3
	// announcementTimeout is the age at which an announcement no longer counts.
	announcementTimeout = 5 * time.Second
	// defaultConnections is used until the backend server announces its limit.
	defaultConnections = 100
	// maxDrained is the largest body of a refusal that is read to keep its
	// connection, in bytes.
	maxDrained = 4 << 10
	// shedRetry is when to try again after a refusal without a Retry-After.
	shedRetry = time.Second
)

// Backend is the backend server beside the node, as it announced itself.
type Backend struct {
	events Events

	mu      sync.Mutex // held to replace current
	current atomic.Pointer[announced]
}

// announced is one instance of the backend server with its connections.
type announced struct {
	control.Announcement
	received time.Time
	conns    *http.Transport
	lost     *atomic.Bool
	died     *sync.Once // shared by all announcements of an instance
}

// NewBackend returns a Backend without an announcement.
func NewBackend(events Events) *Backend { return &Backend{events: events} }

// Announce records an announcement. A new instance or address gets new
// connections, and the instance before it counts as dead.
func (b *Backend) Announce(a control.Announcement, now time.Time) {
	old := b.replace(a, now)
	fresh := old == nil || old.Instance != a.Instance
	if old != nil && fresh {
		b.die(old)
		old.conns.CloseIdleConnections()
	}
	if b.events.Announced != nil {
		b.events.Announced(a, fresh)
	}
}

// replace makes an announcement the current one and returns the one before it.
func (b *Backend) replace(a control.Announcement, now time.Time) (old *announced) {
	b.mu.Lock()
	defer b.mu.Unlock()
	next := &announced{Announcement: a, received: now, lost: &atomic.Bool{}}
	old = b.current.Load()
	if old != nil && old.Address == a.Address && old.Instance == a.Instance {
		next.conns, next.died = old.conns, old.died
	} else {
		next.conns, next.died = newConns(a.MaxConnections), &sync.Once{}
	}
	b.current.Store(next)
	return old
}

func newConns(maxConnections int) *http.Transport {
	if maxConnections <= 0 {
		maxConnections = defaultConnections
	}
	dialer := &net.Dialer{
		Timeout:         backendDialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: keepAliveProbes},
	}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &backendConn{Conn: conn}, nil
		},
		MaxConnsPerHost:     maxConnections,
		MaxIdleConnsPerHost: maxConnections,
		IdleConnTimeout:     backendIdleTimeout,
		DisableCompression:  true,
	}
}

// Draining reports whether the backend server said that it is leaving.
func (b *Backend) Draining() bool {
	a := b.current.Load()
	return a != nil && a.Announcement.Draining
}

// Serves reports whether a backend server of the service has announced itself
// recently.
func (b *Backend) Serves(service string) bool {
	a := b.current.Load()
	return a != nil && a.Service == service && !a.lost.Load() && time.Since(a.received) < announcementTimeout
}

// do sends a call to the backend server and reads its answer. An idempotent call
// whose connection has gone silent is sent once more, over a new connection, if
// the call's retry budget allows. A call that may not be repeated keeps waiting
// until its deadline, because a slow answer may still arrive.
func (b *Backend) do(ctx context.Context, c *call.Call, entry *Entry, rule silenceRule) (*call.Response, Result) {
	a := b.current.Load()
	if a == nil {
		return call.Refused(request.Refuse(request.ReasonNoBackend, time.Second)), Result{NotSent: true}
	}
	attempt, giveUp := context.WithCancel(ctx)
	trace := &sendTrace{}
	watch := &silenceWatch{rule: rule, trace: trace, probe: func() bool { return a.answersProbe(ctx) }}
	watch.onLost = func() {
		// Idle connections may have been lost the same way.
		a.conns.CloseIdleConnections()
		if c.Idempotent {
			giveUp()
		}
	}
	watch.start()
	resp, result := b.send(attempt, a, c, entry.Token, trace)
	silent := watch.stop()
	resp.WhenRead(func(bool) { giveUp() })
	if !silent || !c.Idempotent || resp.Refusal == nil || resp.Refusal.Outcome == request.NotRun || ctx.Err() != nil {
		return resp, result
	}
	if !entry.takeRetry() {
		return call.Refused(request.Unknown(request.ReasonBackendLost)), Result{Failed: true}
	}
	resp, result = b.send(ctx, a, c, entry.Token, &sendTrace{})
	result.Untimed = true
	return withEarlierRun(resp), result
}

// withEarlierRun makes a refusal allow for an earlier run of the same call.
func withEarlierRun(resp *call.Response) *call.Response {
	if resp.Refusal != nil {
		resp.Refusal.Outcome = request.MayHaveRun
	}
	return resp
}

func (b *Backend) send(ctx context.Context, a *announced, c *call.Call, token string, trace *sendTrace) (*call.Response, Result) {
	req, err := http.NewRequestWithContext(trace.with(ctx), c.Method, "http://"+a.Address+c.URI, nil)
	if err != nil {
		return call.Refused(request.Refuse(request.ReasonBadRequest, 0)), Result{NotSent: true}
	}
	setBackendHeaders(req.Header, c, token)
	call.SetBody(req, c.Body)
	// Not http.Client, which follows redirects and fails on a malformed Location.
	resp, err := a.conns.RoundTrip(req)
	if err != nil {
		notSent := trace.notSent()
		if ctx.Err() == nil {
			b.suspect(a, err)
		}
		return failure(ctx, notSent)
	}
	return b.read(ctx, a, c, resp)
}

func (b *Backend) read(ctx context.Context, a *announced, c *call.Call, resp *http.Response) (*call.Response, Result) {
	if saysNotRun(c, resp.Header) {
		// A body read to its end keeps the connection; what it says is not used.
		_, _ = io.CopyN(io.Discard, resp.Body, maxDrained)
		resp.Body.Close()
		return call.Refused(request.Refuse(request.ReasonOverload, retryAfter(resp.Header))), Result{Shed: true}
	}
	out := &call.Response{Status: resp.StatusCode, Header: call.WithoutOwn(resp.Header)}
	if err := out.Fill(c.Method, resp); err != nil {
		if ctx.Err() != nil {
			return failure(ctx, false)
		}
		b.suspect(a, err)
		return call.Refused(request.Unknown(request.ReasonBadAnswer)), Result{Failed: true}
	}
	streamed := out.Rest != nil
	out.WhenRead(func(whole bool) {
		if !whole {
			b.suspect(a, io.ErrUnexpectedEOF)
		}
	})
	shed := resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusTooManyRequests
	return out, Result{Shed: shed, Untimed: streamed}
}

// saysNotRun reports a backend server's own statement that it did not run the
// call. A refusal of a nested call that the backend server passes on with all
// headers says nothing about the call itself: it has a reason and the nested
// call's ID.
func saysNotRun(c *call.Call, h http.Header) bool {
	if h.Get(request.HeaderOutcome) != request.NotRun.String() || h.Get(request.HeaderReason) != "" {
		return false
	}
	id := h.Get(request.HeaderID)
	return id == "" || id == string(c.ID)
}

// setBackendHeaders passes on the caller's headers and adds the call's own. The
// key, its digest and the node headers never reach the backend server.
func setBackendHeaders(h http.Header, c *call.Call, token string) {
	c.CopyHeader(h)
	h.Set(request.HeaderID, string(c.ID))
	h.Set(request.HeaderRoot, string(c.Root))
	h.Set(request.HeaderWorkspace, c.Workspace)
	h.Set(request.HeaderImportance, c.Importance.String())
	h.Set(request.HeaderTimeout, call.FormatTimeout(time.Until(c.Deadline)))
	h.Set(request.HeaderCall, token)
}

// failure classifies a call without an answer.
func failure(ctx context.Context, notSent bool) (*call.Response, Result) {
	gaveUp := ctx.Err() != nil
	reason := request.ReasonBackendLost
	if gaveUp {
		reason = reasonOf(ctx)
	}
	if notSent {
		return call.Refused(request.Refuse(reason, 0)), Result{NotSent: true, Failed: !gaveUp}
	}
	return call.Refused(request.Unknown(reason)), Result{TimedOut: gaveUp, Failed: !gaveUp}
}

// reasonOf tells why a call's context ended.
func reasonOf(ctx context.Context) request.Reason {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return request.ReasonDeadline
	}
	return request.ReasonCancelled
}

func retryAfter(h http.Header) time.Duration {
	if d := call.ParseRetryAfter(h.Get("Retry-After"), time.Second); d > 0 {
		return d
	}
	return shedRetry
}
