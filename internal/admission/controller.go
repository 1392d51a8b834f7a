package admission

import (
	"math"
	"time"

	"github.com/teaselseam/teaselseam/internal/request"
)

const (
	// initialServiceTime stands in until the first call is served.
	initialServiceTime = 10 * time.Millisecond
	// serviceTimeWeight is the weight of one call in the typical service time.
	serviceTimeWeight = 1.0 / 32
	// acceptWeight is the weight of one arrival in the accept ratio.
	acceptWeight = 1.0 / 64

	// trickleShare is the part of the limit open to calls whose deadline seems
	// too short. Without it, a typical service time above all deadlines would
	// refuse every call and never be corrected.
	trickleShare = 1.0 / 8

	// Bounds of Retry-After before jitter.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 5 * time.Second

	// shrinkAtPart of MaxWait is the drain time at which Tick evicts calls. It
	// leaves room for the cut of the limit during a probe.
	shrinkAtPart = 1.5

	// Weights outside these bounds would lose the small ones in float sums.
	minWeight = 1e-3
	maxWeight = 1e6

	// tenantSweep is how often accounts of idle workspaces are dropped.
	tenantSweep = 10 * time.Second
)

// Controller is the concurrency limit and queue of one backend server. It is
// not safe for concurrent use. Time must not go backwards between calls; a step
// back is treated as no time passing.
type Controller struct {
	cfg     Config
	limiter limiter
	queue   queue
	shed    shedder

	tenants      map[string]*tenant
	activeWeight float64 // of workspaces with a call in the system
	running      int
	serviceTime  float64 // typical, in nanoseconds
	acceptRatio  float64
	sweptAt      time.Time
}

// Load is a summary for the load header and metrics.
type Load struct {
	Limit       int                // concurrency limit
	Running     int                // calls at the backend server
	Queued      int                // calls waiting
	Wait        time.Duration      // time in which the queue drains
	ServiceTime time.Duration      // typical time at the backend server
	ShedLevel   request.Importance // less important calls don't wait, they are refused
	AcceptRatio float64            // part of recent arrivals that was not refused
}

// ReportedLoad is what the backend server says about itself.
type ReportedLoad struct {
	Utilization float64 // 0 idle, 1 full
}

// New returns the controller of a backend server that has just started.
func New(cfg Config, now time.Time) *Controller {
	cfg = cfg.withDefaults()
	return &Controller{
		cfg:         cfg,
		limiter:     newLimiter(cfg, now),
		shed:        newShedder(cfg.MaxWait),
		tenants:     make(map[string]*tenant),
		serviceTime: float64(initialServiceTime),
		acceptRatio: 1,
		sweptAt:     now,
	}
}

// Arrive decides on a new call. The ticket is nil if the call is refused.
func (c *Controller) Arrive(now time.Time, a Arrival) (*Ticket, Decision) {
	c.limiter.advance(now, c.running)
	a.Importance = min(a.Importance, request.Critical)
	tn := c.tenant(now, a)
	sh := c.shares(now, tn)
	d := c.decide(sh, tn, a)
	c.noteDecision(d)
	if d.Verdict == Refuse {
		return nil, d
	}
	t := &Ticket{tenant: tn, importance: a.Importance, arrived: now, deadline: a.Deadline}
	sh.settle(tn)
	if tn.inSystem() == 0 {
		c.activeWeight += tn.weight
	}
	if d.Verdict == Wait {
		c.queue.push(t)
		return t, d
	}
	c.run(now, t)
	return t, d
}

func (c *Controller) decide(sh shares, tn *tenant, a Arrival) Decision {
	remaining := c.remaining(sh.now, a.Deadline)
	if remaining <= 0 {
		return c.refuse(request.ReasonDeadline, a.Importance)
	}
	tooShort := float64(remaining) < c.serviceTime
	if c.running < c.limiter.slots() && c.queue.queued == 0 {
		if tooShort && float64(c.running) >= trickleShare*c.limiter.limit {
			return c.refuse(request.ReasonDeadline, a.Importance)
		}
		return Decision{Verdict: Run}
	}
	if tooShort {
		return c.refuse(request.ReasonDeadline, a.Importance)
	}
	return c.enqueue(sh, tn, a.Importance, remaining)
}

// enqueue decides whether a call may wait.
func (c *Controller) enqueue(sh shares, tn *tenant, imp request.Importance, remaining time.Duration) Decision {
	covered := sh.covers(tn)
	if imp < c.shed.level && !covered {
		return c.refuse(request.ReasonOverload, imp)
	}
	wait := c.expectedWait(tn, imp, covered)
	if wait > c.cfg.MaxWait || wait+time.Duration(c.serviceTime) > remaining {
		return c.refuse(request.ReasonOverload, imp)
	}
	if c.drainTime(c.queue.queued+1) <= c.cfg.MaxWait {
		return Decision{Verdict: Wait}
	}
	victim := c.victim(sh, tn, imp, covered)
	if victim == nil {
		return c.refuse(request.ReasonOverload, imp)
	}
	c.drop(sh.now, victim, request.ReasonOverload)
	return Decision{Verdict: Wait, Evicted: victim}
}

