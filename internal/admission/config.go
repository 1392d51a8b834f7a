package admission

import (
	"math/rand/v2"
	"time"
)

// Defaults of Config.
const (
	DefaultInitialLimit = 8
	DefaultMinLimit     = 2
	DefaultMaxLimit     = 1000
	// DefaultMaxWait lets the queue drain well within the one second in which the fleet
	// must recover from a surge.
	DefaultMaxWait = 250 * time.Millisecond
)

// Config holds the settings of a Controller. A zero field takes its default.
type Config struct {
	InitialLimit int           // concurrency limit before anything was learned
	MinLimit     int           // lower bound of the concurrency limit
	MaxLimit     int           // upper bound of the concurrency limit
	MaxWait      time.Duration // bound on a request's wait and on the time to drain the queue

	// Rand adds jitter to Retry-After, so that refused callers do not retry at the
	// same time. Each node needs a seed of its own. If Rand is nil, there is no jitter.
	Rand *rand.Rand
}

func (c Config) withDefaults() Config {
	setDefault(&c.InitialLimit, DefaultInitialLimit)
	setDefault(&c.MinLimit, DefaultMinLimit)
	setDefault(&c.MaxLimit, DefaultMaxLimit)
	setDefault(&c.MaxWait, DefaultMaxWait)
	c.MaxLimit = max(c.MaxLimit, c.MinLimit)
	c.InitialLimit = min(max(c.InitialLimit, c.MinLimit), c.MaxLimit)
	return c
}

func setDefault[T int | time.Duration](field *T, value T) {
	if *field <= 0 {
		*field = value
	}
}
