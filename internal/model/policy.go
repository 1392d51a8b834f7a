package model

import (
	"time"

	"github.com/teaselseam/teaselseam/internal/pressure"
	"github.com/teaselseam/teaselseam/internal/request"
	"github.com/teaselseam/teaselseam/internal/routing"
)

// policy is what the two versions do differently at the caller's side of a call,
// and the gate that they put before a backend server.
type policy interface {
	newGate(k *worker) gate
	// takeToken charges an attempt to its workspace before it runs. It returns false if
	// the workspace is over its rate.
	takeToken(a *attempt) bool
	// begin starts a call or refuses it early.
	begin(c *call)
	pick(c *call) (string, bool)
	// retry decides whether a failed call is tried again.
	retry(c *call, r result) (time.Duration, bool)
	// observed is told of each response and returns the hints to send up. cancelled
	// is told of each attempt given up.
	observed(a *attempt, r result) []pressure.Hint
	cancelled(c *call, a *attempt)
	// attemptTimeout is the timeout of a single attempt; 0 for none.
	attemptTimeout() time.Duration
	// passesDeadline tells whether the client's deadline cancels the request.
	passesDeadline() bool
	// endpointsChanged is called when a backend server returned from a restart.
	endpointsChanged(service int)
}

const (
	naiveAttempts = 3                      // at each hop
	naiveTimeout  = 500 * time.Millisecond // of each attempt
)

// naive chooses at random and tries three times.
type naive struct {
	w *world
}

func (n *naive) newGate(k *worker) gate {
	return &fixedGate{slots: n.w.graph.Services[k.service].Slots}
}

func (n *naive) takeToken(*attempt) bool { return true }

func (n *naive) begin(c *call) { c.try() }

func (n *naive) pick(c *call) (string, bool) {
	ks := n.w.workers[c.service]
	return ks[n.w.rnd.IntN(len(ks))].id, true
}

func (n *naive) retry(c *call, _ result) (time.Duration, bool) {
	return 0, c.tries < naiveAttempts
}

func (n *naive) observed(*attempt, result) []pressure.Hint { return nil }
func (n *naive) cancelled(*call, *attempt)                 {}
func (n *naive) attemptTimeout() time.Duration             { return naiveTimeout }
func (n *naive) passesDeadline() bool                      { return false }
func (n *naive) endpointsChanged(int)                      {}

// kindOf maps a result to what the picker learns from it, as package sidecar does. A
// failure further down and a refusal of this request only say nothing about the
// endpoint.
func kindOf(r result) routing.ResultKind {
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
