package hop

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/teaselseam/teaselseam/platform"
)

const (
	// readBuffer and writeBuffer are the sizes of a connection's buffers, in
	// bytes. Most requests and headers of answers fit.
	readBuffer  = 4 << 10
	writeBuffer = 2 << 10
	// writeAhead is the size of a body, in bytes, that is written before the
	// answer is awaited. A larger one is written beside the wait, because the
	// other side may answer before it has read everything.
	writeAhead = 2 << 10
	// maxStray is the number of answers to earlier requests that are skipped on a
	// connection.
	maxStray = 2
	// finishWrite is how long the rest of a request may take after its answer.
	finishWrite = 100 * time.Millisecond
)

// errBadAnswer: the bytes received are not the whole answer to the request.
var errBadAnswer = errors.New("the answer is not whole or not to this request")

// Error is the failure of an exchange.
type Error struct {
	// Sent is true unless it is sure that the other side got no byte of the
	// request.
	Sent bool
	// Refused is true if there is no listener at the address.
	Refused bool
	Err     error
}

// Error implements error.
func (e *Error) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Pool keeps connections for reuse. It is safe for concurrent use.
type Pool struct {
	dialer  net.Dialer
	maxIdle time.Duration // idle connections older than this are closed

	mu   sync.Mutex
	idle map[string][]*conn
	// Opened counts new connections, Reused those used again.
	opened, reused uint64
}

// NewPool returns a pool that closes connections after maxIdle, which must be
// shorter than the time after which the other side closes them.
func NewPool(dialTimeout, maxIdle time.Duration) *Pool {
	p := &Pool{maxIdle: maxIdle, idle: map[string][]*conn{}}
	p.dialer = *Dialer(dialTimeout)
	return p
}

// Dialer returns a dialer whose connections fail soon after the other side has
// gone silent.
func Dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{Timeout: timeout, KeepAliveConfig: KeepAlive, Control: SetUserTimeout}
}

// silence is how long a connection may leave bytes or probes unacknowledged.
// Round trips take a few ms, so this covers several lost packets.
const silence = 1200 * time.Millisecond

// KeepAlive finds connections that went silent while an answer is awaited.
var KeepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: 500 * time.Millisecond, Count: 3}

// SetUserTimeout bounds how long sent bytes may stay unacknowledged. It fits
// net.Dialer.Control and net.ListenConfig.Control.
func SetUserTimeout(_, _ string, c syscall.RawConn) error {
	var err error
	ctlErr := c.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silence.Milliseconds()))
	})
	return errors.Join(ctlErr, err)
}

type conn struct {
	net.Conn
	r      *bufio.Reader
	w      *bufio.Writer
	raw    syscall.RawConn
	until  time.Time     // not used again after this
	usedAt time.Time     // end of the last exchange
	idle   time.Duration // after which the other side closes it; zero if it does not say
}

// exchange describes one request on a connection.
type exchange struct {
	addr    string
	call    *Call
	header  http.Header
	checkID bool
	// newest uses only a connection that was in use a moment ago. The other side may
	// have forgotten an older one, and then a request that may not be repeated fails.
	newest bool
}

// momentIdle is how long ago a connection was used at most for a request that may
// not be repeated.
const momentIdle = 250 * time.Millisecond

// do sends a request and returns the answer with its body, up to MaxBuffered.
func (p *Pool) do(ctx context.Context, x exchange) (*Answer, *Error) {
	c, err := p.get(ctx, x)
	if err != nil {
		return nil, &Error{Err: err, Refused: errors.Is(err, syscall.ECONNREFUSED)}
	}
	stop := context.AfterFunc(ctx, func() { c.SetDeadline(time.Unix(1, 0)) })
	a, keep, e := p.exchange(c, x)
	if !stop() {
		keep = false
	}
	if a != nil && a.Rest != nil {
		a.Rest = &rest{Reader: a.Rest, conn: c}
		return a, nil
	}
	if e == nil && keep {
		p.put(x.addr, c)
	} else {
		_ = c.Close() // the connection is in doubt
	}
	return a, e
}

func (p *Pool) exchange(c *conn, x exchange) (*Answer, bool, *Error) {
	written := make(chan error, 1)
	wait, err := c.send(x, written)
	if err != nil {
		// The bytes may have left although the write failed.
		return nil, false, &Error{Sent: true, Err: err}
	}
	a, keep, err := c.receive(x)
	if err != nil {
		return nil, false, &Error{Sent: true, Err: err}
	}
	if wait {
		keep = keep && a.Rest == nil && finished(written)
	}
	return a, keep, nil
}

// finished waits for the rest of a request that was answered early. If it is not
// written soon, the connection can't be used again: the other side would take the
// next request for the rest of this one.
func finished(written <-chan error) bool {
	t := time.NewTimer(finishWrite)
	defer t.Stop()
	select {
	case err := <-written:
		return err == nil
	case <-t.C:
		return false
	}
}

// send writes the request. It returns true if the body is still being written,
// whose end is then told on written.
func (c *conn) send(x exchange, written chan<- error) (bool, error) {
	call := x.call
	c.w.WriteString(call.Method)
	c.w.WriteByte(' ')
	c.w.WriteString(call.URI)
	c.w.WriteString(" HTTP/1.1\r\nHost: ")
	c.w.WriteString(call.Host)
	c.w.WriteString("\r\n")
	if err := x.header.Write(c.w); err != nil {
		return false, err
	}
	b := &call.Body
	chunked := b.Length < 0
	switch {
	case chunked:
		c.w.WriteString("Transfer-Encoding: chunked\r\n")
	case b.Length > 0 || call.Method != http.MethodGet && call.Method != http.MethodHead:
		c.w.WriteString("Content-Length: " + strconv.FormatInt(b.Length, 10) + "\r\n")
	}
	c.w.WriteString("\r\n") // errors of the writes above are kept by the writer and returned by Flush
	if b.Rest == nil && len(b.Data) <= writeAhead {
		c.w.Write(b.Data)
		return false, c.w.Flush()
	}
	if err := c.w.Flush(); err != nil {
		return false, err
	}
	go func() { written <- c.writeBody(b, chunked) }()
	return true, nil
}

