package model

import (
	"time"

	"github.com/teaselseam/teaselseam/internal/request"
)

const (
	binTime = 100 * time.Millisecond

	// A run has recovered when recoveredBins bins in a row serve recoveredShare of
	// their arrivals.
	recoveredBins  = 5
	recoveredShare = 0.95
)

// bin counts the requests that arrived within binTime.
type bin struct {
	arrived, useful int
}

// counts are the requests of one workspace that arrived in the overload.
type counts struct {
	arrived, useful int

	// Requests inside the workspace's rate.
	inRate, inRateUseful, inRateRefused int

	overShare int // part of inRateRefused with reason over_share
}

// stats collects what one run measures.
type stats struct {
	times    times
	capacity float64 // in the overload
	bins     []bin
	spaces   [len(shares)]counts
	critical counts // of the highest importance
	attempts int
	repeated int // attempts that are retries or below one
	useful   int // responses that reached their clients in the overload
}

func newStats(t times, capacity float64) *stats {
	return &stats{times: t, capacity: capacity, bins: make([]bin, t.stop/binTime)}
}

func (s *stats) attempt(extra bool) {
	s.attempts++
	if extra {
		s.repeated++
	}
}

func (s *stats) arrive(r *req) {
	s.bins[r.arrived/binTime].arrived++
}

// finish records the final result of a request.
func (s *stats) finish(r *req, res result) {
	if res.completed() {
		s.bins[r.arrived/binTime].useful++
		if s.times.overloaded(r.w.q.now) {
			s.useful++
		}
	}
	if !s.times.overloaded(r.arrived) {
		return
	}
	s.spaces[r.workspace].add(r, res)
	if r.importance == request.Critical {
		s.critical.add(r, res)
	}
}

func (c *counts) add(r *req, res result) {
	c.arrived++
	if res.completed() {
		c.useful++
	}
	if !r.inRate {
		return
	}
	c.inRate++
	if res.completed() {
		c.inRateUseful++
	}
	if res.refused {
		c.inRateRefused++
		if res.reason == request.ReasonOverShare {
			c.overShare++
		}
	}
}

// Figures are the results of one run. Shares are between 0 and 1. All but Recovery
// and Amplification cover the requests that arrived in the overload.
type Figures struct {
	Goodput       float64       // useful responses a second that reach clients in the overload
	OfCapacity    float64       // share of the capacity in the overload
	OfAttainable  float64       // share of the smaller of capacity and arrivals inside the rate
	Recovery      time.Duration // from the end of the overload; NotRecovered if not within the run
	Worst         float64       // useful share of the requests inside the rate, of the worst-served workspace
	Critical      float64       // useful share of requests of the highest importance
	Wrongful      float64       // refused share of requests inside their workspace's rate
	WrongfulShare float64       // the part of Wrongful with reason over_share
	WrongfulQuiet float64       // as Wrongful, without the workspace that sends more than the others
	Shortfall     float64       // useful responses missing from those inside the rate, whichever requests got them
	Amplification float64       // attempts at all hops, relative to those not due to a retry
}

// NotRecovered is the Recovery of a run that did not recover before its end.
const NotRecovered = afterTime

func (s *stats) figures(sc *Scenario) Figures {
	var total, quiet counts
	missing := 0
	f := Figures{Recovery: s.recovery(), Worst: 1}
	for ws, c := range s.spaces {
		total.inRate += c.inRate
		total.inRateRefused += c.inRateRefused
		total.overShare += c.overShare
		missing += max(c.inRate-c.useful, 0)
		if sc.Noisy == 1 || ws != noisyWorkspace {
			quiet.inRate += c.inRate
			quiet.inRateRefused += c.inRateRefused
			f.Worst = min(f.Worst, share(c.inRateUseful, c.inRate))
		}
	}
	seconds := overloadTime.Seconds()
	f.Goodput = float64(s.useful) / seconds
	f.OfCapacity = f.Goodput / s.capacity
	f.OfAttainable = f.Goodput / min(s.capacity, float64(total.inRate)/seconds)
	f.Critical = share(s.critical.useful, s.critical.arrived)
	f.Wrongful = share(total.inRateRefused, total.inRate)
	f.WrongfulShare = share(total.overShare, total.inRate)
	f.WrongfulQuiet = share(quiet.inRateRefused, quiet.inRate)
	f.Shortfall = share(missing, total.inRate)
	f.Amplification = 1
	if first := s.attempts - s.repeated; first > 0 {
		f.Amplification = float64(s.attempts) / float64(first)
	}
	return f
}

func share(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// recovery returns the time from the end of the overload to the first bin from
// which on recoveredBins bins are served.
func (s *stats) recovery() time.Duration {
	run := 0
	for i := int(s.times.end / binTime); i < len(s.bins); i++ {
		b := s.bins[i]
		if share(b.useful, b.arrived) < recoveredShare {
			run = 0
			continue
		}
		run++
		if run == recoveredBins {
			return time.Duration(i+1-recoveredBins)*binTime - s.times.end
		}
	}
	return NotRecovered
}
