package membership

import (
	"math"
	"time"
)

// Config sets timers and limits. Zero fields take the defaults.
type Config struct {
	// Interval is the time between two exchanges within the own data centre, and
	// between two with other data centres.
	Interval time.Duration
	// Suspicion is the shortest time from suspicion to death. It grows with the
	// logarithm of the fleet, because a refutation takes longer to spread.
	Suspicion time.Duration
	// IndirectProbes is the number of members asked to probe a silent one.
	IndirectProbes int
	// Bound is the freshness bound.
	Bound time.Duration
	// JoinSettle is how long a node is in contact with its data centre before it
	// vouches for it.
	JoinSettle time.Duration
	// DeadGrace is how long a dead member still has to acknowledge an entry before
	// its data centre counts as settled.
	DeadGrace time.Duration
	// DeadRetry and SeedRetry are the times between attempts to reach a dead
	// member and a seed.
	DeadRetry time.Duration
	SeedRetry time.Duration
	// ForgetDead exceeds the longest partition to survive, because forgotten data
	// centres no longer count towards the majority. ForgetLeft only has to exceed the
	// time for which old deltas travel.
	ForgetDead time.Duration
	ForgetLeft time.Duration
	// MaxDeltas, MaxFull and MaxRevocations bound the lists in one message. With 12
	// deltas in every message a node moved 14 KB/s before framing, with 5 it moves 6.6.
	MaxDeltas      int
	MaxFull        int
	MaxRevocations int
	// FullAfter is how long digests differ before the full table is fetched, and
	// FullEvery the least time between two such fetches.
	FullAfter time.Duration
	FullEvery time.Duration
	// Seeds are addresses to join through.
	Seeds []string
}

// DefaultConfig returns the settings for production.
func DefaultConfig() Config {
	return Config{
		Interval:       time.Second,
		Suspicion:      6 * time.Second,
		IndirectProbes: 3,
		Bound:          8 * time.Second,
		JoinSettle:     8 * time.Second,
		DeadGrace:      10 * time.Second,
		DeadRetry:      10 * time.Second,
		SeedRetry:      30 * time.Second,
		ForgetDead:     2 * time.Hour,
		ForgetLeft:     10 * time.Minute,
		MaxDeltas:      5,
		MaxFull:        4000,
		MaxRevocations: 32,
		FullAfter:      time.Minute,
		FullEvery:      5 * time.Minute,
	}
}

func (c Config) withDefaults() Config {
	d := DefaultConfig()
	for _, p := range []struct{ field, value *time.Duration }{
		{&c.Interval, &d.Interval},
		{&c.Suspicion, &d.Suspicion},
		{&c.Bound, &d.Bound},
		{&c.JoinSettle, &d.JoinSettle},
		{&c.DeadGrace, &d.DeadGrace},
		{&c.DeadRetry, &d.DeadRetry},
		{&c.SeedRetry, &d.SeedRetry},
		{&c.ForgetDead, &d.ForgetDead},
		{&c.ForgetLeft, &d.ForgetLeft},
		{&c.FullAfter, &d.FullAfter},
		{&c.FullEvery, &d.FullEvery},
	} {
		if *p.field == 0 {
			*p.field = *p.value
		}
	}
	for _, p := range []struct{ field, value *int }{
		{&c.IndirectProbes, &d.IndirectProbes},
		{&c.MaxDeltas, &d.MaxDeltas},
		{&c.MaxFull, &d.MaxFull},
		{&c.MaxRevocations, &d.MaxRevocations},
	} {
		if *p.field == 0 {
			*p.field = *p.value
		}
	}
	return c
}

// suspicionTimeout returns the time from suspicion to death in a fleet of n: the
// configured minimum up to 10 members, and twice that at 100.
func (c Config) suspicionTimeout(n int) time.Duration {
	return time.Duration(float64(c.Suspicion) * max(1, math.Log10(float64(n))))
}

// transmissions returns how often a node passes on a delta. An epidemic reaches
// all of n nodes in about log2(n) rounds; two more cover lost messages.
func transmissions(n int) int { return int(math.Ceil(math.Log2(float64(n+1)))) + 2 }
