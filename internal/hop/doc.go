// Package hop sends and receives calls over single network hops: from the caller's node
// to the node beside a backend server, and from there to the backend server.
//
// Calls are sent as plain HTTP/1.1 with the caller's method, path, headers and body
// unchanged. Between nodes, requests carry CallHeader and the key of the node that gets
// them in addition (peer.go), and refusals RefusalHeader. The package does not use http.Transport, because that retries
// requests on reused connections by itself and does not report whether a failed
// request may have reached the peer. Pool sends each request once and reports this
// in Error.
//
// # Connection reuse
//
// A connection is reused only if the last exchange ended cleanly: the request was
// written completely, the response was framed, carried the request's ID and was
// followed by no further data. Before reuse it must still be open and have no
// unread data. A response with another ID is a late response to an earlier request;
// it is skipped, and the connection is closed after the exchange.
//
// # Connections that go silent
//
// Connections may be lost without a reset: the peer has forgotten them, or the network
// swallows what is sent. What proves that a connection is alive is what was received on it
// last. A request that can be sent only once, because it is not idempotent or is a retry
// between nodes already, is sent on a connection that was used within maxIdleNonIdempotent,
// or on a new one. Others are sent on any that the kernel has not found dead: KeepAlive probes idle
// ones each second. If nothing is received on a reused connection until it fails or the
// deadline passes, idle connections that have not been used since are closed too: they
// were probably lost together, and each would cost a request.
//
// Probe tells a peer that does not respond from connections that are lost. A request in
// progress can only be found by asking the peer whether it has it, which package sidecar
// does when its response is overdue.
//
// # Bytes without end
//
// A faulty peer may send bytes that are no response until the connection is closed. The
// head of a response is bounded in size and in time from its first byte, must begin like a
// response, and is checked before the body is read. A body without a stated length ends
// with an error at a maximum size. The connection is closed in all these cases. An exchange
// whose head is rejected fails with Error.Sent set; a body that has begun to be streamed
// fails at its reader. A body that arrives slowly has the time of its call.
package hop

import (
	"io"
	"net/http"
	"time"

	"github.com/teaselseam/teaselseam/internal/memory"
	"github.com/teaselseam/teaselseam/internal/pressure"
	"github.com/teaselseam/teaselseam/internal/request"
	"github.com/teaselseam/teaselseam/platform"
)

// MaxBufferedBody is the size in bytes up to which bodies are buffered in memory, if there is room
// (package memory). Larger ones are streamed. The largest bodies that users send are 36 KB.
const MaxBufferedBody = 256 << 10

// Call is a request of a caller, or an internal call of a backend server, that is
// forwarded to a backend server.
type Call struct {
	ID      string // Request-Id as sent by the caller
	Method  string
	URI     string // path and query as sent by the caller
	Host    string
	Header  http.Header
	Body    Body
	Route   string
	Service string
	Flow    request.Flow // of Route and Service

	Workspace  string // empty for calls without a workspace key, such as internal calls
	Caller     string // service on the VM from which the call came
	Target     string // ID of the backend server chosen to run the call
	Importance request.Importance
	Idempotent bool
	Repeated   bool      // an earlier attempt may have reached a backend server
	Arrived    time.Time // when the caller's node received the call
	Deadline   time.Time // when the call times out
	// TargetLatency is the time left, on arrival, until the route's latency target;
	// negative if that has passed, zero if there is none.
	TargetLatency time.Duration
	// AskConfig asks the receiving node to return its ConfigFreshness.
	AskConfig bool
	// TargetLimit is the rate limit of the target that the sending node has heard of; nil if
	// it has heard of none.
	TargetLimit *TargetLimit
	// bodyWaits is set if the sending node waits to be asked for the rest of the body.
	bodyWaits bool
	// MaxWait is the wait for a slot from which the receiving node is to refuse the call with
	// ReasonElsewhere; zero if it has to take the call.
	MaxWait time.Duration
}

// TargetLimit is a rate limit that a backend server has named.
type TargetLimit struct {
	Born int64   // start time of the incarnation that has named it, in Unix milliseconds
	Rate float64 // requests per second
}

// BackendState is what the node beside a backend server knows of it. The ID is that of
// Call.Target.
type BackendState struct {
	Born int64 // start time of the incarnation in Unix milliseconds
	// RateLimit is the limit in requests per second; nil for none. It is valid if
	// RateLimitKnown is set, which a node that has just started does not do.
	RateLimit      *float64
	RateLimitKnown bool
	RateWait       time.Duration // expected wait of a new request for the rate limit
	Leaving        bool          // it has stated that it leaves, or announced it
	Cold           *Cold         // nil if it is not cold
}

// Cold tells what a cold backend server bears.
type Cold struct {
	Rate      float64       // requests per second from all nodes together
	Remaining time.Duration // how long it stays cold
}

// ConfigFreshness is the version of the operator's configuration that a node uses, and
// the time since it was last known to be the newest, when the response was written.
type ConfigFreshness struct {
	Version uint64
	Age     time.Duration
	Era     uint64 // latest era of the store that the node knows
	// Newest is the version, in Era, of the newest row of the operator's table that the node
	// knows; 0 if a node of an earlier release does not tell.
	Newest uint64
}

// Response is the result of a call: a backend server's response or a refusal.
type Response struct {
	// Refusal is nil if the response is a backend server's.
	Refusal *request.Refusal
	// RetryElsewhere is true if the refusal concerns only this backend server or its
	// node, so that another backend server may accept the call.
	RetryElsewhere bool
	// ReachedBackend is true if a backend server received the call, even if it
	// rejected it.
	ReachedBackend bool
	// Misdirected is true if another backend server than the call's target received it and
	// rejected it for that. It is not passed on to other nodes.
	Misdirected bool
	// DownstreamFailed is true if the backend server failed after one of its internal
	// calls had failed. A retry at another one would repeat all internal calls.
	DownstreamFailed bool

	Status int
	Header http.Header
	Body   []byte
	Rest   io.ReadCloser // what follows Body; nil if Body is the whole body
	Length int64         // length of the whole body; -1 if unknown

	Config *ConfigFreshness // nil unless the call asked for it

	Load  *pressure.Load  // load at the node beside the backend server; nil if not reported
	Work  *Work           // work at the node beside the backend server; nil if not reported
	Hints []pressure.Hint // load hints of services downstream of the backend server
	// ReportedLoad is the load that the backend server itself reports with its
	// response; nil if it reports none. It is not passed on to other nodes.
	ReportedLoad *platform.Load
	// Backend is the state of the call's backend server; nil if there is nothing to tell.
	Backend *BackendState
	// Condition is what the backend server states about itself with its response; nil if
	// the response is not from the call's backend server. It is not passed on to other nodes.
	Condition *platform.Condition

	memory *memory.Reservation // for Body; nil if it is not accounted for
}

// Close releases the memory of a response, and its connection if the body was not read to the end.
func (resp *Response) Close() {
	if resp == nil {
		return
	}
	resp.memory.Release()
	if resp.Rest != nil {
		_ = resp.Rest.Close() // the connection is not reused, so a failure to close it does not matter
	}
}

// Refused returns the response to a call that is refused without having run.
func Refused(reason request.Reason, retryAfter time.Duration) *Response {
	r := request.Refuse(reason, retryAfter)
	return &Response{Refusal: &r}
}

// MayHaveRun returns the response to a call that may or may not have run.
func MayHaveRun(reason request.Reason) *Response {
	return &Response{Refusal: &request.Refusal{Reason: reason, Outcome: request.MayHaveRun}, ReachedBackend: true}
}
