package quota

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// excess returns the first call that exceeds the limit in some window: the naive
// single bucket, replaying all calls that took a token, would refuse it.
func (s *sim) excess(limit Limit) string {
	var taken []*call
	for _, c := range s.calls {
		if c.accepted && !c.refund {
			taken = append(taken, c)
		}
	}
	slices.SortFunc(taken, func(a, b *call) int { return cmp.Compare(a.at.UnixNano(), b.at.UnixNano()) })
	b := bucket{limit: limit, level: limit.Burst}
	for i, c := range taken {
		if i == 0 {
			b.last = c.at
		}
		if !b.take(c.at) {
			return fmt.Sprintf("call %d of %d, at %v, exceeds rate %v and burst %v",
				i, len(taken), c.at.Sub(taken[0].at), limit.Rate, limit.Burst)
		}
	}
	return ""
}

// history is a sequence of changes, drawn by rapid.
type history struct {
	seed      uint64
	limit     Limit
	loss      float64
	duplicate float64
	steps     []int
}

var histories = rapid.Custom(func(t *rapid.T) history {
	return history{
		seed:      rapid.Uint64().Draw(t, "seed"),
		limit:     Limit{Rate: rapid.Float64Range(0.5, 100).Draw(t, "rate"), Burst: rapid.Float64Range(1, 80).Draw(t, "burst")},
		loss:      rapid.SampledFrom([]float64{0, 0.02, 0.3}).Draw(t, "loss"),
		duplicate: rapid.SampledFrom([]float64{0, 0.3}).Draw(t, "duplicate"),
		steps:     rapid.SliceOfN(rapid.IntRange(0, 127), 3, 8).Draw(t, "steps"),
	}
})

// play runs a history at three times the rate and returns what went wrong.
func play(h history, f faults) string {
	f.loss, f.duplicate, f.delay = h.loss, h.duplicate, 2*time.Second
	s := newSim(h.seed, h.limit, f)
	s.interval = 25 * time.Millisecond // fewer events
	s.run(settleWait)
	limit, widest, first, centres := h.limit, h.limit, 0, simCentres
	for _, step := range h.steps {
		n := s.nodes[step%simNodes]
		switch step / simNodes {
		case 0:
			n.paused = s.now.Add(time.Duration(step) * time.Second)
		case 1, 2: // restart of a node, mostly of a lender
			s.restart(n.index % (4 + 4*first%simNodes))
			first++
			s.change(limit, first, centres)
		case 3:
			first++
			s.change(limit, first, centres)
		case 4:
			limit = Limit{Rate: h.limit.Rate * float64(step%5+1) / 3, Burst: max(1, h.limit.Burst*float64(step%3+1)/2)}
			widest = Limit{Rate: max(widest.Rate, limit.Rate), Burst: max(widest.Burst, limit.Burst)}
			s.change(limit, first, centres)
		case 5:
			centres = 2 + step%3
			s.change(limit, first, centres)
		default:
			s.settle()
		}
		spread := 1 + step%simNodes
		s.load(time.Duration(1+step%2)*time.Second, min(3*limit.Rate, 200), func() int { return s.rnd.IntN(spread) })
	}
	return s.excess(widest)
}

// TestBound guards against more tokens than the limit in any window, under
// pauses, restarts, lost, late and duplicated messages, ring changes that nodes
// learn at different times, changes of the limit, and refunds.
func TestBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if fault := play(histories.Draw(t, "history"), faults{}); fault != "" {
			t.Fatal(fault)
		}
	})
}

// TestNaiveVariantsExceed guards against a simulation too tame to show a fault: in
// each case the rules of this package keep the limit, and a weaker rule does not.
func TestNaiveVariantsExceed(t *testing.T) {
	overload := func(s *sim, d time.Duration) {
		s.load(d, 3*s.ideal.limit.Rate, func() int { return s.rnd.IntN(simNodes) })
	}
	splitRing := func(s *sim) { // nodes 0 (a lender) and 4 (a guard) do not hear of the new ring
		s.nodes[0].deaf, s.nodes[4].deaf = true, true
		s.change(s.ideal.limit, 2, simCentres)
		s.run(time.Second)
	}
	cases := map[string]struct {
		limit Limit
		naive faults
		play  func(*sim)
	}{
		"old lender that lends while not fresh": {Limit{200, 160}, faults{noFreshness: true}, func(s *sim) {
			splitRing(s)
			s.settle()
			s.run(settleWait + time.Second)
			overload(s, 10*time.Second)
		}},
		"new lender that does not wait for settlement": {Limit{200, 160}, faults{noWait: true}, func(s *sim) {
			splitRing(s)
			overload(s, 10*time.Second)
		}},
		"larger part while other data centres still have theirs": {Limit{200, 160}, faults{newPartOnly: true}, func(s *sim) {
			for i := range s.nodes { // two data centres leave the ring and do not hear of it
				s.nodes[i].deaf = s.nodes[i].centre() >= 2
			}
			s.change(s.ideal.limit, 0, 2)
			s.run(time.Second)
			overload(s, 10*time.Second)
		}},
		"new lender that starts with a full bucket": {Limit{20, 800}, faults{fullStart: true}, func(s *sim) {
			overload(s, 30*time.Second)
			s.restart(0)
			s.change(s.ideal.limit, 1, simCentres)
			s.settle()
			s.run(settleWait + time.Second)
			overload(s, 10*time.Second)
		}},
		"lender that does not count outstanding tokens": {Limit{200, 16}, faults{noExpiry: true}, func(s *sim) {
			s.load(3*time.Second, 0.9*s.ideal.limit.Rate, func() int { return s.rnd.IntN(simCentres) })
			overload(s, time.Second)
		}},
	}
	for name, c := range cases {
		for _, f := range []faults{{}, c.naive} {
			s := newSim(1, c.limit, f)
			s.run(settleWait + time.Duration(c.limit.Burst/c.limit.Rate*float64(time.Second)))
			c.play(s)
			fault := s.excess(c.limit)
			t.Logf("%s, %+v: %s", name, f, cmp.Or(fault, "limit kept"))
			if (fault == "") != (f == faults{}) {
				t.Errorf("%s, %+v: %s", name, f, cmp.Or(fault, "limit kept"))
			}
		}
	}
}

