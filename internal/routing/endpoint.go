package routing

import (
	"math"
	"time"
)

const (
	// latencyWeight is the weight of one sample in the latency of an endpoint.
	// Single calls vary by as much as the mean; a larger weight would follow that
	// noise and send calls to another data centre without need.
	latencyWeight = 0.03

	troubleWeight = 0.1  // weight of one result in the share of refusals and failures
	failureWeight = 0.05 // weight of one result in the share of failures
	failureCount  = 20   // results before the share of failures may eject

	maxTrouble = 0.9 // an endpoint costs at most ten times its latency for refusals
	minRamp    = 0.1 // share of draws of an endpoint that has just started
)

// state is what the ingress knows of one endpoint. Times are in seconds.
type state struct {
	Endpoint
	key     uint64  // rendezvous hash with the ingress
	network float64 // round trip to the endpoint's data centre

	inFlight  int
	latency   float64 // moving average, without the network
	deviation float64 // moving mean of the distance of a sample from the average
	latencyAt time.Time
	trouble   float64 // share of refused and failed calls
	troubleAt time.Time
	report    Report
	reportAt  time.Time // when the figures were measured

	failures     int     // consecutive
	failureRate  float64 // moving share
	results      int     // since the start or the last ejection
	ejections    int
	ejectedUntil time.Time
	rampFrom     time.Time

	heardAt time.Time // when an answer of any kind last came
	silent  bool      // its node stands still or cannot be reached
	backAt  time.Time // when the last silence ended
}

// fade is 1 at age zero and 0.5 at the half age.
func fade(age, half time.Duration) float64 {
	if age <= 0 {
		return 1
	}
	return 1 / (1 + float64(age)/float64(half))
}

// ramp returns the share of draws that the endpoint takes part in.
func (s *state) ramp(now time.Time, length time.Duration) float64 {
	up := now.Sub(s.rampFrom)
	if up >= length {
		return 1
	}
	return max(float64(up)/float64(length), minRamp)
}

// expected returns the time that a call sent now is expected to take. An
// observation fades towards the usual latency of the service, so that an endpoint
// that was slow is tried again. Calls in flight up to the concurrency limit cost
// nothing; those above it queue.
func (s *state) expected(now time.Time, cfg *Config, usual float64) float64 {
	local := usual
	if !s.latencyAt.IsZero() {
		local += (s.latency - usual) * fade(now.Sub(s.latencyAt), cfg.ObservationHalfLife)
	}
	slots := s.slots(cfg)
	t := local * (1 + float64(max(s.inFlight+1-slots, 0))/float64(slots))
	t = s.correct(now, cfg, t)
	trouble := s.trouble * fade(now.Sub(s.troubleAt), cfg.ObservationHalfLife)
	return t/(1-min(trouble, maxTrouble)) + s.network
}

// noise estimates the standard error of the moving average of latency.
func (s *state) noise() float64 {
	return s.deviation * math.Sqrt(latencyWeight/2)
}

// score compares endpoints at the same distance. It raises the expected time by
// the share of the concurrency limit that is in flight, because calls on their way
// show in no other figure yet.
func (s *state) score(cfg *Config, expected float64) float64 {
	return expected * (1 + float64(s.inFlight)/float64(s.slots(cfg)))
}

func (s *state) slots(cfg *Config) int {
	if s.report.Limit > 0 {
		return min(s.report.Limit, cfg.MaxSlots)
	}
	return cfg.DefaultSlots
}

// correct moves an own estimate towards the reported figures.
func (s *state) correct(now time.Time, cfg *Config, own float64) float64 {
	if s.reportAt.IsZero() {
		return own
	}
	reported := (s.report.QueueWait + s.report.ServiceTime).Seconds()
	trust := cfg.SlowerReportWeight
	if reported < own {
		trust = cfg.FasterReportWeight
	}
	return own + (reported-own)*trust*fade(now.Sub(s.reportAt), cfg.ReportHalfLife)
}

// observe records the end of a call, except for ejection.
func (s *state) observe(now time.Time, r Result) {
	s.inFlight = max(s.inFlight-1, 0)
	if !r.NoResponse {
		s.hear(now)
	}
	s.observeLatency(now, r)
	if r.Kind != Cancelled {
		bad := 0.0
		if r.Kind != Completed {
			bad = 1
		}
		s.trouble += (bad - s.trouble) * troubleWeight
		s.troubleAt = now
	}
	if r.Load != nil {
		at := now.Add(-max(r.Load.Age, 0))
		if at.After(s.reportAt) {
			s.report, s.reportAt = *r.Load, at
		}
	}
	s.Draining = s.Draining || r.Draining
}

// observeLatency records a latency sample. A refusal is fast and says nothing
// about serving. A call that was given up or failed took at least its latency.
func (s *state) observeLatency(now time.Time, r Result) {
	if r.Kind == Refused || s.duringSilence(now, r) {
		return
	}
	sample := max(r.Latency.Seconds()-s.network, 0)
	known := !s.latencyAt.IsZero()
	if r.Kind != Completed && (!known || sample <= s.latency) {
		return
	}
	if !known {
		s.latency, s.latencyAt = sample, now
		return
	}
	s.deviation += (math.Abs(sample-s.latency) - s.deviation) * latencyWeight
	s.latency += (sample - s.latency) * latencyWeight
	s.latencyAt = now
}

// failing records the result for ejection and tells whether the endpoint should
// be ejected.
func (s *state) failing(cfg *Config, k ResultKind) bool {
	if k == Cancelled {
		return false
	}
	s.results++
	if k != Failed {
		s.failures = 0
		s.failureRate -= s.failureRate * failureWeight
		return false
	}
	s.failures++
	s.failureRate += (1 - s.failureRate) * failureWeight
	return s.failures >= cfg.EjectFailures ||
		s.results >= failureCount && s.failureRate > cfg.EjectRate
}
