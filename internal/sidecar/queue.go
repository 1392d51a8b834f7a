package sidecar

import (
	"context"
	"sync"
	"time"

	"github.com/teaselseam/teaselseam/internal/dispatch"
	"github.com/teaselseam/teaselseam/internal/hop"
	"github.com/teaselseam/teaselseam/internal/pace"
	"github.com/teaselseam/teaselseam/internal/pressure"
	"github.com/teaselseam/teaselseam/internal/request"
)

const (
	// lineTick is how often waiting calls are checked. It bounds how late a
	// refusal of a waiting call is sent.
	lineTick = 10 * time.Millisecond
	lineIdle = time.Second
)

// line is the queue of the node's backend server. It is safe for concurrent use.
type line struct {
	wake chan struct{}

	mu    sync.Mutex
	queue *dispatch.Queue
}

func newLine() *line {
	return &line{wake: make(chan struct{}, 1), queue: dispatch.New(1, newRand())}
}

// enter waits for the call's turn. It returns a function that ends the run, or
// the refusal.
func (l *line) enter(ctx context.Context, c *hop.Call) (func(dispatch.Result), *request.Refusal) {
	now := time.Now()
	r := dispatch.Request{Route: c.Route, Inner: c.Workspace == "", Importance: c.Importance, Deadline: c.Deadline}
	if c.Aim > 0 {
		r.AimAt = now.Add(c.Aim)
	}
	turn := make(chan bool, 1)
	l.mu.Lock()
	t, verdict, evicted := l.queue.Arrive(now, r)
	if t != nil {
		t.Owner = turn
	}
	signal(evicted, false)
	var refusal *request.Refusal
	if verdict == dispatch.Refuse {
		refusal = l.refusal(request.ReasonOverload)
	}
	l.mu.Unlock()
	switch verdict {
	case dispatch.Refuse:
		return nil, refusal
	case dispatch.Wait:
		pace.Wake(l.wake)
		if refusal := l.await(ctx, t, turn); refusal != nil {
			return nil, refusal
		}
	}
	return func(r dispatch.Result) { l.leave(t, r) }, nil
}

// await returns nil once the ticket runs.
func (l *line) await(ctx context.Context, t *dispatch.Ticket, turn <-chan bool) *request.Refusal {
	reason := request.ReasonOverload
	select {
	case runs := <-turn:
		if runs {
			return nil
		}
	case <-ctx.Done():
		reason = request.ReasonDeadline
		l.mu.Lock()
		waited := l.queue.Cancel(t)
		l.mu.Unlock()
		if !waited && <-turn {
			l.leave(t, dispatch.Broken) // it was started meanwhile, and is not sent
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.refusal(reason)
}

// refusal says when the call may come back. It needs mu.
func (l *line) refusal(reason request.Reason) *request.Refusal {
	r := request.Refuse(reason, l.queue.ReturnAfter())
	return &r
}

func (l *line) leave(t *dispatch.Ticket, r dispatch.Result) {
	l.mu.Lock()
	defer l.mu.Unlock()
	signal(l.queue.Finish(time.Now(), t, r), true)
}

func signal(ts []*dispatch.Ticket, runs bool) {
	for _, t := range ts {
		t.Owner.(chan bool) <- runs
	}
}

// run checks waiting calls until ctx ends.
func (l *line) run(ctx context.Context) error {
	return pace.Run(ctx, lineTick, lineIdle, l.wake, func(now time.Time) bool {
		l.mu.Lock()
		defer l.mu.Unlock()
		signal(l.queue.Tick(now), false)
		return l.queue.Waiting() > 0
	})
}

// drain refuses all waiting calls.
func (l *line) drain() {
	l.mu.Lock()
	defer l.mu.Unlock()
	signal(l.queue.Drain(), false)
}

func (l *line) setSlots(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.queue.SetSlots(n)
	signal(l.queue.Next(time.Now()), true)
}

func (l *line) setMaxWait(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.queue.SetMaxWait(d)
}

// load returns the figures that ride on the answer to a call of the route.
func (l *line) load(route string, inner bool) *pressure.Load {
	l.mu.Lock()
	defer l.mu.Unlock()
	load := pressure.LoadOf(l.queue, route, inner)
	return &load
}
