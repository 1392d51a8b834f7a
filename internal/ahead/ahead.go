// Package ahead lets an HTTP server notice that a caller has left although the caller has
// sent further requests ahead of the response.
//
// A net/http server watches the connection of a running request by reading one byte, and
// stops once that byte, the first of the next request, has arrived. From then on a Conn
// reads ahead into a buffer of bounded size. At the end of the stream it ends the contexts
// of all requests of the connection and drops those that were not begun. On a connection
// without requests ahead it reads nothing and starts no goroutine.
//
// A connection that the server closes behind a response is closed in two steps. Closing it
// while requests stand unread would reset it, and the network may then drop the response:
// the server's side is closed first, and what still arrives is read and dropped until the
// caller closes too, within lingerTime.
package ahead

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/teaselseam/teaselseam/internal/presence"
)

const (
	// maxBytes bounds the buffer of a connection. A caller that has sent more is not read
	// further until its requests are handled; the kernel is asked whether it has left.
	maxBytes = 8 << 10
	// lingerTime allows for some round trips to callers (3 ms one way) and a retransmission.
	lingerTime = 300 * time.Millisecond
	// maxLingerBytes bounds what is read after the last response.
	maxLingerBytes = 1 << 20
)

// Listener accepts connections that read ahead. Its methods ConnContext and ConnState must
// be set in the http.Server, and the handler must call Conn.Begin and Conn.End.
type Listener struct {
	net.Listener
	requests  atomic.Uint64
	lingering atomic.Int64
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &Conn{Conn: c, listener: l}, nil
}

// ConnContext is for http.Server.ConnContext.
func (l *Listener) ConnContext(ctx context.Context, nc net.Conn) context.Context {
	c := nc.(*Conn)
	ctx, c.cancel = context.WithCancel(ctx)
	return context.WithValue(ctx, connKey{}, c)
}

// ConnState is for http.Server.ConnState.
func (l *Listener) ConnState(nc net.Conn, s http.ConnState) {
	if c, ok := nc.(*Conn); ok && s == http.StateIdle {
		c.setIdle()
	}
}

// Requests returns how many requests had arrived before the response to the previous one on
// their connection was complete.
func (l *Listener) Requests() uint64 { return l.requests.Load() }

// Wait waits until no connection lingers, at most for a time.
func (l *Listener) Wait(limit time.Duration) {
	for end := time.Now().Add(limit); l.lingering.Load() > 0 && time.Now().Before(end); {
		time.Sleep(10 * time.Millisecond)
	}
}

type connKey struct{}

// FromContext returns the connection of a request; nil if it was not accepted by a Listener.
func FromContext(ctx context.Context) *Conn {
	c, _ := ctx.Value(connKey{}).(*Conn)
	return c
}

// Conn is a connection from a caller.
type Conn struct {
	net.Conn
	listener *Listener
	cancel   context.CancelFunc // ends the contexts of all requests

	mu       sync.Mutex
	deadline time.Time // read deadline set by the server
	handling bool      // a request is being handled
	idle     bool      // no request has begun to arrive since the last response
	served   bool      // at least one request was handled
	last     bool      // the caller sends no further request
	closed   bool
	ended    error // end of the stream

	reader   chan struct{} // closed when reading ahead has ended; nil if it is not running
	stop     chan struct{} // closed when reading ahead is to end
	stopping bool          // reading ahead is to end
	space    []byte        // of maxBytes, once needed; what follows buffered belongs to the reader
	buffered []byte        // part of space that was read ahead and not taken yet
	// bufferedAt is when the last bytes of buffered arrived.
	bufferedAt time.Time

	received  bool      // bytes have been taken by the server since the last request began
	aheadAt   time.Time // when the bytes of the next request arrived if that was during the last one
	arrivedAt time.Time // of the last request
}

// Begin records that the handling of a request begins. It returns when the request arrived:
// now, or earlier if it stood behind another one. last is true if the caller has announced
// that it sends no further request. A nil Conn returns now.
func (c *Conn) Begin(now time.Time, last bool) (arrived time.Time) {
	if c == nil {
		return now
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	arrived = now
	switch {
	case !c.aheadAt.IsZero():
		arrived = c.aheadAt
		c.listener.requests.Add(1)
	case c.served && !c.received: // it came in one piece with the last one
		arrived = c.arrivedAt
		c.listener.requests.Add(1)
	}
	c.handling, c.served, c.idle, c.last = true, true, false, last
	c.received, c.aheadAt, c.arrivedAt = false, time.Time{}, arrived
	return arrived
}

// End records that the handling of a request has ended and stops reading ahead.
func (c *Conn) End() {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.handling = false
	c.stopReading()
}

// stopReading stops reading ahead. The caller holds mu.
func (c *Conn) stopReading() {
	reader := c.reader
	if reader == nil {
		return
	}
	c.stopping = true
	close(c.stop)
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0)) // fails only if the connection is closed, which ends the read too
	c.mu.Unlock()
	<-reader
	c.mu.Lock()
	c.reader, c.stopping = nil, false
	_ = c.Conn.SetReadDeadline(c.deadline)
}

