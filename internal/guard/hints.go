package guard

import (
	"github.com/teaselseam/teaselseam/internal/call"
	"github.com/teaselseam/teaselseam/internal/pressure"
)

// Learn keeps the hints on the response to a nested call, so that they travel
// towards the root with the response to this call.
func (e *Entry) Learn(encoded string) {
	hints, err := pressure.ParseHints(encoded)
	if err != nil {
		return // a peer's malformed hints are worth nothing
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.hints = pressure.Merge(e.hints, hints)
}

// gathered returns the hints of the nested calls in their header form.
func (e *Entry) gathered() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return pressure.EncodeHints(e.hints)
}

// load returns the figures that ride on a response: the guard's own, and the
// hints of the nested calls together with its own.
func (g *Guard) load(c *call.Call, nested string) call.Load {
	own := g.parts.Limiter.Load()
	figures, err := pressure.ParseLoad(own.Encoded)
	if err != nil {
		return own
	}
	below, err := pressure.ParseHints(nested)
	if err != nil {
		below = nil
	}
	own.Hints = pressure.EncodeHints(pressure.Merge([]pressure.Hint{figures.Hint(c.Service)}, below))
	return own
}
