package model

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/teaselseam/teaselseam/internal/dispatch"
	"github.com/teaselseam/teaselseam/internal/pressure"
	"github.com/teaselseam/teaselseam/internal/request"
)

// admission is the admission control of one node.
type admission interface {
	// arrive decides whether an attempt runs, waits or is refused. It may evict waiting
	// attempts in favour of this one and sets their field refusal.
	arrive(now time.Time, a *attempt) (v dispatch.Verdict, r request.Refusal, evicted []*attempt)
	// finish ends a running attempt and returns the attempts that start now.
	finish(now time.Time, a *attempt, r dispatch.Result) []*attempt
	// cancel removes a waiting attempt and returns the attempts that start now.
	cancel(now time.Time, a *attempt) []*attempt
	// tick returns the waiting attempts that are refused now and sets their field refusal.
	// It is called every tickInterval if that is not zero.
	tick(now time.Time) []*attempt
	tickInterval() time.Duration
	// restart is called after a restart of the backend server, when no attempt runs or waits.
	restart()
	// report returns the load to send with the response to an attempt.
	report(a *attempt) pressure.Load
}

// fixedAdmission has a fixed concurrency limit and an unbounded FIFO queue.
type fixedAdmission struct {
	slots   int
	running int
	queue   []*attempt
}

func (f *fixedAdmission) arrive(_ time.Time, a *attempt) (dispatch.Verdict, request.Refusal, []*attempt) {
	if f.running < f.slots {
		f.running++
		return dispatch.Run, request.Refusal{}, nil
	}
	f.queue = append(f.queue, a)
	return dispatch.Wait, request.Refusal{}, nil
}

func (f *fixedAdmission) finish(time.Time, *attempt, dispatch.Result) []*attempt {
	if len(f.queue) == 0 {
		f.running--
		return nil
	}
	next := f.queue[0]
	f.queue = f.queue[1:]
	return []*attempt{next}
}

func (f *fixedAdmission) cancel(_ time.Time, a *attempt) []*attempt {
	f.queue = slices.DeleteFunc(f.queue, func(other *attempt) bool { return other == a })
	return nil
}

func (f *fixedAdmission) tick(time.Time) []*attempt { return nil }

func (f *fixedAdmission) tickInterval() time.Duration { return 0 }

func (f *fixedAdmission) restart() {}

func (f *fixedAdmission) report(*attempt) pressure.Load {
	return pressure.Load{Limit: f.slots}
}

// queueTickInterval is the interval of the ticks of dispatchAdmission, as in package
// sidecar.
const queueTickInterval = 10 * time.Millisecond

// targetLatencyFraction is the latency target as a fraction of the clients' timeout. The
// users set targets of a fifth to a half of their deadlines.
const targetLatencyFraction = 0.5

// dispatchAdmission uses the queue of package dispatch in the same way as package sidecar.
type dispatchAdmission struct {
	slots int
	rnd   *rand.Rand
	queue *dispatch.Queue
}

func newDispatchAdmission(slots int, rnd *rand.Rand) *dispatchAdmission {
	return &dispatchAdmission{slots: slots, rnd: rnd, queue: dispatch.New(slots, rnd)}
}

func (d *dispatchAdmission) arrive(now time.Time, a *attempt) (dispatch.Verdict, request.Refusal, []*attempt) {
	r := a.call.req
	ticket, v, evicted := d.queue.Arrive(now, dispatch.Request{
		Flow: flowOf(a), Internal: isInternal(a), Importance: r.importance,
		SoftDeadline: epoch.Add(r.deadline - time.Duration((1-targetLatencyFraction)*float64(clientTimeout))), Deadline: epoch.Add(r.deadline),
	})
	if ticket != nil {
		ticket.UserData, a.ticket = a, ticket
	}
	return v, d.refusal(now), d.setRefusals(now, evicted)
}

// isInternal reports whether the attempt belongs to an internal call: only clients call the
// root service.
func isInternal(a *attempt) bool { return a.call.service != 0 }

func flowOf(a *attempt) request.Flow {
	return request.Flow(a.call.sim.graph.Services[a.call.service].Name)
}

func (d *dispatchAdmission) refusal(now time.Time) request.Refusal {
	return request.Refuse(request.ReasonOverload, d.queue.RetryAfter(now))
}

// setRefusals sets the refusal of the tickets' attempts and returns these.
func (d *dispatchAdmission) setRefusals(now time.Time, ts []*dispatch.Ticket) []*attempt {
	out := attemptsOf(ts)
	for _, a := range out {
		a.refusal = d.refusal(now)
	}
	return out
}

func (d *dispatchAdmission) finish(now time.Time, a *attempt, r dispatch.Result) []*attempt {
	return attemptsOf(d.queue.Finish(now, a.ticket, r))
}

func (d *dispatchAdmission) cancel(now time.Time, a *attempt) []*attempt {
	d.queue.Cancel(a.ticket)
	return attemptsOf(d.queue.StartNext(now))
}

func (d *dispatchAdmission) tick(now time.Time) []*attempt {
	return d.setRefusals(now, d.queue.Tick(now))
}

func (d *dispatchAdmission) tickInterval() time.Duration { return queueTickInterval }

func (d *dispatchAdmission) restart() { d.queue = dispatch.New(d.slots, d.rnd) }

func (d *dispatchAdmission) report(a *attempt) pressure.Load {
	return pressure.LoadOf(time.Time{}, d.queue, flowOf(a), isInternal(a))
}

func attemptsOf(ts []*dispatch.Ticket) []*attempt {
	out := make([]*attempt, len(ts))
	for i, t := range ts {
		out[i] = t.UserData.(*attempt)
	}
	return out
}