func (c *conn) writeBody(b *Body, chunked bool) error {
	body := io.Writer(c.Conn)
	if chunked {
		return writeChunks(c.w, b)
	}
	if _, err := body.Write(b.Data); err != nil {
		return err
	}
	if b.Rest == nil {
		return nil
	}
	n, err := io.Copy(body, b.Rest)
	if err == nil && n != b.Length-int64(len(b.Data)) {
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		_ = c.Close() // the other side must not wait for the rest
	}
	return err
}

func writeChunks(w *bufio.Writer, b *Body) error {
	chunk := func(data []byte) {
		if len(data) > 0 {
			w.WriteString(strconv.FormatInt(int64(len(data)), 16) + "\r\n")
			w.Write(data)
			w.WriteString("\r\n")
		}
	}
	chunk(b.Data)
	if b.Rest != nil {
		buf := make([]byte, 16<<10)
		for {
			n, err := b.Rest.Read(buf)
			chunk(buf[:n])
			if err == io.EOF {
				break
			}
			if err != nil {
				return err
			}
			if err := w.Flush(); err != nil {
				return err
			}
		}
	}
	w.WriteString("0\r\n\r\n")
	return w.Flush()
}

// receive reads the answer. It returns whether the connection may be used again.
func (c *conn) receive(x exchange) (*Answer, bool, error) {
	keep := true
	for range maxStray + 1 {
		resp, err := http.ReadResponse(c.r, &http.Request{Method: x.call.Method})
		if err != nil {
			return nil, false, err
		}
		if resp.StatusCode < 200 {
			if resp.StatusCode == http.StatusSwitchingProtocols {
				return nil, false, errBadAnswer
			}
			continue
		}
		if x.checkID && x.call.ID != "" {
			if id := platform.ReadResponseHeader(resp.StatusCode, resp.Header).ID; id != "" && id != x.call.ID {
				keep = false
				if !skippable(resp) {
					return nil, false, errBadAnswer
				}
				continue
			}
		}
		return c.body(x, resp, keep)
	}
	return nil, false, errBadAnswer
}

// skippable reads the body of an answer to an earlier request, if its end can be
// found.
func skippable(resp *http.Response) bool {
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		return false
	}
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, MaxBuffered))
	return err == nil && n < MaxBuffered
}

func (c *conn) body(x exchange, resp *http.Response, keep bool) (*Answer, bool, error) {
	framed := resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
	a := &Answer{Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength}
	if x.call.Method == http.MethodHead {
		return a, keep && !resp.Close && c.r.Buffered() == 0, nil
	}
	data, whole, err := ReadUpTo(resp.Body, resp.ContentLength)
	if err != nil {
		return nil, false, err
	}
	a.Body = data
	if !whole {
		a.Rest = resp.Body
		return a, false, nil
	}
	a.Length = int64(len(data))
	c.idle = platform.ReadResponseHeader(resp.StatusCode, resp.Header).Idle
	return a, keep && framed && !resp.Close && c.r.Buffered() == 0, nil
}

// idleMargin is how long before the other side closes an idle connection it is
// no longer used.
const idleMargin = 500 * time.Millisecond

// ReadUpTo reads a body of the given length, -1 if unknown, up to MaxBuffered
// bytes. It returns whether that was the whole body.
func ReadUpTo(r io.Reader, length int64) ([]byte, bool, error) {
	if length == 0 {
		return nil, true, nil
	}
	if length > 0 && length <= MaxBuffered {
		data := make([]byte, length)
		if _, err := io.ReadFull(r, data); err != nil {
			return nil, false, err
		}
		// Reads the end, so that trailing bytes of a chunked body are taken.
		return data, true, nil
	}
	data, err := io.ReadAll(io.LimitReader(r, MaxBuffered))
	if err != nil {
		return nil, false, err
	}
	return data, len(data) < MaxBuffered, nil
}

// rest is the part of an answer that is not held in memory. Its connection is not
// used again.
type rest struct {
	io.Reader
	conn *conn
}

// Close closes the connection.
func (r *rest) Close() error { return r.conn.Close() }

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

func setDeadline(ctx context.Context, c *conn) {
	d, _ := ctx.Deadline() // the zero time means no deadline
	c.SetDeadline(d)
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
	p.reused++
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

// Drop closes the idle connections to an address.
func (p *Pool) Drop(addr string) {
	p.mu.Lock()
	list := p.idle[addr]
	delete(p.idle, addr)
	p.mu.Unlock()
	for _, c := range list {
		_ = c.Close() // idle; nobody waits for it
	}
}

// Counts returns how many connections were opened and how often one was reused.
func (p *Pool) Counts() (opened, reused uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.opened, p.reused
}

// silent tells whether an idle connection is open and no byte has arrived.
func (c *conn) silent() bool {
	if c.r.Buffered() > 0 || c.raw == nil {
		return false
	}
	silent := false
	err := c.raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		silent = err == unix.EAGAIN || err == unix.EWOULDBLOCK
		return true
	})
	return err == nil && silent
}
