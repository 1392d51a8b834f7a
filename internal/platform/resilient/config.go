package resilient

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Defaults of Config. The page docs/decisions/platform-client.md has the figures
// behind them.
const (
	// DefaultTableTimeout is twice the 1 s that pollers wait, so it bounds only
	// callers that set no deadline of their own.
	DefaultTableTimeout = 2 * time.Second
	// DefaultTableSlow is half of the 1 s that pollers wait: a platform that makes
	// pollers give up is then seen as slow.
	DefaultTableSlow = 500 * time.Millisecond
	// DefaultObjectTimeout and DefaultObjectSlow allow for the size of a snapshot.
	DefaultObjectTimeout = 10 * time.Second
	DefaultObjectSlow    = 5 * time.Second

	// DefaultMaxInFlight is the number of calls at the platform at one time. A node
	// has one poller and few edits; at 50 ms a call, 8 calls are 160 a second.
	DefaultMaxInFlight = 8
	// DefaultMaxWaiting is what 8 calls in flight clear in 200 ms at 50 ms a call.
	DefaultMaxWaiting = 32
	// DefaultMaxWait is the longest wait for one of the calls in flight to end.
	DefaultMaxWait = time.Second

	DefaultWindowCalls = 10
	DefaultMinCalls    = 5
	// DefaultWindowAge is the time in which a poller makes 10 calls that each run
	// into DefaultTableTimeout, one second apart.
	DefaultWindowAge = 30 * time.Second
	DefaultBadShare  = 0.5
	// DefaultTrialsToClose is 2 because an edit begins with two reads: after a
	// repaired outage its own reads close the breaker before its write.
	DefaultTrialsToClose = 2

	// DefaultMinBackoff is the limit of the first wait. With 500 ms, 1,800 pollers
	// sent 1,891 reads in the first second of an outage.
	DefaultMinBackoff = time.Second
	// DefaultMaxBackoff spreads the first calls of a fleet over 5 to 10 s after an
	// outage. Longer waits lower the peak further and delay the recovery.
	DefaultMaxBackoff = 10 * time.Second
)

// Config says when calls end, wait and are refused.
type Config struct {
	Table   Limits // Get, Scan and Commit
	Objects Limits // GetObject and PutObject

	MaxInFlight int           // calls at the platform at one time
	MaxWaiting  int           // calls that wait for one of them to end; more are refused
	MaxWait     time.Duration // longest wait; then the call is refused

	Breaker BreakerConfig

	// Rand is the source of jitter; nil means one with a random seed. The Store
	// guards it, so it must not be used elsewhere.
	Rand *rand.Rand
}

// Limits are the times of one kind of call, measured from when it is sent.
type Limits struct {
	Timeout time.Duration // the call is cancelled; an earlier deadline of the caller holds
	Slow    time.Duration // a call that takes this long counts as bad even if it succeeds
}

// BreakerConfig says when the breaker opens and closes.
type BreakerConfig struct {
	WindowCalls   int           // newest results that are judged, at most maxWindowCalls
	WindowAge     time.Duration // older results are not judged
	MinCalls      int           // fewer results never open the breaker
	BadShare      float64       // share of failed or slow calls that opens it, above 0 to 1
	TrialsToClose int           // good trials in a row that close it
	Backoff       BackoffConfig // waits between trials
}

// DefaultConfig returns the defaults.
func DefaultConfig() Config {
	return Config{
		Table:       Limits{Timeout: DefaultTableTimeout, Slow: DefaultTableSlow},
		Objects:     Limits{Timeout: DefaultObjectTimeout, Slow: DefaultObjectSlow},
		MaxInFlight: DefaultMaxInFlight,
		MaxWaiting:  DefaultMaxWaiting,
		MaxWait:     DefaultMaxWait,
		Breaker: BreakerConfig{
			WindowCalls:   DefaultWindowCalls,
			WindowAge:     DefaultWindowAge,
			MinCalls:      DefaultMinCalls,
			BadShare:      DefaultBadShare,
			TrialsToClose: DefaultTrialsToClose,
			Backoff:       DefaultBackoff(),
		},
	}
}

// DefaultBackoff returns the default waits, for the breaker and for pollers.
func DefaultBackoff() BackoffConfig {
	return BackoffConfig{Min: DefaultMinBackoff, Max: DefaultMaxBackoff}
}

// Validate returns an error that names the first field that cannot work.
func (c Config) Validate() error {
	b := c.Breaker
	for _, rule := range []struct {
		ok   bool
		text string
	}{
		{c.Table.valid(), "table: slow must be above 0 and at most timeout"},
		{c.Objects.valid(), "objects: slow must be above 0 and at most timeout"},
		{c.MaxInFlight >= 1, "max in flight must be at least 1"},
		{c.MaxWaiting >= 0, "max waiting must not be negative"},
		{c.MaxWait >= 0, "max wait must not be negative"},
		{b.WindowCalls >= 1 && b.WindowCalls <= maxWindowCalls, fmt.Sprintf("window calls must be 1 to %d", maxWindowCalls)},
		{b.WindowAge > 0, "window age must be above 0"},
		{b.MinCalls >= 1 && b.MinCalls <= b.WindowCalls, "min calls must be 1 to window calls"},
		{b.BadShare > 0 && b.BadShare <= 1, "bad share must be above 0 and at most 1"},
		{b.TrialsToClose >= 1, "trials to close must be at least 1"},
		{b.Backoff.Min > 0 && b.Backoff.Min <= b.Backoff.Max, "backoff: min must be above 0 and at most max"},
	} {
		if !rule.ok {
			return fmt.Errorf("platform client: %s", rule.text)
		}
	}
	return nil
}

func (l Limits) valid() bool { return l.Slow > 0 && l.Slow <= l.Timeout }
