package sidecar

import (
	"context"
	"net/http"
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
	// quietFor is how long a node must have been quiet to be asked whether it is there.
	quietFor = 200 * time.Millisecond
	// thereTimeout is some round trips between data centres (3 ms) and the time that a
	// busy node may take to be scheduled.
	thereTimeout = 200 * time.Millisecond
	therePath    = "/teaselseam/there"
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
	stalled := time.Since(w.due) > stallMargin
	if !stalled && w.n.places.quiet(w.c.Service, w.at.id) >= quietFor && !w.there() && w.leave(time.Now()) {
		return
	}
	w.due = time.Now().Add(recheckEvery)
	w.timer.Reset(recheckEvery)
}

// there asks the node whether it is there, once for all calls that are overdue at it. A
// slow backend server does not keep its node from answering, so that a call that is being
// worked on is not given up.
func (w *watch) there() bool {
	there, _, _ := w.n.asks.Do(w.at.id, func() (any, error) { return w.ask(), nil })
	return there.(bool)
}

func (w *watch) ask() bool {
	ctx, cancel := context.WithTimeout(context.Background(), thereTimeout)
	defer cancel()
	a, err := w.n.peers.Post(ctx, w.at.address, therePath, nil)
	if err == nil && a.Status == http.StatusNoContent {
		w.n.places.asked(w.c.Service, w.at.id, true)
		return true
	}
	w.n.places.asked(w.c.Service, w.at.id, false)
	why := "unexpected status"
	if err != nil {
		why = err.Error()
	}
	w.n.requests.Warn("node does not say that it is there", "event", "silent", "id", w.c.ID, "route", w.c.Route,
		"peer", w.at.id, "waited", time.Since(w.sent), "err", why)
	return false
}

// serveThere answers the question whether the node is there.
func serveThere(w http.ResponseWriter, _ *http.Request) {
	w.Header()["Date"] = nil
	w.WriteHeader(http.StatusNoContent)
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
