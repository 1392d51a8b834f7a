package dispatch

import "time"

const (
	// rateBurst is how much of the rate limit may start at once after a pause, as a time.
	// The limit is judged over several seconds.
	rateBurst = 500 * time.Millisecond
	// minRate is the lowest rate, in requests per second, that is kept to. Under a limit of
	// zero no response could tell that the limit has ended.
	minRate = 0.5
	// maxInternalStreak is how many internal calls may start in a row while external
	// requests wait. Under a rate limit few requests run, so internalFraction does not bind.
	maxInternalStreak = 3
)

// rateLimit is a token bucket that is empty at first: requests that started before the
// limit was known count against it too.
type rateLimit struct {
	perSecond  float64
	tokens     float64
	refilledAt time.Time
}

func (l *rateLimit) refill(now time.Time) {
	if elapsed := now.Sub(l.refilledAt).Seconds(); elapsed > 0 {
		l.tokens += l.perSecond * elapsed
		l.refilledAt = now
	}
	l.tokens = min(l.tokens, 1+l.perSecond*rateBurst.Seconds())
}

func (l *rateLimit) take(now time.Time) bool {
	l.refill(now)
	if l.tokens < 1 {
		return false
	}
	l.tokens--
	return true
}

// wait returns the time until a request may start that has others ahead of it.
func (l *rateLimit) wait(now time.Time, ahead float64) time.Duration {
	l.refill(now)
	missing := max(ahead+1-l.tokens, 0)
	return time.Duration(missing / l.perSecond * float64(time.Second))
}

// SetRate limits the requests per second that start; nil ends the limit. A changed limit
// keeps what has been used of the previous one.
func (q *Queue) SetRate(now time.Time, perSecond *float64) {
	if perSecond == nil {
		q.rate = nil
		return
	}
	if q.rate == nil {
		q.rate = &rateLimit{refilledAt: now}
	}
	q.rate.refill(now) // at the previous rate
	q.rate.perSecond = max(*perSecond, minRate)
	q.rate.refill(now)
}

// mayStart takes the token for a request that starts now. It reports false if the rate
// limit allows none.
func (q *Queue) mayStart(now time.Time) bool { return q.rate == nil || q.rate.take(now) }

// RateWait estimates the time until the rate limit lets a new request start after those
// that wait. It is zero without a limit.
func (q *Queue) RateWait(now time.Time) time.Duration {
	if q.rate == nil {
		return 0
	}
	return q.rate.wait(now, float64(q.Waiting()))
}

// nextIsInternal reports whether the next request to start is an internal call.
func (q *Queue) nextIsInternal() bool {
	switch {
	case len(q.internalWaiting) == 0:
		return false
	case len(q.externalWaiting) == 0:
		return true
	case q.rate != nil && q.internalStreak >= maxInternalStreak:
		return false
	}
	return float64(q.internalRunning) < internalFraction*q.limit
}
