package pressure

import (
	"math"
	"time"

	"github.com/teaselseam/teaselseam/internal/request"
)

const (
	// demandSpan is the time over which the demand of a workspace is counted. In 2 s
	// an ingress with 6 requests a second of 8 workspaces counts fewer than two of
	// each, and most pass as within their share (TestEarlyRefusalManyIngresses).
	demandSpan = 6 * time.Second
	// sharesAge is how often idle workspaces are taken off the sum of weights.
	sharesAge = 100 * time.Millisecond
	// maxWorkspaces bounds the workspaces counted on a route. Others count as
	// over their share.
	maxWorkspaces = 1024
	// idleCount is the count below which a workspace is forgotten.
	idleCount = 0.05
)

// counter counts events and forgets them over demandSpan.
type counter struct {
	count float64
	at    time.Time
}

func (c *counter) value(now time.Time) float64 {
	age := max(0, now.Sub(c.at).Seconds())
	return c.count * math.Exp(-age/demandSpan.Seconds())
}

func (c *counter) add(now time.Time) {
	c.count = c.value(now) + 1
	c.at = now
}

// demand is the traffic of one route at this ingress, by workspace. It tells
// which workspaces cause an overload behind the route.
type demand struct {
	workspaces map[string]*workspaceDemand
	total      counter
	weight     float64 // sum over workspaces; idle ones were left out at weightAt
	weightAt   time.Time
}

type workspaceDemand struct {
	counter
	weight float64
}

// add counts a request and returns its workspace, or nil if it is not tracked.
func (d *demand) add(now time.Time, name string, weight float64) *workspaceDemand {
	d.total.add(now)
	w := d.workspaces[name]
	if w == nil {
		if len(d.workspaces) >= maxWorkspaces {
			return nil
		}
		if d.workspaces == nil {
			d.workspaces = make(map[string]*workspaceDemand)
		}
		w = &workspaceDemand{}
		d.workspaces[name] = w
	}
	if !(weight > 0) || math.IsInf(weight, 1) {
		weight = 1
	}
	d.weight += weight - w.weight
	w.weight = weight
	w.add(now)
	return w
}

// covers tells whether a workspace asks for no more than its share, by weight,
// of the requests that can be admitted at the given tightness. Those are taken
// to be as many as there are importance levels above it, and not counted:
// before the first refusal every request is admitted, and measured against that
// no workspace would be over its share. A share of few requests has one
// standard deviation of tolerance, since arrivals are random, and the request
// itself does not count.
func (d *demand) covers(now time.Time, w *workspaceDemand, tightness float64) bool {
	if now.Sub(d.weightAt) >= sharesAge {
		d.sum(now)
	}
	admissible := d.total.value(now) * (1 - tightness/request.NumImportance)
	share := admissible * w.weight / max(d.weight, w.weight)
	return w.value(now)-1 <= share+math.Sqrt(share)
}

func (d *demand) sum(now time.Time) {
	d.weight, d.weightAt = 0, now
	for name, w := range d.workspaces {
		if w.value(now) < idleCount {
			delete(d.workspaces, name)
			continue
		}
		d.weight += w.weight
	}
}
