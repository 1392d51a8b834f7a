package admission

import (
	"time"

	"github.com/teaselseam/teaselseam/internal/request"
)

// Verdict is the decision on an arriving request.
type Verdict uint8

// Verdicts.
const (
	Refuse Verdict = iota // the request is refused and does not run
	Run                   // it may be sent to the backend server now
	Wait                  // it is queued; a later method call returns its ticket
)

// String returns the verdict's name.
func (v Verdict) String() string {
	return [...]string{"refuse", "run", "wait"}[v]
}

// Decision is the result of Arrive.
type Decision struct {
	Verdict Verdict
	// Refusal is set if Verdict is Refuse.
	Refusal request.Refusal
	// Evicted is a waiting request that was refused in favour of this one, or nil.
	// Its Refusal method returns the refusal to send.
	Evicted *Ticket
}

// Arrival describes an arriving request.
type Arrival struct {
	Workspace  string
	Weight     float64 // of the workspace; a value that is not positive counts as 1
	Importance request.Importance
	Deadline   time.Time // zero if the request has none
}

// Result tells how a request at the backend server ended.
type Result uint8

// Results.
const (
	// Served: the backend server answered. The latency is a sample.
	Served Result = iota
	// Refused: the backend server refused the request. This is only a hint of an
	// overload, since backend servers refuse for other reasons too.
	Refused
	// Failed: there is no answer because the connection or the backend server failed.
	// The latency is no sample.
	Failed
	// TimedOut: the deadline passed, or the caller left, while the request ran. The
	// time until then is a lower bound of the latency.
	TimedOut
)

type ticketState uint8

const (
	stateWaiting ticketState = iota
	stateRunning
	stateEnded
)

// Ticket is a request that was admitted to the queue or to the backend server. It ends
// exactly once: by Finish, by Cancel, or by a refusal while it waits.
type Ticket struct {
	// Owner is set by the user of the package, to find whoever waits for the ticket.
	Owner any

	workspace  *workspaceState
	importance request.Importance
	state      ticketState
	arrived    time.Time
	started    time.Time
	deadline   time.Time
	refusal    request.Refusal

	prev, next *Ticket // neighbours in the flow
}

// Refusal returns the refusal of a request that had been queued.
func (t *Ticket) Refusal() request.Refusal { return t.refusal }

// Running tells whether the request holds a slot of the backend server.
func (t *Ticket) Running() bool { return t.state == stateRunning }

// Importance returns the importance with which the request arrived.
func (t *Ticket) Importance() request.Importance { return t.importance }

// Workspace returns the workspace of the request.
func (t *Ticket) Workspace() string { return t.workspace.name }
