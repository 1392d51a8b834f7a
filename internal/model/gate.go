package model

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/teaselseam/teaselseam/internal/dispatch"
	"github.com/teaselseam/teaselseam/internal/pressure"
	"github.com/teaselseam/teaselseam/internal/request"
)

// gate is the admission of one worker.
type gate interface {
	// arrive decides on a call. It may evict waiting ones in its favour, whose refusals
	// are then in attempt.refusal.
	arrive(now time.Time, a *attempt) (v dispatch.Verdict, r request.Refusal, evicted []*attempt)
	// finish ends a running call and returns the calls that start.
	finish(now time.Time, a *attempt, r dispatch.Result) []*attempt
	// cancel removes a waiting call and returns the calls that start.
	cancel(now time.Time, a *attempt) []*attempt
	// tick returns the waiting calls that are refused now, with their refusals; called
	// every tickTime if not zero.
	tick(now time.Time) []*attempt
	tickTime() time.Duration
	// restart is called after the backend server restarted. No call is left.
	restart()
	// report returns the figures that ride on the response to an attempt.
	report(a *attempt) pressure.Load
}

// fixedGate runs a fixed number of calls and queues the others without bound.
type fixedGate struct {
	slots   int
	running int
	queue   []*attempt
}

func (g *fixedGate) arrive(_ time.Time, a *attempt) (dispatch.Verdict, request.Refusal, []*attempt) {
	if g.running < g.slots {
		g.running++
		return dispatch.Run, request.Refusal{}, nil
	}
	g.queue = append(g.queue, a)
	return dispatch.Wait, request.Refusal{}, nil
}

func (g *fixedGate) finish(time.Time, *attempt, dispatch.Result) []*attempt {
	if len(g.queue) == 0 {
		g.running--
		return nil
	}
	next := g.queue[0]
	g.queue = g.queue[1:]
	return []*attempt{next}
}

func (g *fixedGate) cancel(_ time.Time, a *attempt) []*attempt {
	g.queue = slices.DeleteFunc(g.queue, func(other *attempt) bool { return other == a })
	return nil
}

func (g *fixedGate) tick(time.Time) []*attempt { return nil }

func (g *fixedGate) tickTime() time.Duration { return 0 }

func (g *fixedGate) restart() {}

func (g *fixedGate) report(*attempt) pressure.Load {
	return pressure.Load{Limit: g.slots}
}

// queueTick is the time between ticks of dispatchGate, as in package sidecar.
const queueTick = 10 * time.Millisecond

// aimPart is the part of the time that clients wait within which an answer has its full
// worth. The users' sheets set aims of a fifth to a half of the deadlines.
const aimPart = 0.5

// dispatchGate is the queue of package dispatch, used as package sidecar does.
type dispatchGate struct {
	slots int
	rnd   *rand.Rand
	q     *dispatch.Queue
}

func newDispatchGate(slots int, rnd *rand.Rand) *dispatchGate {
	return &dispatchGate{slots: slots, rnd: rnd, q: dispatch.New(slots, rnd)}
}

func (g *dispatchGate) arrive(now time.Time, a *attempt) (dispatch.Verdict, request.Refusal, []*attempt) {
	r := a.call.req
	t, v, evicted := g.q.Arrive(now, dispatch.Request{
		Route: routeName(a), Internal: inner(a), Importance: r.importance,
		SoftDeadline: epoch.Add(r.deadline - time.Duration((1-aimPart)*float64(clientTimeout))), Deadline: epoch.Add(r.deadline),
	})
	if t != nil {
		t.UserData, a.ticket = a, t
	}
	return v, g.refusal(), g.refused(evicted)
}

// inner tells whether an attempt belongs to a call that a backend server makes.
func inner(a *attempt) bool { return a.call.service != 0 }

func routeName(a *attempt) string { return a.call.w.graph.Services[a.call.service].Name }

func (g *dispatchGate) refusal() request.Refusal {
	return request.Refuse(request.ReasonOverload, g.q.RetryAfter())
}

// refused returns the attempts of tickets that are refused after they had waited.
func (g *dispatchGate) refused(ts []*dispatch.Ticket) []*attempt {
	out := owners(ts)
	for _, a := range out {
		a.refusal = g.refusal()
	}
	return out
}

func (g *dispatchGate) finish(now time.Time, a *attempt, r dispatch.Result) []*attempt {
	return owners(g.q.Finish(now, a.ticket, r))
}

func (g *dispatchGate) cancel(now time.Time, a *attempt) []*attempt {
	g.q.Cancel(a.ticket)
	return owners(g.q.StartNext(now))
}

func (g *dispatchGate) tick(now time.Time) []*attempt { return g.refused(g.q.Tick(now)) }

func (g *dispatchGate) tickTime() time.Duration { return queueTick }

func (g *dispatchGate) restart() { g.q = dispatch.New(g.slots, g.rnd) }

func (g *dispatchGate) report(a *attempt) pressure.Load {
	return pressure.LoadOf(g.q, routeName(a), inner(a))
}

func owners(ts []*dispatch.Ticket) []*attempt {
	out := make([]*attempt, len(ts))
	for i, t := range ts {
		out[i] = t.UserData.(*attempt)
	}
	return out
}
