// Package shutdown decides which requests a node still takes while it stops.
//
// Load pattern: callers go on sending to a stopping node, on connections that are open, until
// its process is gone; on some VMs they have nowhere else to go. What is still running at the
// end of the grace period is cut off, and a caller whose request may not be repeated then does
// not know whether it has run. A limit in time alone does not fit: it refuses short requests
// that would have been done, and takes long ones that will not.
//
// Mechanism: a request is taken if its answer is due before the end. The answer is due at the
// request's deadline at the latest, since the node answers then in any case, and usually
// earlier, by what requests of its route have been seen to take at the service that will run it. The distribution of run times
// has a long tail, so the longest expected time is a multiple of a high quantile. A request
// that may be repeated needs only the quantile itself while callers may not know of the stop:
// refusing all of them for the few that take longer would cost more callers than it saves, and
// a caller that is cut off can repeat it.
package shutdown

import (
	"math"
	"slices"
	"time"

	"github.com/teaselseam/teaselseam/internal/learned"
	"github.com/teaselseam/teaselseam/internal/request"
)

const (
	// sampleSize is the number of recent requests of a flow by which its durations are known.
	sampleSize = 128
	// minSample is the number of requests from which on they are.
	minSample = 16
	// usualQuantile is the quantile of the durations that a request usually stays within.
	usualQuantile = 0.9
	// A few requests take tailFactor times as long as others of their flow, whatever these
	// take: also those at tailQuantile.
	tailFactor   = 3
	tailQuantile = 0.97
	// earlyPeriod is how long after the begin of a stop the platform may still send callers to
	// the node, less the way of a request.
	earlyPeriod = 2900 * time.Millisecond
	// durationUnit is the resolution of the recorded durations.
	durationUnit = 100 * time.Microsecond
)

// Durations holds how long the recent requests of each flow took, from their arrival to the
// end of the answer. The zero value knows none. It is not safe for concurrent use.
type Durations struct {
	flows learned.Table[request.Flow, *sample]
}

// sample holds the latest durations of a flow, in durationUnit, in no particular order.
type sample struct {
	values []uint32
	next   int
}

// Observe records how long a request took.
func (d *Durations) Observe(flow request.Flow, took time.Duration) {
	s, ok := d.flows.Get(flow)
	if !ok {
		s = &sample{}
		d.flows.Set(flow, s)
	}
	v := uint32(min(max(took/durationUnit, 0)+1, math.MaxUint32))
	if len(s.values) < sampleSize {
		s.values = append(s.values, v)
		return
	}
	s.values[s.next] = v
	s.next = (s.next + 1) % sampleSize
}

// Keep forgets the flows that are not to be kept.
func (d *Durations) Keep(keep func(request.Flow) bool) { d.flows.Keep(keep) }

// expect returns the usual and the longest duration to expect of a request of a flow; false
// if too few are known.
func (d *Durations) expect(flow request.Flow) (usual, longest time.Duration, ok bool) {
	s, ok := d.flows.Get(flow)
	if !ok || len(s.values) < minSample {
		return 0, 0, false
	}
	sorted := slices.Sorted(slices.Values(s.values))
	at := func(quantile float64) time.Duration {
		return time.Duration(sorted[int(quantile*float64(len(sorted)-1))]) * durationUnit
	}
	return at(usualQuantile), max(tailFactor*at(tailQuantile), at(1)), true
}

// Request is what is known of a request when it arrives.
type Request struct {
	Flow       request.Flow
	Idempotent bool
	// Deadline is the time left until the node gives its final answer in any case.
	Deadline time.Duration
	// Target is the time left until the latency target of the route; zero if it has none.
	Target time.Duration
}

// Grace is the state of the grace period of a stop.
type Grace struct {
	Elapsed time.Duration // since its begin
	Left    time.Duration // until running requests are cut off
}

// Take reports whether a stopping node takes a request.
func (d *Durations) Take(g Grace, r Request) bool { return d.due(g, r) <= g.Left }

// due returns the time after which the answer to a request is there.
func (d *Durations) due(g Grace, r Request) time.Duration {
	usual, longest, known := d.expect(r.Flow)
	if !known {
		usual, longest = r.Target, r.Deadline
		if usual <= 0 {
			usual = r.Deadline
		}
	}
	if r.Idempotent && g.Elapsed < earlyPeriod {
		return min(usual, r.Deadline)
	}
	return min(longest, r.Deadline)
}
