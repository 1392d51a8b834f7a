package model

import (
	"time"

	"github.com/teaselseam/teaselseam/internal/pressure"
	"github.com/teaselseam/teaselseam/internal/request"
	"github.com/teaselseam/teaselseam/internal/routing"
)

// policy is what differs between the two versions: the caller's side of a call and the
// admission control in front of a backend server.
type policy interface {
	newAdmission(n *node) admission
	// takeToken charges an attempt to its workspace before it runs. It returns false if
	// the workspace exceeds its rate.
	takeToken(a *attempt) bool
	// startCall sends the first attempt of a call or refuses the call without one.
	startCall(c *call)
	// pickNode returns the ID of the node for the next attempt; false if there is none.
	pickNode(c *call) (string, bool)
	// retryDelay decides whether a call is retried after the result r, and when.
	retryDelay(c *call, r result) (time.Duration, bool)
	// recordResponse records a response to an attempt and returns the hints to pass on to
	// the caller's own caller.
	recordResponse(a *attempt, r result) []pressure.Hint
	// recordCancelled records that the caller cancelled an attempt.
	recordCancelled(c *call, a *attempt)
	// attemptTimeout is the timeout of a single attempt; 0 for none.
	attemptTimeout() time.Duration
	// propagatesDeadline reports whether the request is cancelled at the client's deadline.
	propagatesDeadline() bool
	// endpointsChanged is called after a backend server of the service has restarted.
	endpointsChanged(service int)
}

const (
	naiveAttempts       = 3 // most attempts of a call
	naiveAttemptTimeout = 500 * time.Millisecond
)

// naivePolicy is the policy of version Naive. It picks nodes at random, retries at each
// hop without a budget and does not propagate deadlines.
type naivePolicy struct {
	sim *simulation
}

func (p *naivePolicy) newAdmission(n *node) admission {
	return &fixedAdmission{slots: p.sim.graph.Services[n.service].Slots}
}

func (p *naivePolicy) takeToken(*attempt) bool { return true }

func (p *naivePolicy) startCall(c *call) { c.sendAttempt() }

func (p *naivePolicy) pickNode(c *call) (string, bool) {
	nodes := p.sim.nodes[c.service]
	return nodes[p.sim.rnd.IntN(len(nodes))].id, true
}

func (p *naivePolicy) retryDelay(c *call, _ result) (time.Duration, bool) {
	return 0, c.attempts < naiveAttempts
}

func (p *naivePolicy) recordResponse(*attempt, result) []pressure.Hint { return nil }
func (p *naivePolicy) recordCancelled(*call, *attempt)                 {}
func (p *naivePolicy) attemptTimeout() time.Duration                   { return naiveAttemptTimeout }
func (p *naivePolicy) propagatesDeadline() bool                        { return false }
func (p *naivePolicy) endpointsChanged(int)                            {}

// resultKind returns the kind of result that the picker records, as package sidecar does.
// Failures of internal calls and refusals that concern only this request say nothing about
// the endpoint, so they count as cancelled.
func resultKind(r result) routing.ResultKind {
	switch {
	case r.completed():
		return routing.Completed
	case r.downstream:
		return routing.Cancelled
	}
	switch r.reason {
	case request.ReasonOverload, request.ReasonNoBackend:
		return routing.Refused
	case request.ReasonPeerLost, request.ReasonBackendLost:
		return routing.Failed
	default:
		return routing.Cancelled
	}
}
