package cost

import (
	"hash/maphash"
	"math"
	"math/bits"
	"time"

	"github.com/teaselseam/teaselseam/internal/learned"
	"github.com/teaselseam/teaselseam/internal/request"
)

const (
	numClasses = 2048 // size of the table of classes

	meanWeight  = 1.0 / 64 // weight of a run in the moving averages of its flow, once there are as many
	classWeight = 1.0 / 16 // the same in its class
	classPrior  = 8        // runs of a class at which its estimate is halfway between the flow's and its own

	// usefulError is the ratio of the mean squared errors below which a kind of class predicts
	// better than the flow. Without a relation, classes with few runs have a ratio above 1.
	usefulError   = 0.9
	minKindRuns   = 64 // runs compared before a kind of class is used
	kindRunWeight = 1.0 / 128

	maxDuration = time.Hour
)

// Request is what is known of a request before it runs.
type Request struct {
	Flow      request.Flow
	Workspace string
	Path      string // without query
	Size      int64  // of the body in bytes
}

// kind is a property of requests that may predict their cost.
type kind uint8

const (
	byWorkspace kind = iota
	byPath
	bySize
	numKinds
)

// class is the moving average of one value of one kind in one flow.
type class struct {
	tag  uint64  // hash of flow, kind and value; zero if free
	runs float64 // bounded by 1/classWeight
	log  float64 // mean of ln(run time) less that of the flow
}

// kindError compares the errors of a kind of class with those of the flow.
type kindError struct {
	runs        int
	class, flow float64 // moving mean squared errors of ln(run time)
}

func (k *kindError) useful() bool { return k.runs >= minKindRuns && k.class < usefulError*k.flow }

// flow holds the averages of one flow.
type flow struct {
	hash  uint64
	runs  float64 // bounded by 1/meanWeight
	mean  float64 // in nanoseconds
	log   float64 // mean of ln(run time)
	kinds [numKinds]kindError
	rests histogram
}

// Estimator learns the cost of requests from their runs. It is not safe for concurrent use.
type Estimator struct {
	seed    maphash.Seed
	flows   learned.Table[request.Flow, *flow]
	classes []class
}

// New returns an estimator that knows no run.
func New() *Estimator {
	return &Estimator{seed: maphash.MakeSeed(), classes: make([]class, numClasses)}
}

// Expect returns the expected cost of a request, or zero if no run of its flow is known.
func (e *Estimator) Expect(r *Request) time.Duration {
	f, ok := e.flows.Get(r.Flow)
	if !ok {
		return 0
	}
	best := -1
	for k := range f.kinds {
		if f.kinds[k].useful() && (best < 0 || f.kinds[k].class*f.kinds[best].flow < f.kinds[best].class*f.kinds[k].flow) {
			best = k
		}
	}
	mean := f.mean
	if best >= 0 {
		mean *= math.Exp(e.lookup(e.tag(f, kind(best), r)).estimate())
	}
	return time.Duration(min(mean, float64(maxDuration)))
}

// Keep forgets the flows that are not to be kept.
func (e *Estimator) Keep(keep func(request.Flow) bool) { e.flows.Keep(keep) }

// Mean returns the mean cost of the requests of a flow, or zero if no run is known.
func (e *Estimator) Mean(id request.Flow) time.Duration {
	if f, ok := e.flows.Get(id); ok {
		return time.Duration(f.mean)
	}
	return 0
}

// Rest returns how long a request of the flow that has run for a time is expected to run
// on, or zero if no run of the flow is known.
func (e *Estimator) Rest(id request.Flow, elapsed time.Duration) time.Duration {
	f, ok := e.flows.Get(id)
	if !ok {
		return 0
	}
	return f.rests.rest(elapsed)
}

// Observe records the run of a request.
func (e *Estimator) Observe(r *Request, took time.Duration) {
	took = min(max(took, time.Microsecond), maxDuration)
	f, ok := e.flows.Get(r.Flow)
	if !ok {
		f = &flow{hash: maphash.String(e.seed, string(r.Flow)), mean: float64(took), log: math.Log(float64(took))}
		e.flows.Set(r.Flow, f)
	}
	log := math.Log(float64(took))
	for k := range numKinds {
		e.observeClass(f, k, r, log-f.log)
	}
	f.runs = min(f.runs+1, 1/meanWeight)
	f.mean += (float64(took) - f.mean) / f.runs
	f.log += (log - f.log) / f.runs
	f.rests.add(took)
}

// observeClass records a run in the request's class of a kind. log is the logarithm of its
// time, less the mean of the flow.
func (e *Estimator) observeClass(f *flow, k kind, r *Request, log float64) {
	tag := e.tag(f, k, r)
	c := &e.classes[tag%numClasses]
	if c.tag != tag {
		if c.runs--; c.runs > 0 {
			return
		}
		*c = class{tag: tag}
	}
	if c.runs >= 1 {
		ke := &f.kinds[k]
		ke.runs++
		weight := max(kindRunWeight, 1/float64(ke.runs))
		d := log - c.estimate()
		ke.class += (d*d - ke.class) * weight
		ke.flow += (log*log - ke.flow) * weight
	}
	c.runs = min(c.runs+1, 1/classWeight)
	c.log += (log - c.log) / c.runs
}

func (e *Estimator) lookup(tag uint64) class {
	if c := e.classes[tag%numClasses]; c.tag == tag {
		return c
	}
	return class{}
}

// estimate returns the expected logarithm of the cost relative to the flow.
func (c class) estimate() float64 { return c.log * c.runs / (c.runs + classPrior) }

// tag returns the key of the request's class of a kind. It is never zero.
func (e *Estimator) tag(f *flow, k kind, r *Request) uint64 {
	var value uint64
	switch k {
	case byWorkspace:
		value = maphash.String(e.seed, r.Workspace)
	case byPath:
		value = maphash.String(e.seed, r.Path)
	case bySize:
		value = uint64(bits.Len64(uint64(max(r.Size, 0)))) + 1
	}
	const odd = 0x9e3779b97f4a7c15
	h := (f.hash ^ (value+uint64(k))*odd) * odd
	return h ^ h>>32 | 1
}
