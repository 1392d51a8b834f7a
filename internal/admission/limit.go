package admission

import (
	"math"
	"time"
)

const (
	// overloadRatio is the latency, relative to the baseline, above which an overload
	// is suspected. With 1.5, noise caused so many probes that a backend server with
	// 15 slots lost 5 to 12 % of its throughput.
	//
	// Below headroomRatio the limit may grow. At a backend server that queues requests
	// beyond its slots, the limit settles near 1.25 times the slots, which keeps every
	// slot busy between two adjustments.
	overloadRatio = 1.75
	headroomRatio = 1.25

	// The first two cuts of a probe each multiply the limit by firstCutFactor, later
	// ones by furtherCutFactor. This costs little throughput if the limit was nearly
	// right, and lowers it fast if it was far too high.
	firstCutFactor   = 0.75
	furtherCutFactor = 0.6

	// A cut went below the knee if the elasticity of throughput with respect to
	// concurrency exceeds kneeElasticity, or if throughput fell below
	// kneeThroughputRatio times its value before the probe. Above the knee, requests
	// only queue, and a cut costs no throughput.
	kneeElasticity      = 0.5
	kneeThroughputRatio = 0.8
	// A probe ends if throughput exceeds externalChangeGain times its value before the
	// probe. No cut raises throughput this much, so something else has changed and the
	// two can't be compared.
	externalChangeGain = 1.25

	// Bounds of the relative growth per window after the startup phase. It doubles
	// with each step.
	minGrowth = 0.05
	maxGrowth = 0.25

	// startupGrowth is the relative growth per window in the startup phase, and
	// startupGrowthNearFull replaces it while the backend server reports that it is
	// nearly full.
	startupGrowth         = 1.0
	startupGrowthNearFull = 0.25
	// In the startup phase, a step that multiplies throughput by startupHeadroomGain
	// shows headroom even if latency seems high, since the samples are few.
	startupHeadroomGain = 1.4

	// Least number of completed requests in a window, by phase. With exponentially
	// distributed service times the mean of n samples has a relative error of
	// 1/sqrt(n): 18 %, 13 % and 7 %.
	startupSamples = 32
	steadySamples  = 60
	verifySamples  = 200
	// A window also closes after slowWindowTime if it has slowWindowSamples.
	slowWindowSamples = 30
	slowWindowTime    = time.Second

	// saturatedFraction is the fraction of a window in which the limit must be reached
	// for the window to show an overload. For the limit to grow, bindingFraction is
	// enough: otherwise a limit that only bursts reach would stay too low.
	saturatedFraction = 0.8
	bindingFraction   = 0.1
	// An overload is suspected if the backend server refuses more than
	// maxRefusedFraction of the requests.
	maxRefusedFraction = 0.1

	// probeCooldown is the time after a probe in which none follows. It prevents
	// continuous probes due to a signal that is always wrong.
	probeCooldown = time.Second
	// maxBaselineAge is the age at which a baseline must be measured again under
	// saturation. When a slow downstream service recovers, requests may queue at this
	// backend server for as long as they waited downstream before, and latency alone
	// shows no change.
	maxBaselineAge = 10 * time.Second

	// nearFullUtilization is the reported utilization that slows growth. Reports
	// older than maxReportAge are ignored.
	nearFullUtilization = 0.9
	maxReportAge        = time.Second

	// After a change of the limit, requests are not measured for about their latency,
	// but at most maxSettleTime, or longer while more of them run than the limit allows.
	maxSettleTime = 2 * time.Second
)

type phase uint8

const (
	startup    phase = iota // the limit doubles until the first sign of overload
	steady                  // the limit grows in small steps
	confirming              // an overload is suspected; measured again before the limit is cut
	probing                 // the limit was cut; the effect is measured
)

// sample summarizes one window. Latency follows from Little's law as running divided
// by throughput. Unlike the mean over completed requests, this includes requests that
// hang.
type sample struct {
	running         float64 // mean number of running requests
	throughput      float64 // served requests per second
	latency         float64 // seconds
	refusedFraction float64 // fraction of the requests that the backend server refused
	atLimitFraction float64 // fraction of the time in which the limit was reached
}

