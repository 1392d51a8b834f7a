package model

import (
	"time"

	"github.com/teaselseam/teaselseam/internal/dispatch"
	"github.com/teaselseam/teaselseam/internal/pressure"
	"github.com/teaselseam/teaselseam/internal/request"
	"github.com/teaselseam/teaselseam/internal/retry"
)

// result is the result of an attempt or a call as its caller sees it.
type result struct {
	outcome      request.Outcome
	reason       request.Reason
	refused      bool          // whether this is a refusal rather than a failure
	downstream   bool          // whether an internal call is the cause
	retryAfter   time.Duration // 0 if not refused
	reportedLoad pressure.Load // of the node that responds
	hints        []pressure.Hint
}

// refused returns the result of a refusal.
func refused(r request.Refusal) result {
	return result{outcome: r.Outcome, reason: r.Reason, refused: true, retryAfter: r.RetryAfter}
}

func (r *result) completed() bool {
	return r.outcome == request.Completed
}

// call is a call to one service on behalf of a request, with all its attempts.
type call struct {
	sim           *simulation
	req           *clientRequest
	service       int
	from          *ingress
	causedByRetry bool // an internal call of a retry, at any depth
	progress      retry.Progress
	attempts      int
	triedNodes    []string
	current       *attempt
	ended         bool
	onResult      func(result)
}

// work returns the time that the call works before its internal calls. It is the same in
// both versions.
func (c *call) work() time.Duration {
	mean := c.sim.graph.Services[c.service].Work
	return mean/2 + time.Duration(c.req.workSample(c.service)*float64(mean/2))
}

// attempt is one sending of a call to a node.
type attempt struct {
	call          *call
	node          *node
	sent          time.Duration
	causedByRetry bool // a retry, or an attempt of an internal call of one
	settled       bool // the caller has a result or has cancelled the attempt
	running       bool // passed to the backend server
	holdsSlot     bool // holds a slot of the backend server
	activeIndex   int  // in node.active; -1 if not there
	ticket        *dispatch.Ticket
	refusal       request.Refusal // set if it is refused after it was queued

	internalCalls   []*call
	pendingInternal int // parallel internal calls without a result
	internalResult  result
	hints           []pressure.Hint // on the services called by this attempt and by its internal calls
}

// sendAttempt sends the next attempt to a node that the policy picks.
func (c *call) sendAttempt() {
	id, ok := c.sim.policy.pickNode(c)
	if !ok {
		c.finish(result{outcome: request.NotRun, reason: request.ReasonNoBackend, refused: true})
		return
	}
	n := c.sim.byID[id]
	a := &attempt{call: c, node: n, sent: c.sim.events.now, activeIndex: -1, causedByRetry: c.causedByRetry || c.attempts > 0}
	c.current = a
	c.attempts++
	c.triedNodes = append(c.triedNodes, id)
	c.sim.stats.recordAttempt(a.causedByRetry)
	c.sim.events.schedule(c.networkDelay(n), func() { n.receive(a) })
	if t := c.sim.policy.attemptTimeout(); t > 0 {
		c.sim.events.schedule(t, func() {
			if !a.settled {
				a.receive(result{outcome: request.MayHaveRun, reason: request.ReasonPeerLost})
			}
		})
	}
}

func (c *call) networkDelay(n *node) time.Duration {
	if c.from.dc != n.dc {
		return interDCDelay
	}
	return intraDCDelay
}

func (c *call) finish(r result) {
	if !c.ended {
		c.ended = true
		c.onResult(r)
	}
}

// cancel ends the call without a result and aborts its attempt with all internal calls.
func (c *call) cancel() {
	c.ended = true
	if a := c.current; a != nil && !a.settled {
		a.settled = true
		c.sim.policy.recordCancelled(c, a)
		a.abort()
	}
}

// abort ends an attempt at its node after the caller cancelled it.
func (a *attempt) abort() {
	a.cancelInternalCalls()
	n := a.node
	switch {
	case a.running:
		n.endAttempt(a, dispatch.Failed)
	case a.activeIndex >= 0:
		a.removeFromActive()
		n.startAll(n.admission.cancel(n.sim.events.wallTime(), a))
	}
}