func (c *Conn) setIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = true
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	if n, err := c.takeBuffered(p); n > 0 || err != nil {
		return n, err
	}
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.ended = err
	}
	if n == 0 {
		return n, err
	}
	c.received = true
	if c.isWatch(p) && err == nil {
		c.aheadAt = time.Now()
		c.startReading()
	}
	return n, err
}

// isWatch reports whether a read into p is the one by which the server watches the
// connection of a running request: nothing else is read byte by byte. The caller holds mu.
func (c *Conn) isWatch(p []byte) bool { return c.handling && len(p) == 1 }

// startReading starts to read ahead behind what is buffered. The caller holds mu.
func (c *Conn) startReading() {
	if c.space == nil {
		c.space = make([]byte, maxBytes)
	}
	used := copy(c.space, c.buffered)
	c.buffered = c.space[:used]
	c.reader, c.stop = make(chan struct{}), make(chan struct{})
	go c.readAhead(c.reader, c.stop, used)
}

// takeBuffered returns what was read ahead, or the error that ended it.
func (c *Conn) takeBuffered(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopReading()
	if len(c.buffered) == 0 {
		return 0, c.ended
	}
	n := copy(p, c.buffered)
	c.buffered = c.buffered[n:]
	c.received, c.aheadAt = true, c.bufferedAt
	if c.isWatch(p) {
		c.startReading()
	}
	return n, nil
}

// readAhead reads until the end of the stream, or until stopReading. Once the buffer is full it
// only watches whether the caller leaves.
func (c *Conn) readAhead(done chan<- struct{}, stopped <-chan struct{}, used int) {
	defer close(done)
	for used < maxBytes {
		n, err := c.Conn.Read(c.space[used:])
		c.mu.Lock()
		if n > 0 {
			used += n
			c.buffered, c.bufferedAt = c.space[:used], time.Now()
		}
		stop := c.stopping
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			c.end(err)
		}
		c.mu.Unlock()
		if stop || err != nil {
			return
		}
	}
	c.watch(stopped)
}

// end drops the requests that were not begun and ends the contexts of all others. The caller
// holds mu.
func (c *Conn) end(err error) {
	c.ended, c.buffered = err, nil
	c.cancel()
}

// watch waits until the caller has left, or until stopReading.
func (c *Conn) watch(stopped <-chan struct{}) {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return // already closed, which the server notices by itself
	}
	if presence.Await(raw, stopped) {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.end(io.EOF)
	}
}

// SetReadDeadline implements net.Conn.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	return c.Conn.SetReadDeadline(t)
}

// SetDeadline implements net.Conn.
func (c *Conn) SetDeadline(t time.Time) error {
	return errors.Join(c.SetReadDeadline(t), c.SetWriteDeadline(t))
}

// CloseWrite closes the server's side.
func (c *Conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return errors.ErrUnsupported
}

// Close implements net.Conn. Behind a response that closes the connection it returns at once
// and closes the connection in two steps.
func (c *Conn) Close() error {
	c.mu.Lock()
	// A request that has begun to arrive on an idle connection stays unread, so that the
	// caller may send it again.
	linger := c.served && !c.closed && !c.handling && !c.idle && !c.last && c.ended == nil
	c.closed = true
	c.mu.Unlock()
	if c.cancel != nil {
		c.cancel()
	}
	if !linger || c.CloseWrite() != nil {
		return c.Conn.Close()
	}
	c.listener.lingering.Add(1)
	go c.linger()
	return nil
}

// ResetOnClose makes Close reset the connection. A caller that takes the end of the connection
// for the end of the response would otherwise take a part of it for the whole.
func (c *Conn) ResetOnClose() {
	if tc, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
		_ = tc.SetLinger(0) // fails only if it is closed
	}
}

func (c *Conn) linger() {
	defer c.listener.lingering.Add(-1)
	_ = c.Conn.SetReadDeadline(time.Now().Add(lingerTime)) // fails only if it is closed
	_, _ = io.CopyN(io.Discard, c.Conn, maxLingerBytes)    // any end will do
	_ = c.Conn.Close()
}
