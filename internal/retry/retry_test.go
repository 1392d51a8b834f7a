package retry

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/teaselseam/teaselseam/internal/request"
	"pgregory.net/rapid"
)

// callTree simulates a random call tree in which any attempt may fail or lose its
// response, and counts the extra attempts.
type callTree struct {
	rnd    *rand.Rand
	fanOut int
	nodes  int // remaining calls; limits the size of the tree
	extra  int
}

// call simulates one call with the given number of allocated attempts. It returns the
// unused attempts, or -1 if the response is lost.
func (w *callTree) call(depth, allocated int) int {
	w.nodes--
	b := NewBudget(allocated)
	if depth > 0 && w.nodes > 0 {
		children := 1 + w.rnd.IntN(w.fanOut)
		if w.rnd.IntN(2) == 0 {
			for range children {
				w.child(b, b.Allocate(1), depth)
			}
		} else {
			allocations := make([]*Allocation, children)
			for i := range allocations {
				allocations[i] = b.Allocate(children - i)
			}
			for _, a := range allocations {
				w.child(b, a, depth)
			}
		}
	}
	unused := b.Close()
	if w.rnd.IntN(4) == 0 {
		return -1
	}
	return unused
}

func (w *callTree) child(b *Budget, a *Allocation, depth int) {
	for {
		unused := w.call(depth-1, a.Attempts())
		a.Release(unused)
		a.Release(MaxBudget) // a duplicate response must have no effect
		if w.rnd.IntN(3) != 0 || !b.Take() {
			return
		}
		w.extra++
		a = b.Allocate(1)
	}
}

// TestTreeNeverExceedsRootBudget guards against retries that multiply with depth or
// fan-out, and against attempts created by lost or duplicate responses.
func TestTreeNeverExceedsRootBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		root := rapid.IntRange(0, 20).Draw(t, "budget")
		w := &callTree{
			rnd:    rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)),
			fanOut: rapid.IntRange(1, 8).Draw(t, "fan-out"),
			nodes:  3000,
		}
		unused := w.call(rapid.IntRange(0, 23).Draw(t, "depth"), root)
		if w.extra+max(unused, 0) > root {
			t.Fatalf("%d extra attempts used and %d unused with a budget of %d", w.extra, unused, root)
		}
	})
}

// TestNaiveMultiplies shows the failure that Budget prevents: with three attempts at each
// hop, a leaf that always fails gets 3^depth calls; with a budget, at most 1+budget.
func TestNaiveMultiplies(t *testing.T) {
	var naive func(depth int) int
	naive = func(depth int) int {
		if depth == 0 {
			return 1
		}
		return 3 * naive(depth-1)
	}
	var budgeted func(depth int, b *Budget) int
	budgeted = func(depth int, b *Budget) int {
		if depth == 0 {
			return 1
		}
		for calls := 0; ; {
			a := b.Allocate(1)
			child := NewBudget(a.Attempts())
			calls += budgeted(depth-1, child)
			a.Release(child.Close())
			if !b.Take() {
				return calls
			}
		}
	}
	if got := naive(10); got != 59049 {
		t.Fatalf("without a budget, the leaf got %d calls, want 59049", got)
	}
	if got := budgeted(23, NewBudget(DefaultBudget)); got != 1+DefaultBudget {
		t.Fatalf("with a budget, the leaf got %d calls, want %d", got, 1+DefaultBudget)
	}
}

// TestDivision guards against a first child that gets all attempts, unequal allocations
// of parallel children, and a leaf without any attempt.
func TestDivision(t *testing.T) {
	for n := 2; n <= MaxBudget; n++ {
		b := NewBudget(n)
		b.Allocate(1).Release(0) // the first child used or lost all its attempts
		if b.Remaining() == 0 {
			t.Errorf("budget %d: no attempts left for the second child", n)
		}
		b = NewBudget(n)
		first, second, third := b.Allocate(3).Attempts(), b.Allocate(2).Attempts(), b.Allocate(1).Attempts()
		if first-third > 1 || first < second || second < third {
			t.Errorf("budget %d: allocations of parallel children are %d, %d, %d", n, first, second, third)
		}
	}
	allocated := DefaultBudget
	for range 23 {
		allocated = NewBudget(allocated).Allocate(1).Attempts()
	}
	if allocated != 1 {
		t.Errorf("the last hop of a chain of 23 has %d attempts, want 1", allocated)
	}
}

