package sockets

import (
	"errors"
	"net"
	"os"
	"syscall"
	"testing"
	"time"
)

// idlePool holds a number of idle connections.
type idlePool struct {
	budget *Budget
	since  []time.Time // of each connection, oldest first
}

func (p *idlePool) OldestIdle() (time.Time, bool) {
	if len(p.since) == 0 {
		return time.Time{}, false
	}
	return p.since[0], true
}

func (p *idlePool) CloseOldestIdle() bool {
	if len(p.since) == 0 {
		return false
	}
	p.since = p.since[1:]
	p.budget.used.Add(-1)
	return true
}

// TestDialsLeaveAReserve guards against dials that take the last sockets, with which requests
// are accepted and refused, and against failing while idle connections could make room.
func TestDialsLeaveAReserve(t *testing.T) {
	b := New(10)
	now := time.Now()
	young, old := &idlePool{budget: b, since: []time.Time{now}}, &idlePool{budget: b, since: []time.Time{now.Add(-time.Second)}}
	b.AddPool(young)
	b.AddPool(old)
	b.used.Store(2)
	for range 7 {
		if err := b.Reserve(); err != nil {
			t.Fatal(err)
		}
	}
	if !b.Scarce() || b.Full() != 0 {
		t.Errorf("scarce %v, full %d with 9 of 10 sockets", b.Scarce(), b.Full())
	}
	if err := b.Reserve(); err != nil || len(old.since) != 0 || len(young.since) != 1 {
		t.Errorf("%v; want the connection closed that has been idle for longest", err)
	}
	if err := b.Reserve(); err != nil || len(young.since) != 0 {
		t.Errorf("%v; want the other idle connection closed", err)
	}
	if err := b.Reserve(); !errors.Is(err, ErrNone) || b.Used() != 9 || b.Full() != 3 {
		t.Errorf("%v, used %d, full %d; want none left", err, b.Used(), b.Full())
	}
	b.SetLimit(0)
	if err := b.Reserve(); err != nil || b.Scarce() {
		t.Errorf("without a limit: %v", err)
	}
}

// exhaustedListener fails to accept until an idle connection is closed.
type exhaustedListener struct {
	net.Listener
	pool *idlePool
}

func (l exhaustedListener) Accept() (net.Conn, error) {
	if len(l.pool.since) > 0 {
		return nil, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", syscall.EMFILE)}
	}
	return l.Listener.Accept()
}

// TestAcceptWithoutDescriptors guards against requests that wait unread for up to a second,
// the pause of http.Server, because an accept has failed for want of descriptors.
func TestAcceptWithoutDescriptors(t *testing.T) {
	plain, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	b := New(0)
	pool := &idlePool{budget: b, since: make([]time.Time, 20)}
	b.AddPool(pool)
	b.used.Store(20)
	l := b.Listen(exhaustedListener{plain, pool})
	defer l.Close()
	caller, err := net.Dial("tcp", plain.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer caller.Close()
	began := time.Now()
	c, err := l.Accept()
	if took := time.Since(began); err != nil || took > 200*time.Millisecond {
		t.Fatalf("%v after %v", err, took)
	}
	if b.Used() != 1 || b.Full() != 20 {
		t.Errorf("used %d, full %d; want 1 and 20", b.Used(), b.Full())
	}
	c.Close()
	c.Close()
	if b.Used() != 0 {
		t.Errorf("used %d after the connection was closed twice", b.Used())
	}
	l.Close()
	if _, err := l.Accept(); err == nil {
		t.Error("accepted on a closed listener")
	}
}

// TestFailedDial guards against sockets of failed dials that stay counted, and against taking
// want of descriptors for a fault of the peer.
func TestFailedDial(t *testing.T) {
	b := New(10)
	for _, x := range []struct {
		err  error
		none bool
	}{{syscall.ECONNREFUSED, false}, {&net.OpError{Op: "dial", Err: os.NewSyscallError("socket", syscall.EMFILE)}, true}} {
		if err := b.Reserve(); err != nil {
			t.Fatal(err)
		}
		if err := b.Failed(x.err); errors.Is(err, ErrNone) != x.none || !errors.Is(err, x.err) {
			t.Errorf("%v became %v", x.err, err)
		}
	}
	if b.Used() != 0 {
		t.Errorf("%d sockets are counted", b.Used())
	}
}
