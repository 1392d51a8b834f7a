package guard

import (
	"context"
	"net"
	"net/http/httptrace"
	"sync/atomic"
	"time"
)

// Write states of a connection with regard to the present request.
const (
	unwritten int32 = iota
	written
	sealed // closed for writing before a byte of the request was written
)

// backendConn is a connection to the backend server. It knows whether a byte of
// the present request was written and when a byte was last read.
type backendConn struct {
	net.Conn
	state    atomic.Int32
	lastRead atomic.Int64 // Unix ns
}

// begin starts a request on the connection.
func (c *backendConn) begin() { c.state.Store(unwritten) }

// seal reports whether no byte of the request was written and none ever will be.
func (c *backendConn) seal() bool { return c.state.CompareAndSwap(unwritten, sealed) }

// Write implements net.Conn.
func (c *backendConn) Write(p []byte) (int, error) {
	if !c.state.CompareAndSwap(unwritten, written) && c.state.Load() == sealed {
		return 0, net.ErrClosed
	}
	return c.Conn.Write(p)
}

// Read implements net.Conn.
func (c *backendConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.lastRead.Store(time.Now().UnixNano())
	}
	return n, err
}

// sendTrace follows one request to the connection that it was sent on.
type sendTrace struct {
	conn  atomic.Pointer[backendConn]
	since atomic.Int64 // when the request got the connection, Unix ns
}

func (t *sendTrace) with(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: t.gotConn})
}

func (t *sendTrace) gotConn(info httptrace.GotConnInfo) {
	conn := info.Conn.(*backendConn)
	conn.begin()
	t.since.Store(time.Now().UnixNano())
	t.conn.Store(conn)
}

// notSent reports whether a request that failed certainly did not reach the
// backend server. If so, nothing can be written on its connection any more.
func (t *sendTrace) notSent() bool {
	conn := t.conn.Load()
	return conn == nil || conn.seal()
}

// idle returns for how long the request has waited without a byte read; 0 if it
// still waits for a connection.
func (t *sendTrace) idle(now time.Time) time.Duration {
	conn := t.conn.Load()
	if conn == nil {
		return 0
	}
	return time.Duration(now.UnixNano() - max(t.since.Load(), conn.lastRead.Load()))
}
