package hop

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/teaselseam/teaselseam/internal/pressure"
	"github.com/teaselseam/teaselseam/internal/request"
	"github.com/teaselseam/teaselseam/internal/sockets"
)

// scriptedServer is a test server that handles each request with the next script of
// its list, over all connections; the last one repeats.
type scriptedServer struct {
	addr  string
	conns atomic.Int64
}

// script handles a request and returns whether to keep the connection open.
type script func(c net.Conn, r *http.Request) (keep bool)

func serve(t *testing.T, scripts ...script) *scriptedServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &scriptedServer{addr: l.Addr().String()}
	var next atomic.Int64
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.conns.Add(1)
			go func() {
				defer c.Close()
				r := bufio.NewReader(c)
				for {
					req, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					i := min(int(next.Add(1))-1, len(scripts)-1)
					if !scripts[i](c, req) {
						return
					}
					io.Copy(io.Discard, req.Body)
				}
			}()
		}
	}()
	return s
}

// nodeLine is a header by which a response is known to be from a node.
var nodeLine = loadHeader + ": " + pressure.EncodeLoad(pressure.Load{}) + "\r\n"

// response returns a response that a node or a backend server may send.
func response(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%sRequest-Id: %s\r\nResponse-Signature: x\r\nContent-Length: %d\r\n\r\n%s", nodeLine, id, len(body), body)
}

// respond returns a script that writes s.
func respond(s string) script {
	return func(c net.Conn, _ *http.Request) bool {
		io.WriteString(c, s)
		return true
	}
}

func newCall(id, body string) *Call {
	return &Call{
		ID: id, Method: http.MethodPost, URI: "/a/b?c=d", Host: "shop.example", Header: http.Header{"Request-Id": {id}},
		Body: Body{Data: []byte(body), Length: int64(len(body))}, Caller: "portal", Target: "i-1",
		Deadline: time.Now().Add(2 * time.Second),
	}
}

func toBackend(t *testing.T, p *Pool, addr string, c *Call) (*Response, *Error) {
	t.Helper()
	ctx, cancel := context.WithDeadline(context.Background(), c.Deadline)
	defer cancel()
	return p.SendToBackend(ctx, addr, c)
}

func newTestPool() *Pool { return NewPool(time.Second, time.Minute, sockets.New(0)) }

// TestBadAnswers guards against accepting a response that is truncated, malformed or
// not from the backend server itself, and against reusing its connection.
func TestBadAnswers(t *testing.T) {
	cases := map[string]string{
		"cut":        "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nResponse-Signature: x\r\nContent-Length: 10\r\n\r\nabc",
		"cut chunks": "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nResponse-Signature: x\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\n",
		"garbage":    "\x00\x01 no answer\r\n\r\n",
		"no id":      "HTTP/1.1 200 OK\r\nResponse-Signature: x\r\nContent-Length: 1\r\n\r\na",
		"unsigned":   "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Length: 1\r\n\r\na",
		"encoded":    "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nResponse-Signature: x\r\nContent-Encoding: gzip\r\nContent-Length: 1\r\n\r\na",
	}
	for name, text := range cases {
		t.Run(name, func(t *testing.T) {
			s := serve(t, func(c net.Conn, _ *http.Request) bool {
				io.WriteString(c, text)
				// The node must close the connection by itself: the peer may do so late.
				time.Sleep(20 * time.Millisecond)
				return false
			}, respond(response("r2", "ok")))
			p := newTestPool()
			if resp, err := toBackend(t, p, s.addr, newCall("r1", "x")); err == nil || !err.Sent {
				t.Fatalf("got %+v, %v; want an error with Sent set", resp, err)
			}
			if resp, err := toBackend(t, p, s.addr, newCall("r2", "x")); err != nil || string(resp.Body) != "ok" {
				t.Fatalf("next request: %+v, %v", resp, err)
			}
			if n := s.conns.Load(); n != 2 {
				t.Errorf("%d connections, want 2: a new one for the second request", n)
			}
		})
	}
}

