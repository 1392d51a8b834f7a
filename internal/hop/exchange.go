package hop

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"strconv"
	"syscall"
	"time"

	"github.com/teaselseam/teaselseam/internal/memory"
	"github.com/teaselseam/teaselseam/internal/presence"
	"github.com/teaselseam/teaselseam/internal/sockets"
	"github.com/teaselseam/teaselseam/platform"
)

const (
	// maxInlineBody is the largest body, in bytes, that is written before waiting for
	// the response. Larger ones are written concurrently, because the peer may
	// respond before it has read the whole body.
	maxInlineBody = 2 << 10
	// maxStaleResponses is how many responses to earlier requests are skipped while
	// waiting for one response.
	maxStaleResponses = 2
	// maxStaleBody is the largest body, in bytes, of a response that is skipped.
	maxStaleBody = 64 << 10
	// maxUnknownLength bounds the body of a response that states no length, in bytes.
	// Without it, a faulty peer that never ends its body would hold the connections on
	// both sides until the deadline.
	maxUnknownLength = 8 << 20
	// bodyWriteGrace is how long writing the rest of a request body may take after
	// the response has arrived.
	bodyWriteGrace = 100 * time.Millisecond
)

// ErrCallerLeft is the cause of failure if the caller of a request has closed its connection
// and the context has not ended yet.
var ErrCallerLeft = errors.New("caller has left")

// errBadResponse is returned if no response to the request was received.
var errBadResponse = errors.New("received no response, a protocol switch, or only responses to other requests")

// errUnattributed is returned if a statement that a request has not run names no request and
// may be a copy of one on an earlier request.
var errUnattributed = errors.New("refusal without a request ID on a connection that was used before")

// errResponseTooLarge is returned if a response body without a stated length exceeds
// maxUnknownLength.
var errResponseTooLarge = errors.New("response body of unknown length exceeds the size limit")

// Error is the failure of a request/response exchange.
type Error struct {
	// Sent is false only if the peer certainly received no byte of the request.
	Sent bool
	// ConnRefused is true if nothing listens at the address.
	ConnRefused bool
	// ContextDone is true if the deadline passed or the caller cancelled the request.
	// It is also set if the connection's deadline fires slightly before the context's.
	ContextDone bool
	// NoSocket is true if this process has no socket left, which tells nothing about the peer.
	NoSocket bool
	// ReuseFailed is true if nothing was received on a connection that had been used
	// before: it may have been lost while the peer is well.
	ReuseFailed bool
	Err         error
}

func (e *Error) Error() string { return e.Err.Error() }

func (e *Error) Unwrap() error { return e.Err }

// exchange holds the parameters of one request/response exchange.
type exchange struct {
	addr    string
	call    *Call
	header  http.Header
	checkID bool // verify that the response carries the call's ID, or none if the call has none
	// accept checks the status and header of the response before its body is read,
	// and may change them. After an error the exchange has failed and its connection
	// is closed, since what follows on it belongs to no request. It may be nil.
	accept func(*Response) error
	choice connChoice
	// hold is set if the peer asks for the rest of the request body.
	hold bool
	rest *attemptRest // of the request body; nil if there is none
	// memory is the budget for the body of the response, which must be closed; nil if that is
	// not accounted for.
	memory *memory.Budget
}

// connChoice is the idle connection that an exchange may reuse. It opens a new one if there
// is none.
type connChoice uint8

const (
	connLatest connChoice = iota // the most recently used
	// connRecent is the most recently used if that was within maxIdleNonIdempotent. The
	// peer or the network may have silently dropped an older one, and a request sent on it
	// would fail without a further retry.
	connRecent
	connOldest // the least recently used, which tells most about the others
	connNew    // none
)

// recentIf returns connRecent if the request can be sent only once.
func recentIf(once bool) connChoice {
	if once {
		return connRecent
	}
	return connLatest
}

