// Package dispatch schedules the requests of one backend server that announces its
// slots: the number of requests that it can run at once. It decides which request
// runs next, which one waits, and which one is refused without having run.
//
// Internal calls are calls that a backend server makes while it handles a request;
// external requests are those of callers. The soft deadline of a request is its
// arrival plus the latency target of its route (the setting aim): a response after
// it has lost value, but is still sent until the deadline.
//
// # Load pattern
//
// The design assumes that demand exceeds the slots of a service for seconds at a
// time. If requests were served in order of arrival, each would wait until about its
// soft deadline, and all of them would be late. Requests of different importance
// compete with internal calls, and a refused internal call wastes the work of the
// whole call tree above it.
//
// # Order
//
// Internal calls go first, because work was already spent on the request that they
// belong to. While external requests wait, internal calls may take three quarters
// of the slots: otherwise a service that many others call would serve no external
// requests. Each of the two queues is ordered by importance, then by arrival.
//
// # Refusal
//
// A request is refused as soon as it is not expected to complete in time: on
// arrival, or later if more important requests were queued ahead of it. Its caller
// can then retry within the same latency target. The expected wait is the sum of
// the expected costs of the requests ahead, divided by the slots in use. A
// request that is past its soft deadline may wait until its deadline, since it will
// be late in any case.
//
// # Concurrency limit
//
// A backend server becomes slower when nearly all of its slots are taken, so 5% of
// them stay free. A backend server that sheds requests below that limit and reports
// that it is at capacity has fewer slots than it announces: the limit is lowered to
// the number of requests that still run, and grows by one for each round of
// completed requests. It never falls below half of its maximum. A faulty backend
// server sheds at any load, and a lower limit would only waste its slots: without
// this rule the limit fell to one for seconds.
//
// # Rate limit
//
// A backend server in trouble may name the number of requests per second that it accepts
// from all nodes together, and one that is cold bears few (SetRate). Since all requests to it pass through this queue, no
// other node needs to know the limit for it to hold: a token bucket paces the starts,
// whatever the number of callers' nodes, and however few of them have heard of it. Requests
// wait for tokens in the same order as for slots, and are refused if they would be late.
// Three internal calls start for each external request while both wait.
package dispatch

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/teaselseam/teaselseam/internal/learned"
	"github.com/teaselseam/teaselseam/internal/request"
)

const (
	// spareFraction is the fraction of the slots that stays free.
	spareFraction = 0.05
	// initialServiceTime is the assumed service time of a flow until its first
	// request has completed.
	initialServiceTime = 20 * time.Millisecond
	// serviceTimeWeight is the weight of a new sample in the moving average of
	// service times.
	serviceTimeWeight = 1.0 / 16
	// softDeadlineFraction is the fraction of the time from arrival to soft deadline
	// within which a request must be expected to complete. The rest is a margin for
	// the transfer of the response, for requests slower than typical, and for a retry
	// after a refusal.
	softDeadlineFraction = 0.7
	// Bounds of Retry-After before jitter.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 2 * time.Second
	// internalFraction is the fraction of the slots that internal calls may take
	// while external requests wait.
	internalFraction = 0.75
	// minLimitFraction is the fraction of the maximum limit that stays in use even if
	// the backend server sheds.
	minLimitFraction = 0.5
	// restInterval is how long the mean rest of the running requests is taken for unchanged.
	restInterval = 5 * time.Millisecond
	// minFull is the probability of a full backend server below which no wait is expected.
	minFull = 0.01
	// maxWaiting bounds the number of waiting requests, and so the memory they take.
	maxWaiting = 2000
)

// Request describes a request that arrives at the queue.
type Request struct {
	Flow         request.Flow
	Internal     bool // made by a backend server while it handles another request
	Importance   request.Importance
	SoftDeadline time.Time // a response after this has lost value; zero if unknown
	Deadline     time.Time // a response after this is of no use
	// Cost is how long the request is expected to run at this backend server; zero for the
	// service time of its flow.
	Cost time.Duration
}

// Ticket is a waiting or running request.
type Ticket struct {
	Request
	// UserData is not used by this package. Users may store there, for example, the
	// channel on which a goroutine waits for the ticket.
	UserData any
	arrived  time.Time
	started  time.Time
	running  bool
	index    int // in Queue.runs while running
}

// Verdict is the decision on an arriving request.
type Verdict uint8

// Verdicts.
const (
	Refuse Verdict = iota // the request is refused and does not run
	Run                   // it may be sent to the backend server now
	Wait                  // it is queued
)

