package presence

import (
	"context"
	"io"
	"net"
	"testing"
	"time"
)

// pair returns the two ends of a connection and a context with the first one.
func pair(t *testing.T) (*net.TCPConn, *net.TCPConn, context.Context) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	caller, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	own, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		own.Close()
		caller.Close()
	})
	return own.(*net.TCPConn), caller.(*net.TCPConn), WithConn(t.Context(), own)
}

// TestLeft guards against taking a caller that waits for one that has left, and the reverse,
// also while a read from the connection is under way and while bytes stand unread.
func TestLeft(t *testing.T) {
	for name, x := range map[string]struct {
		send  string
		leave func(own, caller *net.TCPConn)
		left  bool
	}{
		"waits":             {},
		"sent more":         {send: "more"},
		"closed":            {leave: func(_, c *net.TCPConn) { c.Close() }, left: true},
		"closed, sent more": {send: "more", leave: func(_, c *net.TCPConn) { c.Close() }, left: true},
		"reset": {send: "more", left: true, leave: func(_, c *net.TCPConn) {
			c.SetLinger(0)
			c.Close()
		}},
		"half closed":    {leave: func(_, c *net.TCPConn) { c.CloseWrite() }, left: true},
		"closed by both": {leave: func(own, _ *net.TCPConn) { own.Close() }, left: true},
	} {
		own, caller, ctx := pair(t)
		io.WriteString(caller, x.send)
		if x.send == "" {
			go own.Read(make([]byte, 1))
		}
		time.Sleep(20 * time.Millisecond)
		watched, cancel := Watch(ctx)
		if Left(ctx) {
			t.Errorf("%s: left although nothing was closed", name)
		}
		if x.leave != nil {
			x.leave(own, caller)
		}
		time.Sleep(20 * time.Millisecond)
		if got := Left(ctx); got != x.left {
			t.Errorf("%s: left %v, want %v", name, got, x.left)
		}
		select {
		case <-watched.Done():
			if !x.left {
				t.Errorf("%s: the watch has ended", name)
			}
		case <-time.After(2 * watchInterval):
			if x.left {
				t.Errorf("%s: the watch goes on", name)
			}
		}
		cancel()
	}
	ctx, cancel := context.WithCancel(t.Context())
	if Left(ctx) {
		t.Error("left without a connection")
	}
	cancel()
	if !Left(ctx) {
		t.Error("not left after the context has ended")
	}
}
