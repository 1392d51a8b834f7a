package sidecar

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/teaselseam/teaselseam/internal/catalog"
	"github.com/teaselseam/teaselseam/internal/hop"
)

const (
	// recheckEvery is how often an overdue call is looked at again. Its node may fall
	// silent later, and another place or a retry may become free.
	recheckEvery = 100 * time.Millisecond
	// stallMargin is how late the look may be before it is put off: this process then
	// stood still itself and has not yet read the answers that came meanwhile.
	stallMargin = 50 * time.Millisecond
	// quietFor is how long nothing may have come from a node before its liveness is
	// checked.
	quietFor = 200 * time.Millisecond
)

// leaveRule returns the rule by which a call that a silent node has goes to another
// one. It takes a retry when it returns true.
func (n *Node) leaveRule(c *hop.Call, route *catalog.Route, p progress, tried []string) func() bool {
	return func() bool {
		return c.Idempotent && !n.stopping.Load() && c.Body.Repeatable() && p.runs+1 < route.MaxAttempts && len(tried) < maxPlaces &&
			n.places.alternative(c.Service, tried) && n.budgets.take(n, budget{c.Service, true})
	}
}

// tryWatched is try, but gives the call up where its node has fallen silent and
// mayLeave allows it.
func (n *Node) tryWatched(ctx context.Context, at place, c *hop.Call, again bool, mayLeave func() bool) (a *hop.Answer, gaveUp bool) {
	if n.places.isLocal(at) {
		return n.try(ctx, at, c, again), false
	}
	ctx, cancel := context.WithCancel(ctx)
	w := n.watch(c, at, mayLeave, cancel)
	a = n.try(ctx, at, c, again)
	gaveUp = w.end()
	cancelWith(a, cancel)
	if fromBackend(a) && a.Rest == nil {
		return a, false // it came at the last moment
	}
	return a, gaveUp
}

// watch looks at a call that another node has and that is overdue.
type watch struct {
	n        *Node
	c        *hop.Call
	at       place
	sent     time.Time
	mayLeave func() bool // whether the call may go elsewhere now
	cancel   context.CancelFunc

	timer *time.Timer
	due   time.Time // owned by the timer's function
	state atomic.Int32
}

// States of a watch.
const (
	watching int32 = iota
	answered       // the exchange has ended
	left           // the call was given up here, to go elsewhere
)

// watch starts to look at a call. cancel ends its exchange; it is used only if mayLeave
// has returned true.
func (n *Node) watch(c *hop.Call, at place, mayLeave func() bool, cancel context.CancelFunc) *watch {
	w := &watch{n: n, c: c, at: at, sent: time.Now(), mayLeave: mayLeave, cancel: cancel}
	wait := n.patience.until(c.Route)
	w.due = w.sent.Add(wait)
	w.timer = time.AfterFunc(time.Hour, w.look)
	w.timer.Reset(wait) // only now, because look uses the timer
	return w
}

// end stops the watch and tells whether the call was given up.
func (w *watch) end() (gaveUp bool) {
	w.timer.Stop()
	return !w.state.CompareAndSwap(watching, answered)
}

func (w *watch) look() {
	if w.state.Load() != watching {
		return
	}
	stalled := time.Since(w.due) > stallMargin
	if !stalled && w.n.places.quiet(w.c.Service, w.at.id) >= quietFor && !w.alive() && w.leave(time.Now()) {
		return
	}
	w.due = time.Now().Add(recheckEvery)
	w.timer.Reset(recheckEvery)
}

func (w *watch) leave(now time.Time) bool {
	if !w.mayLeave() || !w.state.CompareAndSwap(watching, left) {
		return false
	}
	w.n.requests.Warn("call given up at a silent node", "event", "given_up", "id", w.c.ID, "route", w.c.Route,
		"peer", w.at.id, "waited", now.Sub(w.sent))
	w.cancel()
	return true
}
