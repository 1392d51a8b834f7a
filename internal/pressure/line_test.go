package pressure

import (
	"math/rand/v2"
	"time"

	"github.com/teaselseam/teaselseam/internal/admission"
	"github.com/teaselseam/teaselseam/internal/dispatch"
)

// waitingLine is the queue of a station.
type waitingLine interface {
	// arrive takes a request at the station with the given number. It returns whether the
	// request runs now, and the requests that are refused for it, or it itself.
	arrive(now time.Time, q *graphRequest, i int, deadline time.Time) (runs bool, refused []*graphRequest)
	// finish ends the run of a request and returns those that start.
	finish(now time.Time, q *graphRequest, i int) []*graphRequest
	tick(now time.Time) (started, refused []*graphRequest)
	load(q *graphRequest) Load
}

type newWaitingLine func(slots int, now time.Time, rnd *rand.Rand) waitingLine

// admissionLine is the first design's queue, with a fixed limit.
type admissionLine struct{ c *admission.Controller }

func newAdmissionLine(slots int, now time.Time, _ *rand.Rand) waitingLine {
	return &admissionLine{admission.New(admission.Config{InitialLimit: slots, MinLimit: slots, MaxLimit: slots}, now)}
}

func (l *admissionLine) arrive(now time.Time, q *graphRequest, i int, deadline time.Time) (runs bool, refused []*graphRequest) {
	t, d := l.c.Arrive(now, admission.Arrival{Workspace: q.Workspace, Importance: q.Importance, Deadline: deadline})
	if d.Evicted != nil {
		refused = append(refused, d.Evicted.Owner.(*graphRequest))
	}
	if d.Verdict == admission.Refuse {
		return false, append(refused, q)
	}
	q.tickets[i], t.Owner = t, q
	return d.Verdict == admission.Run, refused
}

func (l *admissionLine) finish(now time.Time, q *graphRequest, i int) []*graphRequest {
	return admissionOwners(l.c.Finish(now, q.tickets[i].(*admission.Ticket), admission.Served))
}

func (l *admissionLine) tick(now time.Time) (started, refused []*graphRequest) {
	s, r := l.c.Tick(now)
	return admissionOwners(s), admissionOwners(r)
}

func (l *admissionLine) load(*graphRequest) Load { return Load(l.c.Load()) }

func admissionOwners(ts []*admission.Ticket) []*graphRequest {
	var out []*graphRequest
	for _, t := range ts {
		out = append(out, t.Owner.(*graphRequest))
	}
	return out
}

// dispatchLine is the queue that nodes run, with the figures that they send.
type dispatchLine struct{ q *dispatch.Queue }

func newDispatchLine(slots int, _ time.Time, rnd *rand.Rand) waitingLine {
	return &dispatchLine{dispatch.New(slots, rnd)}
}

func (l *dispatchLine) arrive(now time.Time, q *graphRequest, i int, deadline time.Time) (runs bool, refused []*graphRequest) {
	t, verdict, evicted := l.q.Arrive(now, dispatch.Request{Route: q.Route, Internal: i > 0, Importance: q.Importance, Deadline: deadline})
	refused = dispatchOwners(evicted)
	if verdict == dispatch.Refuse {
		return false, append(refused, q)
	}
	q.tickets[i], t.Owner = t, q
	return verdict == dispatch.Run, refused
}

func (l *dispatchLine) finish(now time.Time, q *graphRequest, i int) []*graphRequest {
	return dispatchOwners(l.q.Finish(now, q.tickets[i].(*dispatch.Ticket), dispatch.Served))
}

func (l *dispatchLine) tick(now time.Time) (started, refused []*graphRequest) {
	return nil, dispatchOwners(l.q.Tick(now))
}

func (l *dispatchLine) load(q *graphRequest) Load { return LoadOf(l.q, q.Route, true) }

func dispatchOwners(ts []*dispatch.Ticket) []*graphRequest {
	var out []*graphRequest
	for _, t := range ts {
		out = append(out, t.Owner.(*graphRequest))
	}
	return out
}
