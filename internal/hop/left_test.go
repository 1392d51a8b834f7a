package hop

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
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