// victim finds a call to evict in favour of an arriving one. A call within its
// workspace's share displaces any call of a workspace over its share. Another
// call displaces less important ones, and equally important ones of a
// workspace further over its share.
func (c *Controller) victim(sh shares, tn *tenant, imp request.Importance, covered bool) *Ticket {
	below := imp
	if covered {
		below = request.NumImportance
	}
	if t := c.queue.victim(sh, below); t != nil {
		return t
	}
	// A burst can fill the queue before it has used up the credit of those who
	// sent it. More important calls must displace its calls all the same.
	burst := sh
	burst.ignoreCredit = true
	if t := c.queue.victim(burst, imp); t != nil || covered {
		return t
	}
	return c.queue.levels[imp].victim(sh, float64(tn.inSystem()+1)/sh.slots(tn))
}

// Finish records that a running call left the backend server and returns the
// waiting calls that may start now. It ignores a ticket that does not run.
func (c *Controller) Finish(now time.Time, t *Ticket, r Result) []*Ticket {
	if t.state != stateRunning {
		return nil
	}
	c.limiter.advance(now, c.running)
	took := max(0, now.Sub(t.started))
	c.shares(now, t.tenant).settle(t.tenant)
	c.running--
	t.tenant.running--
	c.leave(t)
	c.learnServiceTime(took, r)
	c.limiter.done(now, c.running, r, took)
	return c.dispatch(now)
}

// Cancel ends a call whose caller went away. A running call counts as timed
// out: use Finish instead if the backend server goes on with it.
func (c *Controller) Cancel(now time.Time, t *Ticket) []*Ticket {
	switch t.state {
	case stateRunning:
		return c.Finish(now, t, TimedOut)
	case stateWaiting:
		c.limiter.advance(now, c.running)
		c.drop(now, t, request.ReasonCancelled)
		t.refusal.RetryAfter = 0
	}
	return nil
}

// Tick refuses waiting calls that can no longer complete in time, updates the
// shed level, and starts calls if the limit allows. It is due every few ms.
func (c *Controller) Tick(now time.Time) (start, refuse []*Ticket) {
	c.limiter.advance(now, c.running)
	refuse, oldest := c.expire(now)
	refuse = c.shrink(now, refuse)
	c.shed.update(now, max(c.drainTime(c.queue.queued), oldest))
	c.sweep(now)
	return c.dispatch(now), refuse
}

// expire also returns the age of the oldest call among the most important ones
// that wait. Less important calls may be old because others pass them.
func (c *Controller) expire(now time.Time) (refuse []*Ticket, oldest time.Duration) {
	top := request.Sheddable
	c.queue.each(func(t *Ticket) {
		waited := now.Sub(t.arrived)
		late := float64(c.remaining(now, t.deadline)) < c.serviceTime
		if late || waited > c.cfg.MaxWait {
			reason := request.ReasonOverload
			if late {
				reason = request.ReasonDeadline
			}
			c.drop(now, t, reason)
			c.noteAccepted(false)
			refuse = append(refuse, t)
		}
		if t.importance > top {
			top, oldest = t.importance, waited
		}
		if t.importance == top {
			oldest = max(oldest, waited)
		}
	})
	return refuse, oldest
}

// shrink evicts calls after the limit fell or the service time rose.
func (c *Controller) shrink(now time.Time, refuse []*Ticket) []*Ticket {
	bound := time.Duration(shrinkAtPart * float64(c.cfg.MaxWait))
	for c.drainTime(c.queue.queued) > bound {
		sh := c.shares(now, nil)
		t := c.queue.victim(sh, request.NumImportance)
		if t == nil {
			sh.ignoreCredit = true
			t = c.queue.victim(sh, request.NumImportance)
		}
		if t == nil {
			break
		}
		c.drop(now, t, request.ReasonOverload)
		c.noteAccepted(false)
		refuse = append(refuse, t)
	}
	return refuse
}

// ReportLoad takes the backend server's own figure as a hint.
func (c *Controller) ReportLoad(now time.Time, l ReportedLoad) {
	if l.Utilization >= 0 && l.Utilization <= 1 { // false for NaN
		c.limiter.report(now, l.Utilization)
	}
}

// Restart forgets what was learned about the backend server, because a new
// process has taken its place. Calls that ran at the old one must be finished
// as Failed; waiting calls stay.
func (c *Controller) Restart(now time.Time) {
	c.limiter.restart(now)
	c.serviceTime = float64(initialServiceTime)
}

// Load returns the present figures.
func (c *Controller) Load() Load {
	return Load{
		Limit:       c.limiter.slots(),
		Running:     c.running,
		Queued:      c.queue.queued,
		Wait:        c.drainTime(c.queue.queued),
		ServiceTime: time.Duration(c.serviceTime),
		ShedLevel:   c.shed.level,
		AcceptRatio: c.acceptRatio,
	}
}

