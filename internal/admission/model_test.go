package admission

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// limitAlgo is what the model needs of a concurrency limit.
type limitAlgo interface {
	slots() int
	advance(now time.Time, running int)
	done(now time.Time, running int, r Result, took time.Duration)
}

var epoch = time.Unix(1_700_000_000, 0)

func at(d time.Duration) time.Time { return epoch.Add(d) }

// backend models a backend server with exponential service times. Its kinds:
// "queue" holds calls beyond its slots in a queue, "shared" slows all of them
// down, "sheds" refuses them, "thrashes" serves none if there are twice as many,
// within a deadline of 100 ms; "async" queues, but calls hold no slot while they
// wait for the service behind.
type backend struct {
	slots   int
	service time.Duration
	kind    string
	slow    func(t time.Duration) float64 // factor on the time of a call, spent in the service behind
	rnd     *rand.Rand

	free []time.Duration // when each slot is free
}

// serve returns the end of a call that arrives at t as the n-th running one.
func (b *backend) serve(t time.Duration, n int) callEnd {
	if b.free == nil {
		b.free = make([]time.Duration, b.slots)
	}
	behind := time.Duration((b.slow(t) - 1) * float64(b.service) * b.rnd.ExpFloat64())
	own := time.Duration(float64(b.service) * b.rnd.ExpFloat64())
	if b.kind == "shared" {
		own = time.Duration(float64(own) * math.Max(1, float64(n)/float64(b.slots)))
		return callEnd{t, t + own + behind, Served}
	}
	if b.kind == "thrashes" && n > 2*b.slots {
		return callEnd{t, t + 100*time.Millisecond, TimedOut}
	}
	first := slices.Index(b.free, slices.Min(b.free))
	begin := max(t, b.free[first])
	if b.kind == "sheds" && begin > t {
		return callEnd{t, t + time.Millisecond, Refused}
	}
	b.free[first] = begin + own
	if b.kind != "async" {
		b.free[first] += behind
	}
	return callEnd{t, begin + own + behind, Served}
}

type callEnd struct {
	start, end time.Duration
	result     Result
}

// insert keeps the calls in order of their ends.
func insert(calls []callEnd, c callEnd) []callEnd {
	i, _ := slices.BinarySearchFunc(calls, c, func(a, b callEnd) int { return cmp.Compare(a.end, b.end) })
	return slices.Insert(calls, i, c)
}

// span summarizes a part of a run.
type span struct {
	from, to           time.Duration
	minLimit, maxLimit int
	limitTime, latency float64
	served             int
}

func (s *span) meanLimit() float64   { return s.limitTime / (s.to - s.from).Seconds() }
func (s *span) throughput() float64  { return float64(s.served) / (s.to - s.from).Seconds() }
func (s *span) meanLatency() float64 { return s.latency / float64(s.served) }

func (s *span) note(c callEnd, since time.Duration, limit int) {
	if s.minLimit == 0 {
		s.minLimit = limit
	}
	s.minLimit, s.maxLimit = min(s.minLimit, limit), max(s.maxLimit, limit)
	s.limitTime += float64(limit) * (min(c.end, s.to) - max(since, s.from)).Seconds()
	if c.result == Served {
		s.latency += (c.end - c.start).Seconds()
		s.served++
	}
}

// saturate offers as many calls as the limit lets through and fills the spans.
func saturate(algo limitAlgo, b *backend, spans []*span) {
	var calls []callEnd
	now, until := time.Duration(0), spans[len(spans)-1].to
	for now < until {
		for len(calls) < algo.slots() {
			calls = insert(calls, b.serve(now, len(calls)+1))
		}
		c := calls[0]
		calls = calls[1:]
		for _, s := range spans {
			if c.end < s.from || now >= s.to {
				continue
			}
			s.note(c, now, algo.slots())
		}
		now = c.end
		algo.advance(at(now), len(calls)+1)
		algo.done(at(now), len(calls), c.result, c.end-c.start)
	}
}

// meanWindow is the measurement shared by the two rejected algorithms.
type meanWindow struct {
	limit  float64
	n      int
	sum    float64
	recent []float64 // means of the last windows
}

func (m *meanWindow) slots() int                 { return max(2, min(1000, int(m.limit))) }
func (m *meanWindow) advance(_ time.Time, _ int) {}

func (m *meanWindow) add(took time.Duration) (mean, lowest float64, full bool) {
	m.n++
	m.sum += took.Seconds()
	if m.n < max(steadySamples, 2*m.slots()) {
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

// gradientLimit is the gradient on the windowed minimum, without verification.
type gradientLimit struct{ meanWindow }

func (g *gradientLimit) done(_ time.Time, _ int, _ Result, took time.Duration) {
	if mean, lowest, full := g.add(took); full {
		gradient := math.Max(0.5, math.Min(1, 1.25*lowest/mean))
		g.limit = float64(g.slots())*gradient + math.Sqrt(float64(g.slots()))
	}
}

// aimdLimit is additive increase, multiplicative decrease on queue delay.
type aimdLimit struct{ meanWindow }

func (a *aimdLimit) done(_ time.Time, _ int, _ Result, took time.Duration) {
	if mean, lowest, full := a.add(took); full {
		if mean-lowest > 0.5*lowest {
			a.limit = float64(a.slots()) * 0.9
		} else {
			a.limit = float64(a.slots()) + 1
		}
	}
}
