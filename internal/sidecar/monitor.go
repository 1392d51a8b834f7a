package sidecar

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/teaselseam/teaselseam/internal/catalog"
	"github.com/teaselseam/teaselseam/internal/hop"
)

const (
	// recheckInterval is how often an overdue attempt is checked again. Its node may become
	// unresponsive later, or another endpoint or retry may become available.
	recheckInterval = 100 * time.Millisecond
	// maxTimerDelay is how late a check may fire before it is postponed: this process was
	// then stalled itself and has not yet read the responses that arrived meanwhile.
	maxTimerDelay = 50 * time.Millisecond
	// contactTimeout is the time without contact after which the liveness of a node with
	// overdue attempts is checked.
	contactTimeout = 200 * time.Millisecond
	// responseInFlight is how long a response may take that was sent just before the node
	// said that it no longer has the call.
	responseInFlight = 100 * time.Millisecond
)

// abandonRule returns a function that decides whether the attempt at an unresponsive node
// may be abandoned and the call retried at another node. The function takes a retry from
// the budget when it returns true.
func (n *Node) abandonRule(c *hop.Call, route *catalog.Route, p progress, tried []string) func() bool {
	return func() bool {
		return !n.stopping.Load() && p.MayAbandon(retryCall(c, route)) &&
			n.balancer.hasAlternative(c.Service, tried) && n.retryBudgets.take(n, c.Service, true) && c.Body.Retract()
	}
}

// attemptMonitored is attempt, but abandons the attempt if its node becomes unresponsive
// and mayAbandon allows it.
func (n *Node) attemptMonitored(ctx context.Context, ep endpoint, c *hop.Call, isRetry bool, mayAbandon func() bool) (resp *hop.Response, abandoned bool) {
	if n.balancer.isLocal(ep) {
		return n.attempt(ctx, ep, c, isRetry), false
	}
	ctx, cancel := context.WithCancelCause(ctx)
	m := n.monitorAttempt(c, ep, mayAbandon, func() { cancel(errAbandoned) })
	resp = n.attempt(ctx, ep, c, isRetry)
	abandoned = m.end()
	cancelOnClose(resp, func() { cancel(nil) })
	if fromBackend(resp) && resp.Rest == nil {
		return resp, false // the response arrived just before the exchange was cancelled
	}
	return resp, abandoned
}

// attemptMonitor checks an attempt at another node once it is overdue.
type attemptMonitor struct {
	n          *Node
	call       *hop.Call
	endpoint   endpoint
	sent       time.Time
	mayAbandon func() bool // whether the call may be retried elsewhere now
	cancel     context.CancelFunc

	timer *time.Timer
	due   time.Time // next run of check, which owns it and checked
	// checked is when the node was last asked for the call. Before that it is the earliest time
	// at which the connection in use may have been heard from last, since it may have been idle.
	checked time.Time
	state   atomic.Int32
}

// States of an attemptMonitor.
const (
	attemptPending   int32 = iota
	attemptEnded           // the exchange has ended
	attemptAbandoned       // the attempt was abandoned, and the call is retried elsewhere
)

// monitorAttempt starts to monitor an attempt. cancel ends its exchange and is called only
// after mayAbandon has returned true.
func (n *Node) monitorAttempt(c *hop.Call, ep endpoint, mayAbandon func() bool, cancel context.CancelFunc) *attemptMonitor {
	now := time.Now()
	m := &attemptMonitor{n: n, call: c, endpoint: ep, sent: now, checked: now.Add(-peerIdleTimeout), mayAbandon: mayAbandon, cancel: cancel}
	wait := n.responseTimes.overdueAfter(c.Flow)
	m.due = m.sent.Add(wait)
	m.timer = time.AfterFunc(time.Hour, m.check)
	m.timer.Reset(wait) // only now, because check uses the timer
	return m
}

// end stops the monitor and returns whether the attempt was abandoned.
func (m *attemptMonitor) end() (abandoned bool) {
	m.timer.Stop()
	return !m.state.CompareAndSwap(attemptPending, attemptEnded)
}

// check abandons the attempt if its node is unresponsive or its connection lost, and
// otherwise schedules the next check.
func (m *attemptMonitor) check() {
	if m.state.Load() != attemptPending {
		return
	}
	stalled := time.Since(m.due) > maxTimerDelay
	if !stalled && m.lost() && m.abandon(time.Now()) {
		return
	}
	m.due = time.Now().Add(recheckInterval)
	m.timer.Reset(recheckInterval)
}

// lost reports whether the node does not respond, or does not have the call: the connection
// has been lost then. The node is asked if it may be contact on another connection that
// shows it alive.
func (m *attemptMonitor) lost() bool {
	address := m.endpoint.address
	if m.n.balancer.sinceLastContact(m.call.Service, m.endpoint.id) >= contactTimeout && !m.peerAlive() {
		return true
	}
	if !m.call.Idempotent || !m.n.peers.OpenedSince(address, m.checked) {
		return false
	}
	m.checked = time.Now()
	known, err := m.n.askForCall(address, m.call.ID)
	if err != nil {
		m.markUnresponsive(err)
	}
	if known || err != nil {
		return !known
	}
	time.Sleep(responseInFlight)
	return m.state.Load() == attemptPending // otherwise abandon would take a retry from the budget
}

// abandon ends the attempt if mayAbandon allows it. It returns false if the attempt goes on.
func (m *attemptMonitor) abandon(now time.Time) bool {
	if !m.mayAbandon() || !m.state.CompareAndSwap(attemptPending, attemptAbandoned) {
		return false
	}
	m.n.requestLog.Warn("abandoned a call at an unresponsive node", "event", "given_up", "id", m.call.ID, "route", m.call.Route,
		"peer", m.endpoint.id, "waited", now.Sub(m.sent))
	m.cancel()
	return true
}
