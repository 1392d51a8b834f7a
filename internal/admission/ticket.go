package admission

import (
	"time"

	"github.com/teaselseam/teaselseam/internal/request"
)

// Verdict is the answer to an arriving call.
type Verdict uint8

// Verdicts.
const (
	Refuse Verdict = iota // the call does not run here
	Run                   // the call may be sent to the backend server now
	Wait                  // the call is queued; a later method returns its ticket
)

// String returns the verdict's name.
func (v Verdict) String() string {
	return [...]string{"refuse", "run", "wait"}[v]
}

// Decision is the outcome of Arrive.
type Decision struct {
	Verdict Verdict
	// Refusal is set if Verdict is Refuse.
	Refusal request.Refusal
	// Evicted is a waiting call that was refused in favour of this one, or nil.
	// Its Refusal method tells what to answer.
	Evicted *Ticket
}

// Arrival describes an arriving call.
type Arrival struct {
	Workspace  string
	Weight     float64 // share relative to other workspaces; 1 if not positive
	Importance request.Importance
	Deadline   time.Time // zero if the call has none
}

// Result tells how a call at the backend server ended.
type Result uint8

// Results.
const (
	// Served: the backend server answered. Its latency counts.
	Served Result = iota
	// Refused: the backend server shed the call itself. It is a hint of
	// overload, since backend servers also shed for other reasons.
	Refused
	// Failed: no answer because the connection or the backend server failed.
	// Its latency says nothing.
	Failed
	// TimedOut: the deadline passed, or the caller went away, while the call
	// ran. Its latency is a lower bound.
	TimedOut
)

type ticketState uint8

const (
	stateWaiting ticketState = iota
	stateRunning
	stateEnded
)

// Ticket is one call that was admitted to the queue or to the backend server.
// It ends exactly once: through Finish, through Cancel, or by being refused.
type Ticket struct {
	// Owner is for the caller of the package, to find what waits for the ticket.
	Owner any

	tenant     *tenant
	importance request.Importance
	state      ticketState
	arrived    time.Time
	started    time.Time
	deadline   time.Time
	refusal    request.Refusal

	prev, next *Ticket // neighbours in the flow
}

// Refusal returns the answer to a call that was refused after it had waited.
func (t *Ticket) Refusal() request.Refusal { return t.refusal }

// Running tells whether the call holds a slot of the backend server.
func (t *Ticket) Running() bool { return t.state == stateRunning }

// Importance returns the importance with which the call arrived.
func (t *Ticket) Importance() request.Importance { return t.importance }

// Workspace returns the workspace of the call.
func (t *Ticket) Workspace() string { return t.tenant.name }
