package admission

import (
	"math"
	"time"

	"github.com/teaselseam/teaselseam/internal/request"
)

const (
	// initialServiceTime is the assumed typical service time until requests were served.
	initialServiceTime = 10 * time.Millisecond
	// serviceTimeWeight is the weight of a new sample in the moving average of service
	// times.
	serviceTimeWeight = 1.0 / 32
	// acceptRatioWeight is the weight of one arriving request in the moving average of
	// accepted requests.
	acceptRatioWeight = 1.0 / 64

	// shortDeadlineFraction is the fraction of the limit that requests may use whose time
	// left is shorter than the typical service time. Without it, an estimate above all
	// deadlines would cause every request to be refused, and never be corrected.
	shortDeadlineFraction = 1.0 / 8

	// Bounds of Retry-After before jitter.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 5 * time.Second

	// Tick evicts requests if the drain time exceeds MaxWait times evictDrainFactor. The
	// margin is for probes, in which the limit falls for a short time.
	evictDrainFactor = 1.5

	// Bounds of the weight of a workspace. With a wider range, small weights would be
	// lost to rounding in sums.
	minWeight = 1e-3
	maxWeight = 1e6

	// idleSweepInterval is the interval at which the state of idle workspaces is removed.
	idleSweepInterval = 10 * time.Second
)

// Controller is the concurrency limit and queue of one backend server. It is not safe
// for concurrent use. The times passed to its methods should not decrease; a step back
// counts as no time passing.
type Controller struct {
	cfg     Config
	limiter limiter
	queue   queue
	shedder shedder

	workspaces   map[string]*workspaceState
	activeWeight float64 // sum over workspaces with a request running or waiting
	running      int
	serviceTime  float64 // moving average, in nanoseconds
	acceptRatio  float64
	lastSweep    time.Time
}

// Load is the load of the backend server, for the load header and metrics.
type Load struct {
	Limit       int                // concurrency limit
	Running     int                // requests at the backend server
	Queued      int                // requests waiting
	Wait        time.Duration      // time that the queue takes to drain
	ServiceTime time.Duration      // typical time at the backend server
	ShedLevel   request.Importance // less important requests are refused instead of queued
	AcceptRatio float64            // fraction of recent requests that were not refused
}

// ReportedLoad is the load that the backend server reports.
type ReportedLoad struct {
	Utilization float64 // 0 is idle, 1 is full
}

// New returns the controller of a backend server that has just started.
func New(cfg Config, now time.Time) *Controller {
	cfg = cfg.withDefaults()
	return &Controller{
		cfg:         cfg,
		limiter:     newLimiter(cfg, now),
		shedder:     newShedder(cfg.MaxWait),
		workspaces:  make(map[string]*workspaceState),
		serviceTime: float64(initialServiceTime),
		acceptRatio: 1,
		lastSweep:   now,
	}
}

// Arrive decides on a new request. The ticket is nil if the request is refused.
func (c *Controller) Arrive(now time.Time, a Arrival) (*Ticket, Decision) {
	c.limiter.advance(now, c.running)
	a.Importance = min(a.Importance, request.Critical)
	ws := c.workspace(now, a)
	sh := c.currentShares(now, ws)
	d := c.decide(sh, ws, a)
	c.recordDecision(d)
	if d.Verdict == Refuse {
		return nil, d
	}
	t := &Ticket{workspace: ws, importance: a.Importance, arrived: now, deadline: a.Deadline}
	sh.updateCredit(ws)
	if ws.inSystem() == 0 {
		c.activeWeight += ws.weight
	}
	if d.Verdict == Wait {
		c.queue.push(t)
		return t, d
	}
	c.start(now, t)
	return t, d
}