// Result tells how a run at the backend server ended.
type Result uint8

// Results.
const (
	Served     Result = iota // the backend server sent a response
	AtCapacity               // the backend server refused the request and reports that it has no free slot
	Failed                   // no response, or a refusal for another reason; the service time is not recorded
)

// Queue holds the requests of one backend server. It is not safe for concurrent
// use.
type Queue struct {
	slots           int
	limit           float64       // number of requests that may run at once
	maxWait         time.Duration // longest wait of a request; zero means no bound
	running         int
	runs            []*Ticket                            // the running requests
	internalRunning int                                  // internal calls among the running requests
	internalWaiting []*Ticket                            // in the order in which they run
	externalWaiting []*Ticket                            // in the order in which they run
	internalStreak  int                                  // internal calls started in a row while external requests waited
	serviceTimes    learned.Table[request.Flow, float64] // moving average in nanoseconds
	rest            float64                              // mean rest of the running requests in nanoseconds, at restAt
	restAt          time.Time
	restRuns        int        // running requests at restAt
	rate            *rateLimit // nil without a limit
	rnd             *rand.Rand
}

// New returns the queue of a backend server with the given number of slots.
func New(slots int, rnd *rand.Rand) *Queue {
	q := &Queue{rnd: rnd}
	q.SetSlots(slots)
	return q
}

// SetSlots sets the number of slots that the backend server announces. A change
// resets the limit to its maximum.
func (q *Queue) SetSlots(slots int) {
	if slots == q.slots {
		return
	}
	q.slots = slots
	q.limit = q.maxLimit()
}

// SetMaxWait bounds the time that a request waits; zero means no bound.
func (q *Queue) SetMaxWait(d time.Duration) { q.maxWait = d }

func (q *Queue) maxLimit() float64 {
	return max(math.Floor(float64(q.slots)*(1-spareFraction)), 1)
}

// Arrive decides on a request. The tickets in evicted were waiting behind it and
// are now refused.
func (q *Queue) Arrive(now time.Time, r Request) (t *Ticket, v Verdict, evicted []*Ticket) {
	t = &Ticket{Request: r, arrived: now}
	if q.running < int(q.limit) && q.Waiting() == 0 && q.mayStart(now) {
		q.start(now, t)
		return t, Run, nil
	}
	queue := q.waitQueue(r.Internal)
	i := insertIndex(*queue, t)
	if q.Waiting() >= maxWaiting || q.expectedLate(now, t, q.ahead(r.Internal, i)) {
		return nil, Refuse, nil
	}
	*queue = slices.Insert(*queue, i, t)
	return t, Wait, q.evictLate(now, r.Internal, i+1)
}

func (q *Queue) waitQueue(internal bool) *[]*Ticket {
	if internal {
		return &q.internalWaiting
	}
	return &q.externalWaiting
}

// Waiting returns the number of waiting requests.
func (q *Queue) Waiting() int { return len(q.internalWaiting) + len(q.externalWaiting) }

// insertIndex returns the index at which a new ticket joins its queue.
func insertIndex(queue []*Ticket, t *Ticket) int {
	i, _ := slices.BinarySearchFunc(queue, t, func(w, t *Ticket) int {
		if w.Importance >= t.Importance {
			return -1 // arrived earlier and is at least as important
		}
		return 1
	})
	return i
}

// backlog is what starts before a request.
type backlog struct {
	work     float64 // nanoseconds of one slot
	requests float64
}

func (b backlog) plus(o backlog) backlog { return backlog{b.work + o.work, b.requests + o.requests} }

// share returns a part of the backlog, at most the whole.
func (b backlog) share(work, requests float64) backlog {
	return backlog{min(b.work, work), min(b.requests, requests)}
}

// ahead estimates what starts before the ticket at an index of its queue. Of the other
// queue it counts what can start meanwhile with that queue's fraction of the slots.
func (q *Queue) ahead(internal bool, i int) backlog {
	own := q.backlogOf((*q.waitQueue(internal))[:i])
	other := q.backlogOf(*q.waitQueue(!internal))
	const ratio = internalFraction / (1 - internalFraction)
	if internal {
		return own.plus(other.share(own.work/ratio, own.requests/ratio))
	}
	return own.plus(other.share((own.work+q.meanExternalWork())*ratio, (own.requests+1)*ratio))
}