// do sends a request and returns the response. Up to MaxBufferedBody bytes of the
// body are buffered; the remainder is streamed through Rest.
//
// Nothing is sent once ctx has ended or the caller has left. If ctx ends later, the exchange
// fails, and so does the reader of Rest: the connection is closed, by which the peer learns of
// it.
func (p *Pool) do(ctx context.Context, x exchange) (*Response, *Error) {
	if presence.Left(ctx) {
		return nil, notWanted(ctx)
	}
	var err error
	if x.rest, err = newAttemptRest(&x.call.Body, x.hold); err != nil {
		return nil, &Error{Err: err}
	}
	c, err := p.get(ctx, x)
	if err != nil {
		return nil, &Error{
			Err: err, ConnRefused: errors.Is(err, syscall.ECONNREFUSED), NoSocket: errors.Is(err, sockets.ErrNone),
			ContextDone: ctx.Err() != nil,
		}
	}
	if !c.reused && presence.Left(ctx) { // opening the connection took a while
		_ = c.Close() // never used
		return nil, notWanted(ctx)
	}
	began := time.Now()
	stop := context.AfterFunc(ctx, c.cancel)
	resp, keep, e := p.roundTrip(c, x)
	if e != nil {
		e.ContextDone = ctx.Err() != nil || errors.Is(e.Err, os.ErrDeadlineExceeded)
		if c.reused && !c.received.any && (!errors.Is(ctx.Err(), context.Canceled) || errors.Is(context.Cause(ctx), errSilent)) {
			e.ReuseFailed = true
			p.reuseFailed(x.addr, began)
		}
	}
	if resp != nil && resp.Rest != nil {
		resp.Rest = &streamedBody{Reader: resp.Rest, conn: c, stop: stop}
		return resp, nil
	}
	if !stop() {
		keep = false
	}
	if e == nil && keep && !c.ambiguous {
		p.put(x.addr, c)
	} else {
		_ = c.Close() // the connection may hold unread or unsent data
	}
	return resp, e
}

// notWanted returns the failure of an exchange that was not begun, because ctx has ended or the
// caller has left.
func notWanted(ctx context.Context) *Error {
	if err := context.Cause(ctx); err != nil {
		return &Error{Err: err, ContextDone: true}
	}
	return &Error{Err: ErrCallerLeft, ContextDone: true}
}

func (p *Pool) roundTrip(c *conn, x exchange) (*Response, bool, *Error) {
	written := make(chan error, 1)
	writing, err := c.send(x, written)
	if err != nil {
		// Some data may have been sent although the write failed.
		return nil, false, &Error{Sent: true, Err: err}
	}
	if !writing {
		written = nil
	}
	resp, keep, err := c.receive(x, written)
	x.rest.answered()
	if err != nil {
		if writing {
			c.dropUnsent()
		}
		return nil, false, &Error{Sent: true, Err: err}
	}
	if writing {
		keep = keep && resp.Rest == nil && bodyWritten(written)
	}
	return resp, keep, nil
}

// bodyWritten waits until the rest of the request body is written after an early
// response. It returns false if that fails or exceeds bodyWriteGrace. The connection
// must not be reused then, since the peer would take the next request for the rest
// of this body.
func bodyWritten(written <-chan error) bool {
	t := time.NewTimer(bodyWriteGrace)
	defer t.Stop()
	select {
	case err := <-written:
		return err == nil
	case <-t.C:
		return false
	}
}

// send writes the request. It returns true if the body is still being written in the
// background; the result is then sent on written.
func (c *conn) send(x exchange, written chan error) (bool, error) {
	call := x.call
	c.responses.Expect(call.Method)
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
	c.w.WriteString("\r\n") // bufio.Writer keeps the errors of the writes above and Flush returns them
	if x.rest == nil && len(b.Data) <= maxInlineBody {
		c.w.Write(b.Data)
		return false, c.w.Flush()
	}
	if err := c.w.Flush(); err != nil {
		return false, err
	}
	go func() { written <- c.writeBody(b, x.rest, chunked) }()
	return true, nil
}

// writeBody writes a request body. A rest that ends with an error leaves the body incomplete,
// which the end of the connection shows: at once, or once the response has been read if the
// rest was not wanted any more.
func (c *conn) writeBody(b *Body, rest *attemptRest, chunked bool) error {
	var err error
	if chunked {
		err = writeChunks(c.w, b, rest)
	} else {
		err = writeFramed(c.Conn, b, rest)
	}
	if err != nil && !errors.Is(err, errRestNotWanted) && !errors.Is(err, errRestTaken) {
		c.dropUnsent()
		_ = c.Close() // otherwise the peer would wait for the rest
	}
	return err
}

func writeFramed(w io.Writer, b *Body, rest *attemptRest) error {
	if _, err := w.Write(b.Data); err != nil || rest == nil {
		return err
	}
	n, err := io.Copy(w, rest)
	if err == nil && n != b.Length-int64(len(b.Data)) {
		err = io.ErrUnexpectedEOF
	}
	return err
}