// window collects the measurements for one sample.
type window struct {
	start, advancedAt time.Time
	runningTime       float64 // integral of the number of running requests, in request seconds
	atLimitTime       float64 // seconds in which the limit was reached
	served            int
	censored          int // timed out: the running time is a lower bound of the latency
	refused           int
}

// limiter learns the concurrency limit by the method in the package comment.
type limiter struct {
	minLimit, maxLimit, initialLimit float64

	limit       float64
	phase       phase
	settling    bool // waiting until requests admitted under the previous limit have left
	settleUntil time.Time
	window      window

	baseline    float64 // latency without queueing, in seconds; 0 if unknown
	baselineAt  time.Time
	growth      float64 // relative growth of the next step in the steady phase
	maxUnqueued float64 // highest mean concurrency of a window in which nothing queued

	reference          sample  // window before the first cut of a probe
	referenceLimit     float64 // limit before the first cut
	previousThroughput float64 // throughput of the previous window
	noProbeUntil       time.Time

	reportedUtilization float64
	reportedAt          time.Time
}

func newLimiter(cfg Config, now time.Time) limiter {
	l := limiter{
		minLimit:     float64(cfg.MinLimit),
		maxLimit:     float64(cfg.MaxLimit),
		initialLimit: float64(cfg.InitialLimit),
	}
	l.reset(now)
	return l
}

// reset discards what was learned from the previous process of the backend server.
func (l *limiter) reset(now time.Time) {
	l.limit, l.phase, l.growth = l.initialLimit, startup, minGrowth
	l.baseline, l.baselineAt, l.maxUnqueued = 0, now, 0
	l.noProbeUntil = time.Time{}
	l.startWindow(now)
}

func (l *limiter) startWindow(now time.Time) {
	l.window = window{start: now, advancedAt: now}
}

func (l *limiter) currentLimit() int { return int(l.limit) }

// setReportedUtilization records the utilization that the backend server reports,
// between 0 and 1. It only slows the growth of the limit, so that a late or wrong report
// costs no throughput.
func (l *limiter) setReportedUtilization(now time.Time, utilization float64) {
	l.reportedUtilization, l.reportedAt = utilization, now
}

func (l *limiter) reportedNearFull(now time.Time) bool {
	return l.reportedUtilization >= nearFullUtilization && now.Sub(l.reportedAt) <= maxReportAge
}

// advance adds the time since the previous call to the window. running is the number of
// running requests during that time, so advance must be called before each change of it.
func (l *limiter) advance(now time.Time, running int) {
	w := &l.window
	dt := now.Sub(w.advancedAt).Seconds()
	if dt <= 0 {
		return
	}
	w.advancedAt = now
	w.runningTime += dt * float64(running)
	if running >= l.currentLimit() {
		w.atLimitTime += dt
	}
}

// done records a request that has left the backend server after the given latency. running
// is the number of requests still there.
func (l *limiter) done(now time.Time, running int, r Result, latency time.Duration) {
	w := &l.window
	switch {
	case r == Served:
		w.served++
	case r == TimedOut && latency.Seconds() >= l.baseline:
		w.censored++
	default:
		if r == Refused {
			w.refused++
		}
		w.runningTime = max(0, w.runningTime-min(latency, now.Sub(w.start)).Seconds())
	}
	if l.settling {
		if running <= l.currentLimit() && !now.Before(l.settleUntil) {
			l.settling = false
			l.startWindow(now)
		}
		return
	}
	if l.windowFull(now) {
		s := w.sample()
		l.startWindow(now)
		l.adjust(now, s)
	}
}

func (l *limiter) windowFull(now time.Time) bool {
	n := l.window.served + l.window.censored
	need := l.samplesNeeded()
	return n >= need || n >= min(need, slowWindowSamples) && now.Sub(l.window.start) >= slowWindowTime
}

