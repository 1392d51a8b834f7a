package ingress

import (
	"errors"
	"io"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/teaselseam/teaselseam/internal/call"
	"github.com/teaselseam/teaselseam/internal/request"
)

// Limits on the body of a request that is refused before it was read.
const (
	// maxUnread is the largest rest that is read to keep the connection, in bytes.
	maxUnread = 64 << 10
	// unreadWait is how long a refusal waits for that rest to arrive.
	unreadWait = 10 * time.Millisecond
	// lingerTime is how long net/http reads on after the refusal was sent. A
	// connection closed with unread bytes is reset, and the caller may then lose
	// the refusal.
	lingerTime = 500 * time.Millisecond
)

// maxBodies is the memory for the request bodies of all calls under way, in
// bytes: two of the largest size that max_body allows.
const maxBodies = 128 << 20

// bodiesRetry is when to try again after a refusal for lack of that memory.
const bodiesRetry = time.Second

// memory counts bytes that are set aside. It is safe for concurrent use.
type memory struct{ used atomic.Int64 }

// reserve sets bytes aside unless the limit would be exceeded.
func (m *memory) reserve(bytes, limit int64) (release func(), ok bool) {
	if m.used.Add(bytes) > limit {
		m.used.Add(-bytes)
		return func() {}, false
	}
	return func() { m.used.Add(-bytes) }, true
}

// readBody reads the body into memory, which release gives back.
func (in *Ingress) readBody(w http.ResponseWriter, r *http.Request, c *call.Call) (release func(), refusal *request.Refusal) {
	limit := in.control.Snapshot().Settings.Service(c.Service).MaxBody
	size := r.ContentLength
	if size < 0 {
		size = limit
	}
	if size > limit {
		return func() {}, request.Refused(request.ReasonBodyTooLarge, 0)
	}
	release, ok := in.bodies.reserve(size, maxBodies)
	if !ok {
		return release, request.Refused(request.ReasonOverload, bodiesRetry)
	}
	return release, receiveBody(w, r, c, limit)
}

// receiveBody reads the body until the deadline, so that a caller that sends it
// slowly or goes silent does not hold the request for longer.
func receiveBody(w http.ResponseWriter, r *http.Request, c *call.Call, limit int64) *request.Refusal {
	if r.ContentLength == 0 {
		return nil
	}
	connection := http.NewResponseController(w)
	// A connection without deadlines, as in tests, is read without a bound.
	_ = connection.SetReadDeadline(c.Deadline)
	var err error
	c.Body, err = call.ReadBody(r.Body, r.ContentLength, limit)
	switch {
	case err == nil:
		_ = connection.SetReadDeadline(time.Time{})
		return nil
	case errors.Is(err, call.ErrBodyTooLarge):
		return request.Refused(request.ReasonBodyTooLarge, 0)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return request.Refused(request.ReasonDeadline, 0)
	default:
		return request.Refused(request.ReasonBadRequest, 0)
	}
}

// endBody prepares a refusal of a request whose body was not read to its end.
// If the rest is not there at once, the refusal is sent without it and ends the
// connection: net/http would otherwise wait for the rest without a bound before
// it sends the refusal, or take the rest for the next request.
func endBody(w http.ResponseWriter, r *http.Request) {
	if r.ContentLength == 0 {
		return
	}
	connection := http.NewResponseController(w)
	// Other kinds of connections, as in tests, have no deadlines and modes.
	_ = connection.SetReadDeadline(time.Now().Add(unreadWait))
	if r.Header.Get("Expect") == "" && readsToEnd(r.Body) {
		_ = connection.SetReadDeadline(time.Time{})
		return
	}
	_ = connection.SetReadDeadline(time.Now().Add(lingerTime))
	_ = connection.EnableFullDuplex()
	w.Header().Set("Connection", "close")
}

func readsToEnd(body io.Reader) bool {
	_, err := io.CopyN(io.Discard, body, maxUnread+1)
	return err == io.EOF
}