func (c *Controller) decide(sh shares, ws *workspaceState, a Arrival) Decision {
	remaining := c.remaining(sh.now, a.Deadline)
	if remaining <= 0 {
		return c.refuse(request.ReasonDeadline, a.Importance)
	}
	tooShort := float64(remaining) < c.serviceTime
	if c.running < c.limiter.currentLimit() && c.queue.queued == 0 {
		if tooShort && float64(c.running) >= shortDeadlineFraction*c.limiter.limit {
			return c.refuse(request.ReasonDeadline, a.Importance)
		}
		return Decision{Verdict: Run}
	}
	if tooShort {
		return c.refuse(request.ReasonDeadline, a.Importance)
	}
	return c.decideWait(sh, ws, a.Importance, remaining)
}

// decideWait decides whether a request is queued or refused.
func (c *Controller) decideWait(sh shares, ws *workspaceState, imp request.Importance, remaining time.Duration) Decision {
	withinShare := sh.withinShare(ws)
	if imp < c.shedder.level && !withinShare {
		return c.refuse(request.ReasonOverload, imp)
	}
	wait := c.expectedWait(ws, imp, withinShare)
	if wait > c.cfg.MaxWait || wait+time.Duration(c.serviceTime) > remaining {
		return c.refuse(request.ReasonOverload, imp)
	}
	if c.drainTime(c.queue.queued+1) <= c.cfg.MaxWait {
		return Decision{Verdict: Wait}
	}
	victim := c.victim(sh, ws, imp, withinShare)
	if victim == nil {
		return c.refuse(request.ReasonOverload, imp)
	}
	c.refuseWaiting(sh.now, victim, request.ReasonOverload)
	return Decision{Verdict: Wait, Evicted: victim}
}

// victim returns the request to evict in favour of an arriving one, or nil if there is
// none. A request within its workspace's share displaces any request of a workspace over
// its share. Other requests displace less important ones, and equally important ones of
// workspaces that are further over their share.
func (c *Controller) victim(sh shares, ws *workspaceState, imp request.Importance, withinShare bool) *Ticket {
	below := imp
	if withinShare {
		below = request.NumImportance
	}
	if t := c.queue.victim(sh, below); t != nil {
		return t
	}
	// A burst can fill the queue before its workspaces have used up their credit. More
	// important requests must displace it nevertheless.
	burst := sh
	burst.ignoreCredit = true
	if t := c.queue.victim(burst, imp); t != nil || withinShare {
		return t
	}
	return c.queue.rings[imp].victim(sh, float64(ws.inSystem()+1)/sh.slots(ws))
}

// Finish records that a running request has left the backend server and returns the
// waiting requests that start now. A ticket that is not running is ignored.
func (c *Controller) Finish(now time.Time, t *Ticket, r Result) []*Ticket {
	if t.state != stateRunning {
		return nil
	}
	c.limiter.advance(now, c.running)
	latency := max(0, now.Sub(t.started))
	c.currentShares(now, t.workspace).updateCredit(t.workspace)
	c.running--
	t.workspace.running--
	c.endTicket(t)
	c.recordServiceTime(latency, r)
	c.limiter.done(now, c.running, r, latency)
	return c.startWaiting(now)
}

// Cancel ends a request whose caller has left, and returns the waiting requests that start
// now. A running request counts as timed out. If the backend server continues to run it,
// call Finish at its end instead.
func (c *Controller) Cancel(now time.Time, t *Ticket) []*Ticket {
	switch t.state {
	case stateRunning:
		return c.Finish(now, t, TimedOut)
	case stateWaiting:
		c.limiter.advance(now, c.running)
		c.refuseWaiting(now, t, request.ReasonCancelled)
		t.refusal.RetryAfter = 0
	}
	return nil
}

// Tick refuses waiting requests that can no longer complete in time or have waited too
// long, updates the shed level, and starts requests if the limit allows. It should be
// called every few milliseconds.
func (c *Controller) Tick(now time.Time) (started, refused []*Ticket) {
	c.limiter.advance(now, c.running)
	refused, oldest := c.refuseExpired(now)
	refused = c.evictExcess(now, refused)
	c.shedder.update(now, max(c.drainTime(c.queue.queued), oldest))
	c.removeIdleWorkspaces(now)
	return c.startWaiting(now), refused
}

