package guard

import (
	"github.com/teaselseam/teaselseam/internal/call"
	"github.com/teaselseam/teaselseam/internal/pressure"
)

// Learn keeps the figures on the response to a nested call, so that they travel
// towards the root with the response to this call.
func (e *Entry) Learn(service string, l call.Load) {
	hints, err := pressure.ParseHints(l.Hints)
	if err != nil {
		hints = nil // a peer's malformed hints are worth nothing
	}
	if figures, err := pressure.ParseLoad(l.Encoded); err == nil {
		hints = append(hints, figures.Hint(service))
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.hints = pressure.Merge(e.hints, hints)
}

// gathered returns the hints on the services behind the backend server, in their
// header form. The guard's own load is not among them: the ingress that picked
// the guard sees it apart.
func (e *Entry) gathered() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return pressure.EncodeHints(e.hints)
}
