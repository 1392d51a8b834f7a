package retry

import (
	"math/rand/v2"
	"time"

	"github.com/teaselseam/teaselseam/internal/request"
)

// MayRetry tells whether an attempt with this outcome may be repeated: only if
// it did not run, or if running it twice does no harm.
func MayRetry(o request.Outcome, idempotent bool) bool {
	switch o {
	case request.NotRun:
		return true
	case request.Completed:
		return false
	default:
		return idempotent
	}
}

// Attempt describes an attempt that failed.
type Attempt struct {
	Outcome    request.Outcome
	Idempotent bool
	Downstream bool          // a nested call failed for good; the hop next to it has retried
	Retries    int           // extra attempts of this call so far
	RetryAfter time.Duration // least delay asked for by the refusal; 0 if another endpoint is tried
	Remaining  time.Duration // time left until the call's deadline
}

// Backoff sets the delay before a retry.
type Backoff struct {
	Base time.Duration // bound of the first delay
	Max  time.Duration // bound of all delays
}

// DefaultBackoff returns the default delays. They are short, because a retry
// usually goes to another endpoint and the budget, not the delay, limits load.
func DefaultBackoff() Backoff {
	return Backoff{Base: 2 * time.Millisecond, Max: 100 * time.Millisecond}
}

// Delay returns a random delay before the retry: RetryAfter plus a part of an
// exponentially growing bound. It returns false if RetryAfter leaves no time
// before the deadline. The delay is always shorter than the remaining time.
func (b Backoff) Delay(a Attempt, rnd *rand.Rand) (time.Duration, bool) {
	room := a.Remaining - max(a.RetryAfter, 0)
	if room <= 0 {
		return 0, false
	}
	if bound := min(b.bound(a.Retries), room); bound > 0 {
		return max(a.RetryAfter, 0) + time.Duration(rnd.Int64N(int64(bound))), true
	}
	return max(a.RetryAfter, 0), true
}

// bound returns the largest random delay after a number of retries.
func (b Backoff) bound(retries int) time.Duration {
	bound := b.Base
	for range retries {
		if bound >= b.Max {
			return b.Max
		}
		bound *= 2
	}
	return min(bound, b.Max)
}

// Policy combines the rules for the retries of one ingress to one service.
type Policy struct {
	Ratio   *RatioLimiter
	Backoff Backoff
}

// Next decides whether the failed attempt is repeated, and after which delay.
// It takes from the ratio and the budget only if all rules agree, so that a
// retry refused by one of them costs nothing at the other. A failure from further
// down is not repeated: it would repeat the work of all hops between.
func (p Policy) Next(now time.Time, a Attempt, b *Budget, rnd *rand.Rand) (time.Duration, bool) {
	if a.Downstream || !MayRetry(a.Outcome, a.Idempotent) || b.Remaining() == 0 {
		return 0, false
	}
	delay, ok := p.Backoff.Delay(a, rnd)
	if !ok || !p.Ratio.Take(now) {
		return 0, false
	}
	return delay, b.Take()
}
