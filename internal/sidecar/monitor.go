package sidecar

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/teaselseam/teaselseam/internal/catalog"
	"github.com/teaselseam/teaselseam/internal/hop"
)

const (
	// recheckInterval is how often an overdue call is checked again. Its node may become
	// unresponsive later, or another endpoint or retry may become available.
	recheckInterval = 100 * time.Millisecond
	// maxTimerDelay is how late a check may fire before it is postponed: this process was
	// then stalled itself and has not yet read the responses that arrived meanwhile.
	maxTimerDelay = 50 * time.Millisecond
	// contactTimeout is how long nothing must have been received from a node before
	// its liveness is checked.
	contactTimeout = 200 * time.Millisecond
)

// abandonRule returns a function that decides whether a call at an unresponsive node may
// be retried at another one. The function takes a retry from the budget when it returns
// true.
func (n *Node) abandonRule(c *hop.Call, route *catalog.Route, p progress, tried []string) func() bool {
	return func() bool {
		return c.Idempotent && !n.stopping.Load() && c.Body.Repeatable() && p.runs+1 < route.MaxAttempts && len(tried) < maxEndpoints &&
			n.balancer.hasAlternative(c.Service, tried) && n.retryBudgets.takeRetry(n, budgetKey{c.Service, true})
	}
}

// attemptMonitored is attempt, but abandons the call if its node becomes unresponsive and
// mayGiveUp allows it.
func (n *Node) attemptMonitored(ctx context.Context, at endpoint, c *hop.Call, isRetry bool, mayGiveUp func() bool) (a *hop.Response, gaveUp bool) {
	if n.balancer.isLocal(at) {
		return n.attempt(ctx, at, c, isRetry), false
	}
	ctx, cancel := context.WithCancel(ctx)
	m := n.monitorAttempt(c, at, mayGiveUp, cancel)
	a = n.attempt(ctx, at, c, isRetry)
	gaveUp = m.end()
	cancelOnClose(a, cancel)
	if fromBackend(a) && a.Rest == nil {
		return a, false // the response arrived just before the exchange was cancelled
	}
	return a, gaveUp
}

// attemptMonitor checks a call at another node once it is overdue.
type attemptMonitor struct {
	n         *Node
	call      *hop.Call
	endpoint  endpoint
	sent      time.Time
	mayAbandon func() bool // whether the call may be retried elsewhere now
	cancel    context.CancelFunc

	timer *time.Timer
	due   time.Time // next run of check, which owns it
	state atomic.Int32
}

// States of a callMonitor.
const (
	attemptPending int32 = iota
	attemptEnded         // the exchange has ended
	attemptAbandoned       // the call was abandoned, to be retried elsewhere
)

// monitorAttempt starts to monitor a call. cancel ends its exchange and is called only after
// mayGiveUp has returned true.
func (n *Node) monitorAttempt(c *hop.Call, at endpoint, mayGiveUp func() bool, cancel context.CancelFunc) *attemptMonitor {
	m := &attemptMonitor{n: n, call: c, endpoint: at, sent: time.Now(), mayAbandon: mayGiveUp, cancel: cancel}
	wait := n.responseTimes.overdueAfter(c.Route)
	m.due = m.sent.Add(wait)
	m.timer = time.AfterFunc(time.Hour, m.check)
	m.timer.Reset(wait) // only now, because check uses the timer
	return m
}

// end stops the monitor and returns whether the call was abandoned.
func (m *attemptMonitor) end() (gaveUp bool) {
	m.timer.Stop()
	return !m.state.CompareAndSwap(attemptPending, attemptEnded)
}

// check abandons the call if its node is unresponsive, and otherwise schedules the next
// check.
func (m *attemptMonitor) check() {
	if m.state.Load() != attemptPending {
		return
	}
	stalled := time.Since(m.due) > maxTimerDelay
	if !stalled && m.n.balancer.sinceLastContact(m.call.Service, m.endpoint.id) >= contactTimeout && !m.peerAlive() && m.abandon(time.Now()) {
		return
	}
	m.due = time.Now().Add(recheckInterval)
	m.timer.Reset(recheckInterval)
}

// abandon abandons the call if mayGiveUp allows it. It returns false if the call goes on.
func (m *attemptMonitor) abandon(now time.Time) bool {
	if !m.mayAbandon() || !m.state.CompareAndSwap(attemptPending, attemptAbandoned) {
		return false
	}
	m.n.requestLog.Warn("abandoned a call at an unresponsive node", "event", "given_up", "id", m.call.ID, "route", m.call.Route,
		"peer", m.endpoint.id, "waited", now.Sub(m.sent))
	m.cancel()
	return true
}
