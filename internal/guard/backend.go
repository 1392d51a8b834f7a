package guard

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
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
	backendIdleTimeout = time.Minute
	keepAliveInterval  = time.Second
	keepAliveProbes    = 3
	// announcementTimeout is the age at which an announcement no longer counts.
	announcementTimeout = 5 * time.Second
	// defaultConnections is used until the backend server announces its limit.
	defaultConnections = 100
)

// Backend is the backend server beside the node, as it announced itself.
type Backend struct {
	current atomic.Pointer[announced]
	events  Events
}

// announced is one instance of the backend server with its connections.
type announced struct {
	control.Announcement
	received time.Time
	client   *http.Client
	lost     *atomic.Bool
	died     *sync.Once // shared by all announcements of an instance
}

// NewBackend returns a Backend without an announcement.
func NewBackend(events Events) *Backend { return &Backend{events: events} }

// Announce records an announcement. A new instance or address gets new
// connections, and the instance before it counts as dead.
func (b *Backend) Announce(a control.Announcement, now time.Time) {
	next := &announced{Announcement: a, received: now, lost: &atomic.Bool{}}
	old := b.current.Load()
	if old != nil && old.Address == a.Address && old.Instance == a.Instance {
		next.client, next.died = old.client, old.died
	} else {
		next.client, next.died = newBackendClient(a.MaxConnections), &sync.Once{}
	}
	b.current.Store(next)
	if old != nil && old.Instance != a.Instance {
		b.die(old)
	}
	if b.events.Announced != nil {
		b.events.Announced(a, old == nil || old.Instance != a.Instance)
	}
}

func newBackendClient(maxConnections int) *http.Client {
	if maxConnections <= 0 {
		maxConnections = defaultConnections
	}
	dialer := &net.Dialer{
		Timeout:         backendDialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: keepAliveProbes},
	}
	return &http.Client{
		Transport: &http.Transport{
			DialContext:         dialer.DialContext,
			MaxConnsPerHost:     maxConnections,
			MaxIdleConnsPerHost: maxConnections,
			IdleConnTimeout:     backendIdleTimeout,
			DisableCompression:  true,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
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
// whose connection has gone silent is sent again, once, over a new connection.
func (b *Backend) do(ctx context.Context, c *call.Call, token string, silence silenceRule) (*call.Response, Result) {
	a := b.current.Load()
	if a == nil {
		return call.Refused(request.Refuse(request.ReasonNoBackend, time.Second)), Result{NotSent: true}
	}
	var silent atomic.Bool
	attempt, giveUp := context.WithCancel(ctx)
	if c.Idempotent {
		watch := time.AfterFunc(silence.after, func() {
			if silence.applies() && a.answersProbe(ctx) {
				silent.Store(true)
				giveUp()
			}
		})
		defer watch.Stop()
	}
	resp, result := b.send(attempt, a, c, token)
	if !silent.Load() || resp.Refusal == nil || ctx.Err() != nil {
		return endWith(resp, giveUp), result
	}
	giveUp()
	// Idle connections may have been lost the same way.
	a.client.CloseIdleConnections()
	return b.send(ctx, a, c, token)
}

// endWith calls end when the response has been read.
func endWith(resp *call.Response, end func()) *call.Response {
	if resp.Rest == nil {
		end()
		return resp
	}
	resp.Rest = &closer{ReadCloser: resp.Rest, onClose: end}
	return resp
}

func (b *Backend) send(ctx context.Context, a *announced, c *call.Call, token string) (*call.Response, Result) {
	trace := &sendTrace{}
	req, err := http.NewRequestWithContext(trace.with(ctx), c.Method, "http://"+a.Address+c.URI, call.Body(c.Body))
	if err != nil {
		return call.Refused(request.Refuse(request.ReasonBadRequest, 0)), Result{NotSent: true}
	}
	req.ContentLength = int64(len(c.Body))
	setBackendHeaders(req, c, token)
	resp, err := a.client.Do(req)
	if err != nil {
		if ctx.Err() == nil {
			b.suspect(a, err)
		}
		return failure(ctx, trace)
	}
	return b.read(ctx, a, resp)
}

func (b *Backend) read(ctx context.Context, a *announced, resp *http.Response) (*call.Response, Result) {
	if resp.Header.Get(request.HeaderOutcome) == request.NotRun.String() {
		resp.Body.Close()
		return call.Refused(request.Refuse(request.ReasonOverload, retryAfter(resp.Header))), Result{Shed: true}
	}
	out := &call.Response{Status: resp.StatusCode, Header: call.WithoutOwn(resp.Header)}
	if err := out.Fill(resp); err != nil {
		if ctx.Err() == nil {
			b.suspect(a, err)
		}
		return call.Refused(request.Unknown(request.ReasonBadAnswer)), Result{Failed: true}
	}
	shed := resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusTooManyRequests
	return out, Result{Shed: shed}
}

// setBackendHeaders passes on the caller's headers and adds the call's own. The
// key, its digest and the node headers never reach the backend server.
func setBackendHeaders(req *http.Request, c *call.Call, token string) {
	for name, values := range c.Header {
		req.Header[name] = values
	}
	req.Header.Set(request.HeaderID, string(c.ID))
	req.Header.Set(request.HeaderRoot, string(c.Root))
	req.Header.Set(request.HeaderWorkspace, c.Workspace)
	req.Header.Set(request.HeaderImportance, c.Importance.String())
	req.Header.Set(request.HeaderTimeout, strconv.FormatInt(time.Until(c.Deadline).Milliseconds(), 10))
	req.Header.Set(request.HeaderCall, token)
	if _, ok := req.Header["User-Agent"]; !ok {
		req.Header["User-Agent"] = nil // otherwise net/http adds its own
	}
}

// failure classifies a call without an answer. It did not run if no connection
// was handed out for it.
func failure(ctx context.Context, trace *sendTrace) (*call.Response, Result) {
	gaveUp := ctx.Err() != nil
	reason := request.ReasonBackendLost
	if gaveUp {
		reason = reasonOf(ctx)
	}
	if !trace.written() {
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
	seconds, err := strconv.Atoi(h.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return time.Second
	}
	return time.Duration(seconds) * time.Second
}
