// Package dependency estimates which internal calls a backend server makes for each kind
// of request that it runs. Kinds of requests and of calls are, in a node, their flows.
//
// Internal calls do not identify the request that they belong to, and several kinds of
// requests run concurrently. The number of calls in a time window is, however, a sum over
// the kinds of requests: the number of requests of the kind that ran in the window, times
// the calls that one such request makes. An Estimator counts both and solves for the calls
// per request by non-negative least squares over windows whose weight decays with age.
//
// This matters when a service deep in the call graph is overloaded. Requests of one kind
// need it, and requests of another kind at the same backend servers do not. Refusing both
// early would refuse work that could be done.
package dependency

import (
	"time"

	"github.com/teaselseam/teaselseam/internal/request"
)

const (
	// windowLength is the length of one counting window. Requests run for up to a quarter
	// of a second, and those that extend over two windows make the counts less accurate.
	windowLength = 500 * time.Millisecond
	// decay is the factor by which the weight of a count is multiplied per window. The
	// weight halves after 7 s.
	decay = 0.95
	// maxKinds limits the number of kinds of requests and of kinds of calls.
	maxKinds = 32
	// descentRounds is the number of rounds of coordinate descent. Few rounds suffice
	// because there are few kinds and their counts are nearly independent.
	descentRounds = 20
	// ridgePenalty shrinks the estimates of rare kinds towards zero. Its unit is requests
	// squared per window.
	ridgePenalty = 2.0
	// minMeanCalls is the mean number of calls per request from which a kind of request
	// is considered to depend on a kind of call.
	minMeanCalls = 0.3
)

// Estimator estimates the calls per request at one backend server. It is not safe for
// concurrent use.
type Estimator struct {
	requestKinds map[request.Flow]int // index by kind of request
	callKinds    map[request.Flow]int // index by kind of call

	windowEnd     time.Time // end of the current window
	requestCounts [maxKinds]float64
	callCounts    [maxKinds]float64

	gram       [maxKinds][maxKinds]float64 // Gram matrix: requests by requests
	cross      [maxKinds][maxKinds]float64 // calls by requests
	perRequest [maxKinds][maxKinds]float64 // estimated calls per request, by kind of call
}

// NewEstimator returns an estimator without observations.
func NewEstimator() *Estimator {
	return &Estimator{requestKinds: map[request.Flow]int{}, callKinds: map[request.Flow]int{}}
}

// RequestStarted records the start of a request of a kind. It counts as half a request,
// so that a request that extends over two windows counts in both.
func (e *Estimator) RequestStarted(now time.Time, kind request.Flow) { e.count(now, kind) }

// RequestEnded records the end of a request, which counts as the other half.
func (e *Estimator) RequestEnded(now time.Time, kind request.Flow) { e.count(now, kind) }

func (e *Estimator) count(now time.Time, kind request.Flow) {
	e.advance(now)
	if i, ok := indexOf(e.requestKinds, kind); ok {
		e.requestCounts[i] += 0.5
	}
}

// CallMade records a call made by the backend server.
func (e *Estimator) CallMade(now time.Time, call request.Flow) {
	e.advance(now)
	if i, ok := indexOf(e.callKinds, call); ok {
		e.callCounts[i]++
	}
}

// MeanCalls returns the estimated mean number of such calls per request of the kind.
func (e *Estimator) MeanCalls(kind, call request.Flow) float64 {
	k, known := e.requestKinds[kind]
	c, made := e.callKinds[call]
	if !known || !made {
		return 0
	}
	return e.perRequest[c][k]
}

// DependsOn reports whether requests of the kind usually make such calls.
func (e *Estimator) DependsOn(kind, call request.Flow) bool {
	return e.MeanCalls(kind, call) >= minMeanCalls
}

// ObservedCalls returns the kinds of calls that were recorded, in no particular order.
func (e *Estimator) ObservedCalls() []request.Flow {
	out := make([]request.Flow, 0, len(e.callKinds))
	for name := range e.callKinds {
		out = append(out, name)
	}
	return out
}

// Keep forgets the kinds of requests and of calls that are not to be kept, which makes room for
// others.
func (e *Estimator) Keep(keep func(request.Flow) bool) {
	for name := range e.requestKinds {
		if !keep(name) {
			e.forgetRequest(name)
		}
	}
	for name := range e.callKinds {
		if !keep(name) {
			e.forgetCall(name)
		}
	}
}

// forgetRequest removes a kind of request. The last one takes its index.
func (e *Estimator) forgetRequest(name request.Flow) {
	i, last := remove(e.requestKinds, name)
	move(e.requestCounts[:], i, last)
	for k := range e.gram {
		move(e.gram[k][:], i, last)
		move(e.cross[k][:], i, last)
		move(e.perRequest[k][:], i, last)
	}
	move(e.gram[:], i, last)
}

// forgetCall removes a kind of call. The last one takes its index.
func (e *Estimator) forgetCall(name request.Flow) {
	i, last := remove(e.callKinds, name)
	move(e.callCounts[:], i, last)
	move(e.cross[:], i, last)
	move(e.perRequest[:], i, last)
}

// remove deletes a name and gives its index to the name with the last one.
func remove(m map[request.Flow]int, name request.Flow) (index, last int) {
	index, last = m[name], len(m)-1
	delete(m, name)
	for other, i := range m {
		if i == last {
			m[other] = index
		}
	}
	return index, last
}

// move moves an element to another index and leaves a zero value in its place.
func move[T any](s []T, to, from int) {
	var zero T
	s[to] = s[from]
	s[from] = zero
}

// indexOf returns the index of a name and adds the name if there is room. It returns
// false if there is not.
func indexOf(m map[request.Flow]int, name request.Flow) (int, bool) {
	i, ok := m[name]
	if !ok && len(m) < maxKinds {
		i, ok = len(m), true
		m[name] = i
	}
	return i, ok
}

// advance closes the current window if it has ended.
func (e *Estimator) advance(now time.Time) {
	if e.windowEnd.IsZero() {
		e.windowEnd = now.Add(windowLength)
	}
	if now.Before(e.windowEnd) {
		return
	}
	e.close()
	e.windowEnd = now.Add(windowLength)
}

// close updates the estimates with the counts of the current window and resets them.
func (e *Estimator) close() {
	n, m := len(e.requestKinds), len(e.callKinds)
	for i := range n {
		for j := range n {
			e.gram[i][j] = decay*e.gram[i][j] + e.requestCounts[i]*e.requestCounts[j]
		}
	}
	for c := range m {
		for i := range n {
			e.cross[c][i] = decay*e.cross[c][i] + e.callCounts[c]*e.requestCounts[i]
		}
		e.solve(c, n)
	}
	clear(e.requestCounts[:n])
	clear(e.callCounts[:m])
}

// solve updates the estimates of one kind of call by coordinate descent, starting from
// the previous result.
func (e *Estimator) solve(c, n int) {
	estimates := &e.perRequest[c]
	for range descentRounds {
		for i := range n {
			residual := e.cross[c][i]
			for j := range n {
				if j != i {
					residual -= e.gram[i][j] * estimates[j]
				}
			}
			estimates[i] = max(residual/(e.gram[i][i]+ridgePenalty), 0)
		}
	}
}
