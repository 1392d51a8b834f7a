package admission

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// slowFrom10To20 makes requests take ten times as long from 10 s to 20 s.
func slowFrom10To20(t time.Duration) float64 {
	if t >= 10*time.Second && t < 20*time.Second {
		return 10
	}
	return 1
}

// alwaysFullLimit is a limiter whose backend server always reports full utilization.
type alwaysFullLimit struct{ *limiter }

func (l alwaysFullLimit) done(now time.Time, running int, r Result, latency time.Duration) {
	l.setReportedUtilization(now, 1)
	l.limiter.done(now, running, r, latency)
}

func newAlgorithm(name string) limitAlgorithm {
	l := newLimiter(Config{}.withDefaults(), epoch)
	switch name {
	case "gradient":
		return &gradientLimit{meanWindow{limit: DefaultInitialLimit}}
	case "aimd":
		return &aimdLimit{meanWindow{limit: DefaultInitialLimit}}
	case "verified, false load report":
		return alwaysFullLimit{&l}
	}
	return &l
}

const modelSeeds = 3

// figures are means over seeds. Throughput is relative to the capacity of the backend
// server, limits to its slots, and latency to its service time.
type figures struct {
	start, steady, slowdown, after float64 // throughput
	steadyLimit, afterLimit        float64
	slowdownMinLimit               float64 // lowest limit while the downstream service is slow
	steadyLatency                  float64
}

func measure(algorithm, kind string, slots int) (f figures) {
	const serviceTime = 20 * time.Millisecond
	for seed := range uint64(modelSeeds) {
		start := &interval{from: 0, to: time.Second}
		steady := &interval{from: 2 * time.Second, to: 10 * time.Second}
		slowdown := &interval{from: 12 * time.Second, to: 20 * time.Second}
		after := &interval{from: 25 * time.Second, to: 40 * time.Second}
		b := &backendModel{slots: slots, serviceTime: serviceTime, kind: kind, slowdown: slowFrom10To20, rnd: rand.New(rand.NewPCG(seed, 2))}
		saturate(newAlgorithm(algorithm), b, []*interval{start, steady, slowdown, after})
		capacity, n := float64(slots)/serviceTime.Seconds()*modelSeeds, float64(slots)*modelSeeds
		f.start += start.throughput() / capacity
		f.steady += steady.throughput() / capacity
		f.slowdown += slowdown.throughput() / capacity
		f.after += after.throughput() / capacity
		f.steadyLimit += steady.meanLimit() / n
		f.afterLimit += after.meanLimit() / n
		f.slowdownMinLimit += float64(slowdown.minLimit) / n
		f.steadyLatency += steady.meanLatency() / serviceTime.Seconds() / modelSeeds
	}
	return f
}

func (f figures) String() string {
	return fmt.Sprintf("| %.2f | %.2f | %.2f | %.2f | %.2f | %.2f | %.3f | %.2f |",
		f.start, f.steady, f.steadyLimit, f.steadyLatency, f.slowdownMinLimit, f.slowdown, f.after, f.afterLimit)
}

// TestLimitFindsKnee guards against a limit that leaves slots of the backend server idle
// or overloads it, also if the backend server reports a false load, and against a limit
// that collapses while a downstream service is slow or does not recover afterwards.
func TestLimitFindsKnee(t *testing.T) {
	for _, kind := range []string{"queue", "shared", "async", "sheds"} {
		checkKnee(t, "verified", kind, 0.7)
	}
	checkKnee(t, "verified, false load report", "queue", 0.4)
}

func checkKnee(t *testing.T, algorithm, kind string, start float64) {
	for _, slots := range []int{15, 35, 100} {
		f := measure(algorithm, kind, slots)
		t.Logf("| %s | %s | %d %s", algorithm, kind, slots, f)
		name := fmt.Sprintf("%s %s %d: ", algorithm, kind, slots)
		atLeast(t, name+"throughput in the first second", f.start, start)
		atLeast(t, name+"steady throughput", f.steady, 0.9)
		atLeast(t, name+"throughput after the slowdown", f.after, 0.9)
		atLeast(t, name+"lowest limit during the slowdown", f.slowdownMinLimit, 0.3)
		// While requests take ten times as long, the slots sustain a tenth of the throughput.
		atLeast(t, name+"throughput during the slowdown", f.slowdown, 0.08)
		atLeast(t, name+"margin of the steady limit below 1.7 times the slots", 1.7-f.steadyLimit, 0)
		atLeast(t, name+"margin of the limit after the slowdown below 3.5 times the slots", 3.5-f.afterLimit, 0)
	}
}

