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

	"github.com/teaselseam/teaselseam/internal/request"
)

// scripted is a server that answers each request on a connection by the next
// script of its list; the last one repeats.
type scripted struct {
	addr  string
	conns atomic.Int64
}

type script func(c net.Conn, r *http.Request) (keep bool)

func serve(t *testing.T, scripts ...script) *scripted {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &scripted{addr: l.Addr().String()}
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

func answer(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Signature: x\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func send(s string) script {
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

func newTestPool() *Pool { return NewPool(time.Second, time.Minute) }

// TestBadAnswers guards against an answer that is not the backend server's own
// whole answer to this request, and against using its connection again.
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
				return false
			}, send(answer("r2", "ok")))
			p := newTestPool()
			if a, err := toBackend(t, p, s.addr, newCall("r1", "x")); err == nil || !err.Sent {
				t.Fatalf("got %+v, %v; want the error of a request that was sent", a, err)
			}
			if a, err := toBackend(t, p, s.addr, newCall("r2", "x")); err != nil || string(a.Body) != "ok" {
				t.Fatalf("next request: %+v, %v", a, err)
			}
			if n := s.conns.Load(); n != 2 {
				t.Errorf("%d connections, want a new one for the second request", n)
			}
		})
	}
}

// TestCrossedAnswer guards against giving a caller the late answer to an earlier
// request.
func TestCrossedAnswer(t *testing.T) {
	s := serve(t, send(answer("r0", "other")+answer("r1", "own")))
	p := newTestPool()
	a, err := toBackend(t, p, s.addr, newCall("r1", "x"))
	if err != nil || string(a.Body) != "own" {
		t.Fatalf("got %+v, %v", a, err)
	}
	if len(p.idle[s.addr]) != 0 {
		t.Error("the connection would be used again")
	}
}

// TestExtraAnswer guards against a second answer that is taken for the answer to
// the next request, whether it arrives at once or while the connection is idle.
func TestExtraAnswer(t *testing.T) {
	for _, late := range []time.Duration{0, 50 * time.Millisecond} {
		s := serve(t, func(c net.Conn, _ *http.Request) bool {
			io.WriteString(c, answer("r1", "one"))
			time.Sleep(late)
			io.WriteString(c, answer("r1", "one"))
			return true
		}, send(answer("r2", "two")))
		p := newTestPool()
		if a, err := toBackend(t, p, s.addr, newCall("r1", "x")); err != nil || string(a.Body) != "one" {
			t.Fatalf("first: %+v, %v", a, err)
		}
		time.Sleep(100 * time.Millisecond)
		if a, err := toBackend(t, p, s.addr, newCall("r2", "x")); err != nil || string(a.Body) != "two" {
			t.Fatalf("second after %v: %+v, %v", late, a, err)
		}
		if n := s.conns.Load(); n != 2 {
			t.Errorf("after %v: %d connections, want 2", late, n)
		}
	}
}

// TestClosedIdle guards against sending on a connection that the other side has
// closed: the request might seem to have run.
func TestClosedIdle(t *testing.T) {
	s := serve(t, func(c net.Conn, _ *http.Request) bool {
		io.WriteString(c, answer("r1", "one"))
		return false
	}, send(answer("r2", "two")))
	p := newTestPool()
	if _, err := toBackend(t, p, s.addr, newCall("r1", "x")); err != nil {
		t.Fatal(err)
	}
	time.Sleep(50 * time.Millisecond)
	if a, err := toBackend(t, p, s.addr, newCall("r2", "x")); err != nil || string(a.Body) != "two" {
		t.Fatalf("got %+v, %v", a, err)
	}
}

// TestReuse guards against a new connection for each request.
func TestReuse(t *testing.T) {
	s := serve(t, func(c net.Conn, r *http.Request) bool {
		io.WriteString(c, answer(r.Header.Get("Request-Id"), "ok"))
		return true
	})
	p := newTestPool()
	for i := range 5 {
		if _, err := toBackend(t, p, s.addr, newCall(fmt.Sprint("r", i), "x")); err != nil {
			t.Fatal(err)
		}
	}
	if n := s.conns.Load(); n != 1 {
		t.Errorf("%d connections for 5 requests", n)
	}
}

// TestKeepAliveTime guards against a request on a connection that the backend
// server is about to close.
func TestKeepAliveTime(t *testing.T) {
	s := serve(t, send("HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nResponse-Signature: x\r\nKeep-Alive: timeout=1\r\nContent-Length: 0\r\n\r\n"))
	p := newTestPool()
	if _, err := toBackend(t, p, s.addr, newCall("r1", "x")); err != nil {
		t.Fatal(err)
	}
	p.Sweep(time.Now().Add(700 * time.Millisecond))
	if len(p.idle[s.addr]) != 0 {
		t.Error("the connection is kept for longer than half a second before its end")
	}
}