// TestRatioBoundsRetries guards against a retry storm: the retries in a window that ends
// with a retry must not exceed the fraction of first attempts or the floor, whichever is
// higher.
func TestRatioBoundsRetries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := DefaultRatioConfig()
		now := time.Unix(1e9, 0)
		r := NewRatioLimiter(cfg, now)
		type event struct {
			at    time.Time
			retry bool
		}
		var events []event
		for range rapid.IntRange(1, 300).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
			retry := rapid.Bool().Draw(t, "retry")
			if !retry {
				r.RecordFirst(now)
			} else if !r.Take(now) {
				continue
			}
			events = append(events, event{now, retry})
			first, retries := 0, 0
			for _, e := range events {
				if now.Sub(e.at) > cfg.Window {
					continue
				}
				if e.retry && now.Sub(e.at) <= cfg.Window-cfg.Window/windowBuckets {
					retries++
				} else if !e.retry {
					first++
				}
			}
			if retry && float64(retries) > max(float64(cfg.Floor), cfg.Fraction*float64(first)) {
				t.Fatalf("%d retries with %d first attempts", retries, first)
			}
		}
	})
}

// TestPolicy guards against repeating a call that may have run and is not idempotent,
// against a delay beyond the deadline, and against charging for a retry that is not made.
func TestPolicy(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1e9, 0)
		rnd := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		p := Policy{Ratio: NewRatioLimiter(DefaultRatioConfig(), now), Backoff: DefaultBackoff()}
		b := NewBudget(rapid.IntRange(0, 2).Draw(t, "budget"))
		a := Attempt{
			Outcome:          request.Outcome(rapid.IntRange(0, 3).Draw(t, "outcome")),
			Idempotent:       rapid.Bool().Draw(t, "idempotent"),
			DownstreamFailed: rapid.Bool().Draw(t, "downstream"),
			Retries:          rapid.IntRange(0, 70).Draw(t, "retries"),
			RetryAfter:       time.Duration(rapid.Int64Range(-5, 5).Draw(t, "after")),
			Remaining:        time.Duration(rapid.Int64Range(-5, 9e9).Draw(t, "remaining")),
		}
		before := b.Remaining()
		delay, ok := p.Next(now, a, b, rnd)
		safe := a.Outcome == request.NotRun || a.Idempotent && a.Outcome != request.Completed
		safe = safe && !a.DownstreamFailed
		switch {
		case ok && (!safe || delay < 0 || delay >= a.Remaining || b.Remaining() != before-1):
			t.Fatalf("retry of %+v after %v, budget %d to %d", a, delay, before, b.Remaining())
		case !ok && (b.Remaining() != before || p.Ratio.retry != 0):
			t.Fatalf("rejected retry of %+v was charged", a)
		case !ok && safe && before > 0 && a.Remaining > 5:
			t.Fatalf("retry of %+v rejected", a)
		}
	})
}

// TestRatioFollowsConfig guards against a limiter that keeps the limits of its first use
// after the fleet has grown or the operator has changed them.
func TestRatioFollowsConfig(t *testing.T) {
	now := time.Unix(0, 0)
	cfg := RatioConfig{Fraction: 0.5, Floor: 4, Window: 10 * time.Second}
	r := NewRatioLimiter(cfg, now)
	count := func() (n int) {
		for r.Take(now) {
			n++
		}
		return n
	}
	if got := count(); got != 4 {
		t.Errorf("%d retries without first attempts, want the floor of 4", got)
	}
	cfg.Floor = 6
	r.SetConfig(now, cfg)
	if got := count(); got != 2 {
		t.Errorf("%d more retries after the floor has risen by 2", got)
	}
	cfg.Floor = 1
	r.SetConfig(now, cfg)
	if got := count(); got != 0 {
		t.Errorf("%d retries above a floor that has fallen", got)
	}
	cfg.Window = 5 * time.Second
	r.SetConfig(now, cfg)
	if got := count(); got != 1 {
		t.Errorf("%d retries in the new window, want the floor of 1", got)
	}
}
