package admission

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// slowFrom10To20 makes calls ten times longer for ten seconds.
func slowFrom10To20(t time.Duration) float64 {
	if t >= 10*time.Second && t < 20*time.Second {
		return 10
	}
	return 1
}

// lyingLimit hears from its backend server all the time that it is full.
type lyingLimit struct{ *limiter }

func (l lyingLimit) done(now time.Time, running int, r Result, took time.Duration) {
	l.report(now, 1)
	l.limiter.done(now, running, r, took)
}

func newAlgo(name string) limitAlgo {
	l := newLimiter(Config{}.withDefaults(), epoch)
	switch name {
	case "gradient":
		return &gradientLimit{meanWindow{limit: DefaultInitialLimit}}
	case "aimd":
		return &aimdLimit{meanWindow{limit: DefaultInitialLimit}}
	case "verified, lying load":
		return lyingLimit{&l}
	}
	return &l
}

const modelSeeds = 3

// figures are means over seeds, relative to the capacity, the slots and the
// service time of the backend server.
type figures struct {
	start, steady, slow, after float64 // throughput
	steadyLimit, afterLimit    float64
	slowMin                    float64 // lowest limit while the service behind is slow
	steadyLatency              float64
}

func measure(algo, kind string, slots int) (f figures) {
	const service = 20 * time.Millisecond
	for seed := range uint64(modelSeeds) {
		start := &span{from: 0, to: time.Second}
		steady := &span{from: 2 * time.Second, to: 10 * time.Second}
		slow := &span{from: 12 * time.Second, to: 20 * time.Second}
		after := &span{from: 25 * time.Second, to: 40 * time.Second}
		b := &backend{slots: slots, service: service, kind: kind, slow: slowFrom10To20, rnd: rand.New(rand.NewPCG(seed, 2))}
		saturate(newAlgo(algo), b, []*span{start, steady, slow, after})
		capacity, n := float64(slots)/service.Seconds()*modelSeeds, float64(slots)*modelSeeds
		f.start += start.throughput() / capacity
		f.steady += steady.throughput() / capacity
		f.slow += slow.throughput() / capacity
		f.after += after.throughput() / capacity
		f.steadyLimit += steady.meanLimit() / n
		f.afterLimit += after.meanLimit() / n
		f.slowMin += float64(slow.minLimit) / n
		f.steadyLatency += steady.meanLatency() / service.Seconds() / modelSeeds
	}
	return f
}

func (f figures) String() string {
	return fmt.Sprintf("| %.2f | %.2f | %.2f | %.2f | %.2f | %.2f | %.3f | %.2f |",
		f.start, f.steady, f.steadyLimit, f.steadyLatency, f.slowMin, f.slow, f.after, f.afterLimit)
}

// TestLimitFindsKnee guards against a limit that starves the backend server or
// floods it, with and without a lying load report, and against one that
// collapses while a service behind is slow or does not come back afterwards.
func TestLimitFindsKnee(t *testing.T) {
	for _, kind := range []string{"queue", "shared", "async", "sheds"} {
		checkKnee(t, "verified", kind, 0.7)
	}
	checkKnee(t, "verified, lying load", "queue", 0.4)
}

func checkKnee(t *testing.T, algo, kind string, start float64) {
	for _, slots := range []int{15, 35, 100} {
		f := measure(algo, kind, slots)
		t.Logf("| %s | %s | %d %s", algo, kind, slots, f)
		name := fmt.Sprintf("%s %s %d: ", algo, kind, slots)
		atLeast(t, name+"throughput in the first second", f.start, start)
		atLeast(t, name+"steady throughput", f.steady, 0.9)
		atLeast(t, name+"throughput after the slowdown", f.after, 0.9)
		atLeast(t, name+"lowest limit during the slowdown", f.slowMin, 0.3)
		// The slots sustain a tenth while calls take ten times as long.
		atLeast(t, name+"throughput during the slowdown", f.slow, 0.08)
		atLeast(t, name+"room below 1.7 times the slots", 1.7-f.steadyLimit, 0)
		atLeast(t, name+"room below 3.5 times the slots after the slowdown", 3.5-f.afterLimit, 0)
	}
}

// TestLimitBeatsAlternatives guards the choice recorded in
// docs/decisions/concurrency-limit.md; its log is the table there.
func TestLimitBeatsAlternatives(t *testing.T) {
	for _, slots := range []int{15, 35, 100} {
		chosen := measure("verified", "queue", slots)
		t.Logf("| verified | queue | %d %s", slots, chosen)
		for _, other := range []string{"gradient", "aimd"} {
			f := measure(other, "queue", slots)
			t.Logf("| %s | queue | %d %s", other, slots, f)
			atLeast(t, fmt.Sprintf("%d slots, slowdown, verified against %s", slots, other), chosen.slow, 1.5*f.slow)
		}
	}
}

// feed ends n calls while running calls with a latency are at the backend server.
func feed(l *limiter, now time.Time, n, running int, latency time.Duration) time.Time {
	for range n {
		now = now.Add(latency / time.Duration(running))
		l.advance(now, running)
		l.done(now, running-1, Served, latency)
	}
	return now
}

// TestSlowdownInStartupKeepsTheLimit guards against a limit that collapses if a
// service becomes slow before demand has ended the startup. The latency is then
// no sign that the limit is too high.
func TestSlowdownInStartupKeepsTheLimit(t *testing.T) {
	l := newLimiter(Config{}.withDefaults(), epoch)
	now := feed(&l, epoch, startupSamples, l.slots(), 20*time.Millisecond)
	now = feed(&l, now, 10*startupSamples, 12, 20*time.Millisecond)
	if l.phase != startup || l.slots() != 16 {
		t.Fatalf("phase %d, limit %d before the slowdown, want startup with limit 16", l.phase, l.slots())
	}
	feed(&l, now, 2*startupSamples, l.slots(), 200*time.Millisecond)
	atLeast(t, "limit after the slowdown began", float64(l.slots()), 12)
}

// TestRecoveryEndsProbe guards against a cut that stays after a slowdown ended in
// the middle of the probe. Latency is then low, and the limit may no longer bind.
func TestRecoveryEndsProbe(t *testing.T) {
	l := newLimiter(Config{}.withDefaults(), epoch)
	l.phase, l.limit, l.baseline = probing, 10, 0.02
	l.anchor, l.anchorLimit = sample{running: 17, throughput: 70, latency: 0.24}, 17
	feed(&l, epoch, 2*verifySamples, 7, 20*time.Millisecond)
	atLeast(t, "limit after the slowdown", float64(l.slots()), 17)
}

// TestTimeoutsLowerTheLimit guards against a limit that stays where no call is
// served, since latency and throughput then show nothing.
func TestTimeoutsLowerTheLimit(t *testing.T) {
	l := newLimiter(Config{}.withDefaults(), epoch)
	l.limit = 200
	b := &backend{slots: 15, service: 20 * time.Millisecond, kind: "thrashes", slow: slowFrom10To20, rnd: rand.New(rand.NewPCG(1, 2))}
	s := &span{from: 5 * time.Second, to: 10 * time.Second}
	saturate(&l, b, []*span{s})
	atLeast(t, "throughput", s.throughput()*b.service.Seconds()/15, 0.85)
}

func atLeast(t *testing.T, what string, got, want float64) {
	t.Helper()
	if got < want {
		t.Errorf("%s is %.3f, want at least %.3f", what, got, want)
	}
}
