package retry

import (
	"math/rand/v2"
	"time"

	"github.com/teaselseam/teaselseam/internal/request"
)

// MayRetry reports whether an attempt with this outcome may be repeated: only if it did
// not run, or if it may have run and is idempotent.
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

// Attempt describes a failed attempt.
type Attempt struct {
	Outcome    request.Outcome
	Idempotent bool
	DownstreamFailed bool          // a nested call failed; the hop next to it has already retried
	Retries    int           // number of extra attempts of this call so far
	RetryAfter time.Duration // minimum delay requested by the refusal; 0 if another endpoint is tried
	Remaining  time.Duration // time left until the call's deadline
}

// Backoff configures the delay before a retry.
type Backoff struct {
	Base time.Duration // upper limit of the first delay
	Max  time.Duration // upper limit of all delays
}

// DefaultBackoff returns the default delays. They are short because a retry usually goes
// to another endpoint and load is limited by the budget, not by the delay.
func DefaultBackoff() Backoff {
	return Backoff{Base: 2 * time.Millisecond, Max: 100 * time.Millisecond}
}

// Delay returns the delay before the retry: RetryAfter plus a random time below a limit
// that grows exponentially (full jitter). It returns false if RetryAfter leaves no time
// before the deadline. The delay is always shorter than the remaining time.
func (b Backoff) Delay(a Attempt, rnd *rand.Rand) (time.Duration, bool) {
	available := a.Remaining - max(a.RetryAfter, 0)
	if available <= 0 {
		return 0, false
	}
	if limit := min(b.maxDelay(a.Retries), available); limit > 0 {
		return max(a.RetryAfter, 0) + time.Duration(rnd.Int64N(int64(limit))), true
	}
	return max(a.RetryAfter, 0), true
}

// maxDelay returns the largest random delay after a number of retries.
func (b Backoff) maxDelay(retries int) time.Duration {
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

// Next decides whether the failed attempt is repeated, and after which delay. It takes
// from the ratio limiter and the budget only if all rules allow the retry, so that a
// retry rejected by one of them is not charged to the other. A failure of a nested call
// is not repeated here: that would repeat the work of all hops in between.
func (p Policy) Next(now time.Time, a Attempt, b *Budget, rnd *rand.Rand) (time.Duration, bool) {
	if a.DownstreamFailed || !MayRetry(a.Outcome, a.Idempotent) || b.Remaining() == 0 {
		return 0, false
	}
	delay, ok := p.Backoff.Delay(a, rnd)
	if !ok || !p.Ratio.Take(now) {
		return 0, false
	}
	return delay, b.Take()
}
