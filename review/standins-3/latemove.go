//go:build review

package main

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	graceTime = 6 * time.Second
	// moveAfter is when, after the SIGTERMs, the operator moves the route.
	moveAfter = 4300 * time.Millisecond
	// lateAfter is from when on, after the SIGTERM, no work at a worker excuses a cut.
	lateAfter = 3 * time.Second
	// orderRate is how many orders a second the clients of a machine send.
	orderRate = 14
	warmTime  = 14 * time.Second
	// The work of bench-read of hdlw-mesh: mean, spread and largest.
	slowMean, slowSpread, slowMax = 640.0, 0.8, 3840.0
	slowDeadline                  = 6000 * time.Millisecond
)

func init() { cases["late-move"] = lateMove }

// slowWork draws a time as bench-read takes.
func slowWork(*http.Request) (time.Duration, int) {
	mu := math.Log(slowMean) - slowSpread*slowSpread/2
	ms := min(math.Exp(mu+slowSpread*rand.NormFloat64()), slowMax)
	return time.Duration(ms * float64(time.Millisecond)), orderAnswer
}

// lateOrder is an order and how it ended.
type lateOrder struct {
	id          string
	term        time.Time // SIGTERM of the machine
	sent, ended time.Time
	answer      answer
}

// lateMove stops the two machines of a zone at the same moment and has the operator move a route to a service
// that takes longer meanwhile.
func lateMove(f *fleet, trouble bool) (verdict, error) {
	for range 2 {
		f.add("z0", "front", true)
	}
	for _, service := range []string{"vialrec", "vialrec", "benchlink", "benchlink"} {
		m := f.add("z1", service, true)
		m.worker.work = func(*http.Request) (time.Duration, int) { return 60 * time.Millisecond, orderAnswer }
		if service == "benchlink" {
			m.worker.work = slowWork
		}
	}
	tenants := []tenant{{name: "pulo780", keys: []string{tenantKey}, rate: 200, burst: 200}}
	to := func(service string) []route {
		return []route{
			{name: "cert-issue", host: orderHost, prefix: "/puka111/", kind: "non_idempotent", service: service, timeoutMs: 6000, targetMs: 2000, maxAttempts: 1},
			{name: "vial-lookup", host: lookupHost, prefix: "/leny950/", kind: "safe", service: "vialrec", timeoutMs: 6000, targetMs: 1500, maxAttempts: 2},
			{name: "bench-read", host: lookupHost, prefix: "/bench/", kind: "safe", service: "benchlink", timeoutMs: 6000, targetMs: 2000, maxAttempts: 2},
		}
	}
	if err := f.configure(to("vialrec"), tenants); err != nil {
		return verdict{}, err
	}
	if err := f.start(); err != nil {
		return verdict{}, err
	}
	time.Sleep(contactTime + time.Second)
	var mu sync.Mutex
	var orders []lateOrder
	var wg sync.WaitGroup
	end := time.Now().Add(warmTime + graceTime)
	zone := newProbes(f.machines[:2])
	defer zone.stop()
	var terms [2]time.Time
	for i, m := range f.machines[:2] {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for n := 0; time.Now().Before(end); n++ {
				time.Sleep(time.Second / orderRate)
				if !zone.sends(i) {
					continue
				}
				x := order(fmt.Sprintf("order-%s-%d", m.name, n))
				x.deadline = slowDeadline
				wg.Add(1)
				go func() {
					defer wg.Done()
					sent := time.Now()
					a := m.do(x)
					mu.Lock()
					defer mu.Unlock()
					orders = append(orders, lateOrder{x.id, terms[i], sent, time.Now(), a})
				}()
			}
		}()
	}
	time.Sleep(warmTime)
	first := time.Now()
	for i, m := range f.machines[:2] {
		f.record.note("process", "machine", m.name, "signal", "SIGTERM")
		_ = m.cmd.Process.Signal(syscall.SIGTERM) // it runs, unless it has ended by itself
		mu.Lock()
		terms[i] = time.Now()
		mu.Unlock()
		go m.restart()
	}
	time.Sleep(time.Until(first.Add(moveAfter)))
	if trouble {
		if err := f.configure(to("benchlink"), tenants); err != nil {
			return verdict{}, err
		}
	}
	wg.Wait()
	began := map[string]bool{}
	for _, m := range f.machines {
		for _, x := range m.worker.ran() {
			began[x.id] = true
		}
	}
	cut := 0
	for _, o := range orders {
		if began[o.id] && !o.answer.whole && !o.term.IsZero() && o.sent.After(o.term.Add(lateAfter)) && o.ended.Before(o.sent.Add(slowDeadline-time.Second)) &&
			o.ended.Before(o.term.Add(graceTime+time.Second)) {
			cut++
			f.record.note("cut", "request", o.id, "sent_after_sigterm", o.sent.Sub(o.term), "ended_after_sigterm", o.ended.Sub(o.term), "err", o.answer.err)
		}
	}
	return verdict{broken: cut > 0, text: fmt.Sprintf(
		"%d orders that were sent later than %v after the SIGTERM and that a worker ran got no whole answer", cut, lateAfter)}, nil
}

// restartDelay is how long after the end of a process the platform starts the next one.
const restartDelay = 500 * time.Millisecond

// restart starts the node again once it has ended.
func (m *machine) restart() {
	<-m.ended
	time.Sleep(restartDelay)
	m.firstStart = false
	if err := m.startNode(); err != nil {
		m.f.record.note("process", "machine", m.name, "not_started", err)
	}
}
