package admission

import (
	"math"
	"time"
)

const (
	// overRatio is the latency, relative to the baseline, at which overload is
	// suspected; below growRatio there is headroom. At a backend server that
	// queues beyond its slots, the limit settles near 1.25 times the slots,
	// which keeps every slot busy between two decisions. With 1.5, noise caused
	// so many probes that 15 slots lost 5 to 12 % of their throughput.
	overRatio = 1.75
	growRatio = 1.25

	// firstCut is the part of the limit that each of the first two cuts of a
	// probe keeps, furtherCut that of later ones. A limit that was nearly right
	// loses little throughput, one that was far off comes down fast.
	firstCut   = 0.75
	furtherCut = 0.6

	// A cut went below the knee if throughput fell with elasticity above
	// kneeElasticity or to less than kneeLoss of its value before. Above the
	// knee calls merely queue, and a cut costs no throughput.
	kneeElasticity = 0.5
	kneeLoss       = 0.8
	// changedGain ends a probe: no cut raises throughput this much, so
	// something else changed and the anchor is void.
	changedGain = 1.25

	// Growth per window once the knee was seen; doubled after each step.
	minGrowth = 0.05
	maxGrowth = 0.25

	// startupGrowth applies until the first sign of overload; hintGrowth
	// instead while the backend server reports that it is nearly full.
	startupGrowth = 1.0
	hintGrowth    = 0.25
	// startupGain is the gain in throughput from one such step that shows
	// headroom even if the latency of the few samples seems high.
	startupGain = 1.4

	// Completions per window. With exponential service times the mean of n
	// samples has a relative error of 1/sqrt(n): 18 %, 13 % and 7 %.
	startupSamples = 32
	steadySamples  = 60
	verifySamples  = 200
	// A slow window closes after slowWindow if it has minSamples.
	minSamples = 30
	slowWindow = time.Second

	// saturatedPart is the part of a window in which the limit must bind for
	// the window to show an overload. bindingPart is enough to grow, so that a
	// limit that only bursts reach does not stay too low.
	saturatedPart = 0.8
	bindingPart   = 0.1
	// refusedPart of calls shed by the backend server raises a suspicion.
	refusedPart = 0.1

	// quietAfterVerdict keeps a lying signal from causing probe after probe.
	quietAfterVerdict = time.Second
	// baselineAge is how long a baseline is trusted under saturation. When a
	// slow service behind recovers, calls may by then queue here for as long as
	// they waited there, and latency alone shows no change.
	baselineAge = 10 * time.Second

	// hintFull is the reported utilization that slows growth, hintAge the time
	// for which a report is believed.
	hintFull = 0.9
	hintAge  = time.Second

	maxSettle = 2 * time.Second
)

type phase uint8

const (
	startup phase = iota // doubling until the first sign of overload
	steady               // small steps
	suspect              // latency is high; measuring precisely before the cut
	probing              // limit was cut; measuring what the cut did
)

// sample summarizes one window. By Little's law latency = running/throughput,
// which, unlike a mean over completed calls, also counts calls that hang.
type sample struct {
	running    float64 // mean number of running calls
	throughput float64 // served calls per second
	latency    float64 // seconds
	refused    float64 // part of the calls that the backend server shed
	full       float64 // part of the time at the limit
}

// window accumulates a sample.
type window struct {
	start, last time.Time
	busy        float64 // integral of running calls, in call seconds
	full        float64 // seconds at the limit
	served      int
	censored    int // timed out: latency is at least the running time
	refused     int
}

// limiter learns the concurrency limit. See the package comment.
type limiter struct {
	minLimit, maxLimit, initial float64

	limit      float64
	phase      phase
	settle     bool // waiting for calls admitted under the previous limit to leave
	settleTill time.Time
	window     window

	baseline   float64 // latency without queueing, in seconds; 0 if unknown
	baselineAt time.Time
	growth     float64
	proven     float64 // most running calls of a window in which nothing queued

	anchor      sample // measured before the first cut
	anchorLimit float64
	previous    float64 // throughput of the previous window
	quietTill   time.Time

	reported   float64
	reportedAt time.Time
}

func newLimiter(cfg Config, now time.Time) limiter {
	l := limiter{
		minLimit: float64(cfg.MinLimit),
		maxLimit: float64(cfg.MaxLimit),
		initial:  float64(cfg.InitialLimit),
	}
	l.restart(now)
	return l
}