func writeChunks(w *bufio.Writer, b *Body, rest *attemptRest) error {
	chunk := func(data []byte) {
		if len(data) > 0 {
			w.WriteString(strconv.FormatInt(int64(len(data)), 16) + "\r\n")
			w.Write(data)
			w.WriteString("\r\n")
		}
	}
	chunk(b.Data)
	if rest != nil {
		if err := w.Flush(); err != nil { // the peer asks for the rest once it has this
			return err
		}
		buf := make([]byte, 16<<10)
		for {
			n, err := rest.Read(buf)
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

// receive reads the response and returns whether the connection may be reused. written receives
// the result of writing the request body; it is nil if that is done.
func (c *conn) receive(x exchange, written chan error) (*Response, bool, error) {
	keep := true
	for range maxStaleResponses + 1 {
		httpResp, err := c.readHead(x.call.Method)
		if err != nil {
			return nil, false, err
		}
		if httpResp.StatusCode < 200 {
			if httpResp.StatusCode == http.StatusSwitchingProtocols {
				return nil, false, errBadResponse
			}
			if httpResp.StatusCode == http.StatusContinue {
				x.rest.peerAsks()
			}
			continue
		}
		if x.checkID {
			rh := platform.ReadResponseHeader(httpResp.StatusCode, httpResp.Header)
			if rh.ID != "" && rh.ID != x.call.ID {
				keep = false
				if !discardBody(httpResp) {
					return nil, false, errBadResponse
				}
				continue
			}
			if rh.NotRun {
				if rh.ID == "" && x.call.ID != "" && c.reused {
					return nil, false, errUnattributed
				}
				c.refused(x.call.ID, rh.ID != "")
			}
		}
		return c.readBody(x, httpResp, keep, written)
	}
	return nil, false, errBadResponse
}

// responsePrefix is how a response begins.
const responsePrefix = "HTTP/1."

// readHead waits for a response and reads its head.
func (c *conn) readHead(method string) (*http.Response, error) {
	if _, err := c.r.Peek(1); err != nil {
		return nil, err
	}
	if !c.headBuffered() {
		c.limitHead()
		defer c.unlimitHead()
	}
	if start, err := c.r.Peek(len(responsePrefix)); err != nil {
		return nil, err
	} else if string(start) != responsePrefix {
		return nil, errBadResponse
	}
	return http.ReadResponse(c.r, &http.Request{Method: method})
}

// headBuffered reports whether the whole head of the response has arrived.
func (c *conn) headBuffered() bool {
	data, _ := c.r.Peek(c.r.Buffered()) // cannot fail for what is buffered
	return bytes.Contains(data, []byte("\r\n\r\n"))
}

// discardBody reads and discards the body of a response to an earlier request. It
// returns false if the end of the body cannot be determined or the body is larger
// than maxStaleBody.
func discardBody(httpResp *http.Response) bool {
	if httpResp.ContentLength < 0 && len(httpResp.TransferEncoding) == 0 || httpResp.ContentLength > maxStaleBody {
		return false
	}
	n, err := io.Copy(io.Discard, io.LimitReader(httpResp.Body, maxStaleBody))
	return err == nil && n < maxStaleBody
}

// readBody reads the body of a response and returns whether the connection may be
// reused.
func (c *conn) readBody(x exchange, httpResp *http.Response, keep bool, written chan error) (*Response, bool, error) {
	framed := httpResp.ContentLength >= 0 || len(httpResp.TransferEncoding) > 0
	resp := &Response{Status: httpResp.StatusCode, Header: httpResp.Header, Length: httpResp.ContentLength}
	if x.accept != nil {
		if err := x.accept(resp); err != nil {
			return nil, false, err
		}
	}
	if x.call.Method == http.MethodHead {
		return resp, keep && !httpResp.Close && c.drained(), nil
	}
	if !framed {
		httpResp.Body = &unframedBody{ReadCloser: httpResp.Body, conn: c, written: written}
	}
	if httpResp.ContentLength != 0 {
		resp.memory = x.memory.Reserve()
	}
	data, whole, err := readBuffered(httpResp.Body, httpResp.ContentLength, MaxBufferedBody, resp.memory)
	if err != nil {
		resp.memory.Release()
		return nil, false, err
	}
	resp.Body = data
	if !whole {
		resp.Rest = httpResp.Body
		if httpResp.ContentLength < 0 {
			rest := &limitedReader{r: httpResp.Body, remaining: maxUnknownLength - int64(len(data)), exceeded: errResponseTooLarge}
			resp.Rest = io.NopCloser(rest) // do adds the Close that ends the connection
		}
		return resp, false, nil
	}
	resp.Length = int64(len(data))
	c.peerIdleTimeout = platform.ReadResponseHeader(httpResp.StatusCode, httpResp.Header).IdleTimeout
	return resp, keep && framed && !httpResp.Close && c.drained(), nil
}

// drained reports whether nothing that was received follows the last response.
func (c *conn) drained() bool { return c.r.Buffered() == 0 && c.responses.Idle() }

// idleMargin is how long before the peer's idle timeout a connection is no longer
// reused, since a request might reach the peer while it closes the connection.
const idleMargin = 500 * time.Millisecond

// streamedBody is the part of a response body that is not buffered. Its connection is
// not reused.
type streamedBody struct {
	io.Reader
	conn *conn
	stop func() bool // ends the watch of the exchange's context
}

func (r *streamedBody) Close() error {
	r.stop()
	return r.conn.Close()
}