// TestCrossedAnswer guards against returning a late response to an earlier request,
// and against reusing the connection on which it arrived.
func TestCrossedAnswer(t *testing.T) {
	s := serve(t, respond(response("r0", "other")+response("r1", "own")))
	p := newTestPool()
	resp, err := toBackend(t, p, s.addr, newCall("r1", "x"))
	if err != nil || string(resp.Body) != "own" {
		t.Fatalf("got %+v, %v", resp, err)
	}
	if len(p.idle[s.addr]) != 0 {
		t.Error("the connection is kept for reuse")
	}
}

// TestExtraAnswer guards against taking a duplicate response for the response to the
// next request, whether it arrives at once or while the connection is idle.
func TestExtraAnswer(t *testing.T) {
	for _, late := range []time.Duration{0, 50 * time.Millisecond} {
		s := serve(t, func(c net.Conn, _ *http.Request) bool {
			io.WriteString(c, response("r1", "one"))
			time.Sleep(late)
			io.WriteString(c, response("r1", "one"))
			return true
		}, respond(response("r2", "two")))
		p := newTestPool()
		if resp, err := toBackend(t, p, s.addr, newCall("r1", "x")); err != nil || string(resp.Body) != "one" {
			t.Fatalf("first request: %+v, %v", resp, err)
		}
		time.Sleep(100 * time.Millisecond)
		if resp, err := toBackend(t, p, s.addr, newCall("r2", "x")); err != nil || string(resp.Body) != "two" {
			t.Fatalf("second request, duplicate after %v: %+v, %v", late, resp, err)
		}
		if n := s.conns.Load(); n != 2 {
			t.Errorf("duplicate after %v: %d connections, want 2", late, n)
		}
	}
}

// TestClosedIdle guards against sending a request on an idle connection that the peer
// has closed. Its failure would be reported as a request that may have run.
func TestClosedIdle(t *testing.T) {
	s := serve(t, func(c net.Conn, _ *http.Request) bool {
		io.WriteString(c, response("r1", "one"))
		return false
	}, respond(response("r2", "two")))
	p := newTestPool()
	if _, err := toBackend(t, p, s.addr, newCall("r1", "x")); err != nil {
		t.Fatal(err)
	}
	time.Sleep(50 * time.Millisecond)
	if resp, err := toBackend(t, p, s.addr, newCall("r2", "x")); err != nil || string(resp.Body) != "two" {
		t.Fatalf("got %+v, %v", resp, err)
	}
}

// TestReuse guards against opening a new connection for each request.
func TestReuse(t *testing.T) {
	s := serve(t, func(c net.Conn, r *http.Request) bool {
		io.WriteString(c, response(r.Header.Get("Request-Id"), "ok"))
		return true
	})
	p := newTestPool()
	for i := range 5 {
		if _, err := toBackend(t, p, s.addr, newCall(fmt.Sprint("r", i), "x")); err != nil {
			t.Fatal(err)
		}
	}
	if n := s.conns.Load(); n != 1 {
		t.Errorf("%d connections for 5 requests, want 1", n)
	}
}

// TestKeepAliveTime guards against sending a request on a connection that the backend
// server is about to close according to its Keep-Alive header.
func TestKeepAliveTime(t *testing.T) {
	s := serve(t, respond("HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nResponse-Signature: x\r\nKeep-Alive: timeout=1\r\nContent-Length: 0\r\n\r\n"))
	p := newTestPool()
	if _, err := toBackend(t, p, s.addr, newCall("r1", "x")); err != nil {
		t.Fatal(err)
	}
	p.Sweep(time.Now().Add(700 * time.Millisecond))
	if len(p.idle[s.addr]) != 0 {
		t.Error("the connection is kept within 500 ms of the idle timeout announced by the peer")
	}
}

