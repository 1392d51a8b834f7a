package routing

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// ending is a call in the small model of servers with a fixed number of slots.
type ending struct {
	at, latency time.Duration
	ingress     int
	id          string
	load        Report
}

type endings []ending

func (h endings) Len() int           { return len(h) }
func (h endings) Less(i, j int) bool { return h[i].at < h[j].at }
func (h endings) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *endings) Push(x any)        { *h = append(*h, x.(ending)) }
func (h *endings) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	*h = (*h)[:last]
	return e
}

type scenario struct {
	slow, factor int  // the first endpoints, and how many times slower they are
	lying        bool // they report an idle server
	localOnly    bool // all ingresses are in dc0, and so get one server in four
	rate         int  // calls a second
}

// run returns the 50th and 99th percentile of latency over 5 s. Each of 8 servers
// has 10 slots and a mean service time of 10 ms: 8,000 calls/s in total.
func (sc scenario) run(seed uint64, naive bool) (p50, p99 time.Duration) {
	const servers, slots, ingresses = 8, 10, 8
	rnd := rand.New(rand.NewPCG(seed, 1))
	es := testEndpoints(servers, 4, 0)
	index := map[string]int{}
	free := make([][]time.Duration, servers)
	for i, e := range es {
		index[e.ID] = i
		free[i] = make([]time.Duration, slots)
	}
	pickers := make([]*Picker, ingresses)
	for i := range pickers {
		dc := es[i%4].DataCentre
		if sc.localOnly {
			dc = "dc0"
		}
		pickers[i] = NewPicker(DefaultConfig(dc, ingresses, 2), dc)
		pickers[i].SetEndpoints(start, es)
	}
	var running endings
	var latencies []time.Duration
	for now := time.Duration(0); now < 5*time.Second; now += time.Duration(rnd.ExpFloat64() * 1e9 / float64(sc.rate)) {
		for len(running) > 0 && running[0].at <= now {
			e := heap.Pop(&running).(ending)
			pickers[e.ingress].Done(start.Add(e.at), e.id, Result{Latency: e.latency, Load: &e.load})
			latencies = append(latencies, e.latency)
		}
		ingress := rnd.IntN(ingresses)
		id, _ := pickers[ingress].Pick(start.Add(now), rnd, nil)
		if naive {
			id = es[rnd.IntN(servers)].ID
		}
		s := index[id]
		service := time.Duration(rnd.ExpFloat64() * 1e7)
		if s < sc.slow {
			service *= time.Duration(sc.factor)
		}
		slot := slices.Index(free[s], slices.Min(free[s]))
		wait := max(free[s][slot]-now, 0)
		free[s][slot] = now + wait + service
		e := ending{latency: wait + service, ingress: ingress, id: id}
		e.load = Report{Limit: slots, QueueWait: wait, ServiceTime: 10 * time.Millisecond, Age: e.latency}
		if sc.lying && s < sc.slow {
			e.load = Report{Limit: 1000}
		}
		if es[s].DataCentre != pickers[ingress].localDC {
			e.latency += 3 * time.Millisecond
		}
		e.at = now + e.latency
		heap.Push(&running, e)
	}
	slices.Sort(latencies)
	return latencies[len(latencies)/2], latencies[len(latencies)*99/100]
}

// TestAgainstRandomChoice guards against a choice that is worse than random, one
// that a wrong report attracts, and one that never leaves an overloaded data
// centre or always does.
func TestAgainstRandomChoice(t *testing.T) {
	for name, c := range map[string]struct {
		scenario
		gain float64 // least ratio of the 99th percentiles
	}{
		"steady":              {scenario{rate: 5000}, 1},
		"slow endpoint":       {scenario{slow: 1, factor: 10, rate: 4000}, 20},
		"lying slow endpoint": {scenario{slow: 1, factor: 10, lying: true, rate: 4000}, 20},
		"two lying endpoints": {scenario{slow: 2, factor: 10, lying: true, rate: 3000}, 20},
		// Random choice spreads this load perfectly, so ours can only match it.
		"one data centre": {scenario{localOnly: true, rate: 6000}, 0.95},
	} {
		for seed := range uint64(3) {
			n50, n99 := c.run(seed, true)
			o50, o99 := c.run(seed, false)
			t.Logf("%s, seed %d: p50 %v (random %v), p99 %v (random %v)", name, seed, o50, n50, o99, n99)
			if float64(n99) < c.gain*float64(o99) || o50 > n50+n50/10 {
				t.Errorf("%s, seed %d: not better than random choice", name, seed)
			}
		}
	}
}
