//go:build review

package main

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

const (
	grace = 6 * time.Second // bounds.graceS
	// sentLimit is how late after SIGTERM a request may be sent so that it is excused if its
	// worker is still at work in the last sixth of graceS.
	sentLimit = 3 * time.Second
	// rounds is how often the two nodes are restarted.
	rounds = 6
)

// termCase: the two nodes of a zone get SIGTERM, one after the other. Fewer than half of the
// zone's nodes are in then, so clients go on sending. No request that a node has read and passed
// on to a worker may end without an answer.
func termCase(f *fleet, trouble bool) string {
	tenants := []tenant{{"pulo780", "6wsjnbanfqasnmgkcuyj", 171, 171}}
	f.configure(7, []route{
		{"r-bench", "/leny950/", "safe", "benchlink", 4000, 2000, false},
		{"r-open", "/puka111/", "safe", "benchlink", 4000, 2000, true}, // noAuth
	}, tenants)
	f.add("floor-1", "floor", "vialrec", 37, 0)
	f.add("floor-2", "floor", "vialrec", 37, 0)
	for i, speed := range []float64{0.5, 1, 1, 1.5} { // as in the site file of hdlw-mesh
		f.add(fmt.Sprint("office-", i+1), "office", "benchlink", 16, 0).worker.speed = speed
	}
	for _, n := range f.nodes {
		n.start(true)
		n.worker.start()
	}
	f.awaitReady(15*time.Second, f.nodes...)
	f.probeAll()
	time.Sleep(4 * time.Second)

	stopping := f.nodes[:2]
	// Most requests come from the machines that stop.
	from := []*node{f.nodes[0], f.nodes[1], f.nodes[2], f.nodes[0], f.nodes[1], f.nodes[3], f.nodes[0], f.nodes[1], f.nodes[4], f.nodes[0], f.nodes[1], f.nodes[5]}
	termAt := map[string][]time.Time{}
	var mu sync.Mutex
	var answers []answer
	var wg sync.WaitGroup
	rnd := rand.New(rand.NewPCG(7, 7))
	stop := make(chan struct{})
	wg.Go(func() {
		t := time.NewTicker(15 * time.Millisecond)
		defer t.Stop()
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-t.C:
			}
			n := from[i%len(from)]
			uri, key := "/leny950/2f", tenants[0].key
			if rnd.IntN(2) == 0 {
				uri, key = "/puka111/2f", ""
			}
			uri += "?work=" + benchWork(rnd).Round(time.Millisecond).String()
			if !n.getsClients() {
				continue
			}
			wg.Go(func() {
				a := f.send(n, "GET", uri, key, 8*time.Second, nil)
				mu.Lock()
				defer mu.Unlock()
				answers = append(answers, a)
			})
		}
	})
	time.Sleep(3 * time.Second)
	for range rounds {
		for _, n := range stopping {
			if trouble {
				mu.Lock()
				termAt[n.name] = append(termAt[n.name], time.Now())
				mu.Unlock()
				n.signal(syscall.SIGTERM)
				wg.Go(func() {
					if !n.awaitExit(grace) {
						n.signal(syscall.SIGKILL)
						n.awaitExit(time.Second)
					}
					f.rec.log("node %s: process has ended", n.name)
					time.Sleep(300 * time.Millisecond)
					n.start(false)
				})
			}
			time.Sleep(1200 * time.Millisecond)
		}
		time.Sleep(grace + 4*time.Second)
	}
	close(stop)
	wg.Wait()

	runs := map[string]run{}
	for _, n := range f.nodes {
		for _, x := range n.worker.allRuns() {
			runs[x.id] = x
		}
	}
	lost := 0
	for _, a := range answers {
		x, ran := runs[a.id]
		at, stopped := lastBefore(termAt[a.node], a.sent)
		switch {
		case a.status != 0, !stopped, !ran, a.ended.After(at.Add(grace + time.Second)):
			continue
		case a.ended.Sub(a.sent) >= 4*time.Second-100*time.Millisecond:
			continue // the route's timeout
		case !a.sent.After(at.Add(sentLimit)):
			f.rec.log("%s of %s: cut off, sent %.2f s after SIGTERM: excused", a.id, a.node, a.sent.Sub(at).Seconds())
			continue
		}
		lost++
		f.rec.log("%s of %s: sent %.2f s after SIGTERM, ran at %s from %.2f s on, connection ended without an answer %.2f s after SIGTERM; %s",
			a.id, a.node, a.sent.Sub(at).Seconds(), x.worker, x.at.Sub(at).Seconds(), a.ended.Sub(at).Seconds(), a.uri)
	}
	if lost > 0 {
		return fmt.Sprintf("LOST: %d requests, sent later than 3 s after the SIGTERM and passed on to a worker, ended without an answer", lost)
	}
	return ""
}

// lastBefore returns the last time that is before t.
func lastBefore(times []time.Time, t time.Time) (last time.Time, ok bool) {
	for _, x := range times {
		if x.Before(t) {
			last, ok = x, true
		}
	}
	return last, ok
}

// benchWork draws the work of a request as in the site file of hdlw-mesh: mean 640 ms, spread 0.3,
// one in 100 three times as long, at most 3.8 s.
func benchWork(rnd *rand.Rand) time.Duration {
	const mean, spread, tail, tailX, most = 640.0, 0.3, 0.01, 3.0, 3800.0
	ms := mean * math.Exp(spread*rnd.NormFloat64()-spread*spread/2)
	if rnd.Float64() < tail {
		ms *= tailX
	}
	return time.Duration(min(ms, most) * float64(time.Millisecond))
}
