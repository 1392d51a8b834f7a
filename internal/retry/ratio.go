package retry

import "time"

const (
	// windowBuckets is the number of buckets in a window.
	windowBuckets = 10
	// keptBuckets is the number of buckets that are kept: those of the window half a window
	// ago reach furthest back.
	keptBuckets = windowBuckets + windowBuckets/2 + 1

	// burstFraction is the fraction of the retries of a window that may be used at once if
	// they are spread (RatioConfig.Spread).
	burstFraction = 0.25
	// minBurst is the number of retries that may always be used at once, if the limit
	// allows as many.
	minBurst = 8
)

// RatioConfig configures the limit on retries to one service.
type RatioConfig struct {
	Fraction float64       // retries per first attempt, 0 to 1
	Floor    int           // number of retries per window that are always allowed
	Window   time.Duration // length of the sliding window
	// Spread spreads the retries over the window: a service that rejects half of its calls
	// for seconds would otherwise use all of them in the first second, and the calls of the
	// following ones would fail.
	Spread bool
}

// RatioLimiter limits the retries that one ingress sends to one service to a fraction of
// the first attempts in a sliding window or in the window that began half a window before
// it, whichever has more: if fewer calls are made because a service is in trouble, those
// that are still made can be retried.
type RatioLimiter struct {
	cfg     RatioConfig
	epoch   time.Time // start of bucket number 0
	newest  int64     // number of the newest bucket
	buckets [keptBuckets]bucket
	burst   float64 // retries used and not yet replenished
	burstAt time.Time
}

type bucket struct {
	first, retry int
}

// NewRatioLimiter returns a limiter without recorded attempts. The configuration must be
// valid.
func NewRatioLimiter(cfg RatioConfig, now time.Time) *RatioLimiter {
	return &RatioLimiter{cfg: cfg, epoch: now}
}

// SetConfig changes the limit. The recorded attempts stay, unless the window changes.
func (r *RatioLimiter) SetConfig(now time.Time, cfg RatioConfig) {
	if cfg.Window != r.cfg.Window {
		*r = RatioLimiter{epoch: now}
	}
	r.cfg = cfg
}

// RecordFirst records a first attempt.
func (r *RatioLimiter) RecordFirst(now time.Time) {
	r.advance(now)
	r.bucket(0).first++
}

// Allows reports whether a retry is within the limit.
func (r *RatioLimiter) Allows(now time.Time) bool {
	r.advance(now)
	limit := max(float64(r.cfg.Floor), r.cfg.Fraction*r.firstAttempts())
	if float64(r.retries()+1) > limit {
		return false
	}
	if !r.cfg.Spread {
		return true
	}
	r.replenish(now, limit)
	return r.burst+1 <= max(burstFraction*limit, minBurst)
}

// Record records a retry.
func (r *RatioLimiter) Record(now time.Time) {
	r.advance(now)
	r.bucket(0).retry++
	r.burst++
}

// Take records a retry and returns true if it is within the limit.
func (r *RatioLimiter) Take(now time.Time) bool {
	if !r.Allows(now) {
		return false
	}
	r.Record(now)
	return true
}

// retries returns the number of retries in the buckets that overlap the window.
func (r *RatioLimiter) retries() (n int) {
	for age := range windowBuckets + 1 {
		n += r.bucket(age).retry
	}
	return n
}

// firstAttempts returns the number of first attempts that the limit is a fraction of: in the
// last window or in the one half a window before it, whichever has more, but at most the mean
// per window over both. Without that, traffic that moves from one node to another would count
// at both. With it, the sum over all nodes is at most two thirds of the first attempts in one
// and a half windows, which are at most those of two windows.
func (r *RatioLimiter) firstAttempts() float64 {
	const half = windowBuckets / 2
	var current, before, both int
	for age := range windowBuckets + half {
		n := r.bucket(age).first
		both += n
		if age < windowBuckets {
			current += n
		}
		if age >= half {
			before += n
		}
	}
	return min(float64(both)*windowBuckets/(windowBuckets+half), float64(max(current, before)))
}

// replenish spreads the part of the limit that may not be used at once over the window.
func (r *RatioLimiter) replenish(now time.Time, limit float64) {
	elapsed := now.Sub(r.burstAt)
	if elapsed <= 0 {
		return
	}
	r.burstAt = now
	r.burst = max(r.burst-(1-burstFraction)*limit*elapsed.Seconds()/r.cfg.Window.Seconds(), 0)
}

// bucket returns the bucket of an age in buckets; 0 is the newest.
func (r *RatioLimiter) bucket(age int) *bucket {
	return &r.buckets[(r.newest-int64(age)+keptBuckets)%keptBuckets]
}

// advance removes the buckets that are no longer needed. A time before the newest bucket
// is treated as being in it.
func (r *RatioLimiter) advance(now time.Time) {
	number := int64(now.Sub(r.epoch) / (r.cfg.Window / windowBuckets))
	if number-r.newest >= keptBuckets {
		r.buckets = [keptBuckets]bucket{}
		r.newest = number
		return
	}
	for r.newest < number {
		r.newest++
		*r.bucket(0) = bucket{}
	}
}