// samplesNeeded returns the number of completed requests that closes a window. It grows
// with the limit, so that a window lasts at least as long as a typical request.
func (l *limiter) samplesNeeded() int {
	switch l.phase {
	case startup:
		return max(startupSamples, l.currentLimit())
	case steady:
		return max(steadySamples, 2*l.currentLimit())
	default:
		return max(verifySamples, 3*l.currentLimit())
	}
}

func (w *window) sample() sample {
	seconds := max(w.advancedAt.Sub(w.start).Seconds(), time.Microsecond.Seconds())
	n := float64(w.served + w.censored)
	return sample{
		running:         w.runningTime / seconds,
		throughput:      float64(w.served) / seconds,
		latency:         w.runningTime / n,
		refusedFraction: float64(w.refused) / (n + float64(w.refused)),
		atLimitFraction: w.atLimitTime / seconds,
	}
}

// adjust sets limit and phase after a window.
func (l *limiter) adjust(now time.Time, s sample) {
	if s.throughput == 0 {
		l.backOff(now, s)
		return
	}
	l.updateBaseline(now, s)
	latencyRatio := s.latency / l.baseline
	if latencyRatio < headroomRatio {
		l.maxUnqueued = max(l.maxUnqueued, s.running)
	}
	defer func() { l.previousThroughput = s.throughput }()
	switch {
	case s.atLimitFraction < saturatedFraction:
		l.abandonProbe(s, latencyRatio)
		if s.atLimitFraction >= bindingFraction && latencyRatio < headroomRatio && s.refusedFraction <= maxRefusedFraction {
			l.grow(now, s, latencyRatio)
		}
	case l.phase == startup:
		l.adjustStartup(now, s, latencyRatio)
	case l.phase == steady:
		l.adjustSteady(now, s, latencyRatio)
	case l.phase == confirming:
		l.confirmOverload(now, s, latencyRatio)
	default:
		l.evaluateCut(now, s)
	}
}

// backOff handles a window in which every request timed out. It has no throughput
// to compare, and its latency shows only the deadlines. If requests queue at the backend
// server, the limit must fall before any of them is served; if they hang downstream, a
// lower limit costs nothing. The limit does not fall below its initial value, so that
// recovery does not start from the minimum.
func (l *limiter) backOff(now time.Time, s sample) {
	l.phase, l.growth, l.previousThroughput = steady, minGrowth, 0
	l.setLimit(now, max(l.limit/2, min(l.limit, l.initialLimit)), s)
}

// updateBaseline lowers the baseline towards the latency of faster windows. While at
// least half of the limit is unused, nothing queues, and the baseline also rises with
// the latency. Otherwise only a probe may raise it: a limit that is too high raises the
// latency, and a baseline that followed would let the limit grow further.
func (l *limiter) updateBaseline(now time.Time, s sample) {
	unused := s.running <= l.limit/2
	switch {
	case l.baseline == 0 || s.latency < l.baseline*0.6:
		l.baseline = s.latency
	case s.latency < l.baseline || unused:
		l.baseline += 0.2 * (s.latency - l.baseline)
	}
	if unused {
		l.baselineAt = now
	}
}

// abandonProbe ends a probe whose result can't be evaluated because the limit is no longer
// reached. If the latency is no longer high, the cut limit stays, unless throughput rose
// so much that the cause must be the end of a slowdown downstream.
func (l *limiter) abandonProbe(s sample, latencyRatio float64) {
	changed := s.throughput > l.reference.throughput*externalChangeGain
	if l.phase == probing && (latencyRatio > overloadRatio || changed) {
		l.limit = l.referenceLimit
	}
	if l.phase != startup {
		l.phase = steady
	}
}

// adjustStartup doubles the limit until the backend server refuses requests or latency
// rises. It then lowers the limit to the mean concurrency, or to what the measured
// throughput needs at the baseline latency. If that is less than the concurrency of an
// earlier window without queueing, queueing at the backend server does not explain the
// latency: a downstream service may have become slow, and only a probe can tell.
func (l *limiter) adjustStartup(now time.Time, s sample, latencyRatio float64) {
	if s.refusedFraction > maxRefusedFraction {
		l.phase = steady
		l.setLimit(now, s.running, s)
		return
	}
	if latencyRatio > overloadRatio && s.throughput < l.previousThroughput*startupHeadroomGain {
		needed := s.running / latencyRatio * headroomRatio
		if needed < l.maxUnqueued {
			l.phase = confirming
			return
		}
		l.phase = steady
		l.setLimit(now, needed, s)
		return
	}
	l.grow(now, s, latencyRatio)
}

