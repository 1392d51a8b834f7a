//go:build review

package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	poisonPath = "/puka111/a/b/c/d"
	// backTime is how long a worker is away that the request has crashed.
	backTime = 2 * time.Second
	// poisonInterval is the time after which the client sends the request again.
	poisonInterval = 700 * time.Millisecond
	poisonTime     = 85 * time.Second
	// retriesAllowed is how many retries may reach workers later than contactTime after the third
	// crash.
	retriesAllowed = 3
)

func init() { cases["poison-route"] = poison }

// poison sends a request that crashes the workers that run it, while the operator adds routes.
func poison(f *fleet, trouble bool) (verdict, error) {
	var mu sync.Mutex
	var crashes []time.Time
	for i := range 4 {
		m := f.add(fmt.Sprintf("z%d", i%2), "stockroom", true)
		m.worker.work = func(r *http.Request) (time.Duration, int) {
			if r.URL.Path != poisonPath {
				return sampleWork(r)
			}
			mu.Lock()
			crashes = append(crashes, time.Now())
			mu.Unlock()
			go func() {
				m.worker.crash()
				time.Sleep(backTime)
				if err := m.worker.start(); err != nil {
					f.record.note("worker", "id", m.worker.id, "not_back", err)
				}
			}()
			return time.Second, 0
		}
	}
	tenants := []tenant{{name: "pulo780", keys: []string{tenantKey}, rate: 200, burst: 200}}
	routes := sampleRoutes()
	if err := f.configure(routes, tenants); err != nil {
		return verdict{}, err
	}
	if err := f.start(); err != nil {
		return verdict{}, err
	}
	time.Sleep(contactTime + time.Second)
	stop := f.send(50 * time.Millisecond)
	began := time.Now()
	prefixes := []string{"/puka111/a/", "/puka111/a/b/", "/puka111/a/b/c/"}
	added := 0
	for n := 0; time.Since(began) < poisonTime; n++ {
		x := order(fmt.Sprintf("poison-%d", n))
		x.path = poisonPath
		f.machines[n%len(f.machines)].do(x)
		time.Sleep(poisonInterval)
		mu.Lock()
		third := len(crashes) >= 3 && time.Since(crashes[2]) > contactTime
		mu.Unlock()
		if trouble && third && added < len(prefixes) && time.Since(began) > time.Duration(18+14*added)*time.Second {
			routes = append(routes, route{
				name: fmt.Sprintf("strip-reserve-%d", added), host: orderHost, prefix: prefixes[added], kind: "non_idempotent",
				service: "stockroom", timeoutMs: 5000, targetMs: 1200, maxAttempts: 1,
			})
			added++
			if err := f.configure(routes, tenants); err != nil {
				return verdict{}, err
			}
		}
	}
	stop()
	late, cut := 0, 0
	for _, at := range crashes {
		if len(crashes) >= 3 && at.Sub(crashes[2]) > contactTime {
			late++
			cut += f.runningAt(at)
		}
	}
	return verdict{broken: late > retriesAllowed, text: fmt.Sprintf(
		"the request reached workers %d times, of these %d later than %v after it had crashed the third; %d are allowed; those cut off %d other requests",
		len(crashes), late, contactTime, retriesAllowed, cut)}, nil
}

// runningAt returns how many other requests were cut off by a crash at a time.
func (f *fleet) runningAt(crash time.Time) (n int) {
	for _, m := range f.machines {
		for _, x := range m.worker.ran() {
			if x.path != poisonPath && x.cut && x.started.Before(crash) && x.ended.After(crash) && x.ended.Sub(crash) < time.Second {
				n++
			}
		}
	}
	return n
}
