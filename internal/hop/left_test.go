package hop

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// TestCallAfterCallerLeft guards against sending a call on a kept connection although its
// caller had left before.
func TestCallAfterCallerLeft(t *testing.T) {
	var received atomic.Int64
	s := serve(t, func(c net.Conn, r *http.Request) bool {
		received.Add(1)
		io.WriteString(c, response(r.Header.Get("Request-Id"), "ok"))
		return true
	})
	p := newTestPool()
	if _, err := toBackend(t, p, s.addr, newCall("r0", "x")); err != nil {
		t.Fatal(err)
	}
	left, cancel := context.WithCancel(context.Background())
	cancel()
	for i := range 20 {
		c := newCall(fmt.Sprint("left", i), "x")
		for _, send := range []func(context.Context, string, *Call) (*Response, *Error){p.SendToBackend, p.SendToNode} {
			if _, err := send(left, s.addr, c); err == nil || err.Sent || !err.ContextDone || err.ReuseFailed {
				t.Fatalf("got %+v, want an error of a call that was not sent", err)
			}
		}
	}
	if resp, err := toBackend(t, p, s.addr, newCall("r1", "x")); err != nil || string(resp.Body) != "ok" {
		t.Fatalf("next call: %+v, %v", resp, err)
	}
	if n := received.Load(); n != 2 || s.conns.Load() != 1 {
		t.Errorf("%d requests on %d connections reached the backend server, want 2 on 1", n, s.conns.Load())
	}
}

// TestStreamAfterCallerLeft guards against holding the connection of a long response whose
// caller has left while the backend server is silent.
func TestStreamAfterCallerLeft(t *testing.T) {
	closed := make(chan struct{})
	s := serve(t, func(c net.Conn, _ *http.Request) bool {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nResponse-Signature: x\r\nContent-Length: %d\r\n\r\n", 4*MaxBufferedBody)
		io.WriteString(c, strings.Repeat("x", 2*MaxBufferedBody))
		c.Read(make([]byte, 1)) // no more bytes until the connection is closed
		close(closed)
		return false
	})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	resp, err := newTestPool().SendToBackend(ctx, s.addr, newCall("r1", ""))
	if err != nil || resp.Rest == nil {
		t.Fatalf("got %+v, %v", resp, err)
	}
	ended := make(chan error, 1)
	go func() {
		_, err := io.Copy(io.Discard, resp.Rest)
		resp.Close()
		ended <- err
	}()
	time.Sleep(50 * time.Millisecond)
	cancel()
	for what, c := range map[string]func() bool{
		"read of the body":  func() bool { return (<-ended) == nil },
		"backend's reading": func() bool { <-closed; return false },
	} {
		done := make(chan bool, 1)
		go func() { done <- c() }()
		select {
		case whole := <-done:
			if whole {
				t.Error("a body that was cut off ended without an error")
			}
		case <-time.After(500 * time.Millisecond):
			t.Errorf("%s goes on after the caller has left", what)
		}
	}
}
