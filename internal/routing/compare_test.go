package routing

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// completion is the end of a call in a simulation of servers with a fixed number of
// slots.
type completion struct {
	at, latency time.Duration
	ingress     int
	id          string
	load        Report
}

type completionQueue []completion

func (h completionQueue) Len() int           { return len(h) }
func (h completionQueue) Less(i, j int) bool { return h[i].at < h[j].at }
func (h completionQueue) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *completionQueue) Push(x any)        { *h = append(*h, x.(completion)) }
func (h *completionQueue) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	*h = (*h)[:last]
	return e
}

type scenario struct {
	slow, factor int  // number of slow endpoints (the first ones), and how many times slower they are
	misreports   bool // the slow endpoints report an idle server
	localOnly    bool // all ingresses are in dc0, where one server in four is
	rate         int  // calls per second
}

// run simulates 5 s and returns the 50th and 99th percentile of latency. Each of 8
// servers has 10 slots and a mean service time of 10 ms: 8,000 calls/s in total. With
// random set, servers are chosen at random instead of by Picker.
func (sc scenario) run(seed uint64, random bool) (p50, p99 time.Duration) {
	const servers, slots, ingresses = 8, 10, 8
	rnd := rand.New(rand.NewPCG(seed, 1))
	es := testEndpoints(servers, 4, 0)
	index := map[string]int{}
	free := make([][]time.Duration, servers) // when each slot becomes free
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
	var running completionQueue
	var latencies []time.Duration
	for now := time.Duration(0); now < 5*time.Second; now += time.Duration(rnd.ExpFloat64() * 1e9 / float64(sc.rate)) {
		for len(running) > 0 && running[0].at <= now {
			e := heap.Pop(&running).(completion)
			pickers[e.ingress].Done(start.Add(e.at), e.id, Result{Latency: e.latency, Load: &e.load})
			latencies = append(latencies, e.latency)
		}
		ingress := rnd.IntN(ingresses)
		id, _ := pickers[ingress].Pick(start.Add(now), rnd, nil)
		if random {
			id = es[rnd.IntN(servers)].ID
		}
		s := index[id]
		serviceTime := time.Duration(rnd.ExpFloat64() * 1e7)
		if s < sc.slow {
			serviceTime *= time.Duration(sc.factor)
		}
		slot := slices.Index(free[s], slices.Min(free[s]))
		wait := max(free[s][slot]-now, 0)
		free[s][slot] = now + wait + serviceTime
		e := completion{latency: wait + serviceTime, ingress: ingress, id: id}
		e.load = Report{Limit: slots, QueueWait: wait, ServiceTime: 10 * time.Millisecond, Age: e.latency}
		if sc.misreports && s < sc.slow {
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

// TestAgainstRandomChoice compares Picker with random choice. It guards against
// selection that is worse than random, that is attracted by false load reports, or that
// spills too few or too many calls from an overloaded data centre.
func TestAgainstRandomChoice(t *testing.T) {
	for name, c := range map[string]struct {
		scenario
		gain float64 // minimum ratio of the 99th percentiles, random to Picker
	}{
		"steady":                           {scenario{rate: 5000}, 1},
		"slow endpoint":                    {scenario{slow: 1, factor: 10, rate: 4000}, 20},
		"slow endpoint with false reports": {scenario{slow: 1, factor: 10, misreports: true, rate: 4000}, 20},
		"two with false reports":           {scenario{slow: 2, factor: 10, misreports: true, rate: 3000}, 20},
		// Random choice distributes this load evenly, so Picker can at best match it.
		"one data centre": {scenario{localOnly: true, rate: 6000}, 0.95},
	} {
		for seed := range uint64(3) {
			random50, random99 := c.run(seed, true)
			p50, p99 := c.run(seed, false)
			t.Logf("%s, seed %d: p50 %v (random %v), p99 %v (random %v)", name, seed, p50, random50, p99, random99)
			if float64(random99) < c.gain*float64(p99) || p50 > random50+random50/10 {
				t.Errorf("%s, seed %d: p50 %v and p99 %v, random choice %v and %v: want p99 at least %v times shorter and p50 at most 10%% longer",
					name, seed, p50, p99, random50, random99, c.gain)
			}
		}
	}
}