func (q *Queue) backlogOf(tickets []*Ticket) backlog {
	b := backlog{requests: float64(len(tickets))}
	for _, t := range tickets {
		b.work += q.costNs(t)
	}
	return b
}

// meanExternalWork returns the mean service time of the waiting external requests.
// It stands for the external request itself, which internal calls may overtake.
func (q *Queue) meanExternalWork() float64 {
	if len(q.externalWaiting) == 0 {
		return 0
	}
	return q.backlogOf(q.externalWaiting).work / float64(len(q.externalWaiting))
}

// wait estimates how long a request waits that has a backlog ahead of it.
func (q *Queue) wait(now time.Time, ahead backlog) time.Duration {
	wait := time.Duration(ahead.work / q.limit)
	if q.rate != nil {
		wait = max(wait, q.rate.wait(now, ahead.requests))
	}
	return wait
}

// expectedLate reports whether a ticket with the given backlog ahead is expected to
// miss its soft deadline less the margin, or its deadline if the soft deadline has
// passed, or to wait longer than the maximum wait.
func (q *Queue) expectedLate(now time.Time, t *Ticket, ahead backlog) bool {
	latest := t.Deadline
	if t.SoftDeadline.After(now) {
		latest = t.arrived.Add(time.Duration(softDeadlineFraction * float64(t.SoftDeadline.Sub(t.arrived))))
		if latest.After(t.Deadline) {
			latest = t.Deadline
		}
	}
	wait := q.wait(now, ahead)
	if q.maxWait > 0 && now.Add(wait).After(t.arrived.Add(q.maxWait)) {
		return true
	}
	return now.Add(wait + time.Duration(q.costNs(t))).After(latest)
}

// evictLate removes the tickets from an index of a queue on that are expected to
// be late, and returns them.
func (q *Queue) evictLate(now time.Time, internal bool, from int) []*Ticket {
	queue := q.waitQueue(internal)
	if from >= len(*queue) {
		return nil
	}
	var evicted []*Ticket
	ahead := q.ahead(internal, from)
	kept := (*queue)[:from]
	for _, t := range (*queue)[from:] {
		if q.expectedLate(now, t, ahead) {
			evicted = append(evicted, t)
			continue
		}
		ahead = ahead.plus(backlog{q.costNs(t), 1})
		kept = append(kept, t)
	}
	clear((*queue)[len(kept):])
	*queue = kept
	return evicted
}

// Tick removes and returns the waiting requests that are now expected to be late.
// They are to be refused.
func (q *Queue) Tick(now time.Time) []*Ticket {
	return append(q.evictLate(now, true, 0), q.evictLate(now, false, 0)...)
}

// Cancel removes a waiting request whose caller has left. It returns false if the
// request is not waiting.
func (q *Queue) Cancel(t *Ticket) bool {
	queue := q.waitQueue(t.Internal)
	i := slices.Index(*queue, t)
	if i < 0 {
		return false
	}
	*queue = slices.Delete(*queue, i, i+1)
	return true
}

// Finish records the end of a running request and returns the waiting requests
// that start now.
func (q *Queue) Finish(now time.Time, t *Ticket, r Result) []*Ticket {
	if !t.running {
		return nil
	}
	t.running = false
	q.running--
	last := q.runs[q.running]
	q.runs[t.index], last.index = last, t.index
	q.runs[q.running] = nil
	q.runs = q.runs[:q.running]
	if t.Internal {
		q.internalRunning--
	}
	switch r {
	case Served:
		q.recordServiceTime(t.Flow, now.Sub(t.started))
		q.limit = min(q.limit+1/max(q.limit, 1), q.maxLimit())
	case AtCapacity:
		q.limit = max(min(q.limit, float64(q.running)), minLimitFraction*q.maxLimit(), 1)
	}
	return q.StartNext(now)
}

// StartNext starts waiting requests while slots are free and the rate limit allows it, and
// returns them.
func (q *Queue) StartNext(now time.Time) []*Ticket {
	var started []*Ticket
	for q.Waiting() > 0 && q.running < int(q.limit) && q.mayStart(now) {
		queue := q.waitQueue(q.nextIsInternal())
		t := (*queue)[0]
		*queue = slices.Delete(*queue, 0, 1)
		q.start(now, t)
		started = append(started, t)
	}
	return started
}

func (q *Queue) start(now time.Time, t *Ticket) {
	t.running, t.started, t.index = true, now, q.running
	q.running++
	q.runs = append(q.runs, t)
	if !t.Internal {
		q.internalStreak = 0
		return
	}
	q.internalRunning++
	if len(q.externalWaiting) > 0 {
		q.internalStreak++
	}
}

