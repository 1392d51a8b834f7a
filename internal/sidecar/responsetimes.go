package sidecar

import (
	"sync"
	"time"

	"github.com/teaselseam/teaselseam/internal/retry"
)

// responseTimes estimates the response time of each route. It is safe for concurrent use.
type responseTimes struct {
	mu     sync.Mutex
	routes map[string]*retry.TimeoutEstimator
}

func (a *responseTimes) forRoute(route string) *retry.TimeoutEstimator {
	if a.routes == nil {
		a.routes = map[string]*retry.TimeoutEstimator{}
	}
	e := a.routes[route]
	if e == nil {
		e = &retry.TimeoutEstimator{}
		a.routes[route] = e
	}
	return e
}

func (a *responseTimes) record(route string, took time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.forRoute(route).Observe(took)
}

// overdueAfter returns the time after which an attempt on the route is overdue.
func (a *responseTimes) overdueAfter(route string) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.forRoute(route).Timeout()
}
