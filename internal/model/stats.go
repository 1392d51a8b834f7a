package model

import (
	"time"

	"github.com/teaselseam/teaselseam/internal/request"
)

const (
	binWidth = 100 * time.Millisecond

	// A run has recovered when, in recoveredBins consecutive bins, at least recoveredShare
	// of the arrivals were useful.
	recoveredBins  = 5
	recoveredShare = 0.95
)

// bin counts the requests that arrived in an interval of length binWidth. Those whose
// client received a complete response in time are useful.
type bin struct {
	arrived, useful int
}

// counts are numbers of requests that arrived in the overload.
type counts struct {
	arrived, useful int

	// Requests within the rate of their workspace.
	withinRate, withinRateUseful, withinRateRefused int

	overShare int // those of withinRateRefused with reason over_share
}

// stats collects the measurements of one run.
type stats struct {
	phases        phases
	capacity      float64 // of the graph in the overload, in requests per second
	bins          []bin
	workspaces    [len(workspaceShares)]counts
	critical      counts // of the highest importance
	attempts      int
	retryAttempts int // retries and attempts of their internal calls
	useful        int // complete responses received by clients in the overload
}

func newStats(p phases, capacity float64) *stats {
	return &stats{phases: p, capacity: capacity, bins: make([]bin, p.lastArrival/binWidth)}
}

func (s *stats) recordAttempt(causedByRetry bool) {
	s.attempts++
	if causedByRetry {
		s.retryAttempts++
	}
}

func (s *stats) recordArrival(r *clientRequest) {
	s.bins[r.arrived/binWidth].arrived++
}

// recordResult records the final result of a request at its client.
func (s *stats) recordResult(r *clientRequest, res result) {
	if res.completed() {
		s.bins[r.arrived/binWidth].useful++
		if s.phases.overloaded(r.sim.events.now) {
			s.useful++
		}
	}
	if !s.phases.overloaded(r.arrived) {
		return
	}
	s.workspaces[r.workspace].add(r, res)
	if r.importance == request.Critical {
		s.critical.add(r, res)
	}
}

func (c *counts) add(r *clientRequest, res result) {
	c.arrived++
	if res.completed() {
		c.useful++
	}
	if !r.withinRate {
		return
	}
	c.withinRate++
	if res.completed() {
		c.withinRateUseful++
	}
	if res.refused {
		c.withinRateRefused++
		if res.reason == request.ReasonOverShare {
			c.overShare++
		}
	}
}

// Figures are the results of one run. Fractions are between 0 and 1. Recovery covers the
// time after the overload and Amplification the whole run; the goodput counts responses
// received in the overload, and the other figures requests that arrived in it.
type Figures struct {
	Goodput             float64       // useful responses per second that clients receive in the overload
	CapacityFraction    float64       // goodput relative to the capacity in the overload
	AttainableFraction  float64       // goodput relative to the smaller of the capacity and the arrivals within their rates
	Recovery            time.Duration // from the end of the overload; NotRecovered if not within the run
	WorstWorkspace      float64       // useful fraction of the requests within the rate, lowest among the workspaces except the noisy one
	Critical            float64       // useful fraction of the requests of the highest importance
	WrongfulRefusals    float64       // refused fraction of the requests within their workspace's rate
	WrongfulOverShare   float64       // part of WrongfulRefusals with reason over_share
	WrongfulExceptNoisy float64       // as WrongfulRefusals, without the noisy workspace
	Shortfall           float64       // fraction of the requests within the rate by which useful responses, to any request of the workspace, fall short
	Amplification       float64       // attempts at all hops, relative to those not caused by a retry
}

// NotRecovered is the value of Figures.Recovery if a run did not recover before its end.
const NotRecovered = postOverloadTime

func (s *stats) figures(sc *Scenario) Figures {
	var total, exceptNoisy counts
	shortfall := 0
	f := Figures{Recovery: s.recovery(), WorstWorkspace: 1}
	for ws, c := range s.workspaces {
		total.withinRate += c.withinRate
		total.withinRateRefused += c.withinRateRefused
		total.overShare += c.overShare
		shortfall += max(c.withinRate-c.useful, 0)
		if sc.NoisyFactor == 1 || ws != noisyWorkspace {
			exceptNoisy.withinRate += c.withinRate
			exceptNoisy.withinRateRefused += c.withinRateRefused
			f.WorstWorkspace = min(f.WorstWorkspace, ratio(c.withinRateUseful, c.withinRate))
		}
	}
	seconds := overloadTime.Seconds()
	f.Goodput = float64(s.useful) / seconds
	f.CapacityFraction = f.Goodput / s.capacity
	f.AttainableFraction = f.Goodput / min(s.capacity, float64(total.withinRate)/seconds)
	f.Critical = ratio(s.critical.useful, s.critical.arrived)
	f.WrongfulRefusals = ratio(total.withinRateRefused, total.withinRate)
	f.WrongfulOverShare = ratio(total.overShare, total.withinRate)
	f.WrongfulExceptNoisy = ratio(exceptNoisy.withinRateRefused, exceptNoisy.withinRate)
	f.Shortfall = ratio(shortfall, total.withinRate)
	f.Amplification = 1
	if first := s.attempts - s.retryAttempts; first > 0 {
		f.Amplification = float64(s.attempts) / float64(first)
	}
	return f
}

func ratio(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// recovery returns the time from the end of the overload to the first of recoveredBins
// consecutive bins in which at least recoveredShare of the arrivals were useful.
func (s *stats) recovery() time.Duration {
	consecutive := 0
	for i := int(s.phases.overloadEnd / binWidth); i < len(s.bins); i++ {
		b := s.bins[i]
		if ratio(b.useful, b.arrived) < recoveredShare {
			consecutive = 0
			continue
		}
		consecutive++
		if consecutive == recoveredBins {
			return time.Duration(i+1-recoveredBins)*binWidth - s.phases.overloadEnd
		}
	}
	return NotRecovered
}
