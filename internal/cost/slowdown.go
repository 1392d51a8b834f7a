package cost

import "math"

const (
	minSlowdown = 1.2 // a lower factor counts as usual speed
	maxSlowdown = 8
	// slowdownPrior is the number of runs at which the observed effect of a reported slowdown
	// weighs as much as the assumption that half of it is true.
	slowdownPrior  = 8
	slowdownWeight = 1.0 / 32

	// The usual figure of a server is the low end of those it reports: slow moments last
	// for a few reports.
	usualFallWeight = 0.5
	usualRiseWeight = 0.01
)

// Slowdown tells by which factor work takes longer at a backend server at this moment than it
// usually does there, from the figures that the server reports. They compare it with other
// servers: the constant part is the speed of the server, which its run times show anyway.
//
// The factor is checked against the runs. A server that reports a factor which its runs do
// not show, because it lies or because they spend most of their time waiting for internal calls, is
// soon believed no more.
type Slowdown struct {
	base        float64 // figure that the server usually reports; zero before the first one
	usual, slow logMean
	reported    logMean // of the factors from minSlowdown on
}

type logMean struct {
	runs, mean float64
}

func (m *logMean) add(v float64) {
	m.runs = min(m.runs+1, 1/slowdownWeight)
	m.mean += (v - m.mean) / m.runs
}

// Observe records a run with the figure reported at its end, and the ratio of its time to
// the expected one, zero if that is unknown.
func (s *Slowdown) Observe(reported, ratio float64) {
	if !(reported > 0) {
		return
	}
	switch {
	case s.base == 0:
		s.base = reported
	case reported < s.base:
		s.base += (reported - s.base) * usualFallWeight
	default:
		s.base += (reported - s.base) * usualRiseWeight
	}
	factor := s.relative(reported)
	switch {
	case !(ratio > 0):
	case factor < minSlowdown:
		s.usual.add(math.Log(ratio))
	default:
		s.slow.add(math.Log(ratio))
		s.reported.add(math.Log(factor))
	}
}

// relative returns a reported figure relative to the usual one.
func (s *Slowdown) relative(reported float64) float64 {
	if s.base == 0 || !(reported > 0) {
		return 1
	}
	return min(reported/s.base, maxSlowdown)
}

// Factor returns the factor to expect while a figure is reported.
func (s *Slowdown) Factor(reported float64) float64 {
	factor := s.relative(reported)
	if factor < minSlowdown {
		return 1
	}
	seen := 0.0
	if s.reported.mean > 0 {
		seen = min(max((s.slow.mean-s.usual.mean)/s.reported.mean, 0), 1)
	}
	runs := min(s.slow.runs, s.usual.runs)
	truth := (0.5*slowdownPrior + seen*runs) / (slowdownPrior + runs)
	return math.Pow(factor, truth)
}
