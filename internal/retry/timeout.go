package retry

import "time"

// TimeoutEstimator estimates after which time the response to an attempt is overdue, in
// the way in which TCP computes its retransmission timeout (RFC 6298): the moving mean
// plus four times the moving deviation. The zero value has no observations. It is not
// safe for concurrent use.
//
// It handles nodes that stall for seconds: attempts sent to such a node would wait until
// their deadlines, far beyond their latency targets, while other nodes are idle. A fixed
// timeout would abandon long attempts that are still being processed, or wait many times
// the usual duration of short ones.
type TimeoutEstimator struct {
	mean, deviation time.Duration
}

const (
	// The gains are those of RFC 6298.
	meanGain        = 8
	deviationGain   = 4
	deviationFactor = 4

	// minTimeout allows for a garbage collection pause and a lost packet between nodes.
	minTimeout = 200 * time.Millisecond
	// maxTimeout is the TCP user timeout, after which the kernel closes a connection
	// without acknowledgements. It is also used before the first observation.
	maxTimeout = 1200 * time.Millisecond
)

// Observe records the duration of an attempt that was answered.
func (e *TimeoutEstimator) Observe(duration time.Duration) {
	if e.mean == 0 {
		e.mean, e.deviation = duration, duration/2
		return
	}
	e.deviation += ((duration - e.mean).Abs() - e.deviation) / deviationGain
	e.mean += (duration - e.mean) / meanGain
}

// Timeout returns the time after which an attempt without a response is overdue.
func (e *TimeoutEstimator) Timeout() time.Duration {
	if e.mean == 0 {
		return maxTimeout
	}
	return min(max(e.mean+deviationFactor*e.deviation, minTimeout), maxTimeout)
}