// dispatch starts waiting calls while the limit has room.
func (c *Controller) dispatch(now time.Time) []*Ticket {
	var started []*Ticket
	for c.queue.queued > 0 && c.running < c.limiter.slots() {
		t := c.queue.next(c.shares(now, nil))
		c.run(now, t)
		started = append(started, t)
	}
	return started
}

func (c *Controller) run(now time.Time, t *Ticket) {
	t.state, t.started = stateRunning, now
	c.running++
	t.tenant.running++
}

// drop ends a waiting call.
func (c *Controller) drop(now time.Time, t *Ticket, reason request.Reason) {
	c.shares(now, t.tenant).settle(t.tenant)
	c.queue.remove(t)
	t.refusal = c.refusal(reason, t.importance)
	c.leave(t)
}

// leave ends a ticket that was already taken off the running or waiting calls.
func (c *Controller) leave(t *Ticket) {
	t.state = stateEnded
	if t.tenant.inSystem() == 0 {
		c.activeWeight -= t.tenant.weight
	}
	if c.running == 0 && c.queue.queued == 0 {
		c.activeWeight = 0 // drops the rounding errors
	}
}

func (c *Controller) tenant(now time.Time, a Arrival) *tenant {
	weight := a.Weight
	if !(weight > 0) { // also NaN
		weight = 1
	}
	weight = min(max(weight, minWeight), maxWeight)
	t := c.tenants[a.Workspace]
	if t == nil {
		t = newTenant(a.Workspace, weight, now)
		c.tenants[a.Workspace] = t
		return t
	}
	if t.weight != weight {
		if t.inSystem() > 0 {
			c.activeWeight += weight - t.weight
		}
		c.queue.setWeight(t, weight)
	}
	return t
}

func (c *Controller) sweep(now time.Time) {
	if now.Sub(c.sweptAt) < tenantSweep {
		return
	}
	c.sweptAt = now
	for name, t := range c.tenants {
		if t.inSystem() == 0 {
			delete(c.tenants, name)
		}
	}
}

// shares returns the present division of the limit. A workspace that is given
// counts as active even if it has no call in the system yet.
func (c *Controller) shares(now time.Time, t *tenant) shares {
	weight := c.activeWeight
	if t != nil && t.inSystem() == 0 {
		weight += t.weight
	}
	return shares{now: now, perWeight: c.limiter.limit / weight}
}

// drainTime is how long the backend server takes for a number of calls.
func (c *Controller) drainTime(calls int) time.Duration {
	return time.Duration(float64(calls) * c.serviceTime / c.limiter.limit)
}

// expectedWait estimates the wait of a new call. One that is covered by its
// workspace's share follows the calls of this workspace and about one call of
// each other workspace that waits.
func (c *Controller) expectedWait(t *tenant, imp request.Importance, covered bool) time.Duration {
	ahead := c.queue.ahead(t, imp)
	if covered {
		turns := t.queued
		for i := range c.queue.levels {
			turns += c.queue.levels[i].flows
		}
		ahead = min(ahead, float64(turns))
	}
	return time.Duration((ahead + 1) * c.serviceTime / c.limiter.limit)
}

func (c *Controller) remaining(now, deadline time.Time) time.Duration {
	if deadline.IsZero() {
		return math.MaxInt64
	}
	return deadline.Sub(now)
}

func (c *Controller) learnServiceTime(took time.Duration, r Result) {
	ns := float64(took)
	if r == Served || r == TimedOut && ns > c.serviceTime {
		c.serviceTime += serviceTimeWeight * (ns - c.serviceTime)
	}
}

func (c *Controller) noteDecision(d Decision) {
	c.noteAccepted(d.Verdict != Refuse)
	if d.Evicted != nil {
		c.noteAccepted(false)
	}
}

func (c *Controller) noteAccepted(accepted bool) {
	value := 0.0
	if accepted {
		value = 1
	}
	c.acceptRatio += acceptWeight * (value - c.acceptRatio)
}

func (c *Controller) refuse(reason request.Reason, imp request.Importance) Decision {
	return Decision{Verdict: Refuse, Refusal: c.refusal(reason, imp)}
}

// refusal asks the caller to return when the present queue has drained, later
// if even more important calls are being shed, plus up to half of that at
// random.
func (c *Controller) refusal(reason request.Reason, imp request.Importance) request.Refusal {
	after := c.drainTime(c.queue.queued + 1)
	if imp < c.shed.level {
		after *= time.Duration(1 + c.shed.level - imp)
	}
	after = min(max(after, minRetryAfter), maxRetryAfter)
	if c.cfg.Rand != nil {
		after += time.Duration(c.cfg.Rand.Float64() * 0.5 * float64(after))
	}
	return request.Refuse(reason, after)
}