// TestEarlyAnswer guards against reusing a connection whose request body was not
// fully written, where the peer would take the next request for the rest of the body,
// and against waiting for a backend server that responds without reading the body.
func TestEarlyAnswer(t *testing.T) {
	refuse := "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: r1\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
	s := serve(t, func(c net.Conn, _ *http.Request) bool {
		io.WriteString(c, refuse)
		time.Sleep(time.Second) // does not read the body
		return false
	})
	p := newTestPool()
	start := time.Now()
	resp, err := toBackend(t, p, s.addr, newCall("r1", strings.Repeat("x", 8<<20)))
	if err != nil || resp.Refusal == nil || resp.Refusal.Outcome != request.NotRun || !resp.ReachedBackend {
		t.Fatalf("got %+v, %v", resp, err)
	}
	if took := time.Since(start); took > 700*time.Millisecond {
		t.Errorf("the refusal took %v", took)
	}
	if len(p.idle[s.addr]) != 0 {
		t.Error("the connection is kept for reuse")
	}
}

// TestUnframed guards against rejecting a response without a length, which ends when
// the connection is closed.
func TestUnframed(t *testing.T) {
	s := serve(t, func(c net.Conn, _ *http.Request) bool {
		io.WriteString(c, "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nResponse-Signature: x\r\n\r\nwhole")
		return false
	})
	resp, err := toBackend(t, newTestPool(), s.addr, newCall("r1", "x"))
	if err != nil || string(resp.Body) != "whole" {
		t.Fatalf("got %+v, %v", resp, err)
	}
}

// TestUnframedReset guards against taking a response without a length for complete
// when the connection was reset before its end.
func TestUnframedReset(t *testing.T) {
	s := serve(t, func(c net.Conn, _ *http.Request) bool {
		io.WriteString(c, "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nResponse-Signature: x\r\n\r\npart")
		time.Sleep(50 * time.Millisecond)
		c.(*net.TCPConn).SetLinger(0)
		return false
	})
	if resp, err := toBackend(t, newTestPool(), s.addr, newCall("r1", "x")); err == nil {
		t.Fatalf("got %+v, want an error", resp)
	}
}

// TestNothingListens guards against reporting a request as possibly run when the
// connection was refused and nothing was sent.
func TestNothingListens(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := l.Addr().String()
	l.Close()
	_, callErr := toBackend(t, newTestPool(), addr, newCall("r1", "x"))
	if callErr == nil || callErr.Sent || !callErr.ConnRefused {
		t.Fatalf("got %+v", callErr)
	}
}

// TestMisdirected guards against treating a call as run when another backend server
// now listens at the address and rejects the call as misdirected.
func TestMisdirected(t *testing.T) {
	s := serve(t, respond("HTTP/1.1 421 Misdirected Request\r\nRequest-Id: r1\r\nInstance-Id: i-2\r\nContent-Length: 0\r\n\r\n"))
	resp, err := toBackend(t, newTestPool(), s.addr, newCall("r1", "x"))
	if err != nil || resp.Refusal == nil || resp.Refusal.Outcome != request.NotRun {
		t.Fatalf("got %+v, %v", resp, err)
	}
}

// TestHeadersForBackend guards against passing the workspace key on to the backend
// server, and against passing on a workspace, caller, target or deadline forged by the
// caller.
func TestHeadersForBackend(t *testing.T) {
	got := make(chan *http.Request, 1)
	s := serve(t, func(c net.Conn, r *http.Request) bool {
		body, _ := io.ReadAll(r.Body)
		r.Body = io.NopCloser(strings.NewReader(string(body)))
		got <- r
		io.WriteString(c, response("r1", ""))
		return false
	})
	c := newCall("r1", "payload")
	c.Workspace = "guild"
	c.Header = http.Header{
		"Authorization": {"Bearer secret"}, "Tenant": {"forged"}, "Caller-Service": {"forged"},
		"Target-Instance": {"forged"}, "Deadline-Ms": {"999999"}, "X-Other": {"kept"}, "Request-Id": {"r1"},
	}
	if _, err := toBackend(t, newTestPool(), s.addr, c); err != nil {
		t.Fatal(err)
	}
	r := <-got
	want := map[string]string{
		"Authorization": "", "Tenant": "guild", "Caller-Service": "portal", "Target-Instance": "i-1",
		"X-Other": "kept", "Request-Id": "r1",
	}
	for name, value := range want {
		if r.Header.Get(name) != value {
			t.Errorf("header %s is %q, want %q", name, r.Header.Get(name), value)
		}
	}
	if r.RequestURI != "/a/b?c=d" || r.Host != "shop.example" || r.Method != http.MethodPost {
		t.Errorf("request is %s %s for host %s", r.Method, r.RequestURI, r.Host)
	}
	if body, _ := io.ReadAll(r.Body); string(body) != "payload" {
		t.Errorf("body is %q", body)
	}
	if ms := r.Header.Get("Deadline-Ms"); len(ms) > 4 {
		t.Errorf("deadline is %s ms, want at most the time left", ms)
	}
}

