package peer

import (
	"context"
	"net"
	"sync/atomic"
)

// Traffic counts the bytes on some connections, TLS and HTTP/2 included. It is
// safe for concurrent use.
type Traffic struct {
	sent, received atomic.Int64
}

// Sent returns the bytes written.
func (t *Traffic) Sent() int64 { return t.sent.Load() }

// Received returns the bytes read.
func (t *Traffic) Received() int64 { return t.received.Load() }

// Listener counts the connections that l accepts.
func (t *Traffic) Listener(l net.Listener) net.Listener { return countingListener{l, t} }

type countingListener struct {
	net.Listener
	traffic *Traffic
}

func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countingConn{c, l.traffic}, nil
}

// dialer counts the connections that it makes.
func (t *Traffic) dialer(d *net.Dialer) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := d.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return countingConn{c, t}, nil
	}
}

type countingConn struct {
	net.Conn
	traffic *Traffic
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.received.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.traffic.sent.Add(int64(n))
	return n, err
}