// restart forgets what was learned from the previous backend server process.
func (l *limiter) restart(now time.Time) {
	l.limit, l.phase, l.growth = l.initial, startup, minGrowth
	l.baseline, l.baselineAt, l.proven = 0, now, 0
	l.quietTill = time.Time{}
	l.begin(now)
}

func (l *limiter) begin(now time.Time) {
	l.window = window{start: now, last: now}
}

func (l *limiter) slots() int { return int(l.limit) }

// report takes the backend server's own utilization, between 0 and 1. It only
// slows growth, so that a report that lags or lies can't cost throughput.
func (l *limiter) report(now time.Time, utilization float64) {
	l.reported, l.reportedAt = utilization, now
}

func (l *limiter) reportedFull(now time.Time) bool {
	return l.reported >= hintFull && now.Sub(l.reportedAt) <= hintAge
}

// advance accounts for the time since the previous event, in which running
// calls were at the backend server. It must precede each change of running.
func (l *limiter) advance(now time.Time, running int) {
	w := &l.window
	dt := now.Sub(w.last).Seconds()
	if dt <= 0 {
		return
	}
	w.last = now
	w.busy += dt * float64(running)
	if running >= l.slots() {
		w.full += dt
	}
}

// done accounts for a call that left the backend server after took.
func (l *limiter) done(now time.Time, running int, r Result, took time.Duration) {
	w := &l.window
	switch {
	case r == Served:
		w.served++
	case r == TimedOut && took.Seconds() >= l.baseline:
		w.censored++
	default:
		if r == Refused {
			w.refused++
		}
		w.busy = max(0, w.busy-min(took, now.Sub(w.start)).Seconds())
	}
	if l.settle {
		if running <= l.slots() && !now.Before(l.settleTill) {
			l.settle = false
			l.begin(now)
		}
		return
	}
	if l.windowFull(now) {
		s := w.sample()
		l.begin(now)
		l.decide(now, s)
	}
}

func (l *limiter) windowFull(now time.Time) bool {
	n := l.window.served + l.window.censored
	need := l.need()
	return n >= need || n >= min(need, minSamples) && now.Sub(l.window.start) >= slowWindow
}

// need is the number of completions that close a window. It grows with the
// limit so that a window lasts at least one latency.
func (l *limiter) need() int {
	switch l.phase {
	case startup:
		return max(startupSamples, l.slots())
	case steady:
		return max(steadySamples, 2*l.slots())
	default:
		return max(verifySamples, 3*l.slots())
	}
}

func (w *window) sample() sample {
	seconds := max(w.last.Sub(w.start).Seconds(), time.Microsecond.Seconds())
	n := float64(w.served + w.censored)
	return sample{
		running:    w.busy / seconds,
		throughput: float64(w.served) / seconds,
		latency:    w.busy / n,
		refused:    float64(w.refused) / (n + float64(w.refused)),
		full:       w.full / seconds,
	}
}

// decide moves the limit according to one window.
func (l *limiter) decide(now time.Time, s sample) {
	if s.throughput == 0 {
		l.backOff(now, s)
		return
	}
	l.learnBaseline(now, s)
	ratio := s.latency / l.baseline
	if ratio < growRatio {
		l.proven = max(l.proven, s.running)
	}
	defer func() { l.previous = s.throughput }()
	switch {
	case s.full < saturatedPart:
		l.demandGone(s, ratio)
		if s.full >= bindingPart && ratio < growRatio && s.refused <= refusedPart {
			l.grow(now, s, ratio)
		}
	case l.phase == startup:
		l.start(now, s, ratio)
	case l.phase == steady:
		l.steer(now, s, ratio)
	case l.phase == suspect:
		l.confirm(now, s, ratio)
	default:
		l.judge(now, s)
	}
}

// backOff handles a window in which every call timed out. It has no throughput
// to compare, and its latency is that of the deadlines. If calls queue here, the
// limit must fall for any of them to be served; if they hang elsewhere, nothing
// is lost. The initial limit is the floor, so that recovery does not start at
// nothing.
func (l *limiter) backOff(now time.Time, s sample) {
	l.phase, l.growth, l.previous = steady, minGrowth, 0
	l.set(now, max(l.limit/2, min(l.limit, l.initial)), s)
}

