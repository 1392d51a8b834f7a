package admission

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// limitAlgorithm is a concurrency limit that the model can run.
type limitAlgorithm interface {
	currentLimit() int
	advance(now time.Time, running int)
	done(now time.Time, running int, r Result, latency time.Duration)
}

var epoch = time.Unix(1_700_000_000, 0)

func at(d time.Duration) time.Time { return epoch.Add(d) }

// backendModel models a backend server with exponentially distributed service times. The
// kind tells what happens to requests beyond its slots:
//   - "queue": they wait in a queue.
//   - "shared": all requests become slower.
//   - "sheds": they are refused.
//   - "thrashes": they wait in a queue, but if more than twice as many requests run as
//     there are slots, further ones time out after 100 ms.
//   - "async": they wait in a queue, but no request holds a slot while it waits for a
//     downstream service.
type backendModel struct {
	slots       int
	serviceTime time.Duration
	kind        string
	slowdown    func(t time.Duration) float64 // factor on the mean time of a request; the extra time is spent downstream
	rnd         *rand.Rand

	freeAt []time.Duration // when each slot becomes free
}

// serve returns the completion of a request that arrives at t as the n-th running one.
func (b *backendModel) serve(t time.Duration, n int) completion {
	if b.freeAt == nil {
		b.freeAt = make([]time.Duration, b.slots)
	}
	downstream := time.Duration((b.slowdown(t) - 1) * float64(b.serviceTime) * b.rnd.ExpFloat64())
	own := time.Duration(float64(b.serviceTime) * b.rnd.ExpFloat64())
	if b.kind == "shared" {
		own = time.Duration(float64(own) * math.Max(1, float64(n)/float64(b.slots)))
		return completion{t, t + own + downstream, Served}
	}
	if b.kind == "thrashes" && n > 2*b.slots {
		return completion{t, t + 100*time.Millisecond, TimedOut}
	}
	first := slices.Index(b.freeAt, slices.Min(b.freeAt))
	begin := max(t, b.freeAt[first])
	if b.kind == "sheds" && begin > t {
		return completion{t, t + time.Millisecond, Refused}
	}
	b.freeAt[first] = begin + own
	if b.kind != "async" {
		b.freeAt[first] += downstream
	}
	return completion{t, begin + own + downstream, Served}
}

// completion is the end of a request on a backend server.
type completion struct {
	start, end time.Duration
	result     Result
}

// insertByEnd inserts a completion into a list ordered by end.
func insertByEnd(completions []completion, c completion) []completion {
	i, _ := slices.BinarySearchFunc(completions, c, func(a, b completion) int { return cmp.Compare(a.end, b.end) })
	return slices.Insert(completions, i, c)
}

// interval collects the figures of a part of a run.
type interval struct {
	from, to                  time.Duration
	minLimit, maxLimit        int
	limitIntegral, latencySum float64
	served                    int
}

func (i *interval) meanLimit() float64   { return i.limitIntegral / (i.to - i.from).Seconds() }
func (i *interval) throughput() float64  { return float64(i.served) / (i.to - i.from).Seconds() }
func (i *interval) meanLatency() float64 { return i.latencySum / float64(i.served) }

func (i *interval) record(c completion, since time.Duration, limit int) {
	if i.minLimit == 0 {
		i.minLimit = limit
	}
	i.minLimit, i.maxLimit = min(i.minLimit, limit), max(i.maxLimit, limit)
	i.limitIntegral += float64(limit) * (min(c.end, i.to) - max(since, i.from)).Seconds()
	if c.result == Served {
		i.latencySum += (c.end - c.start).Seconds()
		i.served++
	}
}

// saturate always sends as many requests as the limit allows, and fills the intervals.
func saturate(algorithm limitAlgorithm, b *backendModel, intervals []*interval) {
	var running []completion
	now, until := time.Duration(0), intervals[len(intervals)-1].to
	for now < until {
		for len(running) < algorithm.currentLimit() {
			running = insertByEnd(running, b.serve(now, len(running)+1))
		}
		c := running[0]
		running = running[1:]
		for _, i := range intervals {
			if c.end < i.from || now >= i.to {
				continue
			}
			i.record(c, now, algorithm.currentLimit())
		}
		now = c.end
		algorithm.advance(at(now), len(running)+1)
		algorithm.done(at(now), len(running), c.result, c.end-c.start)
	}
}

// meanWindow measures the mean latency of a window for the two algorithms that were not
// chosen.
type meanWindow struct {
	limit  float64
	n      int
	sum    float64
	recent []float64 // mean latencies of the last windows
}

func (m *meanWindow) currentLimit() int          { return max(2, min(1000, int(m.limit))) }
func (m *meanWindow) advance(_ time.Time, _ int) {}

func (m *meanWindow) add(latency time.Duration) (mean, lowest float64, full bool) {
	m.n++
	m.sum += latency.Seconds()
	if m.n < max(steadySamples, 2*m.currentLimit()) {
		return 0, 0, false
	}
	mean = m.sum / float64(m.n)
	m.n, m.sum = 0, 0
	m.recent = append(m.recent, mean)
	if len(m.recent) > 50 {
		m.recent = m.recent[1:]
	}
	lowest = m.recent[0]
	for _, v := range m.recent {
		lowest = min(lowest, v)
	}
	return mean, lowest, true
}

// gradientLimit follows the ratio of the lowest to the current mean latency, without
// probes.
type gradientLimit struct{ meanWindow }

func (g *gradientLimit) done(_ time.Time, _ int, _ Result, latency time.Duration) {
	if mean, lowest, full := g.add(latency); full {
		gradient := math.Max(0.5, math.Min(1, 1.25*lowest/mean))
		g.limit = float64(g.currentLimit())*gradient + math.Sqrt(float64(g.currentLimit()))
	}
}

// aimdLimit is additive increase and multiplicative decrease (AIMD) by queue delay.
type aimdLimit struct{ meanWindow }

func (a *aimdLimit) done(_ time.Time, _ int, _ Result, latency time.Duration) {
	if mean, lowest, full := a.add(latency); full {
		if mean-lowest > 0.5*lowest {
			a.limit = float64(a.currentLimit()) * 0.9
		} else {
			a.limit = float64(a.currentLimit()) + 1
		}
	}
}
