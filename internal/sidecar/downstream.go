package sidecar

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/teaselseam/teaselseam/internal/dependency"
	"github.com/teaselseam/teaselseam/internal/hop"
	"github.com/teaselseam/teaselseam/internal/learned"
	"github.com/teaselseam/teaselseam/internal/pressure"
	"github.com/teaselseam/teaselseam/internal/request"
)

// maxHintAge is how long the hints in the response to an internal call are passed on.
const maxHintAge = time.Second

// downstream collects load hints about downstream services: those called by the node's
// backend server, which it reports to its upstream nodes, and those behind the routes of
// its callers, by which it refuses requests early. It is safe for concurrent use.
type downstream struct {
	mu        sync.Mutex
	estimator *dependency.Estimator
	lastHints learned.Table[request.Flow, timedHints] // of the backend server's internal calls
	table     *pressure.Table
	rng       *rand.Rand
}

// timedHints are the hints in the latest response to an internal call, with its time.
type timedHints struct {
	at    time.Time
	hints []pressure.Hint // on the service that was called and those behind it
}

func newDownstream() *downstream {
	return &downstream{
		estimator: dependency.NewEstimator(), table: pressure.NewTable(), rng: newRand(),
	}
}

// requestStarted and requestEnded count a request that runs at the backend server.
func (d *downstream) requestStarted(c *hop.Call) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.estimator.RequestStarted(time.Now(), c.Flow)
}

func (d *downstream) requestEnded(c *hop.Call) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.estimator.RequestEnded(time.Now(), c.Flow)
}

// internalCallStarted counts a call that the backend server makes while it runs a request.
func (d *downstream) internalCallStarted(c *hop.Call) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.estimator.CallMade(time.Now(), c.Flow)
}

// internalCallEnded stores the hints in the response to an internal call.
func (d *downstream) internalCallEnded(c *hop.Call, resp *hop.Response) {
	if resp.Load == nil {
		return // nothing is known of the service
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	hint := resp.Load.Hint(c.Service)
	d.lastHints.Set(c.Flow, timedHints{at: time.Now(), hints: pressure.Merge([]pressure.Hint{hint}, resp.Hints)})
}

// hints returns the hints about the services that a request at the backend server
// depends on.
func (d *downstream) hints(c *hop.Call) []pressure.Hint {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	var lists [][]pressure.Hint
	for _, call := range d.estimator.ObservedCalls() {
		s, ok := d.lastHints.Get(call)
		if ok && now.Sub(s.at) < maxHintAge && d.estimator.DependsOn(c.Flow, call) {
			lists = append(lists, s.hints)
		}
	}
	if len(lists) == 0 {
		return nil
	}
	return pressure.Merge(lists...)
}

// keep forgets the flows that are not to be kept.
func (d *downstream) keep(keep func(request.Flow) bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.estimator.Keep(keep)
	d.lastHints.Keep(keep)
	d.table.Keep(keep)
}

// admit decides whether to admit a caller's request, by the load of the services behind
// its route.
func (d *downstream) admit(c *hop.Call, weight float64) (request.Refusal, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	return d.table.AdmitRequest(now, pressure.Request{
		Flow: c.Flow, Workspace: c.Workspace, Weight: weight,
		Importance: c.Importance, Remaining: c.Deadline.Sub(now),
	}, d.rng)
}

// observeHints stores the hints in the response to a caller's request.
func (d *downstream) observeHints(c *hop.Call, resp *hop.Response) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var wait time.Duration
	if resp.Load != nil {
		wait = resp.Load.Wait
	}
	d.table.Observe(time.Now(), c.Flow, wait, resp.Hints)
}
