package sidecar

import (
	"context"
	"fmt"
	"math"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/teaselseam/teaselseam/internal/catalog"
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
	// Pauses between the questions to a silent node. Nodes stand still for some seconds.
	minReturnPause = 250 * time.Millisecond
	maxReturnPause = time.Second
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
	there, _, _ := w.n.asks.Do(w.at.id, func() (any, error) {
		err := w.n.ask(w.at)
		if err == nil {
			w.n.places.heard(w.c.Service, w.at.id)
			return true, nil
		}
		if w.n.places.silent(w.c.Service, w.at.id) {
			w.n.requests.Warn("node does not say that it is there", "event", "silent", "id", w.c.ID, "route", w.c.Route,
				"peer", w.at.id, "waited", time.Since(w.sent), "err", err)
			go w.n.awaitReturn(w.c.Service, w.at)
		}
		return false, nil
	})
	return there.(bool)
}

// awaitReturn asks a silent node until it is there or has left the fleet.
func (n *Node) awaitReturn(service string, at place) {
	for pause := minReturnPause; ; pause = min(2*pause, maxReturnPause) {
		time.Sleep(pause)
		if n.closing.Load() || n.places.quiet(service, at.id) == math.MaxInt64 {
			return
		}
		if n.ask(at) == nil {
			n.places.heard(service, at.id)
			n.log.Info("silent node is there again", "event", "silent", "peer", at.id)
			return
		}
	}
}

// ask asks a node whether it is there.
func (n *Node) ask(at place) error {
	ctx, cancel := context.WithTimeout(context.Background(), thereTimeout)
	defer cancel()
	a, err := n.peers.Post(ctx, at.address, therePath, nil)
	if err != nil {
		return err
	}
	if a.Status != http.StatusNoContent {
		return fmt.Errorf("unexpected status %d", a.Status)
	}
	return nil
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