// grow raises the limit by the step of the current phase.
func (l *limiter) grow(now time.Time, s sample, latencyRatio float64) {
	nearFull := l.reportedNearFull(now)
	if l.phase == startup {
		growth := startupGrowth
		if nearFull {
			growth = startupGrowthNearFull
		}
		l.setLimit(now, l.limit*(1+growth), s)
		return
	}
	headroom := min(1, (headroomRatio-latencyRatio)/(headroomRatio-1))
	step := l.limit * l.growth * headroom
	if nearFull {
		step = 0
	}
	l.growth = min(2*l.growth, maxGrowth)
	l.setLimit(now, l.limit+max(1, step), s)
}

func (l *limiter) adjustSteady(now time.Time, s sample, latencyRatio float64) {
	coolingDown := now.Before(l.noProbeUntil)
	stale := now.Sub(l.baselineAt) > maxBaselineAge
	switch {
	case !coolingDown && (latencyRatio > overloadRatio || s.refusedFraction > maxRefusedFraction || stale):
		l.phase = confirming
	case latencyRatio < headroomRatio && s.refusedFraction <= maxRefusedFraction:
		l.grow(now, s, latencyRatio)
	default:
		l.growth = minGrowth
	}
}

// confirmOverload starts a probe if the repeated measurement, with more samples at an
// unchanged limit, still shows an overload, or if the baseline is old. The window that
// caused the suspicion can't serve as the reference of the probe: a slowdown may have
// started in the middle of it, and its throughput would be wrong.
func (l *limiter) confirmOverload(now time.Time, s sample, latencyRatio float64) {
	stale := now.Sub(l.baselineAt) > maxBaselineAge
	if latencyRatio <= overloadRatio && s.refusedFraction <= maxRefusedFraction && !stale {
		l.phase = steady
		return
	}
	l.reference, l.referenceLimit = s, l.limit
	l.phase, l.growth = probing, minGrowth
	l.setLimit(now, l.limit*firstCutFactor, s)
}

// evaluateCut continues the cuts until throughput falls. The latency is then that of a
// backend server without a queue. By Little's law, the concurrency that the throughput
// before the cuts needs is this throughput times this latency.
func (l *limiter) evaluateCut(now time.Time, s sample) {
	if s.throughput > l.reference.throughput*externalChangeGain {
		l.phase = steady
		l.setLimit(now, l.referenceLimit, s)
		return
	}
	if !l.belowKnee(s) && l.limit > l.minLimit {
		cut := furtherCutFactor
		if l.limit > l.referenceLimit*firstCutFactor*0.9 {
			cut = firstCutFactor
		}
		l.setLimit(now, l.limit*cut, s)
		return
	}
	l.phase, l.baseline, l.baselineAt = steady, s.latency, now
	l.noProbeUntil = now.Add(probeCooldown)
	knee := max(l.reference.throughput*s.latency, s.running)
	l.setLimit(now, min(knee*headroomRatio, l.referenceLimit), s)
}

func (l *limiter) belowKnee(s sample) bool {
	throughputRatio := s.throughput / l.reference.throughput
	elasticity := math.Log(throughputRatio) / math.Log(s.running/l.reference.running)
	return throughputRatio < kneeThroughputRatio || elasticity > kneeElasticity
}

// setLimit changes the limit. Requests admitted under the previous limit are not measured.
// They need about the latency of the sample to leave.
func (l *limiter) setLimit(now time.Time, limit float64, s sample) {
	l.limit = min(max(limit, l.minLimit), l.maxLimit)
	settleTime := min(time.Duration(s.latency*float64(time.Second)), maxSettleTime)
	l.settling, l.settleUntil = true, now.Add(settleTime)
}
