//go:build review

package main

import (
	"fmt"
	"io"
	"net/http"
	"sort"
	"strings"
	"sync"
	"syscall"
	"time"
)

// limits of the tenant and figures of the rule QUOTA.
const (
	ratePerS, burst          = 333.0, 333.0
	quotaWindow              = 5 * time.Second
	quotaExcess, quotaSlack  = 0.1, 20.0
	usualPerS, hotX          = 100, 7.5
	hotTime                  = 6500 * time.Millisecond
	frozenFirst, frozenLater = "sidecar-b-14", "sidecar-c-3"
)

// frozenHolders: a tenant becomes hot while two of 16 machines freeze and wake again, which are
// the first and the second to hold the tokens that nodes leave over.
func frozenHolders(f *fleet, trouble bool) (broken bool, err error) {
	f.configure(7, [][]any{{"r-order", "orders.example", "/order/", "non_idempotent", 5000, 1500, 0, 2, "orders"}},
		[]string{"orders"}, [][]any{{"guild", []string{"key-of-guild-0001"}, 1, ratePerS, burst}})
	for i := range 16 {
		if _, err := f.add([]string{"a", "b", "c", "d"}[i%4], "orders", true); err != nil {
			return false, err
		}
	}
	if err := f.waitReady(15 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(time.Until(f.began.Add(8 * time.Second))) // traffic starts 8 s after the machines
	var mu sync.Mutex
	frozen := map[string]bool{}
	freeze := func(name string, after, length time.Duration) {
		for _, m := range f.machines {
			if m.name != name {
				continue
			}
			time.AfterFunc(after, func() {
				mu.Lock()
				frozen[name] = true
				mu.Unlock()
				m.signal(syscall.SIGSTOP)
				f.note("%s freezes", name)
			})
			time.AfterFunc(after+length, func() {
				m.signal(syscall.SIGCONT)
				mu.Lock()
				frozen[name] = false
				mu.Unlock()
				f.note("%s wakes", name)
			})
		}
	}
	const calm = 6 * time.Second // of usual traffic
	if trouble {
		freeze(frozenFirst, calm, 3500*time.Millisecond)
		freeze(frozenLater, calm+1300*time.Millisecond, 1700*time.Millisecond)
	}
	const hotFrom = calm + 2600*time.Millisecond
	client := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 64}}
	sentAt := map[string]time.Time{}
	answers := map[int]int{}
	begin := time.Now()
	f.note("traffic begins: %d requests a second of the tenant on all machines", usualPerS)
	var wg sync.WaitGroup
	next, hot := begin, false
	for i := 0; ; i++ {
		time.Sleep(time.Until(next))
		since := next.Sub(begin)
		perS := float64(usualPerS)
		if since >= hotFrom && since < hotFrom+hotTime {
			perS *= hotX
			if !hot {
				hot = true
				f.note("the tenant is hot: %.0f requests a second", perS)
			}
		}
		if since > hotFrom+hotTime+time.Second {
			break
		}
		next = next.Add(time.Duration(float64(time.Second) / perS))
		mu.Lock()
		m := f.machines[i%len(f.machines)]
		for frozen[m.name] { // its clients send nothing new
			i++
			m = f.machines[i%len(f.machines)]
		}
		id := fmt.Sprintf("order-%06d", i)
		sentAt[id] = time.Now()
		mu.Unlock()
		wg.Go(func() {
			status := order(client, m.outbound, id)
			mu.Lock()
			answers[status]++
			mu.Unlock()
		})
	}
	wg.Wait()
	type counted struct{ sent, arrived time.Time }
	var list []counted
	seen := map[string]bool{}
	for _, r := range f.runs.all() {
		if r.Tenant == "guild" && !seen[r.ID] && !sentAt[r.ID].IsZero() {
			seen[r.ID] = true
			list = append(list, counted{sentAt[r.ID], r.At})
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].sent.Before(list[j].sent) })
	for _, c := range list {
		f.note("run: sent %.3f s, arrived %.3f s", c.sent.Sub(f.began).Seconds(), c.arrived.Sub(f.began).Seconds())
	}
	most, at := 0, time.Time{}
	for i, c := range list {
		n := 0
		for _, o := range list[i:] {
			if o.sent.After(c.sent.Add(quotaWindow)) {
				break
			}
			if !o.arrived.After(c.sent.Add(quotaWindow)) {
				n++
			}
		}
		if n > most {
			most, at = n, c.sent
		}
	}
	bound := (ratePerS*quotaWindow.Seconds()+burst)*(1+quotaExcess) + quotaSlack
	f.say("sent %d; answers by status: %v; run %d; most in %v: %d, from %.3f s on; the rule allows %.1f",
		len(sentAt), answers, len(list), quotaWindow, most, at.Sub(f.began).Seconds(), bound)
	return float64(most) > bound, nil
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
