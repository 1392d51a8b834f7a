package sidecar

import (
	"sync"
	"time"

	"github.com/teaselseam/teaselseam/internal/retry"
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
