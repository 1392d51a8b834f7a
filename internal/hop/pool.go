package hop

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"
)

// maxIdleNonIdempotent is how long a connection may have been idle to be reused for a
// non-idempotent request.
const maxIdleNonIdempotent = 250 * time.Millisecond

// Pool is a pool of client connections. It is safe for concurrent use.
type Pool struct {
	dialer  net.Dialer
	maxIdle time.Duration // connections idle for longer are closed

	mu     sync.Mutex
	idle   map[string][]*conn // by address; most recently used last
	opened uint64             // total number of connections opened
}

// NewPool returns a pool that closes connections once they were idle for maxIdle,
// which must be shorter than the peers' idle timeout.
func NewPool(dialTimeout, maxIdle time.Duration) *Pool {
	p := &Pool{maxIdle: maxIdle, idle: map[string][]*conn{}}
	p.dialer = *NewDialer(dialTimeout)
	return p
}

// get returns a reusable idle connection, or a new one.
func (p *Pool) get(ctx context.Context, x exchange) (*conn, error) {
	now := time.Now()
	for {
		c := p.take(x.addr, now, x.recentOnly)
		if c == nil {
			break
		}
		if now.Before(c.expiresAt) && c.reusable() {
			c.begin(ctx)
			return c, nil
		}
		_ = c.Close() // expired, closed by the peer, or with unexpected data
	}
	nc, err := p.dialer.DialContext(ctx, "tcp", x.addr)
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	p.opened++
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

// take removes and returns the most recently used idle connection, which is the least
// likely to have been closed by the peer; nil if there is none.
func (p *Pool) take(addr string, now time.Time, recentOnly bool) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[addr]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	if recentOnly && now.Sub(c.lastUsed) > maxIdleNonIdempotent {
		return nil
	}
	p.idle[addr] = list[:len(list)-1]
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

// Opened returns how many connections the pool has opened so far.
func (p *Pool) Opened() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.opened
}
