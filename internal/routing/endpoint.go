package routing

import (
	"math"
	"slices"
	"time"
)

const (
	// latencyWeight is the weight of one sample in the moving average of an
	// endpoint's latency. The deviation of single calls is as large as the mean; a
	// larger weight would follow this noise and send calls to another data centre
	// unnecessarily.
	latencyWeight = 0.03

	waitedWeight    = 0.25 // weight of one wait in waited
	errorRateWeight = 0.1  // weight of one result in errorRate
	failureWeight   = 0.05 // weight of one result in failureRate
	minResults      = 20   // results required before failureRate may cause an ejection

	maxErrorRate = 0.9             // errors raise the expected time at most tenfold
	maxPacing    = 2 * time.Second // bound of the interval between calls at a limited endpoint

	// coldPacing is the assumed interval between calls at a cold endpoint that has reported
	// none.
	coldPacing = 100 * time.Millisecond

	minSlowStart = 0.1 // selection probability of an endpoint that has just started
)

// endpointState holds the observations of an ingress about one endpoint. Latencies and
// the network round trip are in seconds.
type endpointState struct {
	Endpoint
	key        uint64  // rendezvous hash of the ingress and the endpoint
	networkRTT float64 // network round trip to the endpoint's data centre

	inFlight    int
	sending     []sentCall // the calls in flight
	latency     float64    // moving average, without networkRTT, of a call of typical cost
	waited      float64    // moving average of the waits, if the endpoint reports work
	use         float64    // moving average of the fraction of slots in use
	waitError   float64    // moving average of the waits less the expected ones
	deviation   float64    // moving average of the absolute deviation from latency
	latencyAt   time.Time
	errorRate   float64 // moving fraction of refused and failed calls
	errorRateAt time.Time
	report      Report
	reportAt    time.Time // when the reported figures were measured
	coldUntil   time.Time // end of the cold phase; zero if none is known

	failures     int     // consecutive
	failureRate  float64 // moving fraction of failed calls
	results      int     // number of results since the start or the last ejection
	ejections    int
	ejectedUntil time.Time
	slowStartAt  time.Time

	lastContactAt time.Time // when anything was last received from the node
	unresponsive  bool      // its node is stalled or unreachable
	recoveredAt   time.Time // when the endpoint last stopped being unresponsive
}

// ageWeight returns the weight of a value by its age: 1 at age zero, 0.5 at the age half.
func ageWeight(age, half time.Duration) float64 {
	if age <= 0 {
		return 1
	}
	return 1 / (1 + float64(age)/float64(half))
}

// slowStartFactor returns the probability with which the endpoint is accepted when it
// is sampled. It rises linearly over the slow-start period. Of an endpoint whose cold phase is
// known, the slow-start period is that phase, in which it bears a small part of its load.
func (s *endpointState) slowStartFactor(now time.Time, length time.Duration) float64 {
	if !s.coldUntil.IsZero() && length > 0 {
		if now.Before(s.coldUntil) {
			return minSlowStart
		}
		return 1
	}
	elapsed := now.Sub(s.slowStartAt)
	if elapsed >= length {
		return 1
	}
	return max(float64(elapsed)/float64(length), minSlowStart)
}

// typical holds the moving averages over all endpoints of a service, in seconds, without the network.
type typical struct {
	latency float64 // of a call of typical cost
	wait    float64 // at endpoints that report work
}

// forecast is the expected course of a call at an endpoint, in seconds.
type forecast struct {
	wait  float64 // for a slot; zero if the endpoint reports no work
	total float64 // until the response
}

// expectedTime returns how long a call sent now is expected to take whose cost is the given
// multiple of the typical one. As it ages, the observed latency of an endpoint is replaced by
// the typical latency of the service, so that an endpoint that was slow is tried again. Calls
// in flight up to the concurrency limit add no time; those above it queue.
func (s *endpointState) expectedTime(now time.Time, cfg *Config, usual typical, size float64) forecast {
	processing := usual.latency
	if !s.latencyAt.IsZero() && !s.beforeWarm(now, s.latencyAt) {
		processing += (s.latency - usual.latency) * ageWeight(now.Sub(s.latencyAt), cfg.ObservationHalfLife)
	}
	slots := s.slots(cfg)
	var f forecast
	switch {
	case s.reportsWork():
		var run float64
		f.wait, run = s.timeFromWork(now, cfg, processing, usual.wait, size)
		f.total = f.wait + run
	case s.reportAt.IsZero() && usual.wait > 0:
		f.wait = usual.wait
		f.total = f.wait + processing*size
	default:
		f.total = processing * (size + float64(max(s.inFlight+1-slots, 0))/float64(slots))
		f.total = s.blendReport(now, cfg, f.total, size)
	}
	f.total += s.pacing(now, cfg)
	errorRate := s.errorRate * ageWeight(now.Sub(s.errorRateAt), cfg.ObservationHalfLife)
	f.total = f.total/(1-min(errorRate, maxErrorRate)) + s.networkRTT
	return f
}

