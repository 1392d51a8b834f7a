package model

import (
	"time"

	"github.com/teaselseam/teaselseam/internal/dispatch"
	"github.com/teaselseam/teaselseam/internal/pressure"
	"github.com/teaselseam/teaselseam/internal/request"
	"github.com/teaselseam/teaselseam/internal/retry"
)

// result is the end of an attempt or a call as seen one hop up.
type result struct {
	outcome    request.Outcome
	reason     request.Reason
	refused    bool          // a refusal rather than a failure
	downstream bool          // the cause lies in a nested call
	retryAfter time.Duration // of the refusal
	unused     int           // retry budget that comes back
	load       pressure.Load // of the worker that answers
	hints      []pressure.Hint
}

// refused returns the result of a refusal.
func refused(r request.Refusal) result {
	return result{outcome: r.Outcome, reason: r.Reason, refused: true, retryAfter: r.RetryAfter}
}

func (r *result) completed() bool {
	return r.outcome == request.Completed
}

// call is one hop of a request with all its attempts.
type call struct {
	w       *world
	req     *req
	service int
	from    *ingress
	extra   bool // below a repeated attempt
	budget  *retry.Budget
	share   int // parallel calls still to be made, this one included
	tries   int
	tried   []string
	current *attempt
	over    bool
	done    func(result)
}

// work returns the own work of this call, the same in both versions.
func (c *call) work() time.Duration {
	mean := c.w.graph.Services[c.service].Work
	return mean/2 + time.Duration(c.req.draw(c.service)*float64(mean/2))
}

// attempt is one try of a call at one worker.
type attempt struct {
	call    *call
	worker  *worker
	sent    time.Duration
	extra   bool
	loan    *retry.Allocation
	budget  *retry.Budget // at the worker, for nested calls
	over    bool          // the caller no longer waits for it
	running bool          // handed to the backend server
	slot    bool          // holds a slot there
	index   int           // in worker.active; -1 if not there
	ticket  *dispatch.Ticket
	refusal request.Refusal // if refused after it had waited

	nested  []*call
	waiting int // nested calls without result
	worst   result
	hints   []pressure.Hint // on the services called by this attempt and below
}

// try sends the next attempt.
func (c *call) try() {
	id, ok := c.w.policy.pick(c)
	if !ok {
		c.finish(result{outcome: request.NotRun, reason: request.ReasonNoBackend, refused: true})
		return
	}
	k := c.w.byID[id]
	a := &attempt{call: c, worker: k, sent: c.w.q.now, index: -1, extra: c.extra || c.tries > 0}
	a.loan = c.budget.Allocate(c.share)
	a.budget = retry.NewBudget(a.loan.Attempts())
	c.current = a
	c.tries++
	c.tried = append(c.tried, id)
	c.w.stats.attempt(a.extra)
	c.w.q.after(c.delay(k), func() { k.arrive(a) })
	if t := c.w.policy.attemptTimeout(); t > 0 {
		c.w.q.after(t, func() {
			if !a.over {
				a.receive(result{outcome: request.MayHaveRun, reason: request.ReasonPeerLost})
			}
		})
	}
}

func (c *call) delay(k *worker) time.Duration {
	if c.from.dc != k.dc {
		return hopOneWay
	}
	return localOneWay
}

func (c *call) finish(r result) {
	if !c.over {
		c.over = true
		c.done(r)
	}
}

// cancel gives the call up, and its attempt with all nested calls.
func (c *call) cancel() {
	c.over = true
	if a := c.current; a != nil && !a.over {
		a.over = true
		c.w.policy.cancelled(c, a)
		a.abort()
	}
}

// abort ends an attempt at its worker after the caller gave it up.
func (a *attempt) abort() {
	a.cancelNested()
	k := a.worker
	switch {
	case a.running:
		k.end(a, dispatch.Failed)
	case a.index >= 0:
		a.remove()
		k.startAll(k.gate.cancel(k.w.q.time(), a))
	}
}

func (a *attempt) cancelNested() {
	for _, c := range a.nested {
		if !c.over {
			c.cancel()
		}
	}
}

// add and remove keep the list of attempts at the worker.
func (a *attempt) add() {
	a.index = len(a.worker.active)
	a.worker.active = append(a.worker.active, a)
}

func (a *attempt) remove() {
	if a.index < 0 {
		return
	}
	k, last := a.worker, len(a.worker.active)-1
	k.active[a.index] = k.active[last]
	k.active[a.index].index = a.index
	k.active[last] = nil
	k.active = k.active[:last]
	a.index = -1
}

// nest makes the nested calls after the own work.
func (a *attempt) nest() {
	next := a.call.w.graph.Services[a.worker.service].Calls
	a.worst = result{outcome: request.Completed}
	if a.call.w.graph.Parallel {
		a.waiting = len(next)
		for i, service := range next {
			a.child(service, len(next)-i, a.joined)
		}
		if len(next) == 0 {
			a.complete()
		}
		return
	}
	a.sequence(next)
}

func (a *attempt) sequence(next []int) {
	if len(next) == 0 || !a.worst.completed() {
		a.complete()
		return
	}
	a.child(next[0], 1, func(r result) {
		a.note(r)
		a.sequence(next[1:])
	})
}

func (a *attempt) joined(r result) {
	a.note(r)
	a.waiting--
	if a.waiting == 0 {
		a.complete()
	}
}

// note keeps the worst result of the nested calls.
func (a *attempt) note(r result) {
	a.hints = append(a.hints, r.hints...)
	if a.worst.completed() {
		a.worst = r
	}
}

func (a *attempt) child(service, share int, done func(result)) {
	c := &call{
		w: a.call.w, req: a.call.req, service: service, from: a.worker.ingress,
		extra: a.extra, budget: a.budget, share: share,
	}
	c.done = func(r result) {
		if a.running {
			done(r)
		}
	}
	a.nested = append(a.nested, c)
	c.w.policy.begin(c)
}

// complete ends the run after all nested calls. A call with a failed nested call
// has run, so it may have had its effect.
func (a *attempt) complete() {
	r := result{outcome: request.Completed}
	if !a.worst.completed() {
		r = result{
			outcome: request.MayHaveRun, reason: a.worst.reason, refused: a.worst.refused,
			downstream: true, retryAfter: a.worst.retryAfter,
		}
	}
	a.worker.end(a, dispatch.Served)
	if !a.over {
		a.respond(r)
	}
}

// refuse answers an attempt that does not run.
func (a *attempt) refuse(r request.Refusal) {
	a.remove()
	if !a.over {
		a.respond(refused(r))
	}
}

// respond sends the result back over the network.
func (a *attempt) respond(r result) {
	k := a.worker
	r.unused = a.budget.Close()
	r.load, r.hints = k.report(a), pressure.Merge(a.hints)
	k.w.q.after(a.call.delay(k), func() {
		if !a.over {
			r.hints = k.w.policy.observed(a, r)
			a.receive(r)
		}
	})
}

// receive takes the result at the caller, which repeats the call or ends it.
func (a *attempt) receive(r result) {
	a.over = true
	a.loan.Release(r.unused)
	c := a.call
	if c.over {
		return
	}
	if r.completed() {
		c.finish(r)
		return
	}
	delay, again := c.w.policy.retry(c, r)
	if !again {
		c.finish(r)
		return
	}
	c.w.q.after(delay, func() {
		if !c.over {
			c.try()
		}
	})
}
