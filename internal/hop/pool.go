package hop

import (
	"bufio"
	"context"
	"net"
	"sync"
	"syscall"
	"time"
)

// momentIdle is how long ago a connection was used at most for a request that may
// not be repeated.
const momentIdle = 250 * time.Millisecond

// Pool keeps connections for reuse. It is safe for concurrent use.
type Pool struct {
	dialer  net.Dialer
	maxIdle time.Duration // idle connections older than this are closed

	mu     sync.Mutex
	idle   map[string][]*conn
	opened uint64 // connections so far
}

// NewPool returns a pool that closes connections after maxIdle, which must be
// shorter than the time after which the other side closes them.
func NewPool(dialTimeout, maxIdle time.Duration) *Pool {
	p := &Pool{maxIdle: maxIdle, idle: map[string][]*conn{}}
	p.dialer = *NewDialer(dialTimeout)
	return p
}

// get returns an idle connection that can be used, or a new one.
func (p *Pool) get(ctx context.Context, x exchange) (*conn, error) {
	now := time.Now()
	for {
		c := p.take(x.addr, now, x.newest)
		if c == nil {
			break
		}
		if now.Before(c.until) && c.silent() {
			setDeadline(ctx, c)
			return c, nil
		}
		_ = c.Close() // too old, closed by the other side, or with stray bytes
	}
	nc, err := p.dialer.DialContext(ctx, "tcp", x.addr)
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	p.opened++
	p.mu.Unlock()
	c := &conn{Conn: nc, r: bufio.NewReaderSize(nc, readBuffer), w: bufio.NewWriterSize(nc, writeBuffer)}
	if sc, ok := nc.(syscall.Conn); ok {
		if c.raw, err = sc.SyscallConn(); err != nil {
			_ = nc.Close() // it was never used
			return nil, err
		}
	}
	setDeadline(ctx, c)
	return c, nil
}

// take returns the connection that was used last, which is the least likely to be
// closed.
func (p *Pool) take(addr string, now time.Time, newest bool) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[addr]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	if newest && now.Sub(c.usedAt) > momentIdle {
		return nil
	}
	p.idle[addr] = list[:len(list)-1]
	return c
}

func (p *Pool) put(addr string, c *conn) {
	keep := p.maxIdle
	if c.idle > 0 {
		keep = min(keep, c.idle-idleMargin)
	}
	c.usedAt = time.Now()
	c.until = c.usedAt.Add(keep)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle[addr] = append(p.idle[addr], c)
}

// Sweep closes connections that have been idle for too long.
func (p *Pool) Sweep(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Before(c.until) {
				kept = append(kept, c)
				continue
			}
			_ = c.Close() // idle; nobody waits for it
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
		_ = c.Close() // idle; nobody waits for it
	}
}

// Opened returns how many connections were opened.
func (p *Pool) Opened() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.opened
}
