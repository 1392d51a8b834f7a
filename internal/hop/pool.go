package hop

import (
	"context"
	"errors"
	"maps"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/teaselseam/teaselseam/internal/memory"
	"github.com/teaselseam/teaselseam/internal/sockets"
)

// maxIdleNonIdempotent is how long a connection may have been idle to be reused for a
// request that could not be sent again if the connection has been lost.
const maxIdleNonIdempotent = 250 * time.Millisecond

// Pool is a pool of client connections. It is safe for concurrent use.
type Pool struct {
	dialer  net.Dialer
	maxIdle time.Duration // connections idle for longer are closed
	sockets *sockets.Budget
	keyOf   func(addr string) string // nil if no address has a key
	asks    func(addr string) bool   // nil if no node asks for the rest of request bodies
	memory  *memory.Budget           // for the bodies of responses to calls; nil for no limit

	mu     sync.Mutex
	idle   map[string][]*conn // by address; most recently used last
	opened uint64             // total number of connections opened
	lost   uint64             // total number of reused connections that received nothing
	// lastOpened is when a connection was last opened, by address.
	lastOpened map[string]time.Time
}

// lastOpenedKept is for how long Pool.lastOpened is kept, which is longer than an exchange
// lasts.
const lastOpenedKept = time.Minute

// NewPool returns a pool that closes connections once they were idle for maxIdle,
// which must be shorter than the peers' idle timeout.
// Its connections count towards the budget.
func NewPool(dialTimeout, maxIdle time.Duration, budget *sockets.Budget) *Pool {
	p := &Pool{maxIdle: maxIdle, sockets: budget, idle: map[string][]*conn{}, lastOpened: map[string]time.Time{}}
	p.dialer = *NewDialer(dialTimeout)
	budget.AddPool(p)
	return p
}

// UseMemory makes the pool take what it buffers of the responses to calls from a budget. They must
// be closed.
func (p *Pool) UseMemory(b *memory.Budget) { p.memory = b }

// get returns a reusable idle connection, or a new one.
func (p *Pool) get(ctx context.Context, x exchange) (*conn, error) {
	now := time.Now()
	for {
		c := p.take(now, x)
		if c == nil {
			break
		}
		c.begin(ctx) // ends the deadline of the last exchange
		if now.Before(c.expiresAt) && c.reusable() {
			c.reused = true
			return c, nil
		}
		_ = c.Close() // expired, closed by the peer, or with unexpected data
	}
	nc, err := p.dial(ctx, x.addr)
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	p.opened++
	p.lastOpened[x.addr] = time.Now()
	p.mu.Unlock()
	c := newConn(nc)
	if sc, ok := nc.(syscall.Conn); ok {
		if c.raw, err = sc.SyscallConn(); err != nil {
			_ = nc.Close() // never used, so nothing can be lost
			return nil, err
		}
	}
	c.begin(ctx)
	return c, nil
}

// dial opens a connection, unless no socket is left.
func (p *Pool) dial(ctx context.Context, addr string) (net.Conn, error) {
	var err error
	for range 2 { // want of descriptors closes an idle connection
		if err = p.sockets.Reserve(); err != nil {
			return nil, err
		}
		var nc net.Conn
		if nc, err = p.dialer.DialContext(ctx, "tcp", addr); err == nil {
			return p.sockets.Counted(nc), nil
		}
		if err = p.sockets.Failed(err); !errors.Is(err, sockets.ErrNone) {
			break
		}
	}
	return nil, err
}

// OldestIdle implements sockets.Pool.
func (p *Pool) OldestIdle() (time.Time, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	addr := p.oldestIdle()
	if addr == "" {
		return time.Time{}, false
	}
	return p.idle[addr][0].lastUsed, true
}

// CloseOldestIdle implements sockets.Pool.
func (p *Pool) CloseOldestIdle() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	addr := p.oldestIdle()
	if addr == "" {
		return false
	}
	_ = p.idle[addr][0].Close() // idle, so nothing can be lost
	p.idle[addr] = slices.Delete(p.idle[addr], 0, 1)
	return true
}

// oldestIdle returns the address of the connection that has been idle for longest; empty if
// there is none. The caller holds mu.
func (p *Pool) oldestIdle() (oldest string) {
	for addr, list := range p.idle {
		if len(list) > 0 && (oldest == "" || list[0].lastUsed.Before(p.idle[oldest][0].lastUsed)) {
			oldest = addr
		}
	}
	return oldest
}

// take removes and returns the most recently used idle connection, which is the least
// likely to have been closed by the peer, or the least recently used one; nil if there is
// none for the exchange.
func (p *Pool) take(now time.Time, x exchange) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[x.addr]
	if len(list) == 0 || x.choice == connNew {
		return nil
	}
	i := len(list) - 1
	if x.choice == connOldest {
		i = 0
	}
	for i > 0 && list[i].hasRefused(x.call.ID) {
		i--
	}
	c := list[i]
	if c.hasRefused(x.call.ID) || x.choice == connRecent && now.Sub(c.lastUsed) > maxIdleNonIdempotent {
		return nil
	}
	p.idle[x.addr] = slices.Delete(list, i, i+1)
	return c
}

func (p *Pool) put(addr string, c *conn) {
	keep := p.maxIdle
	if c.peerIdleTimeout > 0 {
		keep = min(keep, c.peerIdleTimeout-idleMargin)
	}
	c.lastUsed = time.Now()
	c.expiresAt = c.lastUsed.Add(keep)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle[addr] = append(p.idle[addr], c)
}

// Sweep closes the idle connections that have expired.
func (p *Pool) Sweep(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	maps.DeleteFunc(p.lastOpened, func(_ string, at time.Time) bool { return now.Sub(at) > lastOpenedKept })
	for addr, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Before(c.expiresAt) {
				kept = append(kept, c)
				continue
			}
			_ = c.Close() // idle, so nothing can be lost
		}
		clear(list[len(kept):])
		if p.idle[addr] = kept; len(kept) == 0 {
			delete(p.idle, addr)
		}
	}
}

// CloseIdle closes the idle connections to an address.
func (p *Pool) CloseIdle(addr string) {
	p.mu.Lock()
	list := p.idle[addr]
	delete(p.idle, addr)
	p.mu.Unlock()
	for _, c := range list {
		_ = c.Close() // idle, so nothing can be lost
	}
}

// reuseFailed closes the idle connections to an address that have not been heard from
// since a reused one received nothing from then on: connections are lost together, and
// each would fail a request of its own.
func (p *Pool) reuseFailed(addr string, since time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lost++
	list := p.idle[addr]
	kept := list[:0]
	for _, c := range list {
		if c.lastUsed.After(since) {
			kept = append(kept, c)
			continue
		}
		_ = c.Close() // idle, so nothing can be lost
	}
	clear(list[len(kept):])
	if p.idle[addr] = kept; len(kept) == 0 {
		delete(p.idle, addr)
	}
}

// OpenedSince reports whether a connection to an address was opened after t. What was
// received from the peer since then may have come on that one.
func (p *Pool) OpenedSince(addr string, t time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lastOpened[addr].After(t)
}

// Opened returns how many connections the pool has opened so far.
func (p *Pool) Opened() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.opened
}

// Lost returns how many reused connections have failed without receiving anything.
func (p *Pool) Lost() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lost
}
