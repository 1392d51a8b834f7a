//go:build review

package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

const (
	contact    = 3 * time.Second // bounds.contactMs
	drainBound = 2 * time.Second // bounds.drainMs
)

// drainCase: a node is stopped and started again, as planned, while the store turns its machine
// away. The worker beside it leaves by a DELETE, which the new process acknowledges. Later the
// store serves the machine again. The worker must get no request later than drainMs after the
// acknowledgement.
func drainCase(f *fleet, trouble bool) string {
	tenants := []tenant{{"pulo780", "6wsjnbanfqasnmgkcuyj", 171, 171}}
	f.configure(7, []route{{"r-tally", "/leny950/", "safe", "tally", 5000, 1200, false}}, tenants)
	leaving := f.add("esna-1", "esna", "tally", 32, 20*time.Millisecond)
	f.add("esna-2", "esna", "permits", 32, 20*time.Millisecond)
	f.add("assiut-1", "assiut", "tally", 32, 20*time.Millisecond)
	f.add("assiut-2", "assiut", "permits", 32, 20*time.Millisecond)
	for _, name := range []string{"assiut-3", "aswan-1", "aswan-2"} { // one worker of five leaves
		f.add(name, name[:len(name)-2], "tally", 32, 20*time.Millisecond)
	}
	for _, n := range f.nodes {
		n.start(true)
		n.worker.start()
	}
	f.awaitReady(15*time.Second, f.nodes...)
	f.probeAll()
	time.Sleep(3 * time.Second)

	stop, done := make(chan struct{}), sync.WaitGroup{}
	for _, n := range f.nodes[1:] {
		done.Go(func() { f.steady(n, "/leny950/2f", tenants[0].key, 100*time.Millisecond, stop) })
	}
	time.Sleep(2 * time.Second)

	calm := time.Now() // end of the last disruption
	if trouble {
		f.rec.log("store: turns esna-1 away from now on (503)")
		leaving.front.refuse(true)
	}
	time.Sleep(500 * time.Millisecond)
	leaving.signal(syscall.SIGTERM)
	if !leaving.awaitExit(6 * time.Second) {
		leaving.signal(syscall.SIGKILL)
		leaving.awaitExit(time.Second)
	}
	f.rec.log("node esna-1: process has ended")
	left := make(chan bool, 1)
	go func() { left <- leaving.worker.leave(8 * time.Second) }()
	time.Sleep(300 * time.Millisecond)
	leaving.start(false)
	if trouble {
		time.Sleep(2 * time.Second)
		f.rec.log("store: serves esna-1 again")
		leaving.front.refuse(false)
		calm = time.Now()
	}
	acknowledged := <-left
	time.Sleep(10 * time.Second) // the worker goes on serving
	leaving.worker.exit()
	close(stop)
	done.Wait()

	if !acknowledged {
		cannotRun("the node acknowledged no DELETE")
	}
	bound := leaving.worker.ackAt.Add(drainBound)
	late, counted := 0, 0
	for _, x := range leaving.worker.allRuns() {
		if x.at.After(bound) {
			late++
			if x.at.After(calm.Add(contact)) {
				counted++
			}
		}
	}
	f.rec.log("worker %s: DELETE acknowledged at %.3f, %d requests later than %v after it, %d of them later than contactMs after the disruption",
		leaving.worker.id, f.rec.at(leaving.worker.ackAt), late, drainBound, counted)
	if counted > 0 {
		return fmt.Sprintf("DRAIN: %d requests reached the worker later than drainMs after its DELETE was acknowledged, from and by machines in touch", counted)
	}
	return ""
}

// steady sends a request every interval until stop is closed, and waits for the answers.
func (f *fleet) steady(n *node, uri, key string, interval time.Duration, stop <-chan struct{}) []answer {
	var (
		mu  sync.Mutex
		out []answer
		wg  sync.WaitGroup
	)
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		select {
		case <-stop:
			wg.Wait()
			return out
		case <-t.C:
			wg.Go(func() {
				a := f.send(n, "GET", uri, key, 5*time.Second, nil)
				mu.Lock()
				defer mu.Unlock()
				out = append(out, a)
			})
		}
	}
}
