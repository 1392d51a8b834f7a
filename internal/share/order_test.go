package share

import (
	"testing"
	"time"

	"github.com/teaselseam/teaselseam/internal/request"
)

// mix is the requests of a workspace by importance, in requests per second.
type mix [request.NumImportance]float64

// runMix sends the requests of a mix to random ones of the first targets nodes. It returns
// the fraction of each importance that is admitted and the number of all admitted requests.
func (f *fleet) runMix(d time.Duration, m mix, targets int) (fractions mix, admitted float64) {
	var asked, passed mix
	for range int(d / step) {
		f.now = f.now.Add(step)
		before := passed.sum()
		for range f.poisson(m.sum() * step.Seconds()) {
			imp := m.draw(f.rnd.Float64())
			asked[imp]++
			i := f.rnd.IntN(targets)
			if f.nodes[i].Take(f.now, workspace, imp) {
				passed[imp]++
				continue
			}
			if f.nodes[i].CanDraw(f.now, workspace, imp) {
				f.exchange(i)
				if f.nodes[i].TakeAfterExchange(f.exchanged(), workspace, imp) {
					passed[imp]++
				}
			}
		}
		f.admitted = append(f.admitted, int(passed.sum()-before))
		f.exchangeInTurn()
	}
	for i := range asked {
		if asked[i] > 0 {
			fractions[i] = passed[i] / asked[i]
		}
	}
	return fractions, passed.sum()
}

// exchangeInTurn lets each node exchange tokens every 250 ms, not all at the same moment.
func (f *fleet) exchangeInTurn() {
	const steps = int(250 * time.Millisecond / step)
	for i := range f.nodes {
		if (int(f.now.UnixMilli()/step.Milliseconds())+i)%steps == 0 {
			f.exchange(i)
		}
	}
}

func (f *fleet) poisson(mean float64) (n int) {
	for t := f.rnd.ExpFloat64(); t < mean; t += f.rnd.ExpFloat64() {
		n++
	}
	return n
}

func (m mix) sum() (total float64) {
	for _, v := range m {
		total += v
	}
	return total
}

// draw returns the importance of a request, for a random number below 1.
func (m mix) draw(random float64) request.Importance {
	random *= m.sum()
	for i, v := range m {
		if random -= v; random < 0 {
			return request.Importance(i)
		}
	}
	return request.Critical
}

// TestOrderBeyondRate replays a workspace that sends a multiple of its rate, three tenths of
// it important, and guards against tokens that go to whoever comes first: what is important
// was then refused as often as the rest.
func TestOrderBeyondRate(t *testing.T) {
	const rate = 324
	limit := Limit{workspace, rate, rate / 2}
	for _, nodes := range []int{1, 16, 83, 194} {
		for _, targets := range []int{nodes, (nodes + 3) / 4} {
			for _, times := range []float64{2, 8} {
				f := newFleet(nodes, limit)
				f.run(3*time.Second, 0.5*rate, nodes)
				m := mix{request.Sheddable: 0.7 * times * rate, request.Critical: 0.3 * times * rate}
				f.runMix(time.Second, m, targets) // the burst is used up
				got, admitted := f.runMix(10*time.Second, m, targets)
				important, rest := got[request.Critical], got[request.Sheddable]
				t.Logf("%d nodes, %d with requests, %v times the rate: %.3f of the important, %.3f of the others, %.3f of the rate used",
					nodes, targets, times, important, rest, admitted/(10*rate))
				if n := f.maxAdmitted(); n > allowed(limit) {
					t.Errorf("%d requests admitted in 5 s, allowed are %d", n, allowed(limit))
				}
				if admitted < 0.95*10*rate {
					t.Errorf("%.0f requests admitted in 10 s, want 0.95 of the rate", admitted)
				}
				if rest < 0.9*floorRatio*important {
					t.Errorf("%.3f of the other requests admitted, want a quarter of the important ones' %.3f", rest, important)
				}
				// What the important ones get if the others keep just their floor.
				want := min(1/(0.3*times+floorRatio*0.7*times), 1)
				if important < 0.95*want {
					t.Errorf("%.3f of the important requests admitted, want %.3f", important, want)
				}
			}
		}
	}
}

// TestOrderWithinRate guards against a reserve that refuses requests of a workspace which
// stays within its rate, also of a small one in a large fleet, of which a node holds a
// fraction of a token.
func TestOrderWithinRate(t *testing.T) {
	for _, nodes := range []int{1, 16, 83, 194} {
		for _, rate := range []float64{8, 30, 324} {
			f := newFleet(nodes, Limit{workspace, rate, rate / 2})
			f.run(3*time.Second, 0.5*rate, nodes)
			m := mix{request.Sheddable: 0.7 * 0.62 * rate, request.Critical: 0.3 * 0.62 * rate}
			if got, _ := f.runMix(20*time.Second, m, nodes); got[request.Sheddable] < 0.99 || got[request.Critical] < 0.99 {
				t.Errorf("%d nodes, rate %v: %.3f admitted at 0.62 of the rate, want all", nodes, rate, got)
			}
		}
	}
}

// TestOrderAfterSurge guards against a reserve that stays when the important requests, for
// which it was made, have gone: tokens would be left unused.
func TestOrderAfterSurge(t *testing.T) {
	const rate = 324
	for _, nodes := range []int{1, 16, 83, 194} {
		f := newFleet(nodes, Limit{workspace, rate, rate / 2})
		f.run(3*time.Second, 0.5*rate, nodes)
		f.runMix(5*time.Second, mix{request.Sheddable: 5.6 * rate, request.Critical: 2.4 * rate}, nodes)
		after := mix{request.Sheddable: 0.6 * rate, request.Critical: 0.2 * rate}
		f.runMix(time.Second, after, nodes)
		got, _ := f.runMix(3*time.Second, after, nodes)
		t.Logf("%d nodes: %.3f", nodes, got)
		if got[request.Sheddable] < 0.97 || got[request.Critical] < 0.97 {
			t.Errorf("%d nodes: %v admitted at 0.8 of the rate from a second after a surge on", nodes, got)
		}
	}
}
