package guard

import (
	"context"
	"fmt"
	"net"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/teaselseam/teaselseam/internal/call"
	"github.com/teaselseam/teaselseam/internal/control"
	"github.com/teaselseam/teaselseam/internal/request"
)

// TestSeal guards G8: a request counts as not sent only if no byte of it was
// written and none can be written later.
func TestSeal(t *testing.T) {
	near, far := net.Pipe()
	defer far.Close()
	go func() { _, _ = far.Read(make([]byte, 9)) }()
	conn := &backendConn{Conn: near}
	trace := &sendTrace{}
	if !trace.notSent() {
		t.Error("without a connection: counts as sent")
	}
	trace.gotConn(httptrace.GotConnInfo{Conn: conn})
	if _, err := conn.Write([]byte("x")); err != nil || trace.notSent() {
		t.Errorf("after a write (%v): counts as not sent", err)
	}
	trace.gotConn(httptrace.GotConnInfo{Conn: conn})
	if !trace.notSent() {
		t.Error("next request, before a write: counts as sent")
	}
	if _, err := conn.Write([]byte("x")); err == nil {
		t.Error("write succeeded after the request counted as not sent")
	}
}

type idleLimiter struct{ Limiter }

func (idleLimiter) ServiceTime() time.Duration { return 0 }

// TestSilenceWatch guards against giving up a call whose answer is arriving, or
// whose watch has been stopped.
func TestSilenceWatch(t *testing.T) {
	const after = 20 * time.Millisecond
	conn := &backendConn{}
	trace := &sendTrace{}
	trace.gotConn(httptrace.GotConnInfo{Conn: conn})
	conn.lastRead.Store(time.Now().Add(time.Hour).UnixNano()) // bytes keep arriving
	lost := make(chan struct{}, 1)
	w := &silenceWatch{
		rule: silenceRule{after: after, limiter: idleLimiter{}}, trace: trace,
		probe: func() bool { return true }, onLost: func() { lost <- struct{}{} },
	}
	w.start()
	w.check()
	if w.stop() {
		t.Error("connection with bytes arriving counts as silent")
	}
	conn.lastRead.Store(0)
	trace.since.Store(0)
	w.check()
	if len(lost) != 0 {
		t.Error("gave up a call whose watch was stopped")
	}
	w.stopped = false
	w.check()
	if len(lost) != 1 || !w.stop() {
		t.Error("silent connection was not found")
	}
}

// TestSilentCopyBudget guards G1: the copy of a call on a silent connection
// takes from the retry budget, and a closed budget lends nothing.
func TestSilentCopyBudget(t *testing.T) {
	e := newRunning().start(t.Context(), &call.Call{Budget: 1})
	if !e.takeRetry() || e.takeRetry() {
		t.Error("a budget of 1 is not exactly one retry")
	}
	if n := e.settle(); n != 0 {
		t.Errorf("used budget returns %d", n)
	}
	if n, giveBack := e.Lend(); n != 0 {
		t.Errorf("settled budget lends %d", n)
	} else if giveBack(5); e.takeRetry() {
		t.Error("settled budget grew")
	}
}

// TestDrain guards G11: no call is between enter and its end once Drain returned.
func TestDrain(t *testing.T) {
	g := &Guard{running: newRunning()}
	var active, after atomic.Int64
	var drained atomic.Bool
	stop, cancel := context.WithCancel(t.Context())
	for range 8 {
		go func() {
			for stop.Err() == nil && g.enter() {
				active.Add(1)
				if drained.Load() {
					after.Add(1)
				}
				active.Add(-1)
				g.active.Done()
			}
		}()
	}
	err := g.Drain(t.Context())
	drained.Store(true)
	if n := active.Load(); err != nil || n != 0 || g.enter() {
		t.Errorf("drained with error %v and %d calls active", err, n)
	}
	cancel()
	if after.Load() != 0 {
		t.Error("a call entered after Drain returned")
	}
}

// TestEarlierRun guards G8 for the copy of a call on a silent connection: the
// first may have run, whatever becomes of the second.
func TestEarlierRun(t *testing.T) {
	resp := withEarlierRun(call.Refused(request.Refuse(request.ReasonBackendLost, 0)))
	if resp.Refusal.Outcome != request.MayHaveRun {
		t.Errorf("got %s, want may_have_run", resp.Refusal.Outcome)
	}
}

// TestAnnounceRace guards against announcements that arrive together: an
// instance dies once, and the last one stays.
func TestAnnounceRace(t *testing.T) {
	var died atomic.Int64
	b := NewBackend(Events{Died: func(string) { died.Add(1) }})
	const instances = 20
	var all sync.WaitGroup
	for i := range instances {
		all.Go(func() {
			b.Announce(control.Announcement{Service: "s", Address: "127.0.0.1:9", Instance: fmt.Sprint(i)}, time.Now())
		})
	}
	all.Wait()
	if died.Load() != instances-1 || !b.Serves("s") {
		t.Errorf("%d of %d instances died, serving is %v", died.Load(), instances, b.Serves("s"))
	}
}
