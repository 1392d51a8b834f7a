package guard

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/teaselseam/teaselseam/internal/admission"
	"github.com/teaselseam/teaselseam/internal/call"
	"github.com/teaselseam/teaselseam/internal/control"
	"github.com/teaselseam/teaselseam/internal/pace"
	"github.com/teaselseam/teaselseam/internal/request"
)

// tickInterval is how often waiting calls are checked. It bounds how late a
// refusal of a waiting call is sent.
const tickInterval = 5 * time.Millisecond

// idleTick is how often the limit is looked at while no call waits.
const idleTick = 100 * time.Millisecond

// AdmissionLimiter is the Limiter of package admission. It is safe for
// concurrent use.
type AdmissionLimiter struct {
	// weight returns the weight of a workspace.
	weight func(workspace string) float64
	// encode turns the figures into the header form.
	encode func(admission.Load) call.Load

	wake chan struct{}

	mu  sync.Mutex
	ctl *admission.Controller
}

// NewAdmissionLimiter returns the limiter of a backend server that has just
// started.
func NewAdmissionLimiter(weight func(string) float64, encode func(admission.Load) call.Load) *AdmissionLimiter {
	cfg := admission.Config{Rand: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))}
	return &AdmissionLimiter{weight: weight, encode: encode, wake: make(chan struct{}, 1), ctl: admission.New(cfg, time.Now())}
}

// waiter is the Owner of a ticket that waits. started receives one value: true
// if the call may run, false if it was refused.
type waiter struct{ started chan bool }

// Acquire implements Limiter.
func (l *AdmissionLimiter) Acquire(ctx context.Context, c *call.Call) (func(Result), *request.Refusal) {
	arrival := admission.Arrival{
		Workspace: c.Workspace, Weight: l.weight(c.Workspace), Importance: c.Importance, Deadline: c.Deadline,
	}
	var w *waiter
	l.mu.Lock()
	t, d := l.ctl.Arrive(time.Now(), arrival)
	if d.Verdict == admission.Wait {
		w = &waiter{started: make(chan bool, 1)}
		t.Owner = w
	}
	if d.Evicted != nil {
		wake(d.Evicted, false)
	}
	l.mu.Unlock()
	switch {
	case d.Verdict == admission.Refuse:
		return nil, &d.Refusal
	case w != nil:
		pace.Wake(l.wake)
		if refusal := l.wait(ctx, t, w); refusal != nil {
			return nil, refusal
		}
	}
	return func(r Result) { l.finish(t, r) }, nil
}

func (l *AdmissionLimiter) wait(ctx context.Context, t *admission.Ticket, w *waiter) *request.Refusal {
	select {
	case started := <-w.started:
		if started {
			return nil
		}
	case <-ctx.Done():
		l.mu.Lock()
		defer l.mu.Unlock()
		if t.Running() {
			wakeAll(l.ctl.Finish(time.Now(), t, admission.Failed), true)
		} else {
			wakeAll(l.ctl.Cancel(time.Now(), t), true)
		}
		return request.Refused(reasonOf(ctx), 0)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	r := t.Refusal()
	return &r
}

func (l *AdmissionLimiter) finish(t *admission.Ticket, r Result) {
	l.mu.Lock()
	defer l.mu.Unlock()
	wakeAll(l.ctl.Finish(time.Now(), t, outcomeOf(r)), true)
}

func outcomeOf(r Result) admission.Result {
	switch {
	case r.Shed:
		return admission.Refused
	case r.TimedOut:
		return admission.TimedOut
	case r.Failed || r.NotSent || r.Untimed:
		return admission.Failed
	default:
		return admission.Served
	}
}

func wakeAll(ts []*admission.Ticket, started bool) {
	for _, t := range ts {
		wake(t, started)
	}
}

func wake(t *admission.Ticket, started bool) {
	if w, ok := t.Owner.(*waiter); ok {
		w.started <- started
	}
}

// Run checks waiting calls until ctx ends.
func (l *AdmissionLimiter) Run(ctx context.Context) error {
	return pace.Run(ctx, tickInterval, idleTick, l.wake, l.tick)
}

// tick reports whether calls wait.
func (l *AdmissionLimiter) tick(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	start, refused := l.ctl.Tick(now)
	wakeAll(start, true)
	wakeAll(refused, false)
	return l.ctl.Load().Queued > 0
}

// Restart forgets what was learned about a backend server that was replaced.
func (l *AdmissionLimiter) Restart() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ctl.Restart(time.Now())
}

// SetBounds changes the longest time in the queue and the largest number of
// calls at the backend server.
func (l *AdmissionLimiter) SetBounds(queueTime time.Duration, maxRunning int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ctl.SetBounds(queueTime, maxRunning)
}

// Report takes the backend server's own figures as a hint.
func (l *AdmissionLimiter) Report(a control.Announcement) {
	if a.Slots <= 0 || a.Running < 0 || a.Queued < 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	utilization := min(1, float64(a.Running+a.Queued)/float64(a.Slots))
	l.ctl.ReportLoad(time.Now(), admission.ReportedLoad{Utilization: utilization})
}

// Figures returns the present figures.
func (l *AdmissionLimiter) Figures() admission.Load {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ctl.Load()
}

// Load implements Limiter.
func (l *AdmissionLimiter) Load() call.Load { return l.encode(l.Figures()) }

// ServiceTime implements Limiter.
func (l *AdmissionLimiter) ServiceTime() time.Duration { return l.Figures().ServiceTime }
