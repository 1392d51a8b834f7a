package retry

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/teaselseam/teaselseam/internal/request"
	"pgregory.net/rapid"
)

// tree walks a random call tree in which any attempt may fail or lose its
// response, and counts the extra attempts.
type tree struct {
	rnd    *rand.Rand
	fanOut int
	nodes  int // calls left, to bound the walk
	extra  int
}

// call serves one call with the budget lent to it and returns the unused part,
// or -1 if the response is lost.
func (w *tree) call(depth, lent int) int {
	w.nodes--
	b := NewBudget(lent)
	if depth > 0 && w.nodes > 0 {
		children := 1 + w.rnd.IntN(w.fanOut)
		if w.rnd.IntN(2) == 0 {
			for range children {
				w.child(b, b.Allocate(1), depth)
			}
		} else {
			loans := make([]*Allocation, children)
			for i := range loans {
				loans[i] = b.Allocate(children - i)
			}
			for _, l := range loans {
				w.child(b, l, depth)
			}
		}
	}
	unused := b.Close()
	if w.rnd.IntN(4) == 0 {
		return -1
	}
	return unused
}

func (w *tree) child(b *Budget, l *Allocation, depth int) {
	for {
		unused := w.call(depth-1, l.Attempts())
		l.Release(unused)
		l.Release(MaxBudget) // a duplicate response must not count
		if w.rnd.IntN(3) != 0 || !b.Take() {
			return
		}
		w.extra++
		l = b.Allocate(1)
	}
}

// TestTreeNeverExceedsRootBudget guards against retries that multiply with depth
// or fan-out, and against attempts created by lost or duplicate responses (G1).
func TestTreeNeverExceedsRootBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		root := rapid.IntRange(0, 20).Draw(t, "budget")
		w := &tree{
			rnd:    rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)),
			fanOut: rapid.IntRange(1, 8).Draw(t, "fan-out"),
			nodes:  3000,
		}
		unused := w.call(rapid.IntRange(0, 23).Draw(t, "depth"), root)
		if w.extra+max(unused, 0) > root {
			t.Fatalf("%d extra attempts and %d unused with a budget of %d", w.extra, unused, root)
		}
	})
}

// TestNaiveMultiplies shows the failure that Budget prevents: at a dead leaf,
// three attempts at each hop make 3^depth calls, the budget at most 1+budget.
func TestNaiveMultiplies(t *testing.T) {
	var naive func(depth int) int
	naive = func(depth int) int {
		if depth == 0 {
			return 1
		}
		return 3 * naive(depth-1)
	}
	var ours func(depth int, b *Budget) int
	ours = func(depth int, b *Budget) int {
		if depth == 0 {
			return 1
		}
		for calls := 0; ; {
			l := b.Allocate(1)
			child := NewBudget(l.Attempts())
			calls += ours(depth-1, child)
			l.Release(child.Close())
			if !b.Take() {
				return calls
			}
		}
	}
	if got := naive(10); got != 59049 {
		t.Fatalf("naive made %d calls", got)
	}
	if got := ours(23, NewBudget(DefaultBudget)); got != 1+DefaultBudget {
		t.Fatalf("got %d calls of the leaf, want %d", got, 1+DefaultBudget)
	}
}

// TestDivision guards against a first child that leaves nothing for the next,
// unequal parts of parallel children, and a leaf without any attempt.
func TestDivision(t *testing.T) {
	for n := 2; n <= MaxBudget; n++ {
		b := NewBudget(n)
		b.Allocate(1).Release(0) // the first child used or lost everything
		if b.Remaining() == 0 {
			t.Errorf("budget %d: nothing left for the second child", n)
		}
		b = NewBudget(n)
		first, second, third := b.Allocate(3).Attempts(), b.Allocate(2).Attempts(), b.Allocate(1).Attempts()
		if first-third > 1 || first < second || second < third {
			t.Errorf("budget %d: parallel parts %d, %d, %d", n, first, second, third)
		}
	}
	lent := DefaultBudget
	for range 23 {
		lent = NewBudget(lent).Allocate(1).Attempts()
	}
	if lent != 1 {
		t.Errorf("the last hop of a chain of 23 has %d attempts, want 1", lent)
	}
}

// TestRatioBoundsRetries guards against a retry storm: within a window ending at
// any retry, retries never exceed the fraction or the floor.
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
				if e.retry && now.Sub(e.at) <= cfg.Window-cfg.Window/ratioSlots {
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

// TestPolicy guards against repeating a call that may have run (G9), against a
// delay beyond the deadline, and against a retry that is charged but refused.
func TestPolicy(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1e9, 0)
		rnd := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		p := Policy{Ratio: NewRatioLimiter(DefaultRatioConfig(), now), Backoff: DefaultBackoff()}
		b := NewBudget(rapid.IntRange(0, 2).Draw(t, "budget"))
		a := Attempt{
			Outcome:    request.Outcome(rapid.IntRange(0, 3).Draw(t, "outcome")),
			Idempotent: rapid.Bool().Draw(t, "idempotent"),
			Downstream: rapid.Bool().Draw(t, "downstream"),
			Retries:    rapid.IntRange(0, 70).Draw(t, "retries"),
			RetryAfter: time.Duration(rapid.Int64Range(-5, 5).Draw(t, "after")),
			Remaining:  time.Duration(rapid.Int64Range(-5, 9e9).Draw(t, "remaining")),
		}
		before := b.Remaining()
		delay, ok := p.Next(now, a, b, rnd)
		safe := a.Outcome == request.NotRun || a.Idempotent && a.Outcome != request.Completed
		safe = safe && !a.Downstream
		switch {
		case ok && (!safe || delay < 0 || delay >= a.Remaining || b.Remaining() != before-1):
			t.Fatalf("retry of %+v after %v, budget %d to %d", a, delay, before, b.Remaining())
		case !ok && (b.Remaining() != before || p.Ratio.retry != 0):
			t.Fatalf("refused retry of %+v was charged", a)
		case !ok && safe && before > 0 && a.Remaining > 5:
			t.Fatalf("retry of %+v refused", a)
		}
	})
}
