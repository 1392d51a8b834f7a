package sidecar

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/teaselseam/teaselseam/internal/cost"
	"github.com/teaselseam/teaselseam/internal/dispatch"
	"github.com/teaselseam/teaselseam/internal/hop"
	"github.com/teaselseam/teaselseam/internal/pace"
	"github.com/teaselseam/teaselseam/internal/pressure"
	"github.com/teaselseam/teaselseam/internal/request"
)

const (
	// queueTick is how often waiting calls are checked. It bounds how late a waiting call
	// is refused.
	queueTick     = 10 * time.Millisecond
	queueIdleTick = time.Second
)

// slowdownMemory is how long a reported slowdown counts.
const slowdownMemory = 500 * time.Millisecond

// backendQueue limits the calls that run at the node's backend server at the same time.
// It is safe for concurrent use.
type backendQueue struct {
	wake chan struct{}

	mu         sync.Mutex
	queue      *dispatch.Queue
	costs      *cost.Estimator // of runs at the backend server
	slowdowns  cost.Slowdown
	slowdown   float64 // as the backend server last reported it
	slowdownAt time.Time
}

func newBackendQueue() *backendQueue {
	return &backendQueue{wake: make(chan struct{}, 1), queue: dispatch.New(1, newRand()), costs: cost.New()}
}

// acquire waits for a slot. It returns the function that releases the slot, or a
// refusal.
func (q *backendQueue) acquire(ctx context.Context, c *hop.Call) (func(dispatch.Result), *request.Refusal) {
	now := time.Now()
	r := dispatch.Request{Flow: c.Flow, Internal: c.Workspace == "", Importance: c.Importance, Deadline: c.Deadline}
	if c.TargetLatency != 0 {
		r.SoftDeadline = now.Add(c.TargetLatency)
	}
	outcome := make(chan bool, 1)
	predictors := costRequest(c)
	q.mu.Lock()
	if q.fasterElsewhere(now, c, r.Internal) {
		q.mu.Unlock()
		refusal := request.Refuse(request.ReasonElsewhere, 0)
		return nil, &refusal
	}
	r.Cost = q.costs.Expect(&predictors)
	t, verdict, evicted := q.queue.Arrive(now, r)
	if t != nil {
		t.UserData = outcome
	}
	notify(evicted, false)
	var refusal *request.Refusal
	if verdict == dispatch.Refuse {
		refusal = q.refusal(q.refusalReason())
	}
	q.mu.Unlock()
	switch verdict {
	case dispatch.Refuse:
		return nil, refusal
	case dispatch.Wait:
		pace.Wake(q.wake)
		if refusal := q.waitForSlot(ctx, t, outcome); refusal != nil {
			return nil, refusal
		}
	}
	return func(r dispatch.Result) { q.release(t, r) }, nil
}

// waitForSlot waits until the ticket gets a slot, and returns nil, or until it is
// refused or ctx ends, and returns the refusal.
func (q *backendQueue) waitForSlot(ctx context.Context, t *dispatch.Ticket, outcome <-chan bool) *request.Refusal {
	select {
	case granted := <-outcome:
		if granted {
			return nil
		}
		q.mu.Lock()
		defer q.mu.Unlock()
		return q.refusal(q.refusalReason())
	case <-ctx.Done():
		q.mu.Lock()
		waited := q.queue.Cancel(t)
		q.mu.Unlock()
		if !waited && <-outcome {
			q.release(t, dispatch.Failed) // it got a slot in the meantime, which the call no longer uses
		}
		q.mu.Lock()
		defer q.mu.Unlock()
		return q.refusal(endReason(ctx, nil))
	}
}

// refusalReason tells why calls are refused now: the rate limit of the backend server, if
// that is what they would wait for, or its slots. The caller holds mu.
func (q *backendQueue) refusalReason() request.Reason {
	if q.queue.RateWait(time.Now()) > q.queue.ExpectedWait() {
		return request.ReasonRateLimited
	}
	return request.ReasonOverload
}

// refusal returns a refusal with the time after which the call may be retried. The caller
// holds mu.
func (q *backendQueue) refusal(reason request.Reason) *request.Refusal {
	r := request.Refuse(reason, q.queue.RetryAfter(time.Now()))
	return &r
}

