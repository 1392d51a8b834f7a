//go:build review

package main

import (
	"fmt"
	"slices"
	"sync"
	"syscall"
	"time"

	membership "github.com/teaselseam/teaselseam/internal/fleet"
)

// quotaCase: see claim.txt.
func quotaCase(f *fleet, trouble bool) string {
	const (
		rate, burst = 300, 300
		usual       = rate / 1.6 // quota_x in the site file
		hotFactor   = 8
	)
	key := "6wsjnbanfqasnmgkcuyj"
	f.configure(7, []route{{"r-tally", "/leny950/", "safe", "tally", 5000, 1200, false}}, []tenant{{"pulo780", key, rate, burst}})
	for _, name := range []string{"esna-1", "esna-2", "esna-3", "esna-4", "assiut-1", "assiut-2", "assiut-3", "assiut-4", "aswan-1", "aswan-2", "aswan-3", "aswan-4"} {
		f.add(name, name[:len(name)-2], "tally", 400, 5*time.Millisecond)
	}
	for _, n := range f.nodes {
		n.start(true)
		n.worker.start()
	}
	f.awaitReady(15*time.Second, f.nodes...)
	time.Sleep(6 * time.Second)
	var members []*membership.Member
	for _, n := range f.nodes {
		members = append(members, &membership.Member{Node: n.name})
	}
	byName := map[string]*node{}
	for _, n := range f.nodes {
		byName[n.name] = n
	}
	order := membership.RendezvousOrder(members, "share bank")
	// restart restarts nodes in turn, as a rolling restart does.
	restart := func(nodes ...*node) {
		var wg sync.WaitGroup
		for _, n := range nodes {
			n.signal(syscall.SIGTERM)
			wg.Go(func() {
				if !n.awaitExit(6 * time.Second) {
					n.signal(syscall.SIGKILL)
					n.awaitExit(time.Second)
				}
				time.Sleep(300 * time.Millisecond)
				n.start(false)
			})
			time.Sleep(1200 * time.Millisecond)
		}
		wg.Wait()
	}
	first, second := byName[order[0].Node], byName[order[1].Node]
	f.rec.log("the token bank is at %s, then %s, then %s", order[0].Node, order[1].Node, order[2].Node)
	var mu sync.Mutex
	var answers []answer
	var wg sync.WaitGroup
	// traffic sends perS requests of the tenant a second, spread over all nodes, until stop is closed.
	traffic := func(perS float64, stop <-chan struct{}) {
		for _, n := range f.nodes {
			wg.Go(func() {
				t := time.NewTicker(time.Duration(float64(len(f.nodes)) * float64(time.Second) / perS))
				defer t.Stop()
				for {
					select {
					case <-stop:
						return
					case <-t.C:
					}
					wg.Go(func() {
						a := f.send(n, "GET", "/leny950/2f", key, 2*time.Second, nil)
						mu.Lock()
						defer mu.Unlock()
						answers = append(answers, a)
					})
				}
			})
		}
	}
	calm := make(chan struct{})
	traffic(usual, calm)
	time.Sleep(2 * time.Second)
	if trouble {
		restart(second, first)
	}
	time.Sleep(8 * time.Second)
	close(calm)
	hot, hotAt := make(chan struct{}), time.Now()
	f.rec.log("the tenant sends %d times its usual", hotFactor)
	traffic(hotFactor*usual, hot)
	time.Sleep(500 * time.Millisecond)
	if trouble {
		restart(first, second)
	}
	time.Sleep(time.Until(hotAt.Add(8 * time.Second)))
	close(hot)
	wg.Wait()
	sent := map[string]time.Time{}
	for _, a := range answers {
		sent[a.id] = a.sent
	}
	type span struct{ sent, at time.Time }
	var spans []span
	for _, n := range f.nodes {
		for _, x := range n.worker.allRuns() {
			if s, ok := sent[x.id]; ok {
				spans = append(spans, span{s, x.at})
			}
		}
	}
	slices.SortFunc(spans, func(a, b span) int { return a.at.Compare(b.at) })
	most := 0
	for i := range spans {
		end := spans[i].at
		begin := end.Add(-5 * time.Second)
		c := 0
		for _, s := range spans[:i+1] {
			if !s.sent.Before(begin) {
				c++
			}
		}
		most = max(most, c)
	}
	allowed := (rate*5+burst)*1.1 + 20
	f.rec.log("sent %d, run %d, most in a window %d, allowed %.0f", len(answers), len(spans), most, allowed)
	fmt.Printf("sent %d, run %d, most in a window %d, allowed %.0f\n", len(answers), len(spans), most, allowed)
	if float64(most) > allowed {
		return fmt.Sprintf("QUOTA: %d requests of the tenant ran in a window, %.0f are allowed", most, allowed)
	}
	return ""
}
