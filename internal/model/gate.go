package model

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/teaselseam/teaselseam/internal/admission"
	"github.com/teaselseam/teaselseam/internal/pressure"
	"github.com/teaselseam/teaselseam/internal/request"
)

// gate is the admission of one worker.
type gate interface {
	// arrive decides on a call. It may evict a waiting one in its favour.
	arrive(now time.Time, a *attempt) (v admission.Verdict, r request.Refusal, evicted *attempt)
	// finish ends a running call and returns the calls that start.
	finish(now time.Time, a *attempt, r admission.Result) []*attempt
	// cancel removes a waiting call and returns the calls that start.
	cancel(now time.Time, a *attempt) []*attempt
	// tick handles queue timeouts; called every tickTime if not zero. The refusal
	// of a refused call is in attempt.refusal.
	tick(now time.Time) (start, refuse []*attempt)
	tickTime() time.Duration
	// restart is called after the backend server restarted. No call is left.
	restart(now time.Time)
	// report returns the figures that ride on responses.
	report() pressure.Load
}

// fixedGate runs a fixed number of calls and queues the others without bound.
type fixedGate struct {
	slots   int
	running int
	queue   []*attempt
}

func (g *fixedGate) arrive(_ time.Time, a *attempt) (admission.Verdict, request.Refusal, *attempt) {
	if g.running < g.slots {
		g.running++
		return admission.Run, request.Refusal{}, nil
	}
	g.queue = append(g.queue, a)
	return admission.Wait, request.Refusal{}, nil
}

func (g *fixedGate) finish(time.Time, *attempt, admission.Result) []*attempt {
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

func (g *fixedGate) tick(time.Time) (start, refuse []*attempt) { return nil, nil }

func (g *fixedGate) tickTime() time.Duration { return 0 }

func (g *fixedGate) restart(time.Time) {}

func (g *fixedGate) report() pressure.Load {
	return pressure.Load{Limit: g.slots}
}

// queueTick is the time between ticks of admissionGate.
const queueTick = 5 * time.Millisecond

// admissionGate is the gate of package admission.
type admissionGate struct {
	c *admission.Controller
}

func newAdmissionGate(now time.Time, rnd *rand.Rand) *admissionGate {
	return &admissionGate{c: admission.New(admission.Config{Rand: rnd}, now)}
}

func (g *admissionGate) arrive(now time.Time, a *attempt) (admission.Verdict, request.Refusal, *attempt) {
	r := a.call.req
	t, d := g.c.Arrive(now, admission.Arrival{
		Workspace: workspaceNames[r.workspace], Weight: shares[r.workspace],
		Importance: r.importance, Deadline: epoch.Add(r.deadline),
	})
	if t != nil {
		t.Owner, a.ticket = a, t
	}
	if d.Evicted == nil {
		return d.Verdict, d.Refusal, nil
	}
	return d.Verdict, d.Refusal, owners([]*admission.Ticket{d.Evicted})[0]
}

func (g *admissionGate) finish(now time.Time, a *attempt, r admission.Result) []*attempt {
	return owners(g.c.Finish(now, a.ticket, r))
}

func (g *admissionGate) cancel(now time.Time, a *attempt) []*attempt {
	return owners(g.c.Cancel(now, a.ticket))
}

func (g *admissionGate) tick(now time.Time) (start, refuse []*attempt) {
	s, r := g.c.Tick(now)
	return owners(s), owners(r)
}

func (g *admissionGate) tickTime() time.Duration { return queueTick }

func (g *admissionGate) restart(now time.Time) { g.c.Restart(now) }

func (g *admissionGate) report() pressure.Load {
	return pressure.Load(g.c.Load())
}

// owners returns the attempts of tickets, with their refusals if they have any.
func owners(ts []*admission.Ticket) []*attempt {
	out := make([]*attempt, len(ts))
	for i, t := range ts {
		out[i] = t.Owner.(*attempt)
		out[i].refusal = t.Refusal()
	}
	return out
}