// refuseExpired refuses the waiting requests that are too late or have waited for MaxWait.
// It also returns the longest wait among the most important waiting requests. The wait of
// less important ones is no measure of the queue delay, since others overtake them.
func (c *Controller) refuseExpired(now time.Time) (refused []*Ticket, oldest time.Duration) {
	top := request.Sheddable
	c.queue.forEach(func(t *Ticket) {
		waited := now.Sub(t.arrived)
		late := float64(c.remaining(now, t.deadline)) < c.serviceTime
		if late || waited > c.cfg.MaxWait {
			reason := request.ReasonOverload
			if late {
				reason = request.ReasonDeadline
			}
			c.refuseWaiting(now, t, reason)
			c.recordAccepted(false)
			refused = append(refused, t)
		}
		if t.importance > top {
			top, oldest = t.importance, waited
		}
		if t.importance == top {
			oldest = max(oldest, waited)
		}
	})
	return refused, oldest
}

// evictExcess evicts requests if the queue takes too long to drain because the limit fell
// or the service time rose. It appends them to refused.
func (c *Controller) evictExcess(now time.Time, refused []*Ticket) []*Ticket {
	bound := time.Duration(evictDrainFactor * float64(c.cfg.MaxWait))
	for c.drainTime(c.queue.queued) > bound {
		sh := c.currentShares(now, nil)
		t := c.queue.victim(sh, request.NumImportance)
		if t == nil {
			sh.ignoreCredit = true
			t = c.queue.victim(sh, request.NumImportance)
		}
		if t == nil {
			break
		}
		c.refuseWaiting(now, t, request.ReasonOverload)
		c.recordAccepted(false)
		refused = append(refused, t)
	}
	return refused
}

// ReportLoad records the load that the backend server reports. It is only a hint.
func (c *Controller) ReportLoad(now time.Time, l ReportedLoad) {
	if l.Utilization >= 0 && l.Utilization <= 1 { // false for NaN
		c.limiter.setReportedUtilization(now, l.Utilization)
	}
}

// Restart discards what was learned about the backend server, since a new process has
// replaced it. Finish must be called with Failed for requests that ran on the old
// process; waiting requests stay.
func (c *Controller) Restart(now time.Time) {
	c.limiter.reset(now)
	c.serviceTime = float64(initialServiceTime)
}

// Load returns the current load.
func (c *Controller) Load() Load {
	return Load{
		Limit:       c.limiter.currentLimit(),
		Running:     c.running,
		Queued:      c.queue.queued,
		Wait:        c.drainTime(c.queue.queued),
		ServiceTime: time.Duration(c.serviceTime),
		ShedLevel:   c.shedder.level,
		AcceptRatio: c.acceptRatio,
	}
}

// startWaiting starts waiting requests while the limit allows, and returns them.
func (c *Controller) startWaiting(now time.Time) []*Ticket {
	var started []*Ticket
	for c.queue.queued > 0 && c.running < c.limiter.currentLimit() {
		t := c.queue.pop(c.currentShares(now, nil))
		c.start(now, t)
		started = append(started, t)
	}
	return started
}

func (c *Controller) start(now time.Time, t *Ticket) {
	t.state, t.started = stateRunning, now
	c.running++
	t.workspace.running++
}

// refuseWaiting refuses a waiting request.
func (c *Controller) refuseWaiting(now time.Time, t *Ticket, reason request.Reason) {
	c.currentShares(now, t.workspace).updateCredit(t.workspace)
	c.queue.remove(t)
	t.refusal = c.refusal(reason, t.importance)
	c.endTicket(t)
}

// endTicket ends a ticket that no longer counts as running or waiting.
func (c *Controller) endTicket(t *Ticket) {
	t.state = stateEnded
	if t.workspace.inSystem() == 0 {
		c.activeWeight -= t.workspace.weight
	}
	if c.running == 0 && c.queue.queued == 0 {
		c.activeWeight = 0 // clears rounding errors
	}
}

