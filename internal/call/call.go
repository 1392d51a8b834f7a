// Package call defines one hop of a request, from an ingress to a guard and
// back, and its HTTP form on the peer connection.
package call

import (
	"bytes"
	"io"
	"net/http"
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
	// closes it. Length is the length of the whole body, or -1 if unknown.
	Rest   io.ReadCloser
	Length int64

	BudgetUnused int
	Load         Load
	Draining     bool
}

// Refused returns a response that is a refusal.
func Refused(r request.Refusal) *Response { return &Response{Refusal: &r} }

// onceBody is a request body that net/http cannot send a second time. It also
// hides an empty body from net/http, which would otherwise repeat a GET on its
// own when a reused connection fails.
type onceBody struct{ *bytes.Reader }

func (onceBody) Close() error { return nil }

// Body returns a request body that is sent at most once.
func Body(data []byte) io.ReadCloser { return onceBody{bytes.NewReader(data)} }