func (s *endpointState) reportsWork() bool { return s.report.Slowdown > 0 }

// timeFromWork returns the wait for the work left at the endpoint plus the run time of the
// call. The endpoint's mean wait stands in for a report as it ages. What this ingress has sent
// since the report was measured is added.
func (s *endpointState) timeFromWork(now time.Time, cfg *Config, processing, usualWait, size float64) (wait, run float64) {
	age := now.Sub(s.reportAt)
	run = processing
	if s.report.ServiceTime > 0 {
		run = blend(cfg, run, s.report.ServiceTime.Seconds(), ageWeight(age, cfg.ObservationHalfLife))
	}
	slow := 1 + (s.report.Slowdown-1)*ageWeight(age, cfg.SlowdownHalfLife)
	wait = usualWait + (s.waited-usualWait)*ageWeight(age, cfg.ObservationHalfLife)
	weight := ageWeight(age, cfg.ReportHalfLife)
	if s.report.QueueWait.Seconds() < wait {
		weight *= cfg.ShorterWaitWeight
	}
	wait += (s.report.QueueWait.Seconds() - wait) * weight
	wait += max(s.waitError, 0) * ageWeight(age, cfg.ObservationHalfLife)
	wait += run * s.unreportedWork() / float64(s.slots(cfg))
	return wait, run * size * slow
}

// blend adjusts an estimate of the ingress towards a reported figure.
func blend(cfg *Config, own, reported, weight float64) float64 {
	if reported < own {
		return own + (reported-own)*weight*cfg.FasterReportWeight
	}
	return own + (reported-own)*weight*cfg.SlowerReportWeight
}

// sentCall is a call in flight.
type sentCall struct {
	at   time.Time
	size float64 // cost relative to the typical one
	wait float64 // as expected, in seconds
}

func (s *endpointState) sent(now time.Time, size, wait float64) {
	s.inFlight++
	s.sending = append(s.sending, sentCall{at: now, size: size, wait: wait})
}

// ended removes and returns the call in flight that was sent at about the given time.
func (s *endpointState) ended(sent time.Time) sentCall {
	s.inFlight = max(s.inFlight-1, 0)
	best, distance := -1, time.Duration(math.MaxInt64)
	for i, c := range s.sending {
		if d := c.at.Sub(sent).Abs(); d < distance {
			best, distance = i, d
		}
	}
	if best < 0 {
		return sentCall{}
	}
	c := s.sending[best]
	s.sending = slices.Delete(s.sending, best, best+1)
	return c
}

// unreportedWork returns the cost of the calls sent after the figures of the report were
// measured, as a multiple of the typical cost.
func (s *endpointState) unreportedWork() float64 {
	work := 0.0
	for _, c := range s.sending {
		if c.at.After(s.reportAt) {
			work += c.size
		}
	}
	return work
}

// pacing returns the mean interval between two calls that the rate limit of the endpoint lets
// start. The reported wait of a limited endpoint is outdated within one such interval, and an
// ingress with few calls hears of it more rarely still; that there is a limit lasts longer.
func (s *endpointState) pacing(now time.Time, cfg *Config) float64 {
	cold := 0.0
	if now.Before(s.coldUntil) {
		cold = coldPacing.Seconds()
		if s.report.ColdRate > 0 {
			cold = min(1/s.report.ColdRate, maxPacing.Seconds())
		}
	}
	if s.report.RateLimit <= 0 {
		return cold
	}
	return max(cold, min(1/s.report.RateLimit, maxPacing.Seconds())*ageWeight(now.Sub(s.reportAt), cfg.ObservationHalfLife))
}

// latencyStdErr estimates the standard error of the latency average.
func (s *endpointState) latencyStdErr() float64 {
	return s.deviation * math.Sqrt(latencyWeight/2)
}

// score is used to compare endpoints of the same tier. It increases the expected time
// by the fraction of the concurrency limit that is in flight, because calls in flight
// are not yet included in any other figure, and by the cube of the fraction that is in use
// as far as it is known: a server becomes slower only near its last slots.
func (s *endpointState) score(now time.Time, cfg *Config, expected float64) float64 {
	use := float64(s.inFlight) / float64(s.slots(cfg))
	if s.reportsWork() {
		reported := s.use + (s.reportedUse()-s.use)*ageWeight(now.Sub(s.reportAt), cfg.ReportHalfLife)
		use += reported * reported * reported
	}
	return expected * (1 + use)
}

