package sidecar

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/teaselseam/teaselseam/internal/hop"
	"github.com/teaselseam/teaselseam/internal/retry"
)

const (
	// recheckEvery is how often an overdue call is looked at again. Its node may fall
	// silent later, and another place or a retry may become free.
	recheckEvery = 100 * time.Millisecond
	// stallMargin is how late the look may be before it is put off: this process then
	// stood still itself and has not yet read the answers that came meanwhile.
	stallMargin = 50 * time.Millisecond
)

// patience knows how long answers on each route take. It is safe for concurrent use.
type patience struct {
	mu     sync.Mutex
	routes map[string]*retry.Patience
}

func (p *patience) of(route string) *retry.Patience {
	if p.routes == nil {
		p.routes = map[string]*retry.Patience{}
	}
	e := p.routes[route]
	if e == nil {
		e = &retry.Patience{}
		p.routes[route] = e
	}
	return e
}

func (p *patience) answered(route string, took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.of(route).Answered(took)
}

func (p *patience) until(route string) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.of(route).For()
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
	now := time.Now()
	stalled := now.Sub(w.due) > stallMargin
	if !stalled && w.n.places.overdue(w.c.Service, w.at.id, w.sent) && w.leave(now) {
		return
	}
	w.due = now.Add(recheckEvery)
	w.timer.Reset(recheckEvery)
}

func (w *watch) leave(now time.Time) bool {
	if !w.mayLeave() || !w.state.CompareAndSwap(watching, left) {
		return false
	}
	w.n.requests.Warn("call given up at a silent node", "event", "silent", "id", w.c.ID, "route", w.c.Route,
		"peer", w.at.id, "waited", now.Sub(w.sent))
	w.cancel()
	return true
}