// TestLimitBeatsAlternatives guards the choice of algorithm in
// docs/decisions/concurrency-limit.md: during a slowdown downstream it must have at least
// 1.5 times the throughput of the others. The log contains the table of that document.
func TestLimitBeatsAlternatives(t *testing.T) {
	for _, slots := range []int{15, 35, 100} {
		chosen := measure("verified", "queue", slots)
		t.Logf("| verified | queue | %d %s", slots, chosen)
		for _, other := range []string{"gradient", "aimd"} {
			f := measure(other, "queue", slots)
			t.Logf("| %s | queue | %d %s", other, slots, f)
			atLeast(t, fmt.Sprintf("%d slots, slowdown, verified against %s", slots, other), chosen.slowdown, 1.5*f.slowdown)
		}
	}
}

// completeRequests ends n requests with the given latency, one after the other, while
// running requests are at the backend server. It returns the time of the last end.
func completeRequests(l *limiter, now time.Time, n, running int, latency time.Duration) time.Time {
	for range n {
		now = now.Add(latency / time.Duration(running))
		l.advance(now, running)
		l.done(now, running-1, Served, latency)
	}
	return now
}

// TestSlowdownInStartupKeepsTheLimit guards against a limit that collapses if a downstream
// service becomes slow during the startup phase. The latency then does not show that the
// limit is too high.
func TestSlowdownInStartupKeepsTheLimit(t *testing.T) {
	l := newLimiter(Config{}.withDefaults(), epoch)
	now := completeRequests(&l, epoch, startupSamples, l.currentLimit(), 20*time.Millisecond)
	now = completeRequests(&l, now, 10*startupSamples, 12, 20*time.Millisecond)
	if l.phase != startup || l.currentLimit() != 16 {
		t.Fatalf("phase %d, limit %d before the slowdown, want startup with limit 16", l.phase, l.currentLimit())
	}
	completeRequests(&l, now, 2*startupSamples, l.currentLimit(), 200*time.Millisecond)
	atLeast(t, "limit after the slowdown began", float64(l.currentLimit()), 12)
}

// TestRecoveryEndsProbe guards against a limit that stays cut if a slowdown ends during a
// probe. Latency is then low, and the limit may no longer be reached.
func TestRecoveryEndsProbe(t *testing.T) {
	l := newLimiter(Config{}.withDefaults(), epoch)
	l.phase, l.limit, l.baseline = probing, 10, 0.02
	l.reference, l.referenceLimit = sample{running: 17, throughput: 70, latency: 0.24}, 17
	completeRequests(&l, epoch, 2*verifySamples, 7, 20*time.Millisecond)
	atLeast(t, "limit after the slowdown", float64(l.currentLimit()), 17)
}

// TestTimeoutsLowerTheLimit guards against a limit that stays so high that every request
// times out. Latency and throughput then do not show the overload.
func TestTimeoutsLowerTheLimit(t *testing.T) {
	l := newLimiter(Config{}.withDefaults(), epoch)
	l.limit = 200
	b := &backendModel{slots: 15, serviceTime: 20 * time.Millisecond, kind: "thrashes", slowdown: slowFrom10To20, rnd: rand.New(rand.NewPCG(1, 2))}
	s := &interval{from: 5 * time.Second, to: 10 * time.Second}
	saturate(&l, b, []*interval{s})
	atLeast(t, "throughput", s.throughput()*b.serviceTime.Seconds()/15, 0.85)
}

func atLeast(t *testing.T, what string, got, want float64) {
	t.Helper()
	if got < want {
		t.Errorf("%s is %.3f, want at least %.3f", what, got, want)
	}
}