// reportedUse returns the fraction of the slots that are in use by the report.
func (s *endpointState) reportedUse() float64 {
	return min(float64(s.report.Running)/float64(max(s.report.Limit, 1)), 1)
}

func (s *endpointState) slots(cfg *Config) int {
	if s.report.Limit > 0 {
		return min(s.report.Limit, cfg.MaxSlots)
	}
	return cfg.DefaultSlots
}

// blendReport adjusts the ingress's own estimate towards the reported figures.
func (s *endpointState) blendReport(now time.Time, cfg *Config, own, size float64) float64 {
	if s.reportAt.IsZero() || s.beforeWarm(now, s.reportAt) {
		return own
	}
	reported := s.report.QueueWait.Seconds() + s.report.ServiceTime.Seconds()*size
	return blend(cfg, own, reported, ageWeight(now.Sub(s.reportAt), cfg.ReportHalfLife))
}

// observe records the end of a call and returns its wait, zero if that is unknown. Ejection is
// handled by recordForEjection.
func (s *endpointState) observe(now time.Time, r Result, size float64) (wait float64) {
	call := s.ended(now.Add(-r.Latency))
	if !r.NoResponse {
		s.recordContact(now)
	}
	s.observeLatency(now, r, size)
	if r.Kind != Cancelled && r.Kind != Elsewhere {
		failed := 0.0
		if r.Kind != Completed {
			failed = 1
		}
		s.errorRate += (failed - s.errorRate) * errorRateWeight
		s.errorRateAt = now
	}
	if r.Load != nil {
		at := now.Add(-max(r.Load.Age, 0))
		if at.After(s.reportAt) {
			s.report, s.reportAt = *r.Load, at
			s.report.ServiceTime = time.Duration(float64(s.report.ServiceTime) / size)
			s.applyCold(at, r.Load.ColdRemaining)
		}
		wait = s.observeWait(r, call.wait)
		s.use += (s.reportedUse() - s.use) * waitedWeight
	}
	s.Draining = s.Draining || r.Draining
	return wait
}

// observeWait records the wait of a call, or that which the report expects of a new one, and
// by how much it exceeds the expected wait. It returns the wait.
func (s *endpointState) observeWait(r Result, expected float64) float64 {
	if r.Load.Slowdown <= 0 {
		return 0
	}
	wait := r.Load.QueueWait.Seconds()
	if r.Ran > 0 {
		observed := max(r.Latency.Seconds()-s.networkRTT, 0) - s.runTime(r)
		s.waitError += (observed - expected - s.waitError) * waitedWeight
		wait = max(wait, observed)
	}
	s.waited += (wait - s.waited) * waitedWeight
	return wait
}

// runTime returns the time of a call at the backend server in seconds, or at the endpoint if
// that is unknown.
func (s *endpointState) runTime(r Result) float64 {
	t := max(r.Latency.Seconds()-s.networkRTT, 0)
	if r.Ran > 0 {
		return min(t, r.Ran.Seconds())
	}
	return t
}

// applyCold records how much longer the endpoint is cold. A report without a cold phase ends
// it.
func (s *endpointState) applyCold(at time.Time, left time.Duration) {
	if left > 0 || !s.coldUntil.IsZero() {
		s.coldUntil = at.Add(left)
	}
}

// beforeWarm reports whether an observation was made in a cold phase that has ended. It says
// nothing of the endpoint as it is now.
func (s *endpointState) beforeWarm(now, at time.Time) bool {
	return !s.coldUntil.IsZero() && at.Before(s.coldUntil) && !now.Before(s.coldUntil)
}

// observeLatency records a latency sample. Refusals are ignored: they are fast and say
// nothing about the execution time. The latency of a cancelled or failed call is a
// lower bound and is used only if it is above the average.
func (s *endpointState) observeLatency(now time.Time, r Result, size float64) {
	if r.Kind == Refused || r.Kind == Elsewhere || s.overlapsOutage(now, r) {
		return
	}
	sample := s.runTime(r) / size
	known := !s.latencyAt.IsZero() && !s.beforeWarm(now, s.latencyAt)
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

// recordForEjection updates the failure counters and reports whether the endpoint
// should be ejected.
func (s *endpointState) recordForEjection(cfg *Config, k ResultKind) bool {
	if k == Cancelled || k == Elsewhere {
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
		s.results >= minResults && s.failureRate > cfg.EjectRate
}
