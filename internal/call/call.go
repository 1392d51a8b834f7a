// Package call defines one hop of a request, from an ingress to a guard and
// back, and its HTTP form on the peer connection.
package call

import (
	"io"
	"maps"
	"net/http"
	"sync"
	"time"

	"github.com/teaselseam/teaselseam/internal/request"
	"github.com/teaselseam/teaselseam/internal/workspace"
)

// MaxBuffered is the largest response body that is held in memory and checked
// before the caller sees a byte of it, in bytes. A longer body is streamed; if
// it ends early, the caller's connection is closed.
const MaxBuffered = 1 << 20

// Call is one hop of a request.
type Call struct {
	ID         request.ID // of this call; equals Root at the first hop
	Root       request.ID
	Attempt    string // unique to each attempt
	Workspace  string
	KeyDigest  workspace.Digest
	Route      string
	Service    string
	Importance request.Importance
	Idempotent bool
	Deadline   time.Time
	Depth      int    // hops from the root; 0 for the root
	Budget     int    // retries lent to the part of the call tree below this call
	Guard      string // incarnation of the node that the call is meant for

	Method string
	URI    string // path and query
	Header http.Header
	Body   []byte
}

// Load are the figures of a guard that ride on its responses.
type Load struct {
	Encoded string // in the form of package pressure
	Hints   string // in the form of package pressure
}

// Response is the outcome of a call.
type Response struct {
	// Refusal is set if there is no complete answer of a backend server. The
	// fields below it are then empty.
	Refusal *request.Refusal

	Status int
	Header http.Header
	Body   []byte
	// Rest is the remainder of a body longer than MaxBuffered; the receiver
	// closes it. Length is the length of the whole body, or -1 if it is unknown
	// or the response has no body but may have a Content-Length (HEAD, 304).
	Rest   io.ReadCloser
	Length int64

	BudgetUnused int
	Load         Load
	Draining     bool
}

// Refused returns a response that is a refusal.
func Refused(r request.Refusal) *Response { return &Response{Refusal: &r} }

// CopyHeader copies the caller's headers to a request. net/http adds no
// User-Agent of its own.
func (c *Call) CopyHeader(h http.Header) {
	maps.Copy(h, c.Header)
	if _, ok := h["User-Agent"]; !ok {
		h["User-Agent"] = nil
	}
}

// WhenRead calls f when the response has been read: at once, or when Rest is
// closed. A whole response was read to its end. Calls made earlier are called
// first.
func (r *Response) WhenRead(f func(whole bool)) {
	if r.Rest == nil {
		f(true)
		return
	}
	r.Rest = &rest{ReadCloser: r.Rest, closed: f}
}

// rest is a streamed body that reports its end.
type rest struct {
	io.ReadCloser
	whole  bool
	once   sync.Once
	closed func(whole bool)
}

func (b *rest) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.whole = b.whole || err == io.EOF
	return n, err
}

func (b *rest) Close() error {
	err := b.ReadCloser.Close()
	b.once.Do(func() { b.closed(b.whole) })
	return err
}
