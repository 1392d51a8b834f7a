package memory

import (
	"math/rand/v2"
	"sync"
	"testing"
)

// TestLongBodiesLeaveRoom checks that long bodies cannot take the whole budget, and that the short
// ones can use it up, beyond which requests are refused.
func TestLongBodiesLeaveRoom(t *testing.T) {
	const limit = 16 << 20
	b := New(limit)
	var all []*Reservation
	for {
		r := b.Reserve()
		all = append(all, r)
		if !r.GrowTo(256 << 10) {
			break
		}
	}
	if used := b.Used(); used > limit*longPercent/100+Floor || used < limit*longPercent/100-256<<10 {
		t.Errorf("long bodies hold %d of %d bytes", used, limit)
	}
	if b.Full() {
		t.Error("no request is taken any more because of long bodies")
	}
	for {
		r := b.Reserve()
		all = append(all, r)
		if !r.GrowTo(32 << 10) {
			break
		}
	}
	if used := b.Used(); used > limit*grownPercent/100+Floor || used < limit*grownPercent/100-32<<10 {
		t.Errorf("long and short bodies hold %d of %d bytes", used, limit)
	}
	if b.Full() {
		t.Error("no request is taken any more because of what is buffered")
	}
	for !b.Full() {
		all = append(all, b.Reserve())
	}
	if over := b.Peak() - limit; over > Floor {
		t.Errorf("%d bytes were held beyond the limit", over)
	}
	for _, r := range all {
		r.Release()
		r.Release()
	}
	if used := b.Used(); used != 0 {
		t.Errorf("%d bytes are held once all is released", used)
	}
}

// TestBudgetIsExact checks that nothing is lost or counted twice when many bodies come and go.
func TestBudgetIsExact(t *testing.T) {
	b := New(1 << 20)
	var wg sync.WaitGroup
	for seed := range uint64(8) {
		wg.Go(func() {
			rnd := rand.New(rand.NewPCG(seed, 1))
			for range 2000 {
				r := b.Reserve()
				for range rnd.IntN(4) {
					r.GrowTo(rnd.Int64N(256 << 10))
				}
				r.Release()
			}
		})
	}
	wg.Wait()
	if used := b.Used(); used != 0 {
		t.Errorf("%d bytes are held at the end", used)
	}
	if over := b.Peak() - 1<<20; over > 8*Floor {
		t.Errorf("%d bytes were held beyond the limit", over)
	}
}

// TestNoBudget checks that a node without a limit takes everything.
func TestNoBudget(t *testing.T) {
	var none *Budget
	if r := none.Reserve(); none.Full() || !r.GrowTo(1<<40) {
		t.Error("a missing budget has a limit")
	}
	unlimited := New(0)
	if r := unlimited.Reserve(); unlimited.Full() || !r.GrowTo(1<<40) {
		t.Error("a budget of 0 has a limit")
	}
}