// TestParts guards against parts that sum to more or less than the limit, and
// against parts too small to hold a token.
func TestParts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := Limit{Rate: rapid.Float64Range(0.01, 1e4).Draw(t, "rate"), Burst: rapid.Float64Range(1, 1e4).Draw(t, "burst")}
		var centres []string
		for i := range rapid.IntRange(1, 13).Draw(t, "centres") {
			centres = append(centres, centreName(i))
		}
		var sum Limit
		for _, dc := range centres {
			p := Part(limit, "w", dc, centres)
			sum.Rate, sum.Burst = sum.Rate+p.Rate, sum.Burst+p.Burst
			if p.Burst > 0 && p.Burst < min(limit.Burst, minPart) {
				t.Fatalf("part %+v of %+v", p, limit)
			}
		}
		if math.Abs(sum.Rate/limit.Rate-1) > 1e-9 || math.Abs(sum.Burst/limit.Burst-1) > 1e-9 {
			t.Fatalf("parts of %+v sum to %+v", limit, sum)
		}
	})
}

// TestRefund guards against a refund that gives a token twice: after its use was
// reported, or after its lot expired.
func TestRefund(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	b := NewBorrower(BorrowerConfig{Workspace: "w", DataCentre: "dc0", Borrower: "g"})
	b.SetLenders([]LenderID{{Node: "n", DataCentre: "dc0"}})
	b.Take(now)
	r, _ := b.Need(now)
	b.Granted(now, r, Grant{Sequence: r.Sequence, Granted: 2, Life: Life})
	first, _ := b.TakeWaiting(now)
	if !b.Refund(now, first) || b.Refund(now, first) {
		t.Error("an unreported token was not refunded exactly once")
	}
	first, _ = b.TakeWaiting(now)
	b.Need(now.Add(Life / 2))
	second, _ := b.TakeWaiting(now)
	if b.Refund(now, first) {
		t.Error("a reported token was refunded")
	}
	if b.Refund(now.Add(2*Life), second) || !b.Refund(now, second) {
		t.Error("a token was refunded after its lot expired, or not before")
	}
}

func BenchmarkTake(b *testing.B) {
	now := time.Unix(1_700_000_000, 0)
	br := NewBorrower(BorrowerConfig{Workspace: "w", DataCentre: "dc0", Borrower: "g"})
	br.SetLenders([]LenderID{{Node: "n", DataCentre: "dc0"}})
	br.Take(now)
	r, _ := br.Need(now)
	br.Granted(now, r, Grant{Sequence: r.Sequence, Granted: 1 << 62, Life: Life})
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		if _, ok := br.Take(now.Add(time.Duration(i % 1000))); !ok {
			b.Fatal("no token")
		}
	}
}

func BenchmarkLenderBorrow(b *testing.B) {
	now := time.Unix(1_700_000_000, 0)
	self := LenderID{Node: "n", Incarnation: "1", DataCentre: "dc0"}
	l := NewLender(LenderConfig{Workspace: "w", Self: self, Since: 1, Part: Limit{Rate: 1e6, Burst: 1e6}})
	l.Settled(now.Add(-2*settleWait), 1)
	l.SetFreshUntil(now.Add(time.Hour))
	b.ReportAllocs()
	for i := uint64(1); b.Loop(); i++ {
		now = now.Add(20 * time.Microsecond)
		l.Borrow(now, Borrow{Lender: self, Borrower: "g", Sequence: i, Want: 5, Reports: []Report{{Sequence: i - 1, Used: 5}}})
	}
}
