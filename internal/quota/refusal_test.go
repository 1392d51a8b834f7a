package quota

import (
	"testing"
	"time"
)

// TestWrongfulRefusals guards against calls refused for lack of a token although
// the workspace is within its limit, in a model without faults.
func TestWrongfulRefusals(t *testing.T) {
	const period = 5 * time.Second
	anywhere := func(s *sim) func() int { return func() int { return s.rnd.IntN(simNodes) } }
	node := func(i int) func(*sim) func() int { return func(*sim) func() int { return func() int { return i } } }
	centre := func(dc int) func(*sim) func() int {
		return func(s *sim) func() int { return func() int { return dc + simCentres*s.rnd.IntN(4) } }
	}
	live := func(s *sim) func() int { return func() int { return 1 + s.rnd.IntN(simNodes-1) } }
	scenarios := []struct {
		name  string
		where []func(*sim) func() int // one for each period, repeated
		dead  int                     // node that is dead all the time, if any
	}{
		{"all nodes", []func(*sim) func() int{anywhere}, -1},
		{"one node", []func(*sim) func() int{node(5)}, -1},
		{"moves to another data centre every 5 s", []func(*sim) func() int{centre(0), centre(1), centre(2), centre(3)}, -1},
		{"a lender is dead and not replaced", []func(*sim) func() int{live}, 0},
	}
	limits := []Limit{{Rate: 1000, Burst: 200}, {Rate: 200, Burst: 100}, {Rate: 200, Burst: 20}, {Rate: 20, Burst: 10}, {Rate: 0.5, Burst: 2}}
	for _, sc := range scenarios {
		for _, limit := range limits {
			s := newSim(1, limit, faults{})
			s.run(settleWait + time.Duration(limit.Burst/limit.Rate*float64(time.Second)))
			if sc.dead >= 0 {
				s.nodes[sc.dead].paused = s.now.Add(time.Hour)
			}
			periods := 4
			if limit.Rate < 100 {
				periods = 16
			}
			for i := range periods {
				s.load(period, 0.9*limit.Rate, sc.where[i%len(sc.where)](s))
			}
			refused, wrong, ideal := 0, 0, 0
			for _, c := range s.calls {
				if !c.accepted {
					refused++
				}
				if c.ideal {
					ideal++
				}
				if c.ideal && !c.accepted {
					wrong++
				}
			}
			t.Logf("%-38s rate %5v burst %4v: %5d calls, %5d accepted, single bucket %5d, wrongly refused %4d = %.2f %%",
				sc.name, limit.Rate, limit.Burst, len(s.calls), len(s.calls)-refused, ideal, wrong, 100*float64(wrong)/float64(len(s.calls)))
			if share := float64(wrong) / float64(len(s.calls)); share > allowedShare(limit, sc.dead >= 0) && len(s.calls) > 100 {
				t.Errorf("%s, %+v: %.2f %% wrongly refused", sc.name, limit, 100*share)
			}
			if fault := s.excess(limit); fault != "" {
				t.Error(fault)
			}
		}
	}
}

// allowedShare is the largest share of wrongful refusals that the test accepts. A
// dead lender's part of the rate, a quarter, is lost until the ring changes. A
// burst below 0.1 s of the rate is too small to be spread over nodes.
func allowedShare(l Limit, dead bool) float64 {
	switch {
	case dead:
		return 0.17
	case l.Burst <= 0.1*l.Rate || l.Burst <= 10:
		return 0.02
	}
	return 0.001
}
