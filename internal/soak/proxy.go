package soak

import (
	"io"
	"net"
	"sync"
	"time"
)

// fault is what a proxy does to the bytes that pass it.
type fault uint8

const (
	none    fault = iota
	slow          // each piece is held for slowBy
	oneWay        // what the far side sends is lost
	silent        // nothing passes, and nothing is closed
	refused       // new connections are reset, as are open ones
)

const slowBy = 60 * time.Millisecond

// proxy passes connections on to a target.
type proxy struct {
	target string
	l      net.Listener

	mu    sync.Mutex
	fault fault
	conns map[net.Conn]bool
}

func newProxy(address, target string) (*proxy, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &proxy{target: target, l: l, conns: map[net.Conn]bool{}}
	go p.accept()
	return p, nil
}

// set changes the fault. A connection that was silenced stays so: something between
// the two ends has forgotten it.
func (p *proxy) set(f fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = f
	if f == refused {
		for c := range p.conns {
			reset(c)
		}
	}
}

func (p *proxy) now() fault {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault
}

func reset(c net.Conn) {
	if tc, ok := c.(*net.TCPConn); ok {
		_ = tc.SetLinger(0) // only the reset matters
	}
	_ = c.Close() // it is reset whatever Close returns
}

func (p *proxy) close() {
	_ = p.l.Close() // the run is over
	p.set(refused)
}

func (p *proxy) accept() {
	for {
		c, err := p.l.Accept()
		if err != nil {
			return
		}
		go p.serve(c)
	}
}

func (p *proxy) serve(near net.Conn) {
	if p.now() == refused {
		reset(near)
		return
	}
	far, err := net.Dial("tcp", p.target)
	if err != nil {
		reset(near) // nothing listens there
		return
	}
	p.mu.Lock()
	p.conns[near], p.conns[far] = true, true
	p.mu.Unlock()
	done := make(chan struct{}, 2)
	forward := func(dst, src net.Conn, back bool) {
		p.copy(dst, src, back)
		done <- struct{}{}
	}
	go forward(far, near, false)
	go forward(near, far, true)
	<-done
	<-done
	p.mu.Lock()
	delete(p.conns, near)
	delete(p.conns, far)
	p.mu.Unlock()
	_ = near.Close() // both directions have ended
	_ = far.Close()
}

// copy passes bytes one way until that side ends.
func (p *proxy) copy(dst, src net.Conn, back bool) {
	buf := make([]byte, 32<<10)
	forgotten := false
	for {
		n, err := src.Read(buf)
		f := p.now()
		forgotten = forgotten || f == silent || f == oneWay && back
		if f == slow {
			time.Sleep(slowBy)
		}
		if n > 0 && !forgotten {
			if _, werr := dst.Write(buf[:n]); werr != nil {
				reset(src)
				return
			}
		}
		if err == nil {
			continue
		}
		if forgotten {
			return
		}
		if tc, ok := dst.(*net.TCPConn); ok && err == io.EOF {
			_ = tc.CloseWrite() // the other direction may go on
		} else {
			reset(dst)
		}
		return
	}
}
