// Package dependency learns which calls a backend server makes for each kind of
// request that it runs.
//
// The calls that a backend server makes carry no mark of the request that they
// belong to, and several kinds of requests run beside each other. The number of
// calls in a span of time is, however, the sum over the kinds of the requests run
// in it, each times the calls that one such request makes. A Learner counts both
// and solves for the calls a request by least squares, with no result below zero,
// over spans that lose weight as they age.
//
// # Load pattern
//
// A service in the depth is tight. Requests of one kind need it, and requests of
// another kind at the same backend servers do not. Refusing both early would
// refuse work that could be done.
package dependency

import (
	"time"
)

const (
	// span is the length of one count. Requests run for up to a quarter of a
	// second, and those that cross the border of a span blur the counts.
	span = 500 * time.Millisecond
	// keep is the weight that a count keeps from span to span: half after 7 s.
	keep = 0.95
	// maxKinds bounds the kinds of requests and the kinds of calls.
	maxKinds = 32
	// rounds of coordinate descent. Kinds are few and counts nearly independent.
	rounds = 20
	// ridge pulls the result of rare kinds to zero, in requests squared a span.
	ridge = 2.0
	// dependsFrom is the number of calls a request above which the kind counts as
	// depending on them.
	dependsFrom = 0.3
)

// Estimator learns from the counts at one backend server. It is not safe for
// concurrent use.
type Estimator struct {
	kinds map[string]int // index of a kind of request
	calls map[string]int // index of a kind of call

	until    time.Time // end of the present span
	requests [maxKinds]float64
	made     [maxKinds]float64

	gram  [maxKinds][maxKinds]float64 // of requests with requests
	cross [maxKinds][maxKinds]float64 // of calls with requests
	per   [maxKinds][maxKinds]float64 // calls a request, by kind of call
}

// NewEstimator returns a learner that knows nothing.
func NewEstimator() *Estimator {
	return &Estimator{kinds: map[string]int{}, calls: map[string]int{}}
}

// RequestStarted counts half a request of a kind.
func (l *Estimator) RequestStarted(now time.Time, kind string) { l.count(now, kind) }

// RequestEnded counts the other half.
func (l *Estimator) RequestEnded(now time.Time, kind string) { l.count(now, kind) }

func (l *Estimator) count(now time.Time, kind string) {
	l.advance(now)
	if i, ok := index(l.kinds, kind); ok {
		l.requests[i] += 0.5
	}
}

// CallMade counts a call that the backend server makes.
func (l *Estimator) CallMade(now time.Time, call string) {
	l.advance(now)
	if i, ok := index(l.calls, call); ok {
		l.made[i]++
	}
}

// CallsPerRequest returns how many such calls a request of the kind makes on average.
func (l *Estimator) CallsPerRequest(kind, call string) float64 {
	k, known := l.kinds[kind]
	c, made := l.calls[call]
	if !known || !made {
		return 0
	}
	return l.per[c][k]
}

// DependsOn tells whether requests of the kind usually make such calls.
func (l *Estimator) DependsOn(kind, call string) bool { return l.CallsPerRequest(kind, call) >= dependsFrom }

// ObservedCalls returns the kinds of calls that were seen.
func (l *Estimator) ObservedCalls() []string {
	out := make([]string, 0, len(l.calls))
	for name := range l.calls {
		out = append(out, name)
	}
	return out
}

func index(m map[string]int, name string) (int, bool) {
	i, ok := m[name]
	if !ok && len(m) < maxKinds {
		i, ok = len(m), true
		m[name] = i
	}
	return i, ok
}

// advance closes the span when it has passed.
func (l *Estimator) advance(now time.Time) {
	if l.until.IsZero() {
		l.until = now.Add(span)
	}
	if now.Before(l.until) {
		return
	}
	l.close()
	l.until = now.Add(span)
}

func (l *Estimator) close() {
	n, m := len(l.kinds), len(l.calls)
	for i := range n {
		for j := range n {
			l.gram[i][j] = keep*l.gram[i][j] + l.requests[i]*l.requests[j]
		}
	}
	for c := range m {
		for i := range n {
			l.cross[c][i] = keep*l.cross[c][i] + l.made[c]*l.requests[i]
		}
		l.solve(c, n)
	}
	clear(l.requests[:n])
	clear(l.made[:m])
}

// solve improves the calls a request by coordinate descent from the last result.
func (l *Estimator) solve(c, n int) {
	per := &l.per[c]
	for range rounds {
		for i := range n {
			rest := l.cross[c][i]
			for j := range n {
				if j != i {
					rest -= l.gram[i][j] * per[j]
				}
			}
			per[i] = max(rest/(l.gram[i][i]+ridge), 0)
		}
	}
}
