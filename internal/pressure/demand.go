package pressure

import (
	"math"
	"time"

	"github.com/teaselseam/teaselseam/internal/request"
)

const (
	// demandWindow is the time over which the requests of a workspace are counted.
	// With 2 s, an ingress with 6 requests a second from 8 workspaces counts fewer
	// than two of each, and most pass as within their share
	// (TestEarlyRefusalManyIngresses).
	demandWindow = 6 * time.Second
	// weightRefreshInterval is how often idle workspaces are removed from the sum of
	// weights.
	weightRefreshInterval = 100 * time.Millisecond
	// maxWorkspaces bounds the workspaces counted on a route. Further workspaces are
	// treated as over their share.
	maxWorkspaces = 1024
	// idleCount is the count below which a workspace is no longer tracked.
	idleCount = 0.05
)

// decayingCounter counts events. The count decays exponentially with the time
// constant demandWindow.
type decayingCounter struct {
	count float64
	at    time.Time
}

func (c *decayingCounter) value(now time.Time) float64 {
	age := max(0, now.Sub(c.at).Seconds())
	return c.count * math.Exp(-age/demandWindow.Seconds())
}

func (c *decayingCounter) add(now time.Time) {
	c.count = c.value(now) + 1
	c.at = now
}

// demand counts the requests of one route at this ingress by workspace. It shows
// which workspaces cause an overload behind the route.
type demand struct {
	workspaces    map[string]*workspaceDemand
	total         decayingCounter
	totalWeight   float64 // sum over workspaces; idle ones were removed at totalWeightAt
	totalWeightAt time.Time
}

type workspaceDemand struct {
	decayingCounter
	weight float64
}

// add counts a request and returns the demand of its workspace, or nil if the
// workspace is not tracked.
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
	d.totalWeight += weight - w.weight
	w.weight = weight
	w.add(now)
	return w
}

// withinShare tells whether a workspace sends no more than its share, by weight, of
// the requests that can be admitted at the given refusal threshold. The admissible
// fraction is estimated as the fraction of importance levels above the threshold,
// not counted: before the first refusal every request is admitted, and compared with
// that count no workspace would be over its share. The tolerance is one standard
// deviation of a Poisson process, since arrivals are random. The request itself is
// not counted.
func (d *demand) withinShare(now time.Time, w *workspaceDemand, threshold float64) bool {
	if now.Sub(d.totalWeightAt) >= weightRefreshInterval {
		d.refreshWeight(now)
	}
	admissible := d.total.value(now) * (1 - threshold/request.NumImportance)
	share := admissible * w.weight / max(d.totalWeight, w.weight)
	return w.value(now)-1 <= share+math.Sqrt(share)
}

// refreshWeight stops tracking idle workspaces and sums the weights of the others.
func (d *demand) refreshWeight(now time.Time) {
	d.totalWeight, d.totalWeightAt = 0, now
	for name, w := range d.workspaces {
		if w.value(now) < idleCount {
			delete(d.workspaces, name)
			continue
		}
		d.totalWeight += w.weight
	}
}
