//go:build review

package main

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// sent is a request that a client has sent.
type sent struct {
	method, uri, sum string
	length           int
	status           int
	answer           string
}

// onlyReader hides the type of a reader, so that the client sends the body in chunks.
type onlyReader struct{ io.Reader }

// longBodies: clients on all machines send orders with bodies of 300 to 500 KB in chunks while one of eight
// workers of their service is down for 4.5 s.
func longBodies(f *fleet, trouble bool) (broken bool, err error) {
	const workers, entries, perSecond, seconds = 8, 4, 72, 12
	f.configure(7, [][]any{
		{"r-read", "front.example", "/look/", "safe", 5000, 1200, 2, 2, "front"},
		{"r-order", "orders.example", "/order/", "non_idempotent", 5000, 1500, 0, 2, "orders"},
	}, []string{"front", "orders"}, [][]any{{"guild", []string{"key-of-guild-0001"}, 1, 171, 171}})
	for i := range entries {
		if _, err := f.add([]string{"a", "b"}[i%2], "front", true); err != nil {
			return false, err
		}
	}
	for i := range workers {
		if _, err := f.add([]string{"a", "b"}[i%2], "orders", true); err != nil {
			return false, err
		}
	}
	if err := f.waitReady(15 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(8*time.Second - min(time.Since(f.began), 8*time.Second)) // traffic starts 8 s after the machines
	f.note("traffic begins at all machines, %d orders a second, bodies in chunks", perSecond)
	client := &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 8}}
	orders := map[string]*sent{}
	var mu sync.Mutex
	var wg sync.WaitGroup
	begin := time.Now()
	rng := rand.New(rand.NewPCG(1, 2))
	if trouble {
		m := f.machines[entries+2]
		time.AfterFunc(4*time.Second, func() {
			f.note("worker %s of 8 crashes (%s)", m.worker.id, m.name)
			m.worker.crash()
		})
		time.AfterFunc(8500*time.Millisecond, func() {
			if err := f.startWorker(m); err != nil {
				f.note("the worker can't start again: %v", err)
				return
			}
			f.note("the worker is back as %s", m.worker.id)
		})
	}
	for i := 0; i < perSecond*seconds; i++ {
		time.Sleep(time.Until(begin.Add(time.Duration(i) * time.Second / perSecond)))
		body := make([]byte, 300_000+rng.IntN(200_000))
		for j := range body {
			body[j] = byte('a' + rng.IntN(26))
		}
		id := fmt.Sprintf("order-%05d", i)
		sum := sha256.Sum256(body)
		o := &sent{method: "POST", uri: "/order/" + id, sum: hex.EncodeToString(sum[:8]), length: len(body)}
		mu.Lock()
		orders[id] = o
		mu.Unlock()
		entry := f.machines[i%len(f.machines)]
		wg.Go(func() {
			o.status, o.answer = post(client, entry.outbound, "orders.example", id, o.uri, body)
		})
	}
	wg.Wait()
	time.Sleep(500 * time.Millisecond)
	count := map[string]int{}
	changed, whole := 0, 0
	for _, r := range f.runs.all() {
		count[r.ID]++
		o := orders[r.ID]
		switch {
		case o == nil:
			f.note("RUN of %s, which nobody sent, at %s", r.ID, r.Worker)
			changed++
		case r.Method != o.method || r.URI != o.uri || r.BodySum != o.sum || r.BodyLen != o.length:
			f.note("RUN of %s at %s with another body: sent %d bytes (%s), run with %d bytes (%s, %s); the client got %d %q",
				r.ID, r.Worker, o.length, o.sum, r.BodyLen, r.BodySum, r.Framed, o.status, o.answer)
			changed++
		default:
			whole++
		}
	}
	answers := map[int]int{}
	twice := 0
	for id, o := range orders {
		answers[o.status]++
		if count[id] > 1 {
			twice++
		}
		f.note("order %s: %d bytes, sum %s, answer %d, run %d times", id, o.length, o.sum, o.status, count[id])
	}
	f.say("orders: %d; answers by status: %v; run as sent: %d; run with another body: %d; run twice: %d", len(orders), answers, whole, changed, twice)
	return changed > 0, nil
}

// post sends a request with a body in chunks and returns the status, 0 without an answer.
func post(client *http.Client, address, host, id, uri string, body []byte) (int, string) {
	r, w := io.Pipe()
	go func() {
		for len(body) > 0 {
			n := min(len(body), 32<<10)
			if _, err := w.Write(body[:n]); err != nil {
				return
			}
			body = body[n:]
		}
		_ = w.Close()
	}()
	req, err := http.NewRequest(http.MethodPost, "http://"+address+uri, onlyReader{r})
	if err != nil {
		return 0, err.Error()
	}
	req.Host = host
	req.Header.Set("Request-Id", id)
	req.Header.Set("Deadline-Ms", "5000")
	req.Header.Set("Authorization", "Bearer key-of-guild-0001")
	resp, err := client.Do(req)
	if err != nil {
		_ = r.Close()
		return 0, err.Error()
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, string(text)
}
