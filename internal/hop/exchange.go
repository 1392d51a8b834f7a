package hop

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"strconv"
	"syscall"
	"time"

	"github.com/teaselseam/teaselseam/platform"
)

const (
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
	// ConnRefused is true if there is no listener at the address.
	ConnRefused bool
	// ContextDone is true if the deadline passed or the caller left. The connection may
	// notice the deadline a moment before the context does.
	ContextDone bool
	Err   error
}

// Error implements error.
func (e *Error) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

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

// do sends a request and returns the answer with its body, up to MaxBuffered.
func (p *Pool) do(ctx context.Context, x exchange) (*Response, *Error) {
	c, err := p.get(ctx, x)
	if err != nil {
		return nil, &Error{Err: err, ConnRefused: errors.Is(err, syscall.ECONNREFUSED), ContextDone: ctx.Err() != nil}
	}
	stop := context.AfterFunc(ctx, func() { c.SetDeadline(time.Unix(1, 0)) })
	a, keep, e := p.exchange(c, x)
	if e != nil {
		e.ContextDone = ctx.Err() != nil || errors.Is(e.Err, os.ErrDeadlineExceeded)
	}
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

func (p *Pool) exchange(c *conn, x exchange) (*Response, bool, *Error) {
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
func (c *conn) receive(x exchange) (*Response, bool, error) {
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
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, MaxBufferedBody))
	return err == nil && n < MaxBufferedBody
}

func (c *conn) body(x exchange, resp *http.Response, keep bool) (*Response, bool, error) {
	framed := resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
	a := &Response{Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength}
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
	if length > 0 && length <= MaxBufferedBody {
		data := make([]byte, length)
		if _, err := io.ReadFull(r, data); err != nil {
			return nil, false, err
		}
		// Reads the end, so that trailing bytes of a chunked body are taken.
		return data, true, nil
	}
	data, err := io.ReadAll(io.LimitReader(r, MaxBufferedBody))
	if err != nil {
		return nil, false, err
	}
	return data, len(data) < MaxBufferedBody, nil
}

// rest is the part of an answer that is not held in memory. Its connection is not
// used again.
type rest struct {
	io.Reader
	conn *conn
}

// Close closes the connection.
func (r *rest) Close() error { return r.conn.Close() }
