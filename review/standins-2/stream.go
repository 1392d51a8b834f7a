//go:build review

package main

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// Figures of an answer that its worker sends as it makes it.
const (
	answerBytes  = 500_000
	answerAtOnce = 300_000
	answerPieces = 40
	answerTime   = 3 * time.Second
)

// serveReport sends an answer of a known length over answerTime. It returns how much was sent.
func serveReport(w http.ResponseWriter) (int, error) {
	w.Header().Set("Content-Length", fmt.Sprint(answerBytes))
	piece := make([]byte, answerAtOnce)
	for i := range piece {
		piece[i] = 'r'
	}
	written, err := w.Write(piece)
	for range answerPieces {
		if err != nil {
			return written, err
		}
		w.(http.Flusher).Flush()
		time.Sleep(answerTime / answerPieces)
		var n int
		n, err = w.Write(piece[:(answerBytes-answerAtOnce)/answerPieces])
		written += n
	}
	return written, err
}

// report is a request for a long answer, as its client saw it.
type report struct {
	id             string
	sent, ended    time.Time
	status, length int
	err            error
}

// rollingRestart: machines are stopped and started in turn while a worker is sending long answers.
func rollingRestart(f *fleet, trouble bool) (broken bool, err error) {
	f.configure(7, [][]any{{"r-report", "reports.example", "/report/", "safe", 5000, 4000, 2, 2, "reports"}},
		[]string{"front", "reports"}, [][]any{{"guild", []string{"key-of-guild-0001"}, 1, 171, 171}})
	for i := range 7 {
		service := "front"
		if i >= 4 {
			service = "reports"
		}
		if _, err := f.add([]string{"a", "b"}[i%2], service, true); err != nil {
			return false, err
		}
	}
	if err := f.waitReady(15 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(time.Until(f.began.Add(8 * time.Second))) // traffic starts 8 s after the machines
	const graceS, perSecond = 6 * time.Second, 12
	entry := f.machines[1]
	begin := time.Now()
	// After warm-up traffic the machines are stopped in turn: the one whose clients are watched, then
	// one with a worker of the service, and so on.
	stopAt := begin.Add(8 * time.Second)
	order := []*machine{entry, f.machines[5], f.machines[0]}
	var restarts sync.WaitGroup
	if trouble {
		for i, m := range order {
			restarts.Go(func() {
				time.Sleep(time.Until(stopAt.Add(time.Duration(i) * 1300 * time.Millisecond)))
				f.note("SIGTERM to %s (%s)", m.name, m.service)
				stopped := time.Now()
				m.signal(syscall.SIGTERM)
				select {
				case <-m.done:
				case <-time.After(graceS):
					m.signal(syscall.SIGKILL)
					<-m.done
				}
				f.note("%s has ended after %.2f s", m.name, time.Since(stopped).Seconds())
				time.Sleep(200 * time.Millisecond)
				if err := f.startNode(m, false); err != nil {
					f.note("%s can't start: %v", m.name, err)
				}
			})
		}
	}
	client := &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 64}}
	var mu sync.Mutex
	var list []*report
	var wg sync.WaitGroup
	last := stopAt.Add(1200 * time.Millisecond) // two questions without a 200 take its clients elsewhere
	for i := 0; ; i++ {
		at := begin.Add(time.Duration(i) * time.Second / perSecond)
		if at.After(last) {
			break
		}
		time.Sleep(time.Until(at))
		r := &report{id: fmt.Sprintf("report-%04d", i), sent: time.Now()}
		mu.Lock()
		list = append(list, r)
		mu.Unlock()
		wg.Go(func() { r.ask(client, entry.outbound) })
	}
	wg.Wait()
	restarts.Wait()
	ran := map[string]run{}
	for _, x := range f.runs.all() {
		ran[x.ID] = x
	}
	lost, whole, answers := 0, 0, map[int]int{}
	for _, r := range list {
		x, began := ran[r.id]
		answers[r.status]++
		f.note("%s: sent %+.3f s, ended %+.3f s from the first SIGTERM; status %d, %d bytes, %v; run: %v %s", r.id,
			r.sent.Sub(stopAt).Seconds(), r.ended.Sub(stopAt).Seconds(), r.status, r.length, r.err, began, x.Worker)
		switch {
		case r.err == nil && r.status == 200 && r.length == answerBytes:
			whole++
		case began && r.err != nil && r.ended.Before(stopAt.Add(graceS*5/6)) && r.ended.After(stopAt) && r.ended.Sub(r.sent) < 4900*time.Millisecond:
			// Passed on to a worker, no answer that is complete, before the last sixth of graceS, the route's
			// timeout and the client's deadline.
			lost++
		}
	}
	f.say("asked %d; answers by status: %v; whole: %d; passed on to a worker and cut: %d", len(list), answers, whole, lost)
	return lost > 0, nil
}

func (r *report) ask(client *http.Client, address string) {
	defer func() { r.ended = time.Now() }()
	req, err := http.NewRequest(http.MethodGet, "http://"+address+"/report/"+r.id, nil)
	if err != nil {
		r.err = err
		return
	}
	req.Host = "reports.example"
	req.Header.Set("Request-Id", r.id)
	req.Header.Set("Deadline-Ms", "8000")
	req.Header.Set("Authorization", "Bearer key-of-guild-0001")
	resp, err := client.Do(req)
	if err != nil {
		r.err = err
		return
	}
	defer resp.Body.Close()
	r.status = resp.StatusCode
	n, err := io.Copy(io.Discard, resp.Body)
	r.length = int(n)
	if r.err = err; err == nil && resp.StatusCode/100 == 2 && n != answerBytes {
		r.err = errors.New("short answer")
	}
}
