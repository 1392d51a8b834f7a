package sidecar

import (
	"sync"
	"time"

	"github.com/teaselseam/teaselseam/internal/learned"
	"github.com/teaselseam/teaselseam/internal/request"
	"github.com/teaselseam/teaselseam/internal/retry"
)

// responseTimes estimates the response time of each flow. It is safe for concurrent use.
type responseTimes struct {
	mu    sync.Mutex
	flows learned.Table[request.Flow, *retry.TimeoutEstimator]
}

func (a *responseTimes) record(flow request.Flow, took time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	e, ok := a.flows.Get(flow)
	if !ok {
		e = &retry.TimeoutEstimator{}
		a.flows.Set(flow, e)
	}
	e.Observe(took)
}

// overdueAfter returns the time after which an attempt of the flow is overdue.
func (a *responseTimes) overdueAfter(flow request.Flow) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	e, ok := a.flows.Get(flow)
	if !ok {
		e = &retry.TimeoutEstimator{}
	}
	return e.Timeout()
}

func (a *responseTimes) keep(keep func(request.Flow) bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.flows.Keep(keep)
}
