package resilient

import (
	"math/rand/v2"
	"time"
)

// BackoffConfig bounds waits that double.
type BackoffConfig struct {
	Min time.Duration // limit of the first wait
	Max time.Duration // limit of any wait
}

// Backoff gives the waits between tries that fail. Its zero value is not ready;
// use NewBackoff. It is not safe for concurrent use.
type Backoff struct {
	cfg   BackoffConfig
	limit time.Duration
}

// NewBackoff returns a Backoff whose first wait is the shortest.
func NewBackoff(cfg BackoffConfig) Backoff {
	return Backoff{cfg: cfg, limit: cfg.Min}
}

// Next returns the wait before the next try, between half and all of a limit that
// doubles with each call up to Max.
func (b *Backoff) Next(rnd *rand.Rand) time.Duration {
	d := Jitter(b.limit, rnd)
	b.limit = min(2*b.limit, b.cfg.Max)
	return d
}

// Reset makes the next wait the shortest again, after a try that succeeded.
func (b *Backoff) Reset() { b.limit = b.cfg.Min }

// Jitter returns a time between half and all of limit. A poller uses it for its
// regular interval too, so that pollers that started together drift apart.
func Jitter(limit time.Duration, rnd *rand.Rand) time.Duration {
	half := limit / 2
	return half + time.Duration(rnd.Int64N(int64(limit-half)+1))
}
