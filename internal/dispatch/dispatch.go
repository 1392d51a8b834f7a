// Package dispatch decides which request runs next at a backend server whose
// slots are known, which waits, and which is refused as not run.
//
// # Load pattern
//
// Demand exceeds the slots of one service for seconds. Served in order of
// arrival, every request waits until just about its aim, and all of them are
// late. Requests of different worth, and calls of requests that already run
// elsewhere, wait in the same line; a call that is refused wastes the work of the
// whole tree above it.
//
// # Order
//
// Calls made by backend servers go first, because work was already spent on the
// request that they belong to. They may take three quarters of the slots while
// others wait: a service behind many others would serve nothing of its own
// otherwise. Among the others importance decides, and among equals the order of
// arrival.
//
// # Refusal
//
// A request is refused as soon as it is expected not to complete within its aim:
// at arrival, or later if more important ones have come before it. Its caller may
// then come back within the same aim. The expected wait is the work of those
// before it, by the typical time of their routes, divided by the slots. A request
// whose aim has passed already may wait until its deadline, since it can only be
// late.
//
// # Slots
//
// A backend server is slower when nearly all of its slots are taken, so a
// twentieth is left free. One that sheds requests below that number and reports
// itself full has fewer slots than it says: the limit then falls below what was
// running and recovers by one for each round of completed requests. It never falls
// below half. A faulty backend server sheds whatever its load, and a lower limit
// would only waste the slots that it has: without this rule the limit fell to one
// for seconds.
package dispatch

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/teaselseam/teaselseam/internal/request"
)

const (
	// spareSlots is the part of the slots that is left free.
	spareSlots = 0.05
	// initialCost stands in for the typical time of a route until one of its
	// requests has completed.
	initialCost = 20 * time.Millisecond
	// costWeight is the weight of one sample in the typical time.
	costWeight = 1.0 / 16
	// aimPart is the part of the aim that the expected end may take. The rest is
	// for the way back, for slower runs than the typical one and for returning
	// after a refusal.
	aimPart = 0.7
	// Bounds of the time after which a refused caller may return.
	minReturn = 100 * time.Millisecond
	maxReturn = 2 * time.Second
	// innerPart is the part of the slots that calls may take while others wait.
	innerPart = 0.75
	// leastPart of the slots stays in use whatever the backend server sheds.
	leastPart = 0.5
	// maxWaiting bounds the queue in requests, for memory.
	maxWaiting = 2000
)

// Request is a request that arrives at the queue.
type Request struct {
	Route      string
	Internal      bool // made by a backend server for a request that already runs
	Importance request.Importance
	SoftDeadline      time.Time // the answer loses worth after this; zero if unknown
	Deadline   time.Time // the request is given up then
}

// Ticket is a request that waits or runs.
type Ticket struct {
	Request
	// Owner is for the caller of the package, to find what waits for the ticket.
	Owner   any
	arrived time.Time
	started time.Time
	running bool
}

// Verdict is the answer to an arriving request.
type Verdict uint8

// Verdicts.
const (
	Refuse Verdict = iota // the request does not run here
	Run                   // it may be sent to the backend server now
	Wait                  // it is queued
)

// Result tells how a request at the backend server ended.
type Result uint8

// Results.
const (
	Served Result = iota // the backend server answered
	AtCapacity                 // it refused the request itself and reports that it is full
	Failed               // no answer, or a refusal of another kind; the time says nothing
)

// Queue holds the requests of one backend server. It is not safe for concurrent
// use.
type Queue struct {
	slots   int
	limit   float64
	maxWait time.Duration // longest wait of a request; zero means no bound
	running int
	inner   int       // calls among the running
	calls   []*Ticket // waiting calls in the order in which they run
	roots   []*Ticket // other waiting requests in the order in which they run
	costs   map[string]float64
	rnd     *rand.Rand
}

// New returns the queue of a backend server with the given slots.
func New(slots int, rnd *rand.Rand) *Queue {
	q := &Queue{costs: map[string]float64{}, rnd: rnd}
	q.SetSlots(slots)
	return q
}

// SetSlots takes the number of slots that the backend server announces.
func (q *Queue) SetSlots(slots int) {
	if slots == q.slots {
		return
	}
	q.slots = slots
	q.limit = q.most()
}

// SetMaxWait sets the longest time that a request waits.
func (q *Queue) SetMaxWait(d time.Duration) { q.maxWait = d }

func (q *Queue) most() float64 {
	return max(math.Floor(float64(q.slots)*(1-spareSlots)), 1)
}

// Arrive decides on a request. The tickets in evicted were waiting and are
// refused now.
func (q *Queue) Arrive(now time.Time, r Request) (t *Ticket, v Verdict, evicted []*Ticket) {
	t = &Ticket{Request: r, arrived: now}
	if q.running < int(q.limit) && q.Waiting() == 0 {
		q.start(now, t)
		return t, Run, nil
	}
	line := q.line(r.Internal)
	at := position(*line, t)
	if q.Waiting() >= maxWaiting || q.late(now, t, q.workBefore(r.Internal, at)) {
		return nil, Refuse, nil
	}
	*line = slices.Insert(*line, at, t)
	return t, Wait, q.evict(now, r.Internal, at+1)
}

func (q *Queue) line(inner bool) *[]*Ticket {
	if inner {
		return &q.calls
	}
	return &q.roots
}

// Waiting returns the number of waiting requests.
func (q *Queue) Waiting() int { return len(q.calls) + len(q.roots) }

// position returns the place of a ticket in its line.
func position(line []*Ticket, t *Ticket) int {
	at, _ := slices.BinarySearchFunc(line, t, func(w, t *Ticket) int {
		if w.Importance >= t.Importance {
			return -1 // came earlier and is at least as important
		}
		return 1
	})
	return at
}

