package ingress_test

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/teaselseam/teaselseam/internal/call"
	"github.com/teaselseam/teaselseam/internal/changelog"
	"github.com/teaselseam/teaselseam/internal/control"
	"github.com/teaselseam/teaselseam/internal/guard"
	"github.com/teaselseam/teaselseam/internal/ingress"
	"github.com/teaselseam/teaselseam/internal/membership"
	"github.com/teaselseam/teaselseam/internal/obs"
	"github.com/teaselseam/teaselseam/internal/request"
	"github.com/teaselseam/teaselseam/internal/settings"
	"github.com/teaselseam/teaselseam/internal/workspace"
)

const (
	testKey     = "tsk_testtesttesttesttesttesttesttest"
	incarnation = "incarnation"
	testTree    = "[route idem]\npath = /idem\nservice = echo\nidempotent = true\ntimeout = 5s\n" +
		"[route once]\npath = /once\nservice = echo\nidempotent = false\ntimeout = 1s\n" +
		"[service echo]\nprogress_timeout = 50ms\nmax_body = 1000\n"
)

// fakeControl is the control state; queued calls see its changes.
type fakeControl struct {
	snap  atomic.Pointer[control.Snapshot]
	stale atomic.Bool
}

func (c *fakeControl) Snapshot() *control.Snapshot                    { return c.snap.Load() }
func (c *fakeControl) Fresh(time.Time) bool                           { return !c.stale.Load() }
func (c *fakeControl) Announce(context.Context, control.Announcement) {}

func (c *fakeControl) change(edit func(*control.Snapshot)) {
	next := *c.snap.Load()
	edit(&next)
	c.snap.Store(&next)
}

// fakeLimiter admits a call when admit is closed, and counts calls under way.
type fakeLimiter struct {
	waiting chan struct{}
	admit   chan struct{}
	running atomic.Int64
	refuse  atomic.Bool
}

func (l *fakeLimiter) Load() call.Load            { return call.Load{} }
func (l *fakeLimiter) ServiceTime() time.Duration { return 0 }

func (l *fakeLimiter) Acquire(ctx context.Context, _ *call.Call) (func(guard.Result), *request.Refusal) {
	if l.refuse.Load() {
		r := request.Refuse(request.ReasonOverload, time.Second)
		return nil, &r
	}
	select {
	case l.waiting <- struct{}{}:
	default:
	}
	select {
	case <-l.admit:
	case <-ctx.Done():
		r := request.Refuse(request.ReasonDeadline, 0)
		return nil, &r
	}
	l.running.Add(1)
	return func(guard.Result) { l.running.Add(-1) }, nil
}

// fakeClaims grants each ID once until it is released.
type fakeClaims struct{ taken sync.Map }

type fakeClaim struct{ release func() }

func (c fakeClaim) Start() bool { return true }
func (c fakeClaim) Release()    { c.release() }

func (f *fakeClaims) Acquire(_ context.Context, id request.ID) (guard.Claim, *request.Refusal) {
	if _, taken := f.taken.LoadOrStore(id, true); taken {
		r := request.Unknown(request.ReasonDuplicate)
		return nil, &r
	}
	return fakeClaim{func() { f.taken.Delete(id) }}, nil
}

// lockedBuffer collects the log.
type lockedBuffer struct {
	mu sync.Mutex
	bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.Buffer.Write(p)
}

func (b *lockedBuffer) text() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.String()
}

// fixture is a node over loopback, with a backend server at an address.
type fixture struct {
	ctl     *fakeControl
	limiter *fakeLimiter
	backend *guard.Backend
	guard   *guard.Guard
	url     string
	log     lockedBuffer
}

func newFixture(tb testing.TB, backendAddress string, viaPeer bool) *fixture {
	tree, err := settings.Parse("test", []byte(testTree))
	if err != nil {
		tb.Fatal(err)
	}
	f := &fixture{ctl: &fakeControl{}, limiter: &fakeLimiter{waiting: make(chan struct{}, 1), admit: make(chan struct{})}}
	close(f.limiter.admit)
	f.ctl.snap.Store(&control.Snapshot{
		State:    &changelog.State{},
		Settings: settings.Compile(tree),
		Keys:     workspace.NewKeys().Issue(workspace.DigestOf(testKey), "guild"),
		Self:     membership.Member{ID: "n1", Incarnation: incarnation, DataCentre: "dc1"},
	})
	log := f.logger()
	if _, bench := tb.(*testing.B); bench {
		log = f.quiet()
	}
	f.backend = guard.NewBackend(guard.Events{})
	f.backend.Announce(control.Announcement{Service: "echo", Address: backendAddress, Instance: "i1"}, time.Now())
	f.guard = guard.New(log, incarnation, f.ctl, f.backend, guard.Parts{
		Limiter: f.limiter, Rate: openParts{}, Claims: &fakeClaims{}, Quarantine: openParts{},
	})
	target := f.ctl.Snapshot().Self
	peers := httptest.NewUnstartedServer(f.guard)
	peers.EnableHTTP2 = true
	peers.StartTLS()
	tb.Cleanup(peers.Close)
	if viaPeer {
		target.ID, target.PeerAddress = "n2", peers.Listener.Addr().String()
	}
	f.ctl.change(func(s *control.Snapshot) {
		s.Members = []membership.Member{target}
		s.ByService = map[string][]membership.Member{"echo": {target}}
	})
	in := ingress.New(log, f.ctl, f.guard, f.backend, ingress.NewForwarder(log, peers.Client()), ingress.NewServices(),
		ingress.NewPressureTable(func(string) float64 { return 1 }), obs.NewMetrics())
	server := httptest.NewServer(in)
	tb.Cleanup(server.Close)
	f.url = server.URL
	return f
}

func (f *fixture) logger() *slog.Logger {
	return slog.New(slog.NewTextHandler(&f.log, &slog.HandlerOptions{Level: slog.LevelDebug}))
}

// quiet is a logger at the level of a node in production.
func (f *fixture) quiet() *slog.Logger { return slog.New(slog.NewTextHandler(&f.log, nil)) }

// answer is what a caller sees.
type answer struct {
	status  int
	header  http.Header
	body    string
	reason  string
	outcome string
	err     error // of sending the request or reading the body
}

// send sends a request with the test key and further headers.
func (f *fixture) send(tb testing.TB, method, path, body string, headers ...string) answer {
	tb.Helper()
	req, err := http.NewRequest(method, f.url+path, strings.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	req.Header.Set(request.HeaderKey, testKey)
	for i := 0; i < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	h := resp.Header
	return answer{resp.StatusCode, h, string(data), h.Get(request.HeaderReason), h.Get(request.HeaderOutcome), err}
}

// listen serves each connection with handle until the test ends.
func listen(tb testing.TB, handle func(net.Conn)) (address string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go handle(conn)
		}
	}()
	return l.Addr().String()
}

// handled is the address of a backend server with a handler.
func handled(tb testing.TB, h http.HandlerFunc) (address string) {
	s := httptest.NewServer(h)
	tb.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

// openParts admit everything.
type openParts struct{}

func (openParts) Take(context.Context, string) (func(), *request.Refusal) { return func() {}, nil }

func (openParts) Start(*call.Call) (func(bool), *request.Refusal) { return func(bool) {}, nil }
