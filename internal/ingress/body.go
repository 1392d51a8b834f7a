package ingress

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/teaselseam/teaselseam/internal/call"
	"github.com/teaselseam/teaselseam/internal/control"
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

// readBody reads the body until the deadline, so that a caller that sends it
// slowly or goes silent does not hold the request for longer.
func (in *Ingress) readBody(w http.ResponseWriter, r *http.Request, c *call.Call, snap *control.Snapshot) *request.Refusal {
	if r.ContentLength == 0 {
		return nil
	}
	connection := http.NewResponseController(w)
	// A connection without deadlines, as in tests, is read without a bound.
	_ = connection.SetReadDeadline(c.Deadline)
	var err error
	c.Body, err = call.ReadBody(r.Body, r.ContentLength, snap.Settings.Service(c.Service).MaxBody)
	switch {
	case err == nil:
		_ = connection.SetReadDeadline(time.Time{})
		return nil
	case errors.Is(err, call.ErrBodyTooLarge):
		return refuse(request.ReasonBodyTooLarge, 0)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return refuse(request.ReasonDeadline, 0)
	default:
		return refuse(request.ReasonBadRequest, 0)
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
