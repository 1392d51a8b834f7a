//go:build review

package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

// steppedBack: the time of day of one machine jumps ahead and back again while its worker goes down
// and comes up by turns, each time under the id that it had. Some seconds later the worker leaves.
func steppedBack(f *fleet, trouble bool) (broken bool, err error) {
	const machines, perSecond = 8, 150
	const drain = 2000 * time.Millisecond
	f.configure(7, [][]any{{"r-order", "orders.example", "/order/", "non_idempotent", 5000, 1500, 0, 2, "orders"}},
		[]string{"orders"}, [][]any{{"guild", []string{"key-of-guild-0001"}, 1, 171, 171}})
	f.slots, f.work = 4, 120*time.Millisecond
	for i := range machines {
		if _, err := f.add([]string{"a", "b"}[i%2], "orders", true); err != nil {
			return false, err
		}
	}
	if err := f.waitReady(15 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(time.Until(f.began.Add(8 * time.Second))) // traffic starts 8 s after the machines
	begin := time.Now()
	m := f.machines[2]
	f.note("traffic begins; the worker to be watched is %s on %s, born %d", m.worker.id, m.name, m.worker.born)
	var acknowledged, exited time.Time
	done := make(chan struct{})
	go func() {
		defer close(done)
		if trouble {
			f.flapUnderStep(m, begin)
		}
		time.Sleep(time.Until(begin.Add(14 * time.Second)))
		k := m.worker
		k.mu.Lock()
		k.state = "draining"
		k.mu.Unlock()
		for end := time.Now().Add(8 * time.Second); time.Now().Before(end); time.Sleep(300 * time.Millisecond) {
			if k.sendBeat(context.Background()) {
				acknowledged = time.Now()
				f.note("%s says that it is draining; acknowledged", k.id)
				break
			}
		}
		time.Sleep(drain + 6*time.Second) // it serves "many seconds" longer
		f.note("%s says that it is gone and exits", k.id)
		req, _ := http.NewRequest(http.MethodDelete, "http://"+k.control+"/v1/instances/"+k.id, nil)
		if resp, err := http.DefaultClient.Do(req); err == nil {
			resp.Body.Close()
		}
		exited = time.Now()
		k.crash()
	}()
	client := &http.Client{Timeout: 6 * time.Second, Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 64}}
	var mu sync.Mutex
	answers := map[int]int{}
	var wg sync.WaitGroup
	for i := 0; ; i++ {
		at := begin.Add(time.Duration(i) * time.Second / perSecond)
		if at.Sub(begin) > 22*time.Second {
			break
		}
		time.Sleep(time.Until(at))
		wg.Go(func() {
			status := order(client, f.machines[i%machines].outbound, fmt.Sprintf("order-%05d", i))
			mu.Lock()
			defer mu.Unlock()
			answers[status]++
		})
	}
	wg.Wait()
	<-done
	if acknowledged.IsZero() {
		f.say("the worker got no acknowledgement; answers by status: %v", answers)
		return false, nil
	}
	late := 0
	for _, r := range f.runs.all() {
		if r.Worker == m.worker.id && r.At.After(acknowledged) {
			f.note("%s reaches %s %.3f s after the acknowledgement", r.ID, r.Worker, r.At.Sub(acknowledged).Seconds())
			if r.At.Sub(acknowledged) > drain {
				late++
			}
		}
	}
	f.say("answers by status: %v; requests that reached the worker later than %v after the acknowledgement: %d (it served %.1f s)",
		answers, drain, late, exited.Sub(acknowledged).Seconds())
	return late > 0, nil
}

// flapUnderStep lets the time of day of a machine jump ahead by 2.4 s for 6 s, and its worker go
// down and up with a period of 1.4 s for 6.5 s. What the worker says of its start is by that clock.
func (f *fleet) flapUnderStep(m *machine, begin time.Time) {
	const step, period = 2400 * time.Millisecond, 1400 * time.Millisecond
	stepFrom, stepEnd := begin.Add(3*time.Second), begin.Add(9*time.Second)
	flapFrom, flapEnd := begin.Add(4*time.Second), begin.Add(10500*time.Millisecond)
	for down := flapFrom; down.Add(period / 2).Before(flapEnd); down = down.Add(period) {
		time.Sleep(time.Until(down))
		old := m.worker
		f.note("%s goes down", old.id)
		old.crash()
		time.Sleep(time.Until(down.Add(period / 2)))
		k := &worker{
			id: old.id, service: old.service, zone: old.zone, addr: old.addr, control: old.control,
			slots: old.slots, work: old.work, runs: old.runs, beat: old.beat, note: old.note,
		}
		if now := time.Now(); now.After(stepFrom) && now.Before(stepEnd) {
			k.ahead = step
		}
		m.worker = k
		if err := k.start(); err != nil {
			f.note("it can't start: %v", err)
			return
		}
		f.note("%s is up again, born %d (time of day ahead by %v)", k.id, k.born, k.ahead)
	}
}

// order sends an order and returns the status, 0 without an answer.
func order(client *http.Client, address, id string) int {
	req, err := http.NewRequest(http.MethodPost, "http://"+address+"/order/"+id, onlyReader{strings.NewReader("strip 40")})
	if err != nil {
		return 0
	}
	req.ContentLength = 8
	req.Host = "orders.example"
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
