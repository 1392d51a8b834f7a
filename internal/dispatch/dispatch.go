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
// request that they belong to. Among the others importance decides, and among
// equals the order of arrival.
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
// twentieth is left free. One that sheds requests below that number has fewer
// slots than it says: the limit then falls below what was running and recovers by
// one for each round of completed requests.
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
	// maxWaiting bounds the queue in requests, for memory.
	maxWaiting = 2000
)

// Request is a request that arrives at the queue.
type Request struct {
	Route      string
	Inner      bool // made by a backend server for a request that already runs
	Importance request.Importance
	AimAt      time.Time // the answer loses worth after this; zero if unknown
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
	Shed                 // it refused the request itself
	Broken               // no answer; the time says nothing
)

// Queue holds the requests of one backend server. It is not safe for concurrent
// use.
type Queue struct {
	slots   int
	limit   float64
	running int
	waiting []*Ticket // in the order in which they run
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

func (q *Queue) most() float64 {
	return max(math.Floor(float64(q.slots)*(1-spareSlots)), 1)
}

// Arrive decides on a request. The tickets in evicted were waiting and are
// refused now.
func (q *Queue) Arrive(now time.Time, r Request) (t *Ticket, v Verdict, evicted []*Ticket) {
	t = &Ticket{Request: r, arrived: now}
	if q.running < int(q.limit) && len(q.waiting) == 0 {
		q.start(now, t)
		return t, Run, nil
	}
	at := q.position(t)
	if len(q.waiting) >= maxWaiting || q.late(now, t, q.workBefore(at)) {
		return nil, Refuse, nil
	}
	q.waiting = slices.Insert(q.waiting, at, t)
	return t, Wait, q.evict(now, at+1)
}

// position returns the place of a ticket in the line.
func (q *Queue) position(t *Ticket) int {
	at, _ := slices.BinarySearchFunc(q.waiting, t, func(w, t *Ticket) int {
		if w.before(t) {
			return -1
		}
		return 1
	})
	return at
}

// before tells whether w, which came earlier, runs before t.
func (w *Ticket) before(t *Ticket) bool {
	if w.Inner != t.Inner {
		return w.Inner
	}
	return w.Importance >= t.Importance
}

func (q *Queue) workBefore(at int) float64 {
	work := 0.0
	for _, w := range q.waiting[:at] {
		work += q.cost(w.Route)
	}
	return work
}

// late tells whether a ticket with the given work before it misses its aim, or
// its deadline if the aim has passed.
func (q *Queue) late(now time.Time, t *Ticket, work float64) bool {
	until := t.Deadline
	if t.AimAt.After(now) {
		until = t.arrived.Add(time.Duration(aimPart * float64(t.AimAt.Sub(t.arrived))))
		if until.After(t.Deadline) {
			until = t.Deadline
		}
	}
	end := time.Duration(work/q.limit + q.cost(t.Route))
	return now.Add(end).After(until)
}

// evict takes out the tickets from a place on that are expected to be late.
func (q *Queue) evict(now time.Time, from int) []*Ticket {
	if from >= len(q.waiting) {
		return nil
	}
	var out []*Ticket
	work := q.workBefore(from)
	kept := q.waiting[:from]
	for _, w := range q.waiting[from:] {
		if q.late(now, w, work) {
			out = append(out, w)
			continue
		}
		work += q.cost(w.Route)
		kept = append(kept, w)
	}
	clear(q.waiting[len(kept):])
	q.waiting = kept
	return out
}

// Tick refuses the waiting requests that are expected to be late by now.
func (q *Queue) Tick(now time.Time) []*Ticket { return q.evict(now, 0) }

// Cancel removes a waiting request whose caller has left. It returns false if the
// request does not wait.
func (q *Queue) Cancel(t *Ticket) bool {
	i := slices.Index(q.waiting, t)
	if i < 0 {
		return false
	}
	q.waiting = slices.Delete(q.waiting, i, i+1)
	return true
}

// Finish records the end of a running request and returns those that start now.
func (q *Queue) Finish(now time.Time, t *Ticket, r Result) []*Ticket {
	if !t.running {
		return nil
	}
	t.running = false
	q.running--
	switch r {
	case Served:
		q.learn(t.Route, now.Sub(t.started))
		q.limit = min(q.limit+1/max(q.limit, 1), q.most())
	case Shed:
		q.limit = max(min(q.limit, float64(q.running)), 1)
	}
	return q.Next(now)
}

// Next starts waiting requests while there are free slots.
func (q *Queue) Next(now time.Time) []*Ticket {
	var out []*Ticket
	for len(q.waiting) > 0 && q.running < int(q.limit) {
		t := q.waiting[0]
		q.waiting = slices.Delete(q.waiting, 0, 1)
		q.start(now, t)
		out = append(out, t)
	}
	return out
}

func (q *Queue) start(now time.Time, t *Ticket) {
	t.running, t.started = true, now
	q.running++
}

// Drain takes out all waiting requests, because the backend server is leaving.
func (q *Queue) Drain() []*Ticket {
	out := q.waiting
	q.waiting = nil
	return out
}

func (q *Queue) cost(route string) float64 {
	if c, ok := q.costs[route]; ok {
		return c
	}
	return float64(initialCost)
}

// Cost returns the typical time of a route at the backend server.
func (q *Queue) Cost(route string) time.Duration { return time.Duration(q.cost(route)) }

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
	Wait                    time.Duration // until what waits has started
}

// Load returns the present figures.
func (q *Queue) Load() Load {
	return Load{
		Limit: int(q.limit), Running: q.running, Waiting: len(q.waiting),
		Wait: time.Duration(q.workBefore(len(q.waiting)) / q.limit),
	}
}

// ReturnAfter is when a refused caller may come back: when what waits has
// started, spread so that those who are refused together do not return together.
func (q *Queue) ReturnAfter() time.Duration {
	after := min(max(q.Load().Wait, minReturn), maxReturn)
	return after + time.Duration(q.rnd.Float64()*float64(after))
}