func (a *attempt) cancelInternalCalls() {
	for _, c := range a.internalCalls {
		if !c.ended {
			c.cancel()
		}
	}
}

// addToActive adds the attempt to those at its node.
func (a *attempt) addToActive() {
	a.activeIndex = len(a.node.active)
	a.node.active = append(a.node.active, a)
}

// removeFromActive removes the attempt from those at its node, if it is there.
func (a *attempt) removeFromActive() {
	if a.activeIndex < 0 {
		return
	}
	n, last := a.node, len(a.node.active)-1
	n.active[a.activeIndex] = n.active[last]
	n.active[a.activeIndex].activeIndex = a.activeIndex
	n.active[last] = nil
	n.active = n.active[:last]
	a.activeIndex = -1
}

// makeInternalCalls makes the internal calls once the work of the attempt is done.
func (a *attempt) makeInternalCalls() {
	services := a.call.sim.graph.Services[a.node.service].Calls
	a.internalResult = result{outcome: request.Completed}
	if a.call.sim.graph.Parallel {
		a.pendingInternal = len(services)
		for _, service := range services {
			a.startInternalCall(service, a.parallelCallDone)
		}
		if len(services) == 0 {
			a.complete()
		}
		return
	}
	a.callInSequence(services)
}

// callInSequence calls the services one after the other until one call fails.
func (a *attempt) callInSequence(services []int) {
	if len(services) == 0 || !a.internalResult.completed() {
		a.complete()
		return
	}
	a.startInternalCall(services[0], func(r result) {
		a.recordInternalCall(r)
		a.callInSequence(services[1:])
	})
}

func (a *attempt) parallelCallDone(r result) {
	a.recordInternalCall(r)
	a.pendingInternal--
	if a.pendingInternal == 0 {
		a.complete()
	}
}

// recordInternalCall keeps the first failure of the internal calls and the hints of all.
func (a *attempt) recordInternalCall(r result) {
	a.hints = append(a.hints, r.hints...)
	if a.internalResult.completed() {
		a.internalResult = r
	}
}

func (a *attempt) startInternalCall(service int, onResult func(result)) {
	c := &call{
		sim: a.call.sim, req: a.call.req, service: service, from: a.node.ingress,
		causedByRetry: a.causedByRetry,
	}
	c.onResult = func(r result) {
		if a.running {
			onResult(r)
		}
	}
	a.internalCalls = append(a.internalCalls, c)
	c.sim.policy.startCall(c)
}

// complete ends the attempt after its internal calls. If one of them failed, the outcome is
// MayHaveRun, since the call's own work has been done.
func (a *attempt) complete() {
	r := result{outcome: request.Completed}
	if !a.internalResult.completed() {
		r = result{
			outcome: request.MayHaveRun, reason: a.internalResult.reason, refused: a.internalResult.refused,
			downstream: true, retryAfter: a.internalResult.retryAfter,
		}
	}
	a.node.endAttempt(a, dispatch.Served)
	if !a.settled {
		a.respond(r)
	}
}

// refuse responds with a refusal to an attempt that does not run.
func (a *attempt) refuse(r request.Refusal) {
	a.removeFromActive()
	if !a.settled {
		a.respond(refused(r))
	}
}

// respond sends the result back over the network.
func (a *attempt) respond(r result) {
	n := a.node
	r.reportedLoad, r.hints = n.loadReport(a), pressure.Merge(a.hints)
	n.sim.events.schedule(a.call.networkDelay(n), func() {
		if !a.settled {
			r.hints = n.sim.policy.recordResponse(a, r)
			a.receive(r)
		}
	})
}

// receive handles the result at the caller, which retries the call or finishes it.
func (a *attempt) receive(r result) {
	a.settled = true
	c := a.call
	if c.ended {
		return
	}
	if r.completed() {
		c.finish(r)
		return
	}
	delay, shouldRetry := c.sim.policy.retryDelay(c, r)
	if !shouldRetry {
		c.finish(r)
		return
	}
	c.sim.events.schedule(delay, func() {
		if !c.ended {
			c.sendAttempt()
		}
	})
}