// Drain removes and returns all waiting requests, for a backend server that shuts
// down.
func (q *Queue) Drain() []*Ticket {
	waiting := append(q.internalWaiting, q.externalWaiting...)
	q.internalWaiting, q.externalWaiting = nil, nil
	return waiting
}

func (q *Queue) serviceTimeNs(flow request.Flow) float64 {
	if ns, ok := q.serviceTimes.Get(flow); ok {
		return ns
	}
	return float64(initialServiceTime)
}

// costNs returns how long a request is expected to run, in nanoseconds.
func (q *Queue) costNs(t *Ticket) float64 {
	if t.Cost > 0 {
		return float64(t.Cost)
	}
	return q.serviceTimeNs(t.Flow)
}

// NewCallWait estimates how long a new call waits, from the work left. Of the rest of the
// running requests a part counts even while slots are free, since others send too before the
// call arrives: the probability that all slots are taken then, approximated as in a queue
// with Poisson arrivals (Sakasegawa). rest returns how long a request of a flow that has run
// for a time is expected to run on. It leaves the rate limit out.
func (q *Queue) NewCallWait(now time.Time, internal bool, rest func(flow request.Flow, elapsed time.Duration) time.Duration) time.Duration {
	wait := q.ExpectedWait()
	if internal {
		wait = time.Duration(q.ahead(true, len(q.internalWaiting)).work / q.limit)
	}
	use := min(float64(q.running)/q.limit, 1)
	full := math.Pow(use, math.Sqrt(2*(q.limit+1)))
	if full < minFull {
		return wait
	}
	return wait + time.Duration(q.meanRest(now, rest)*float64(q.running)*full/q.limit)
}

// meanRest returns the mean expected rest of the running requests in nanoseconds. It looks
// at all of them at most once per restInterval, unless their number has changed much.
func (q *Queue) meanRest(now time.Time, rest func(flow request.Flow, elapsed time.Duration) time.Duration) float64 {
	change := q.running - q.restRuns
	if now.Sub(q.restAt) < restInterval && 8*max(change, -change) <= q.running {
		return q.rest
	}
	sum := 0.0
	for _, t := range q.runs {
		sum += float64(rest(t.Flow, now.Sub(t.started)))
	}
	q.rest, q.restAt, q.restRuns = sum/float64(max(q.running, 1)), now, q.running
	return q.rest
}

// ServiceTime returns the typical time that a request of the flow takes at the
// backend server.
func (q *Queue) ServiceTime(flow request.Flow) time.Duration {
	return time.Duration(q.serviceTimeNs(flow))
}

func (q *Queue) recordServiceTime(flow request.Flow, took time.Duration) {
	ns, ok := q.serviceTimes.Get(flow)
	if !ok {
		ns = float64(took)
	}
	q.serviceTimes.Set(flow, ns+serviceTimeWeight*(float64(took)-ns))
}

// Keep forgets the service times of the flows that are not to be kept.
func (q *Queue) Keep(keep func(request.Flow) bool) { q.serviceTimes.Keep(keep) }

// Load is the state of the queue.
type Load struct {
	Limit, Running, Waiting int
}

// Load returns the concurrency limit and the numbers of running and waiting
// requests.
func (q *Queue) Load() Load {
	return Load{Limit: int(q.limit), Running: q.running, Waiting: q.Waiting()}
}

// ExpectedWait estimates the time until all waiting requests have got a slot. It leaves the
// rate limit out (RateWait).
func (q *Queue) ExpectedWait() time.Duration {
	return time.Duration((q.backlogOf(q.internalWaiting).work + q.backlogOf(q.externalWaiting).work) / q.limit)
}

// RetryAfter returns the time after which a refused caller may retry: the expected
// wait plus jitter, so that callers refused together do not retry together. A caller that is
// refused for a rate limit whose end is known retries after it.
func (q *Queue) RetryAfter(now time.Time) time.Duration {
	if q.rate != nil && !q.rate.Until.IsZero() && q.RateWait(now) == q.rate.Until.Sub(now) {
		after := min(q.rate.Until.Sub(now), maxRetryAfterRate)
		return after + time.Duration(q.rnd.Float64()*float64(rateRetryJitter))
	}
	after := min(max(q.ExpectedWait(), q.RateWait(now), minRetryAfter), maxRetryAfter)
	return after + time.Duration(q.rnd.Float64()*float64(after))
}