// workspace returns the state of the request's workspace, with the weight updated.
func (c *Controller) workspace(now time.Time, a Arrival) *workspaceState {
	weight := a.Weight
	if !(weight > 0) { // also NaN
		weight = 1
	}
	weight = min(max(weight, minWeight), maxWeight)
	ws := c.workspaces[a.Workspace]
	if ws == nil {
		ws = newWorkspaceState(a.Workspace, weight, now)
		c.workspaces[a.Workspace] = ws
		return ws
	}
	if ws.weight != weight {
		if ws.inSystem() > 0 {
			c.activeWeight += weight - ws.weight
		}
		c.queue.setWeight(ws, weight)
	}
	return ws
}

func (c *Controller) removeIdleWorkspaces(now time.Time) {
	if now.Sub(c.lastSweep) < idleSweepInterval {
		return
	}
	c.lastSweep = now
	for name, ws := range c.workspaces {
		if ws.inSystem() == 0 {
			delete(c.workspaces, name)
		}
	}
}

// currentShares returns the current division of the limit. If ws is not nil, it gets a
// share even if it has no request running or waiting yet.
func (c *Controller) currentShares(now time.Time, ws *workspaceState) shares {
	weight := c.activeWeight
	if ws != nil && ws.inSystem() == 0 {
		weight += ws.weight
	}
	return shares{now: now, slotsPerWeight: c.limiter.limit / weight}
}

// drainTime returns the time that the backend server takes for a number of requests.
func (c *Controller) drainTime(requests int) time.Duration {
	return time.Duration(float64(requests) * c.serviceTime / c.limiter.limit)
}

// expectedWait estimates the wait of a new request. One within its workspace's share waits
// at most for the requests of this workspace and about one request of each waiting flow.
func (c *Controller) expectedWait(ws *workspaceState, imp request.Importance, withinShare bool) time.Duration {
	ahead := c.queue.requestsAhead(ws, imp)
	if withinShare {
		inTurn := ws.queued
		for i := range c.queue.rings {
			inTurn += c.queue.rings[i].flows
		}
		ahead = min(ahead, float64(inTurn))
	}
	return time.Duration((ahead + 1) * c.serviceTime / c.limiter.limit)
}

func (c *Controller) remaining(now, deadline time.Time) time.Duration {
	if deadline.IsZero() {
		return math.MaxInt64
	}
	return deadline.Sub(now)
}

func (c *Controller) recordServiceTime(latency time.Duration, r Result) {
	ns := float64(latency)
	if r == Served || r == TimedOut && ns > c.serviceTime {
		c.serviceTime += serviceTimeWeight * (ns - c.serviceTime)
	}
}

func (c *Controller) recordDecision(d Decision) {
	c.recordAccepted(d.Verdict != Refuse)
	if d.Evicted != nil {
		c.recordAccepted(false)
	}
}

func (c *Controller) recordAccepted(accepted bool) {
	value := 0.0
	if accepted {
		value = 1
	}
	c.acceptRatio += acceptRatioWeight * (value - c.acceptRatio)
}

func (c *Controller) refuse(reason request.Reason, imp request.Importance) Decision {
	return Decision{Verdict: Refuse, Refusal: c.refusal(reason, imp)}
}

// refusal returns a refusal that asks the caller to retry when the queue has drained, or
// after a multiple of that time for a request below the shed level. Jitter adds up to
// half of it.
func (c *Controller) refusal(reason request.Reason, imp request.Importance) request.Refusal {
	retryAfter := c.drainTime(c.queue.queued + 1)
	if imp < c.shedder.level {
		retryAfter *= time.Duration(1 + c.shedder.level - imp)
	}
	retryAfter = min(max(retryAfter, minRetryAfter), maxRetryAfter)
	if c.cfg.Rand != nil {
		retryAfter += time.Duration(c.cfg.Rand.Float64() * 0.5 * float64(retryAfter))
	}
	return request.Refuse(reason, retryAfter)
}
