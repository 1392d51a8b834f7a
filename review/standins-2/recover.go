//go:build review

package main

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

var callIDs atomic.Int64

// callTable makes the call that each request at a front worker needs: always for the same table.
func callTable(outbound, deadlineMs string) int {
	req, err := http.NewRequest(http.MethodGet, "http://"+outbound+"/gauge/table", nil)
	if err != nil {
		return 0
	}
	req.Host = "gauge.example"
	req.Header.Set("Request-Id", fmt.Sprintf("call-%06d", callIDs.Add(1)))
	req.Header.Set("Deadline-Ms", deadlineMs)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}

// crashesThenRestart: two workers of a service crash one after the other and come back; all is well
// again. Then all processes of the system are killed and started. With TROUBLE=0 no worker crashes,
// and the processes are killed all the same.
func crashesThenRestart(f *fleet, trouble bool) (broken bool, err error) {
	const fronts, gauges, perSecond = 3, 7, 120
	const down, recovery = 1400 * time.Millisecond, 15 * time.Second
	routes := [][]any{
		{"r-stock", "stock.example", "/stock/", "safe", 5000, 1200, 2, 2, "front", false},
		{"r-gauge", "gauge.example", "/gauge/", "safe", 2000, 300, 2, 2, "gauge", true},
	}
	tenants := [][]any{{"guild", []string{"key-of-guild-0001"}, 1, 333, 333}}
	f.configure(7, routes, []string{"front", "gauge"}, tenants)
	f.work = 200 * time.Millisecond
	for i := range fronts + gauges {
		service := "front"
		if i >= fronts {
			service = "gauge"
		}
		if _, err := f.add([]string{"a", "b"}[i%2], service, true); err != nil {
			return false, err
		}
	}
	if err := f.waitReady(15 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(time.Until(f.began.Add(8 * time.Second))) // traffic starts 8 s after the machines
	begin := time.Now()
	at := func(s float64) time.Time { return begin.Add(time.Duration(s * float64(time.Second))) }
	const fault = 22.0
	done := make(chan error, 1)
	go func() {
		if trouble {
			for i, s := range []float64{3, 10} {
				m := f.machines[fronts+1+3*i]
				time.Sleep(time.Until(at(s)))
				f.note("worker %s (%s) crashes", m.worker.id, m.service)
				m.worker.crash()
				time.Sleep(time.Until(at(s + 4.5)))
				if err := f.startWorker(m); err != nil {
					done <- err
					return
				}
				f.note("it is back as %s", m.worker.id)
			}
		}
		time.Sleep(time.Until(at(fault)))
		f.configure(9, routes, []string{"front", "gauge"}, tenants)
		f.note("one more configuration is acknowledged, and all processes of the system are killed")
		for _, m := range f.machines {
			m.signal(syscall.SIGKILL)
		}
		for _, m := range f.machines {
			<-m.done
		}
		time.Sleep(down)
		for _, m := range f.machines {
			if err := f.startNode(m, false); err != nil {
				done <- err
				return
			}
		}
		f.note("all are started again")
		done <- nil
	}()
	client := &http.Client{Timeout: 6 * time.Second, Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 64}}
	type asked struct {
		sent   time.Time
		status int
	}
	var mu sync.Mutex
	var list []asked
	var wg sync.WaitGroup
	end := at(fault).Add(down + recovery + 8*time.Second)
	for i := 0; ; i++ {
		t := begin.Add(time.Duration(i) * time.Second / perSecond)
		if t.After(end) {
			break
		}
		time.Sleep(time.Until(t))
		wg.Go(func() {
			a := asked{sent: time.Now()}
			a.status = ask(client, f.machines[i%fronts].outbound, "stock.example", fmt.Sprintf("stock-%05d", i))
			mu.Lock()
			defer mu.Unlock()
			list = append(list, a)
		})
	}
	wg.Wait()
	if err := <-done; err != nil {
		return false, err
	}
	back := at(fault).Add(down + time.Second) // the processes have started by then
	var before, beforeServed, after, afterServed int
	seconds := map[int]map[int]int{}
	for _, a := range list {
		s := int(a.sent.Sub(begin).Seconds())
		if seconds[s] == nil {
			seconds[s] = map[int]int{}
		}
		seconds[s][a.status]++
		switch {
		case a.sent.Before(at(fault)):
			before++
			if a.status == 200 {
				beforeServed++
			}
		case a.sent.After(back.Add(recovery)):
			after++
			if a.status == 200 {
				afterServed++
			}
		}
	}
	for s := 0; seconds[s] != nil; s++ {
		f.note("second %d of traffic: answers by status %v", s, seconds[s])
	}
	f.say("before the final fault %d of %d requests are served; of those sent later than %v after the machines are back, %d of %d",
		beforeServed, before, recovery, afterServed, after)
	return beforeServed*4 >= before && afterServed*4 < after, nil
}

func ask(client *http.Client, address, host, id string) int {
	req, err := http.NewRequest(http.MethodGet, "http://"+address+"/stock/"+id, nil)
	if err != nil {
		return 0
	}
	req.Host = host
	req.Header.Set("Request-Id", id)
	req.Header.Set("Deadline-Ms", "5000")
	req.Header.Set("Authorization", "Bearer key-of-guild-0001")
	resp, err := client.Do(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}
