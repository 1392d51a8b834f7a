package sidecar

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/teaselseam/teaselseam/internal/dependency"
	"github.com/teaselseam/teaselseam/internal/hop"
	"github.com/teaselseam/teaselseam/internal/pressure"
	"github.com/teaselseam/teaselseam/internal/request"
)

// hintAge is how long the hints on the answer to a call are passed on.
const hintAge = time.Second

// behind is what the node knows of the services behind its backend server, which
// it tells upwards, and of those behind the routes of its callers, by which it
// refuses early. It is safe for concurrent use.
type behind struct {
	mu      sync.Mutex
	learner *dependency.Learner
	seen    map[string]seen // by route of a call that the backend server makes
	table   *pressure.Table
	rnd     *rand.Rand
}

// seen are the hints that came with the last answer to a call.
type seen struct {
	at    time.Time
	hints []pressure.Hint
}

func newBehind() *behind {
	return &behind{
		learner: dependency.NewLearner(), seen: map[string]seen{},
		table: pressure.NewTable(), rnd: newRand(),
	}
}

// started and ended count a request at the backend server.
func (b *behind) started(c *hop.Call) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.learner.Started(time.Now(), c.Route)
}

func (b *behind) ended(c *hop.Call) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.learner.Ended(time.Now(), c.Route)
}

// called counts a call that the backend server makes.
func (b *behind) called(c *hop.Call) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.learner.Called(time.Now(), c.Route)
}

// answered takes the answer to such a call.
func (b *behind) answered(c *hop.Call, a *hop.Answer) {
	if a.Load == nil {
		return
	}
	hints := pressure.Merge([]pressure.Hint{a.Load.Hint(c.Service)}, a.Hints)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.seen[c.Route] = seen{at: time.Now(), hints: hints}
}

// hints returns what is known of the services behind a request at the backend
// server.
func (b *behind) hints(c *hop.Call) []pressure.Hint {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	var lists [][]pressure.Hint
	for _, call := range b.learner.Made() {
		s, ok := b.seen[call]
		if ok && now.Sub(s.at) < hintAge && b.learner.Depends(c.Route, call) {
			lists = append(lists, s.hints)
		}
	}
	if len(lists) == 0 {
		return nil
	}
	return pressure.Merge(lists...)
}

// admit decides whether a request of a caller may enter, by the services behind
// its route.
func (b *behind) admit(c *hop.Call, weight float64) (request.Refusal, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	return b.table.AdmitRequest(now, pressure.Request{
		Route: c.Route, Workspace: c.Workspace, Weight: weight,
		Importance: c.Importance, Remaining: c.Deadline.Sub(now),
	}, b.rnd)
}

// learn takes the answer to a request of a caller.
func (b *behind) learn(c *hop.Call, a *hop.Answer) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.table.Observe(time.Now(), c.Route, a.Hints)
}
