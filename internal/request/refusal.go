package request

import (
	"fmt"
	"time"
)

// Outcome is what is known about whether a request has run on a backend server.
type Outcome uint8

const (
	// MayHaveRun means that the request may have taken effect. It is the zero value, so
	// that an unset field never claims that a request did not run.
	MayHaveRun Outcome = iota
	// NotRun means that no backend server has run or will run the request.
	NotRun
	// Completed means that a backend server ran the request and its whole response was
	// received.
	Completed
)

var outcomeNames = [...]string{"may_have_run", "not_run", "completed"}

// String returns the name of the outcome as used in headers.
func (o Outcome) String() string {
	if int(o) >= len(outcomeNames) {
		return fmt.Sprintf("outcome(%d)", uint8(o))
	}
	return outcomeNames[o]
}

// ParseOutcome parses the name of an outcome. It returns MayHaveRun, the only safe
// assumption, for an unknown name.
func ParseOutcome(s string) Outcome {
	for i, name := range outcomeNames {
		if s == name {
			return Outcome(i)
		}
	}
	return MayHaveRun
}

// Reason is the machine-readable cause of a refusal.
type Reason string

// Reasons of refusals.
const (
	ReasonBadRequest     Reason = "bad_request"
	ReasonBodyTooLarge   Reason = "body_too_large"
	ReasonUnknownRoute   Reason = "unknown_route"
	ReasonUnknownKey     Reason = "unknown_key"
	ReasonRouteForbidden Reason = "route_forbidden"
	ReasonOverShare      Reason = "over_share"
	ReasonOverload       Reason = "overload"
	ReasonRateLimited    Reason = "rate_limited" // by the backend server itself
	ReasonRejected       Reason = "rejected"     // by a backend server that does not report that it is full
	ReasonElsewhere      Reason = "elsewhere"    // between nodes only: another backend server is expected to finish it sooner
	ReasonDownstream     Reason = "downstream_overload"
	ReasonDeadline       Reason = "deadline"
	ReasonDraining       Reason = "draining"
	ReasonEvacuated      Reason = "evacuated" // the data centre of the backend server
	ReasonNoBackend      Reason = "no_backend_server"
	ReasonBackendLost    Reason = "backend_server_lost"
	ReasonPeerLost       Reason = "peer_lost"
	ReasonPeerRelease    Reason = "peer_release" // a node of an earlier release would not take the call for what it is
	ReasonNodeStale      Reason = "node_stale"
	ReasonQuarantined    Reason = "quarantined"
	ReasonCallerLeft     Reason = "caller_left" // nothing is done for it any more
)

// Refusal is the final response to a request that a node rejects or cannot complete.
// It is a small value type, because refusing a request must be far cheaper than serving
// it.
type Refusal struct {
	Reason  Reason
	Outcome Outcome
	// RetryAfter is the time after which the caller may retry; zero means that a retry
	// is useless or not allowed.
	RetryAfter time.Duration
}

// Refuse returns a refusal of a request that did not run.
func Refuse(reason Reason, retryAfter time.Duration) Refusal {
	return Refusal{Reason: reason, Outcome: NotRun, RetryAfter: retryAfter}
}
