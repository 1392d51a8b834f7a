// Package sockets bounds the sockets of a process.
//
// # Load pattern
//
// Each call between nodes occupies a connection, and connections stay open between calls. When a service turns slow, the
// calls at the nodes before it pile up, with a connection on each side, while the idle connections of the load before that
// are still open. A process that has used up its descriptors can neither accept nor dial: a request waits unread in the
// kernel until its caller gives up, http.Server pauses for up to a second after each failure, and dials fail as if the
// peer were at fault.
//
// # Mechanism
//
// A Budget counts the connections that were accepted and dialed. Dials leave a reserve, so that requests are still read
// and answered when no call can be sent any more. A dial or an accept without room first closes the connection that has
// been idle for longest. From Scarce on, servers close connections behind their responses, which frees the connections
// that others hold idle.
package sockets

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// ErrNone is returned if no socket is left for another connection to a peer.
var ErrNone = errors.New("no socket is left for another connection")

const (
	// dialFraction is the fraction of the sockets that may be in use when a connection is
	// dialed. The rest is for accepting requests, which are answered at once.
	dialFraction = 0.9
	// scarceFraction is the fraction from which idle connections are given up.
	scarceFraction = 0.7
	// acceptPause is how long an accept waits for a socket to be closed.
	acceptPause = 5 * time.Millisecond
)

// Budget counts the sockets of a process. It is safe for concurrent use.
type Budget struct {
	limit atomic.Int64 // 0 for none
	used  atomic.Int64
	full  atomic.Uint64 // accepts and dials without room

	mu    sync.Mutex
	pools []Pool
}

// Pool holds idle connections.
type Pool interface {
	// OldestIdle returns since when the connection has been idle that has been so for longest.
	OldestIdle() (since time.Time, ok bool)
	// CloseOldestIdle closes that connection. It returns false if there is none.
	CloseOldestIdle() bool
}

// New returns a budget of a number of sockets; zero means no limit.
func New(limit int) *Budget {
	b := &Budget{}
	b.SetLimit(limit)
	return b
}

// SetLimit changes the number of sockets; zero means no limit.
func (b *Budget) SetLimit(limit int) { b.limit.Store(int64(limit)) }

// AddPool adds a pool whose idle connections may be closed.
func (b *Budget) AddPool(p Pool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.pools = append(b.pools, p)
}

// Used returns the number of connections that are open.
func (b *Budget) Used() int { return int(b.used.Load()) }

// Full returns how often there was no room for an accept or a dial.
func (b *Budget) Full() uint64 { return b.full.Load() }

// Scarce reports whether connections should be closed instead of being kept idle.
func (b *Budget) Scarce() bool { return b.above(scarceFraction) }

func (b *Budget) above(fraction float64) bool {
	limit := b.limit.Load()
	return limit > 0 && float64(b.used.Load()) >= fraction*float64(limit)
}

// closeIdle closes the connection that has been idle for longest. It returns false if there
// is none.
func (b *Budget) closeIdle() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	var oldest Pool
	var oldestSince time.Time
	for _, p := range b.pools {
		if since, ok := p.OldestIdle(); ok && (oldest == nil || since.Before(oldestSince)) {
			oldest, oldestSince = p, since
		}
	}
	return oldest != nil && oldest.CloseOldestIdle()
}

// Reserve takes a socket for a dial. Without room it closes an idle connection, or returns
// ErrNone. Counted gives the socket to the connection, Failed gives it back.
func (b *Budget) Reserve() error {
	if b.above(dialFraction) {
		b.full.Add(1)
		if !b.closeIdle() {
			return ErrNone
		}
	}
	b.used.Add(1)
	return nil
}

// Counted returns a TCP connection that gives its socket back when it is closed.
func (b *Budget) Counted(nc net.Conn) net.Conn { return &conn{TCPConn: nc.(*net.TCPConn), budget: b} }

// Failed gives the socket of a dial back that has failed. It returns ErrNone if that was for
// want of descriptors, and err otherwise.
func (b *Budget) Failed(err error) error {
	b.used.Add(-1)
	if Exhausted(err) {
		b.full.Add(1)
		b.closeIdle()
		return errors.Join(ErrNone, err)
	}
	return err
}

// Exhausted reports whether an operation has failed because the process, or the VM, has no
// descriptor left.
func Exhausted(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE)
}

// conn is a TCP connection that gives its socket back when it is closed.
type conn struct {
	*net.TCPConn
	budget *Budget
	closed atomic.Bool
}

// Close implements net.Conn.
func (c *conn) Close() error {
	if c.closed.CompareAndSwap(false, true) {
		c.budget.used.Add(-1)
	}
	return c.TCPConn.Close()
}

// Listen returns a TCP listener whose connections are counted. An accept that fails for want of
// descriptors closes an idle connection and is tried again.
func (b *Budget) Listen(l net.Listener) net.Listener { return &listener{Listener: l, budget: b} }

type listener struct {
	net.Listener
	budget *Budget
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err == nil {
			l.budget.used.Add(1)
			return l.budget.Counted(nc), nil
		}
		if !Exhausted(err) {
			return nil, err
		}
		l.budget.full.Add(1)
		if !l.budget.closeIdle() {
			time.Sleep(acceptPause)
		}
	}
}
