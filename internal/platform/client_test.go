package platform_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/teaselseam/teaselseam/internal/platform"
	"github.com/teaselseam/teaselseam/internal/platform/standin"
)

// fixed is a random number in the middle of its range.
func fixed() float64 { return 0.5 }

func put(c *platform.Client, key string) error {
	return c.Commit(context.Background(), platform.Transaction{Puts: []platform.Put{{Key: key, Value: []byte("v")}}})
}

func get(c *platform.Client) error {
	_, err := c.Get(context.Background(), "absent")
	return err
}

// TestBreaker guards against a node that keeps a failing or slow platform busy,
// and against one that never comes back to it.
func TestBreaker(t *testing.T) {
	for name, f := range map[string]standin.Faults{
		"down": {Down: true},
		"slow": {SlowShare: 1, SlowDelay: 1500 * time.Millisecond}, // within the deadline
		"hung": {Delay: time.Hour},
	} {
		synctest.Test(t, func(t *testing.T) {
			m := standin.NewMemory()
			c := platform.NewClient(m, platform.ClientConfig{Random: fixed})
			m.SetFaults(f)
			for range 3 {
				if err := get(c); errors.Is(err, platform.ErrUnavailable) {
					t.Fatalf("%s: refused before three failures", name)
				}
			}
			before, start := m.Counts().Reads, time.Now()
			for time.Since(start) < time.Minute {
				_ = get(c) // fails
				time.Sleep(10 * time.Millisecond)
			}
			if calls := m.Counts().Reads - before; calls < 4 || calls > 12 {
				t.Errorf("%s: %d calls in a minute, want 4 to 12 trials", name, calls)
			}
			m.SetFaults(standin.Faults{})
			time.Sleep(10 * time.Second)
			if err := get(c); !errors.Is(err, platform.ErrNotFound) {
				t.Errorf("%s: trial call after the outage: %v", name, err)
			}
			time.Sleep(5 * time.Second)
			if err := get(c); !errors.Is(err, platform.ErrNotFound) {
				t.Errorf("%s: call after the recovery: %v", name, err)
			}
		})
	}
}

// TestDefiniteErrorsAreNoFailures guards against a breaker that opens because
// rows are absent or edits conflict.
func TestDefiniteErrorsAreNoFailures(t *testing.T) {
	c := platform.NewClient(standin.NewMemory(), platform.ClientConfig{})
	conflict := platform.Transaction{Checks: []platform.Check{{Key: "k", Version: 7}}}
	for range 20 {
		if err := get(c); !errors.Is(err, platform.ErrNotFound) {
			t.Fatal(err)
		}
		if err := c.Commit(context.Background(), conflict); !errors.Is(err, platform.ErrConflict) {
			t.Fatal(err)
		}
	}
}

// TestReturnWithoutStampede guards against 1,800 nodes that all call the platform
// in the first moments after an outage.
func TestReturnWithoutStampede(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := standin.NewMemory()
		m.SetFaults(standin.Faults{Down: true})
		clients := make([]*platform.Client, 1800)
		for i := range clients {
			clients[i] = platform.NewClient(m, platform.ClientConfig{})
			for range 3 {
				_ = get(clients[i]) // fails
			}
		}
		tick := func() (calls int64) {
			before := m.Counts().Reads
			for _, c := range clients {
				_ = get(c) // refused or served
			}
			time.Sleep(100 * time.Millisecond)
			return m.Counts().Reads - before
		}
		for range 300 {
			tick()
		}
		m.SetFaults(standin.Faults{})
		for i := range 10 {
			if calls := tick(); calls > 300 {
				t.Errorf("%d calls in tenth %d of the first second, each node wants one", calls, i)
			}
		}
		for range 190 {
			tick()
		}
		if calls := tick(); calls != 1800 {
			t.Errorf("%d calls 20 s after the outage, want one of each node", calls)
		}
	})
}

// TestBoundedCalls guards against calls that pile up on a slow platform.
func TestBoundedCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := standin.NewMemory()
		m.SetFaults(standin.Faults{Delay: 500 * time.Millisecond})
		c := platform.NewClient(m, platform.ClientConfig{Concurrency: 2, WaitingWrites: 3})
		results := make(chan error, 8)
		for range 8 {
			go func() { results <- put(c, "k") }()
		}
		synctest.Wait()
		if err := get(c); !errors.Is(err, platform.ErrUnavailable) {
			t.Errorf("a read beyond the limit got %v", err)
		}
		var refused int
		for range 8 {
			if errors.Is(<-results, platform.ErrUnavailable) {
				refused++
			}
		}
		if refused != 3 || m.Counts().Writes != 5 {
			t.Errorf("%d writes refused and %d sent, want 3 and 5", refused, m.Counts().Writes)
		}
	})
}

// TestLostResponses guards against a write whose response was lost being reported
// as not sent, and against shares of faults that are not what was asked for.
func TestLostResponses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := standin.NewMemory()
		c := platform.NewClient(m, platform.ClientConfig{Failures: 1000})
		ctx := context.Background()
		m.SetFaults(standin.Faults{LoseResponses: true})
		if err := put(c, "lost"); err == nil || errors.Is(err, platform.ErrUnavailable) || errors.Is(err, platform.ErrConflict) {
			t.Errorf("write with a lost response: %v", err)
		}
		if _, err := c.Get(ctx, "lost"); err != nil {
			t.Errorf("the write took no effect: %v", err)
		}
		for name, f := range map[string]standin.Faults{
			"down": {DownShare: 0.25, Seed: 1},
			"lost": {LoseShare: 0.25, Seed: 2},
			"slow": {SlowShare: 0.25, SlowDelay: 100 * time.Millisecond, Seed: 3},
		} {
			m.SetFaults(f)
			hit := 0
			for range 1000 {
				start := time.Now()
				if err := put(c, "k"); err != nil || time.Since(start) == 100*time.Millisecond {
					hit++
				}
			}
			if hit < 200 || hit > 300 {
				t.Errorf("%s: %d of 1000 writes were hit, want about 250", name, hit)
			}
		}
	})
}
