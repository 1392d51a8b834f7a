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
	// DefaultMaxWait leaves time to drain the queue within the one second in
	// which the fleet must recover after a surge.
	DefaultMaxWait = 250 * time.Millisecond
)

// Config holds the settings of a Controller. A zero field takes its default.
type Config struct {
	InitialLimit int           // concurrency limit after a cold start
	MinLimit     int           // the limit never falls below this
	MaxLimit     int           // the limit never rises above this
	MaxWait      time.Duration // bound on the time in which the queue drains

	// Rand spreads Retry-After, so that refused callers do not return
	// together. Nodes must not share a seed. Without it there is no jitter.
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
