package model

import "time"

const (
	rateMargin   = 1.25 // rate of a workspace relative to its base load
	burstSeconds = 1    // burst of a workspace, in seconds at its rate
)

// bucket is an exact token bucket. It starts full.
type bucket struct {
	rate, burst, tokens float64
	lastRefill          time.Duration
}

// newBucket returns the bucket of a workspace whose base load is baseRate requests per
// second.
func newBucket(baseRate float64) *bucket {
	rate := baseRate * rateMargin
	return &bucket{rate: rate, burst: rate * burstSeconds, tokens: rate * burstSeconds}
}

// take removes one token. It returns false if there is none.
func (b *bucket) take(now time.Duration) bool {
	b.tokens = min(b.tokens+b.rate*(now-b.lastRefill).Seconds(), b.burst)
	b.lastRefill = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
