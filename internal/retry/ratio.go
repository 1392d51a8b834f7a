package retry

import (
	"fmt"
	"time"
)

// ratioSlots is the number of counters that a window is divided into. The window
// moves in steps of one slot.
const ratioSlots = 10

// RatioConfig sets the limit on retries to one service.
type RatioConfig struct {
	Fraction float64       // retries per first attempt, 0 to 1
	Floor    int           // retries per window that are always allowed
	Window   time.Duration // length of the sliding window
}

// DefaultRatioConfig returns the default limit. A floor of 2 in 10 s lets 1,800
// ingresses together send at most 360 retries a second to a service that none of
// them calls otherwise.
func DefaultRatioConfig() RatioConfig {
	return RatioConfig{Fraction: 0.10, Floor: 2, Window: 10 * time.Second}
}

// Validate checks the ranges of all fields.
func (c RatioConfig) Validate() error {
	if c.Fraction < 0 || c.Fraction > 1 {
		return fmt.Errorf("retry fraction %v is not between 0 and 1", c.Fraction)
	}
	if c.Floor < 0 {
		return fmt.Errorf("retry floor %d is negative", c.Floor)
	}
	if c.Window < ratioSlots {
		return fmt.Errorf("retry window %v is shorter than %d ns", c.Window, ratioSlots)
	}
	return nil
}

// RatioLimiter counts the first attempts and retries that one ingress sent to one
// service.
type RatioLimiter struct {
	cfg    RatioConfig
	epoch  time.Time // start of slot number 0
	newest int64     // number of the newest slot
	slots  [ratioSlots]slot
	first  int // sum over all slots
	retry  int // sum over all slots
}

type slot struct {
	first, retry int
}

// NewRatioLimiter returns an empty ratio. The configuration must be valid.
func NewRatioLimiter(cfg RatioConfig, now time.Time) *RatioLimiter {
	return &RatioLimiter{cfg: cfg, epoch: now}
}

// RecordFirst records a first attempt.
func (r *RatioLimiter) RecordFirst(now time.Time) {
	r.advance(now)
	r.current().first++
	r.first++
}

// Allows tells whether a retry stays within the limit.
func (r *RatioLimiter) Allows(now time.Time) bool {
	r.advance(now)
	return float64(r.retry+1) <= max(float64(r.cfg.Floor), r.cfg.Fraction*float64(r.first))
}

// Take records a retry if it stays within the limit.
func (r *RatioLimiter) Take(now time.Time) bool {
	if !r.Allows(now) {
		return false
	}
	r.current().retry++
	r.retry++
	return true
}

func (r *RatioLimiter) current() *slot {
	return &r.slots[r.newest%ratioSlots]
}

// advance drops the slots that left the window. A time before the newest slot
// counts as the newest slot.
func (r *RatioLimiter) advance(now time.Time) {
	number := int64(now.Sub(r.epoch) / (r.cfg.Window / ratioSlots))
	if number-r.newest >= ratioSlots {
		r.slots = [ratioSlots]slot{}
		r.first, r.retry = 0, 0
		r.newest = number
		return
	}
	for r.newest < number {
		r.newest++
		old := r.current()
		r.first -= old.first
		r.retry -= old.retry
		*old = slot{}
	}
}
