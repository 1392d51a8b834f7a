package soak

import (
	"io"
	"net"
	"sync"
	"time"
)

// linkFault is a fault that a proxy simulates on its connections.
type linkFault uint8

const (
	linkOK        linkFault = iota
	linkSlow                // delays each chunk of data by linkDelay
	linkOneWay              // drops what the target sends
	linkBlackhole           // drops everything and closes nothing
	linkReset               // resets new and open connections
)

const linkDelay = 60 * time.Millisecond

// proxy forwards TCP connections to a target and simulates faults on them.
type proxy struct {
	address, target string

	mu       sync.Mutex
	listener net.Listener // nil while connections are refused
	closed   bool
	fault    linkFault
	conns    map[net.Conn]bool
}

func newProxy(address, target string) (*proxy, error) {
	p := &proxy{address: address, target: target, conns: map[net.Conn]bool{}}
	return p, p.listen()
}

func (p *proxy) listen() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.listener != nil {
		return nil
	}
	l, err := net.Listen("tcp", p.address)
	if err != nil {
		return err
	}
	p.listener = l
	go p.accept(l)
	return nil
}

// refuse makes the kernel refuse connections, as where no process listens, and resets those that
// are open, until listen is called.
func (p *proxy) refuse() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.listener != nil {
		_ = p.listener.Close() // nothing is accepted any more whatever it returns
		p.listener = nil
	}
	for c := range p.conns {
		reset(c)
	}
}

// setFault changes the fault. A direction on which data was dropped stays blocked, like a
// connection whose state a firewall or NAT gateway has lost.
func (p *proxy) setFault(f linkFault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = f
	if f == linkReset {
		for c := range p.conns {
			reset(c)
		}
	}
}

func (p *proxy) currentFault() linkFault {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault
}

func reset(c net.Conn) {
	if tc, ok := c.(*net.TCPConn); ok {
		_ = tc.SetLinger(0) // best effort: SO_LINGER 0 makes Close send a reset
	}
	_ = c.Close() // the connection is closed whatever Close returns
}

func (p *proxy) close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.refuse()
	p.setFault(linkReset)
}

func (p *proxy) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go p.serve(c)
	}
}

func (p *proxy) serve(client net.Conn) {
	if p.currentFault() == linkReset {
		reset(client)
		return
	}
	server, err := net.Dial("tcp", p.target)
	if err != nil {
		reset(client) // nothing listens on the target address
		return
	}
	p.mu.Lock()
	p.conns[client], p.conns[server] = true, true
	p.mu.Unlock()
	done := make(chan struct{}, 2)
	forward := func(dst, src net.Conn, fromTarget bool) {
		p.copy(dst, src, fromTarget)
		done <- struct{}{}
	}
	go forward(server, client, false)
	go forward(client, server, true)
	<-done
	<-done
	p.mu.Lock()
	delete(p.conns, client)
	delete(p.conns, server)
	p.mu.Unlock()
	_ = client.Close() // both directions have ended
	_ = server.Close()
}

// copy forwards data in one direction until src ends.
func (p *proxy) copy(dst, src net.Conn, fromTarget bool) {
	buf := make([]byte, 32<<10)
	blocked := false
	for {
		n, err := src.Read(buf)
		f := p.currentFault()
		blocked = blocked || f == linkBlackhole || f == linkOneWay && fromTarget
		if f == linkSlow {
			time.Sleep(linkDelay)
		}
		if n > 0 && !blocked {
			if _, werr := dst.Write(buf[:n]); werr != nil {
				reset(src)
				return
			}
		}
		if err == nil {
			continue
		}
		if blocked {
			return
		}
		if tc, ok := dst.(*net.TCPConn); ok && err == io.EOF {
			_ = tc.CloseWrite() // the other direction may stay open
		} else {
			reset(dst)
		}
		return
	}
}