// workBefore estimates the work, in nanoseconds of one slot, that starts before
// the ticket at a place in its line. What waits in the other line counts as far
// as it takes its part of the slots meanwhile.
func (q *Queue) workBefore(inner bool, at int) float64 {
	own := q.work((*q.line(inner))[:at])
	other := q.work(*q.line(!inner))
	part := innerPart / (1 - innerPart)
	if inner {
		return own + min(other, own/part)
	}
	return own + min(other, (own+q.meanCost())*part)
}

func (q *Queue) work(ts []*Ticket) float64 {
	work := 0.0
	for _, t := range ts {
		work += q.cost(t.Route)
	}
	return work
}

// meanCost stands for the request itself, which other work may precede.
func (q *Queue) meanCost() float64 {
	if len(q.roots) == 0 {
		return 0
	}
	return q.work(q.roots) / float64(len(q.roots))
}

// late tells whether a ticket with the given work before it misses its aim, or
// its deadline if the aim has passed.
func (q *Queue) late(now time.Time, t *Ticket, work float64) bool {
	until := t.Deadline
	if t.SoftDeadline.After(now) {
		until = t.arrived.Add(time.Duration(aimPart * float64(t.SoftDeadline.Sub(t.arrived))))
		if until.After(t.Deadline) {
			until = t.Deadline
		}
	}
	wait := time.Duration(work / q.limit)
	if q.maxWait > 0 && now.Add(wait).After(t.arrived.Add(q.maxWait)) {
		return true
	}
	return now.Add(wait + q.ServiceTime(t.Route)).After(until)
}

// evict takes out the tickets of a line from a place on that are expected to be
// late.
func (q *Queue) evict(now time.Time, inner bool, from int) []*Ticket {
	line := q.line(inner)
	if from >= len(*line) {
		return nil
	}
	var out []*Ticket
	work := q.workBefore(inner, from)
	kept := (*line)[:from]
	for _, w := range (*line)[from:] {
		if q.late(now, w, work) {
			out = append(out, w)
			continue
		}
		work += q.cost(w.Route)
		kept = append(kept, w)
	}
	clear((*line)[len(kept):])
	*line = kept
	return out
}

// Tick refuses the waiting requests that are expected to be late by now.
func (q *Queue) Tick(now time.Time) []*Ticket {
	return append(q.evict(now, true, 0), q.evict(now, false, 0)...)
}

// Cancel removes a waiting request whose caller has left. It returns false if the
// request does not wait.
func (q *Queue) Cancel(t *Ticket) bool {
	line := q.line(t.Internal)
	i := slices.Index(*line, t)
	if i < 0 {
		return false
	}
	*line = slices.Delete(*line, i, i+1)
	return true
}

// Finish records the end of a running request and returns those that start now.
func (q *Queue) Finish(now time.Time, t *Ticket, r Result) []*Ticket {
	if !t.running {
		return nil
	}
	t.running = false
	q.running--
	if t.Internal {
		q.inner--
	}
	switch r {
	case Served:
		q.learn(t.Route, now.Sub(t.started))
		q.limit = min(q.limit+1/max(q.limit, 1), q.most())
	case AtCapacity:
		q.limit = max(min(q.limit, float64(q.running)), leastPart*q.most(), 1)
	}
	return q.StartNext(now)
}

// StartNext starts waiting requests while there are free slots.
func (q *Queue) StartNext(now time.Time) []*Ticket {
	var out []*Ticket
	for q.Waiting() > 0 && q.running < int(q.limit) {
		line := &q.calls
		if len(q.calls) == 0 || len(q.roots) > 0 && float64(q.inner) >= innerPart*q.limit {
			line = &q.roots
		}
		t := (*line)[0]
		*line = slices.Delete(*line, 0, 1)
		q.start(now, t)
		out = append(out, t)
	}
	return out
}

func (q *Queue) start(now time.Time, t *Ticket) {
	t.running, t.started = true, now
	q.running++
	if t.Internal {
		q.inner++
	}
}

// Drain takes out all waiting requests, because the backend server is leaving.
func (q *Queue) Drain() []*Ticket {
	out := append(q.calls, q.roots...)
	q.calls, q.roots = nil, nil
	return out
}

func (q *Queue) cost(route string) float64 {
	if c, ok := q.costs[route]; ok {
		return c
	}
	return float64(initialCost)
}

// ServiceTime returns the typical time of a route at the backend server.
func (q *Queue) ServiceTime(route string) time.Duration { return time.Duration(q.cost(route)) }

func (q *Queue) learn(route string, took time.Duration) {
	c, ok := q.costs[route]
	if !ok {
		c = float64(took)
	}
	q.costs[route] = c + costWeight*(float64(took)-c)
}

// Load is the state of the queue.
type Load struct {
	Limit, Running, Waiting int
}

// Load returns the present figures.
func (q *Queue) Load() Load {
	return Load{Limit: int(q.limit), Running: q.running, Waiting: q.Waiting()}
}

// ExpectedWait returns the time until all that waits has started.
func (q *Queue) ExpectedWait() time.Duration {
	return time.Duration((q.work(q.calls) + q.work(q.roots)) / q.limit)
}

// ExpectedInternalWait returns the time until the calls that wait have started.
func (q *Queue) ExpectedInternalWait() time.Duration {
	return time.Duration(q.workBefore(true, len(q.calls)) / q.limit)
}

// RetryAfter is when a refused caller may come back: when what waits has
// started, spread so that those who are refused together do not return together.
func (q *Queue) RetryAfter() time.Duration {
	after := min(max(q.ExpectedWait(), minReturn), maxReturn)
	return after + time.Duration(q.rnd.Float64()*float64(after))
}