func (q *backendQueue) release(t *dispatch.Ticket, r dispatch.Result) {
	q.mu.Lock()
	defer q.mu.Unlock()
	notify(q.queue.Finish(time.Now(), t, r), true)
}

// notify tells the waiting calls of the tickets whether they got a slot.
func notify(ts []*dispatch.Ticket, granted bool) {
	for _, t := range ts {
		t.UserData.(chan bool) <- granted
	}
}

// run periodically refuses the waiting calls that are expected to be late or to wait too
// long, and starts those that the rate limit lets start, until ctx ends.
func (q *backendQueue) run(ctx context.Context) error {
	return pace.Run(ctx, queueTick, queueIdleTick, q.wake, func(now time.Time) bool {
		q.mu.Lock()
		defer q.mu.Unlock()
		notify(q.queue.Tick(now), false)
		notify(q.queue.StartNext(now), true)
		return q.queue.Waiting() > 0
	})
}

// drain refuses all waiting calls.
func (q *backendQueue) drain() {
	q.mu.Lock()
	defer q.mu.Unlock()
	notify(q.queue.Drain(), false)
}

func (q *backendQueue) setSlots(n int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.queue.SetSlots(n)
	notify(q.queue.StartNext(time.Now()), true)
}

// setRate limits the calls that start; nil ends the limit.
func (q *backendQueue) setRate(r *dispatch.Rate) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	q.queue.SetRate(now, r)
	notify(q.queue.StartNext(now), true)
}

// rateWait returns the expected wait of a new call for the rate limit.
func (q *backendQueue) rateWait() time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.queue.RateWait(time.Now())
}

func (q *backendQueue) setMaxWait(d time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.queue.SetMaxWait(d)
}

// load returns the load figures to report with the response to a call of the flow.
func (q *backendQueue) load(flow request.Flow, internal bool) *pressure.Load {
	q.mu.Lock()
	defer q.mu.Unlock()
	load := pressure.LoadOf(time.Now(), q.queue, flow, internal)
	return &load
}

// keep forgets the flows that are not to be kept.
func (q *backendQueue) keep(keep func(request.Flow) bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.queue.Keep(keep)
	q.costs.Keep(keep)
}

// costRequest returns what predicts the cost of a call.
func costRequest(c *hop.Call) cost.Request {
	path, _, _ := strings.Cut(c.URI, "?")
	return cost.Request{Flow: c.Flow, Workspace: c.Workspace, Path: path, Size: c.Body.Length}
}

// recordRun records a run that the backend server has completed, and the slowdown that it
// reported; zero for none.
func (q *backendQueue) recordRun(c *hop.Call, ran time.Duration, slowdown float64) {
	predictors := costRequest(c)
	q.mu.Lock()
	defer q.mu.Unlock()
	if slowdown > 0 {
		q.slowdown, q.slowdownAt = slowdown, time.Now()
		ratio := 0.0
		if expected := q.costs.Expect(&predictors); expected > 0 {
			ratio = float64(ran) / float64(expected)
		}
		q.slowdowns.Observe(slowdown, ratio)
	}
	q.costs.Observe(&predictors, ran)
}

// fasterElsewhere reports whether the call would wait for longer than at the other endpoint
// that its sender has drawn. The caller holds mu.
func (q *backendQueue) fasterElsewhere(now time.Time, c *hop.Call, internal bool) bool {
	if c.MaxWait <= 0 {
		return false
	}
	if l := q.queue.Load(); l.Running < l.Limit && l.Waiting == 0 {
		return false
	}
	return q.newCallWait(now, internal) > c.MaxWait
}

// newCallWait returns the expected wait of a new call. The caller holds mu.
func (q *backendQueue) newCallWait(now time.Time, internal bool) time.Duration {
	return time.Duration(float64(q.queue.NewCallWait(now, internal, q.costs.Rest)) * q.currentSlowdown(now))
}

// currentSlowdown returns the factor on the usual run time at this moment. The caller holds mu.
func (q *backendQueue) currentSlowdown(now time.Time) float64 {
	if now.Sub(q.slowdownAt) >= slowdownMemory {
		return 1
	}
	return q.slowdowns.Factor(q.slowdown)
}

// expectations sets what a new call may expect.
func (q *backendQueue) expectations(w *hop.Work, internal bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	w.Slowdown, w.Wait = q.currentSlowdown(now), q.newCallWait(now, internal)
}
