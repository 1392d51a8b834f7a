// Package hop carries a call over one connection: from the node of its caller to
// the node beside a backend server, and from there to the backend server.
//
// Calls travel as plain HTTP/1.1, the caller's method, path, headers and body
// unchanged, with one header of the project's own between nodes (CallHeader) and
// one on answers (AnswerHeader). The package does not use http.Transport: that
// repeats requests by itself on reused connections, and it does not tell whether
// a request may have reached the other side. Pool makes each exchange once and
// says exactly that (Error).
//
// # Connections in doubt
//
// A connection is used again only if the last exchange left no doubt: the request
// was written whole, the answer was framed, bore the request's ID and was followed
// by no further byte. Before it is used again, it must be open and silent. An
// answer with another ID is the late answer to an earlier request; it is skipped
// and the connection closed after the exchange.
package hop

import (
	"io"
	"net/http"
	"time"

	"github.com/teaselseam/teaselseam/internal/pressure"
	"github.com/teaselseam/teaselseam/internal/request"
	"github.com/teaselseam/teaselseam/platform"
)

// MaxBufferedBody is the size up to which bodies are held whole, in bytes. The
// largest bodies of the users are 36 KB. Larger ones pass through.
const MaxBufferedBody = 256 << 10

// Call is a request on its way to a backend server.
type Call struct {
	ID      string // as the caller sent it
	Method  string
	URI     string // path and query as the caller sent them
	Host    string
	Header  http.Header
	Body    Body
	Route   string
	Service string

	Workspace  string // empty for calls without a key
	Caller     string // service of the VM where the call began
	Target     string // ID of the backend server that is to run it
	Importance request.Importance
	Idempotent bool
	Arrived    time.Time     // at the node of the caller
	Deadline   time.Time     // when the call is given up
	TargetLatency        time.Duration // time left, at arrival, until the answer loses worth; zero if unknown
	// AskConfig asks the other node for what it knows of the configuration.
	AskConfig bool
}

// ConfigFreshness is what a node knows of the configuration: the version in force
// there was the newest one the given time before the answer was written.
type ConfigFreshness struct {
	Version uint64
	Age     time.Duration
}

// Body is the body of a request. Data holds it, or its beginning if Rest is set.
type Body struct {
	Data   []byte
	Rest   io.Reader // what follows Data; nil if Data is everything
	Length int64     // of the whole body; -1 if unknown
}

// Repeatable tells whether the body can be sent a second time.
func (b *Body) Repeatable() bool { return b.Rest == nil }

// Response is the end of a call.
type Response struct {
	// Refusal is set if the answer is not that of a backend server.
	Refusal *request.Refusal
	// RetryElsewhere is true if the refusal concerns one place, and another one may
	// take the call.
	RetryElsewhere bool
	// ReachedBackend is true if a backend server got the call, even if it rejected it.
	ReachedBackend bool
	// DownstreamFailed is true if the backend server failed after a call of its own had
	// failed. Another one would repeat all the work behind it.
	DownstreamFailed bool

	Status int
	Header http.Header
	Body   []byte
	Rest   io.ReadCloser // what follows Body; nil if Body is everything
	Length int64         // of the whole body; -1 if unknown

	Config *ConfigFreshness // nil unless the call has asked for it

	Load  *pressure.Load  // load of the answering guard; nil if it reports none
	Hints []pressure.Hint // tight services behind the backend server
	// ReportedLoad is the load that the backend server tells with its answer; nil if it
	// tells none. It does not travel between nodes.
	ReportedLoad *platform.Load
}

// Close releases the connection of an answer that was not read to its end.
func (a *Response) Close() {
	if a != nil && a.Rest != nil {
		_ = a.Rest.Close() // the connection is given up; nothing depends on how it closes
	}
}

// Refused returns the answer to a call that the given step refuses.
func Refused(reason request.Reason, after time.Duration) *Response {
	r := request.Refuse(reason, after)
	return &Response{Refusal: &r}
}

// MayHaveRun returns the answer to a call whose fate is not known.
func MayHaveRun(reason request.Reason) *Response {
	return &Response{Refusal: &request.Refusal{Reason: reason, Outcome: request.MayHaveRun}, ReachedBackend: true}
}
