package claim

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/teaselseam/teaselseam/internal/request"
	"github.com/teaselseam/teaselseam/internal/ring"
)

// TestAtMostOnce guards against two runs of one request ID, and against a "not
// run" reply for an ID that ran, under crashes of any number of holders, ring
// changes that nodes learn at different times, lost, duplicated, late and
// reordered messages, clock steps, and guards that pause before the run.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		steps := histories.Draw(t, "history")
		if fault := play(variant{}, steps); fault != "" {
			t.Fatal(fault)
		}
	})
}

// TestNaiveVariantsFail guards against histories too tame to show a fault: the
// rule of this package survives all of them, and each weaker rule fails.
func TestNaiveVariantsFail(t *testing.T) {
	const seeds = 2_000
	faults := map[string]int{}
	variants := map[string]variant{
		"rule of this package": {},
		"no claims":            {noClaims: true},
		"one holder":           {oneHolder: true, newestOnly: true, anyHolder: true},
		"newest epoch only":    {newestOnly: true},
	}
	for seed := range seeds {
		steps := histories.Example(seed)
		for name, v := range variants {
			if play(v, steps) != "" {
				faults[name]++
			}
		}
	}
	for name, v := range variants {
		t.Logf("%-20s %d of %d histories fail", name, faults[name], seeds)
		if (faults[name] > 0) == (v == variant{}) {
			t.Errorf("%s: %d of %d histories fail", name, faults[name], seeds)
		}
	}
}

// TestRingChange guards against two runs of an ID that reaches a guard in the old
// ring and one in the new ring. The old ring is node 0, the new one all others.
func TestRingChange(t *testing.T) {
	oldRing := []step{script("change ring", 0, 4), script("learn all", 0, 5), script("new ID", 0, 0)}
	run := func(guard int) []step {
		return []step{script("send", guard, 0), script("deliver all", 0, 0), script("run", 0, 0)}
	}
	newRing := func(wait int) []step { return []step{script("change ring", 62, wait)} }
	cases := map[string]struct {
		naive variant
		steps [][]step
	}{
		"epoch ends while an ID granted in it is still accepted": {
			variant{retire: 20 * time.Second},
			[][]step{oldRing, run(1), newRing(2), {script("learn all", 0, 5)}, run(2)},
		},
		"guard that has not heard of the new ring for 125 s": {
			variant{localTimer: true},
			[][]step{
				oldRing,
				{script("commit", 62, 0), script("learn all", 2, 0)},
				{script("advance", 0, 3), script("new ID", 0, 0)},
				run(2), run(1),
			},
		},
		"guard and holder that have not heard that the old ring has ended": {
			variant{anyHolder: true},
			[][]step{
				oldRing, newRing(4), {script("learn all", 2, 0), script("new ID", 0, 0)}, run(2), run(1),
			},
		},
		"guard that needs no claims in the old ring": {
			variant{newestOnly: true},
			[][]step{oldRing, run(1), {script("commit", 62, 0), script("learn all", 2, 0)}, run(2)},
		},
	}
	for name, c := range cases {
		steps := slices.Concat(c.steps...)
		if fault := play(variant{}, steps); fault != "" {
			t.Errorf("%s: %s", name, fault)
		}
		if play(c.naive, steps) == "" {
			t.Errorf("%s: the naive rule shows no fault", name)
		}
	}
}

func script(kind string, a, b int) step {
	return step{kind: slices.Index(kinds, kind), a: a, b: b}
}

// TestHolder guards against a claim that is granted twice because of a repeated
// or late message, or because a clock was set back after the claim was forgotten.
func TestHolder(t *testing.T) {
	w := &world{now: time.Unix(1_700_000_000, 0), runs: map[request.ID]int{}}
	w.newID(0)
	h := NewHolder(Config{Incarnation: "1"})
	acquire := func(after time.Duration, token, incarnation string, want Result) {
		t.Helper()
		now := w.now.Add(after)
		h.SetFreshUntil(now)
		r := Acquire{ID: w.id, Claimant: "g", Token: token, Epoch: 1, HolderIncarnation: incarnation}
		if got := h.Acquire(now, r); got.Result != want {
			t.Errorf("acquire by %s at %v: %v, want %v", token, after, got.Result, want)
		}
	}
	release := func(token string) {
		h.Release(w.now, Release{ID: w.id, Claimant: "g", Token: token, HolderIncarnation: "1"})
	}
	acquire(0, "a", "0", WrongEpoch)
	acquire(0, "a", "1", Granted)
	acquire(0, "a", "1", Granted)
	acquire(0, "b", "1", Taken)
	release("b")
	acquire(0, "b", "1", Taken)
	release("a")
	acquire(0, "a", "1", Taken)
	acquire(0, "b", "1", Granted)
	release("a")
	acquire(ring.IDLifetime, "c", "1", Taken)
	acquire(ring.IDLifetime+2*time.Second, "c", "1", TooOld)
	if h.Len() != 0 {
		t.Errorf("%d claims are left", h.Len())
	}
	acquire(0, "c", "1", TooOld)
	acquire(-ring.IDAhead-time.Millisecond, "c", "1", TooOld)
}

// TestRoundRefusals guards against a refusal with the wrong reason or outcome.
func TestRoundRefusals(t *testing.T) {
	w := &world{now: time.Unix(1_700_000_000, 0), runs: map[request.ID]int{}}
	for i := range w.nodes {
		w.nodes[i] = &node{}
	}
	w.commit(1<<6 - 1)
	h, err := ring.NewHistory(w.epochs)
	if err != nil {
		t.Fatal(err)
	}
	w.newID(0)
	cases := []struct {
		id      request.ID
		replies []Result
		want    request.Refusal
	}{
		{"not-a-uuid", nil, request.Refuse(request.ReasonBadRequest, 0)},
		{w.id, []Result{Taken, Unavailable}, request.Unknown(request.ReasonDuplicate)},
		{w.id, []Result{Granted, TooOld, TooOld}, request.Unknown(request.ReasonIDTooOld)},
		{w.id, []Result{WrongEpoch, Unavailable}, request.Unknown(request.ReasonClaimUnavailable)},
		{w.id, []Result{Granted}, request.Unknown(request.ReasonClaimUnavailable)},
	}
	for _, c := range cases {
		r := NewRound(w.now, &Clock{}, h, Attempt{ID: c.id, Claimant: "g", Token: "t"})
		asks := r.Asks()
		for i, result := range c.replies {
			r.Replied(asks[i], Reply{Result: result, Epoch: 1})
		}
		r.GiveUp()
		if r.Status() != Refused || r.Refusal() != c.want || r.Start() {
			t.Errorf("%s %v: status %v, refusal %+v", c.id, c.replies, r.Status(), r.Refusal())
		}
	}
}

func BenchmarkHolderAcquire(b *testing.B) {
	w := &world{now: time.Unix(1_700_000_000, 0), runs: map[request.ID]int{}}
	w.newID(0)
	h := NewHolder(Config{Incarnation: "1"})
	h.SetFreshUntil(w.now)
	prefix := string(w.id[:24])
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		id := request.ID(fmt.Sprintf("%s%012x", prefix, i%15_000))
		h.Acquire(w.now, Acquire{ID: id, Claimant: "g", Token: "t", Epoch: 1, HolderIncarnation: "1"})
	}
}
