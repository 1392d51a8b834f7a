package ingress

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/teaselseam/teaselseam/internal/call"
	"github.com/teaselseam/teaselseam/internal/pressure"
	"github.com/teaselseam/teaselseam/internal/request"
)

// PressureTable is the Pressure of package pressure. It is safe for concurrent
// use.
type PressureTable struct {
	weight func(workspace string) float64

	mu    sync.Mutex
	table *pressure.Table
	rnd   *rand.Rand
}

// NewPressureTable returns a table that admits everything until it learns of
// pressure. weight returns the weight of a workspace.
func NewPressureTable(weight func(workspace string) float64) *PressureTable {
	return &PressureTable{
		weight: weight,
		table:  pressure.NewTable(),
		rnd:    rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
}

// Admit implements Pressure.
func (p *PressureTable) Admit(now time.Time, c *call.Call) *request.Refusal {
	q := pressure.Request{
		Route: c.Route, Workspace: c.Workspace, Weight: p.weight(c.Workspace),
		Importance: c.Importance, Remaining: c.Deadline.Sub(now),
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	r, admitted := p.table.AdmitRequest(now, q, p.rnd)
	if admitted {
		return nil
	}
	return &r
}

// Observe implements Pressure.
func (p *PressureTable) Observe(now time.Time, route string, load call.Load) {
	hints, err := pressure.ParseHints(load.Hints)
	if err != nil || len(hints) == 0 {
		return // a peer's malformed hints are worth nothing
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.table.Observe(now, route, hints)
}
