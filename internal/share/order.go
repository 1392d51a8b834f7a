package share

import (
	"math"
	"time"

	"github.com/teaselseam/teaselseam/internal/request"
)

const (
	// floorRatio is the least ratio between the fraction of requests of one importance that
	// get a token and that of the more important ones.
	floorRatio = 0.25
	// floorMemory is the time constant of the counts by which that is judged: long enough for
	// a node of a large fleet to count some requests of each importance.
	floorMemory = 4 * time.Second
	// reserveMemory is the time constant of the demand for which tokens are reserved. A longer
	// one leaves tokens unused after a surge.
	reserveMemory = 500 * time.Millisecond
)

// byImportance holds a number of tokens or requests for each level of importance.
type byImportance [request.NumImportance]float64

// above returns the sum over the levels that are more important than imp.
func (v *byImportance) above(imp request.Importance) (sum float64) {
	for _, n := range v[imp+1:] {
		sum += n
	}
	return sum
}

// order decides which requests of a workspace may take tokens while there are too few for
// all: those of each importance leave a reserve for the more important ones.
type order struct {
	demand        byImportance // tokens asked for per second, average over reserveMemory
	asked, passed byImportance // tokens, decaying with floorMemory
	at            time.Time
}

// ask counts tokens that are asked for.
func (o *order) ask(now time.Time, imp request.Importance, tokens float64) {
	age := max(now.Sub(o.at).Seconds(), 0)
	recent, kept := math.Exp(-age/reserveMemory.Seconds()), math.Exp(-age/floorMemory.Seconds())
	o.at = now
	for i := range o.asked {
		o.demand[i] *= recent
		o.asked[i] *= kept
		o.passed[i] *= kept
	}
	o.demand[imp] += tokens / reserveMemory.Seconds()
	o.asked[imp] += tokens
}

// pass counts a token that was taken.
func (o *order) pass(imp request.Importance) { o.passed[imp]++ }

// reserve returns the number of tokens that requests of an importance leave to the more
// important ones: as many as these are expected to ask for within the horizon, at most most.
func (o *order) reserve(imp request.Importance, horizon time.Duration, most float64) float64 {
	return min(o.demand.above(imp)*horizon.Seconds(), max(most, 0))
}

// belowFloor reports whether requests of an importance have got so few tokens that they need
// not leave any to the more important ones.
func (o *order) belowFloor(imp request.Importance) bool {
	return o.passed[imp]*o.asked.above(imp) < floorRatio*o.passed.above(imp)*o.asked[imp]
}

// level returns the index of an importance, which may come from a peer of a later release.
func level(imp request.Importance) request.Importance { return min(imp, request.Critical) }
