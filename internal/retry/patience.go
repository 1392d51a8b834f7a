package retry

import "time"

// TimeoutEstimator estimates how long an answer may reasonably take, as TCP estimates its
// retransmission timeout (RFC 6298): the moving mean plus four moving deviations. The
// zero value knows no answer. It is not safe for concurrent use.
//
// # Load pattern
//
// A node stands still for seconds. Calls sent to it wait for their deadlines, far past
// their aims, while other nodes are idle. A fixed timeout would give up long calls that
// are being worked on, or wait many times the usual time of short ones.
type TimeoutEstimator struct {
	mean, deviation time.Duration
}

const (
	// The gains are those of RFC 6298.
	meanGain      = 8
	deviationGain = 4
	deviations    = 4

	// minPatience covers a garbage collection and a lost packet between nodes.
	minPatience = 200 * time.Millisecond
	// maxPatience is the TCP user timeout, after which a connection without
	// acknowledgements breaks by itself; it is also used before the first answer.
	maxPatience = 1200 * time.Millisecond
)

// Observe takes the time of a call that was answered.
func (p *TimeoutEstimator) Observe(took time.Duration) {
	if p.mean == 0 {
		p.mean, p.deviation = took, took/2
		return
	}
	p.deviation += ((took - p.mean).Abs() - p.deviation) / deviationGain
	p.mean += (took - p.mean) / meanGain
}

// Timeout returns the time after which a call without answer is overdue.
func (p *TimeoutEstimator) Timeout() time.Duration {
	if p.mean == 0 {
		return maxPatience
	}
	return min(max(p.mean+deviations*p.deviation, minPatience), maxPatience)
}