// learnBaseline lowers the baseline towards faster windows, and follows the
// latency both ways while most of the limit is unused, since nothing queues
// then. Under saturation only a verified cut may raise it: otherwise baseline
// and limit would chase each other upwards.
func (l *limiter) learnBaseline(now time.Time, s sample) {
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

// demandGone ends a probe that can't be judged because the limit stopped
// binding. A cut that ended the high latency stays, unless throughput rose so
// much that the end of a slowdown must have done it.
func (l *limiter) demandGone(s sample, ratio float64) {
	changed := s.throughput > l.anchor.throughput*changedGain
	if l.phase == probing && (ratio > overRatio || changed) {
		l.limit = l.anchorLimit
	}
	if l.phase != startup {
		l.phase = steady
	}
}

// start doubles the limit until the backend server sheds calls or latency rises.
// It then goes back to the number of calls that were served at once, or that the
// measured throughput sustains at the baseline latency.
// If that is less than once ran without queueing, queueing here does not explain
// the latency: a service may have become slow, and only a probe can tell.
func (l *limiter) start(now time.Time, s sample, ratio float64) {
	if s.refused > refusedPart {
		l.phase = steady
		l.set(now, s.running, s)
		return
	}
	if ratio > overRatio && s.throughput < l.previous*startupGain {
		needed := s.running / ratio * growRatio
		if needed < l.proven {
			l.phase = suspect
			return
		}
		l.phase = steady
		l.set(now, needed, s)
		return
	}
	l.grow(now, s, ratio)
}

// grow takes the next step up.
func (l *limiter) grow(now time.Time, s sample, ratio float64) {
	full := l.reportedFull(now)
	if l.phase == startup {
		growth := startupGrowth
		if full {
			growth = hintGrowth
		}
		l.set(now, l.limit*(1+growth), s)
		return
	}
	headroom := min(1, (growRatio-ratio)/(growRatio-1))
	step := l.limit * l.growth * headroom
	if full {
		step = 0
	}
	l.growth = min(2*l.growth, maxGrowth)
	l.set(now, l.limit+max(1, step), s)
}

func (l *limiter) steer(now time.Time, s sample, ratio float64) {
	quiet := now.Before(l.quietTill)
	stale := now.Sub(l.baselineAt) > baselineAge
	switch {
	case !quiet && (ratio > overRatio || s.refused > refusedPart || stale):
		l.phase = suspect
	case ratio < growRatio && s.refused <= refusedPart:
		l.grow(now, s, ratio)
	default:
		l.growth = minGrowth
	}
}

// confirm repeats the measurement with more samples at an unchanged limit. The
// window that raised the suspicion may span the start of a slowdown, and its
// throughput would be a wrong anchor.
func (l *limiter) confirm(now time.Time, s sample, ratio float64) {
	stale := now.Sub(l.baselineAt) > baselineAge
	if ratio <= overRatio && s.refused <= refusedPart && !stale {
		l.phase = steady
		return
	}
	l.anchor, l.anchorLimit = s, l.limit
	l.phase, l.growth = probing, minGrowth
	l.set(now, l.limit*firstCut, s)
}

// judge cuts on until throughput falls. The latency is then that of a backend
// server that does not queue, and by Little's law the throughput before the
// cuts needs this latency times that throughput in concurrent calls.
func (l *limiter) judge(now time.Time, s sample) {
	if s.throughput > l.anchor.throughput*changedGain {
		l.phase = steady
		l.set(now, l.anchorLimit, s)
		return
	}
	if !l.belowKnee(s) && l.limit > l.minLimit {
		cut := furtherCut
		if l.limit > l.anchorLimit*firstCut*0.9 {
			cut = firstCut
		}
		l.set(now, l.limit*cut, s)
		return
	}
	l.phase, l.baseline, l.baselineAt = steady, s.latency, now
	l.quietTill = now.Add(quietAfterVerdict)
	knee := max(l.anchor.throughput*s.latency, s.running)
	l.set(now, min(knee*growRatio, l.anchorLimit), s)
}

func (l *limiter) belowKnee(s sample) bool {
	kept := s.throughput / l.anchor.throughput
	elasticity := math.Log(kept) / math.Log(s.running/l.anchor.running)
	return kept < kneeLoss || elasticity > kneeElasticity
}

// set changes the limit. Calls admitted under the previous limit need about one
// latency to leave; what they say is ignored.
func (l *limiter) set(now time.Time, limit float64, s sample) {
	l.limit = min(max(limit, l.minLimit), l.maxLimit)
	settle := min(time.Duration(s.latency*float64(time.Second)), maxSettle)
	l.settle, l.settleTill = true, now.Add(settle)
}