// TestCancel guards against leaving the connection to the backend server open after
// the caller has cancelled the request.
func TestCancel(t *testing.T) {
	closed := make(chan struct{})
	s := serve(t, func(c net.Conn, _ *http.Request) bool {
		c.Read(make([]byte, 1))
		close(closed)
		return false
	})
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(50*time.Millisecond, cancel)
	if _, err := newTestPool().SendToBackend(ctx, s.addr, newCall("r1", "")); err == nil || !err.Sent {
		t.Fatalf("got %v", err)
	}
	select {
	case <-closed:
	case <-time.After(time.Second):
		t.Error("the connection to the backend server was not closed")
	}
}

// TestCallHeader guards against losing a field of a call between nodes, and against
// accepting a malformed call header.
func TestCallHeader(t *testing.T) {
	now := time.Now()
	c := newCall("r1", "")
	c.Route, c.Service, c.Workspace = "r 1;x", "stock", "guild & co"
	c.Importance, c.Idempotent, c.TargetLatency = request.High, true, 300*time.Millisecond
	var got Call
	if err := got.decode(c.encode(now), now); err != nil {
		t.Fatal(err)
	}
	if got.Route != c.Route || got.Service != c.Service || got.Workspace != c.Workspace || got.Caller != c.Caller ||
		got.Target != c.Target || got.Importance != c.Importance || !got.Idempotent || got.TargetLatency != c.TargetLatency {
		t.Errorf("got %+v, want %+v", got, *c)
	}
	if left := got.Deadline.Sub(now); left <= 0 || left > 2*time.Second {
		t.Errorf("%v left until the deadline, want more than 0 and at most 2s", left)
	}
	for _, bad := range []string{"", "1 2 3", "9 1 5 5 a b c d e", "x 1 5 5 a b c d e", "1 1 5 5 %zz b c d e"} {
		if err := new(Call).decode(bad, now); err == nil {
			t.Errorf("%q was accepted", bad)
		}
	}
}

// TestForgottenConnection guards against failing a non-idempotent request on an idle
// connection that the backend server has dropped without closing it: the next request
// on it is reset.
func TestForgottenConnection(t *testing.T) {
	var used sync.Map
	s := serve(t, func(c net.Conn, r *http.Request) bool {
		if _, again := used.LoadOrStore(c, true); again {
			c.(*net.TCPConn).SetLinger(0)
			return false
		}
		io.WriteString(c, response(r.Header.Get("Request-Id"), "ok"))
		return true
	})
	p := newTestPool()
	for i := range 3 {
		if resp, err := toBackend(t, p, s.addr, newCall(fmt.Sprint("r", i), "x")); err != nil || string(resp.Body) != "ok" {
			t.Fatalf("request %d: %+v, %v", i, resp, err)
		}
		time.Sleep(2 * maxIdleNonIdempotent)
	}
	if n := s.conns.Load(); n != 3 {
		t.Errorf("%d connections for 3 non-idempotent requests, want 3", n)
	}
}

// TestReuseAfterDeadline guards against opening a new connection for each of several short
// exchanges, because the deadline of the one before it still holds for an idle connection.
func TestReuseAfterDeadline(t *testing.T) {
	s := serve(t, func(c net.Conn, r *http.Request) bool {
		io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		return true
	})
	p := newTestPool()
	for range 3 {
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		if _, err := p.Post(ctx, s.addr, "/", nil); err != nil {
			t.Fatal(err)
		}
		cancel()
		time.Sleep(100 * time.Millisecond)
	}
	if n := s.conns.Load(); n != 1 {
		t.Errorf("%d connections for 3 exchanges, want 1", n)
	}
}
