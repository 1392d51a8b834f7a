package dispatch

import "time"

const (
	// NamedBurst and ColdBurst are how much of a rate may start at once after a pause, as a
	// time. A rate that a backend server names is judged over several seconds, and that of a
	// cold one over each second, in which the node may also restart.
	NamedBurst = 500 * time.Millisecond
	ColdBurst  = 100 * time.Millisecond
	// maxRetryAfterRate and rateRetryJitter bound the Retry-After of requests that are refused
	// until the end of a rate limit. Callers wait 5 s for most routes, and those refused during
	// a cold phase of 3 s add their number to the load that follows it.
	maxRetryAfterRate = 5 * time.Second
	rateRetryJitter   = time.Second
	// nearEnd is how near the end of a rate limit is for which most requests can wait.
	nearEnd = time.Second
	// minRate is the lowest rate, in requests per second, that is kept to. Under a limit of
	// zero no response could tell that the limit has ended.
	minRate = 0.5
	// maxInternalStreak is how many internal calls may start in a row while external
	// requests wait. Under a rate limit few requests run, so internalFraction does not bind.
	maxInternalStreak = 3
)

// Rate limits the requests that start.
type Rate struct {
	PerSecond float64
	Burst     time.Duration // what has not started for this time may start at once
	Until     time.Time     // when the limit is expected to end; zero if that is not known
}

// rateLimit is a token bucket that is empty at first: requests that started before the
// limit was known count against it too.
type rateLimit struct {
	Rate
	tokens     float64
	refilledAt time.Time
}

func (l *rateLimit) refill(now time.Time) {
	if elapsed := now.Sub(l.refilledAt).Seconds(); elapsed > 0 {
		l.tokens += l.PerSecond * elapsed
		l.refilledAt = now
	}
	l.tokens = min(l.tokens, 1+l.PerSecond*l.Burst.Seconds())
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
	wait := time.Duration(missing / l.PerSecond * float64(time.Second))
	if l.Until.IsZero() {
		return wait
	}
	return min(wait, max(l.Until.Sub(now), 0))
}

// SetRate limits the requests that start; nil ends the limit. A changed limit keeps what has
// been used of the previous one.
func (q *Queue) SetRate(now time.Time, r *Rate) {
	if r == nil {
		q.rate = nil
		return
	}
	if q.rate == nil {
		q.rate = &rateLimit{refilledAt: now}
	}
	q.rate.refill(now) // at the previous rate
	q.rate.Rate = *r
	q.rate.PerSecond = max(r.PerSecond, minRate)
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

// ExpectedStart estimates the time until new requests start, by the slots and by the rate
// limit. Until the known end of a limit few of them do, and callers that are refused need not
// come back earlier. An end that is near does not count, because requests wait for it.
func (q *Queue) ExpectedStart(now time.Time, internal bool) time.Duration {
	ahead := q.ahead(true, len(q.internalWaiting))
	if !internal {
		ahead = q.backlogOf(q.internalWaiting).plus(q.backlogOf(q.externalWaiting))
	}
	slot := time.Duration(ahead.work / q.limit)
	switch {
	case q.rate == nil:
		return slot
	case q.rate.Until.IsZero():
		return max(slot, q.rate.wait(now, ahead.requests))
	}
	if left := q.rate.Until.Sub(now); left > nearEnd {
		return left
	}
	return slot
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