// TestEarlyAnswer guards against taking the rest of a long body for the next
// request, and against waiting for a backend server that does not read it.
func TestEarlyAnswer(t *testing.T) {
	refuse := "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: r1\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
	s := serve(t, func(c net.Conn, _ *http.Request) bool {
		io.WriteString(c, refuse)
		time.Sleep(time.Second) // reads nothing
		return false
	})
	p := newTestPool()
	began := time.Now()
	a, err := toBackend(t, p, s.addr, newCall("r1", strings.Repeat("x", 8<<20)))
	if err != nil || a.Refusal == nil || a.Refusal.Outcome != request.NotRun || !a.ReachedBackend {
		t.Fatalf("got %+v, %v", a, err)
	}
	if took := time.Since(began); took > 700*time.Millisecond {
		t.Errorf("the refusal took %v", took)
	}
	if len(p.idle[s.addr]) != 0 {
		t.Error("the connection would be used again")
	}
}

// TestUnframed guards against rejecting an answer that ends with its connection.
func TestUnframed(t *testing.T) {
	s := serve(t, func(c net.Conn, _ *http.Request) bool {
		io.WriteString(c, "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nResponse-Signature: x\r\n\r\nwhole")
		return false
	})
	a, err := toBackend(t, newTestPool(), s.addr, newCall("r1", "x"))
	if err != nil || string(a.Body) != "whole" {
		t.Fatalf("got %+v, %v", a, err)
	}
}

// TestUnframedReset guards against taking an unframed answer that was reset on
// the way for a whole one.
func TestUnframedReset(t *testing.T) {
	s := serve(t, func(c net.Conn, _ *http.Request) bool {
		io.WriteString(c, "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nResponse-Signature: x\r\n\r\npart")
		time.Sleep(50 * time.Millisecond)
		c.(*net.TCPConn).SetLinger(0)
		return false
	})
	if a, err := toBackend(t, newTestPool(), s.addr, newCall("r1", "x")); err == nil {
		t.Fatalf("got %+v", a)
	}
}

// TestNothingListens guards against calling a request that never left one that
// may have run.
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

// TestMisdirected guards against treating the answer of another backend server at
// the address as a run.
func TestMisdirected(t *testing.T) {
	s := serve(t, send("HTTP/1.1 421 Misdirected Request\r\nRequest-Id: r1\r\nInstance-Id: i-2\r\nContent-Length: 0\r\n\r\n"))
	a, err := toBackend(t, newTestPool(), s.addr, newCall("r1", "x"))
	if err != nil || a.Refusal == nil || a.Refusal.Outcome != request.NotRun {
		t.Fatalf("got %+v, %v", a, err)
	}
}

// TestHeadersForBackend guards against passing on a key, and against a workspace,
// caller or target that the caller has set.
func TestHeadersForBackend(t *testing.T) {
	got := make(chan *http.Request, 1)
	s := serve(t, func(c net.Conn, r *http.Request) bool {
		body, _ := io.ReadAll(r.Body)
		r.Body = io.NopCloser(strings.NewReader(string(body)))
		got <- r
		io.WriteString(c, answer("r1", ""))
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
		t.Errorf("request line is %s %s at %s", r.Method, r.RequestURI, r.Host)
	}
	if body, _ := io.ReadAll(r.Body); string(body) != "payload" {
		t.Errorf("body is %q", body)
	}
	if ms := r.Header.Get("Deadline-Ms"); len(ms) > 4 {
		t.Errorf("deadline is %s ms, more than is left", ms)
	}
}

// TestCancel guards against a connection that stays open after its caller left.
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
		t.Error("the backend server was not told")
	}
}

// TestCallHeader guards against losing a field between nodes.
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
		t.Errorf("%v are left", left)
	}
	for _, bad := range []string{"", "1 2 3", "9 1 5 5 a b c d e", "x 1 5 5 a b c d e", "1 1 5 5 %zz b c d e"} {
		if err := new(Call).decode(bad, now); err == nil {
			t.Errorf("%q was accepted", bad)
		}
	}
}

// TestForgottenConnection guards against failing a request that may not be repeated
// because the backend server has forgotten an idle connection without a word: what is
// sent on it next is reset.
func TestForgottenConnection(t *testing.T) {
	var used sync.Map
	s := serve(t, func(c net.Conn, r *http.Request) bool {
		if _, again := used.LoadOrStore(c, true); again {
			c.(*net.TCPConn).SetLinger(0)
			return false
		}
		io.WriteString(c, answer(r.Header.Get("Request-Id"), "ok"))
		return true
	})
	p := newTestPool()
	for i := range 3 {
		if a, err := toBackend(t, p, s.addr, newCall(fmt.Sprint("r", i), "x")); err != nil || string(a.Body) != "ok" {
			t.Fatalf("request %d: %+v, %v", i, a, err)
		}
		time.Sleep(2 * momentIdle)
	}
	if n := s.conns.Load(); n != 3 {
		t.Errorf("%d connections for 3 requests that may not be repeated", n)
	}
}
