//go:build review

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const beatInterval = 1500 * time.Millisecond

// run is one request that a worker has begun to work on.
type run struct {
	worker, id, uri, tenant, caller string
	at, end                         time.Time
	served                          bool // the whole work was done
}

// worker is a stand-in for a worker of the users: it sends heartbeats to the node on its
// machine and runs requests in a number of slots.
type worker struct {
	id, service, address, control string
	slots                         int
	work                          time.Duration
	speed                         float64 // 0 for the usual one
	born                          int64
	started                       time.Time
	coldUntil                     time.Time
	rec                           *recorder
	answerBytes                   int // length of an answer; 0 for a short one
	server                        *http.Server
	running                       atomic.Int64

	mu     sync.Mutex
	state  string // "ready", "draining", or "" once it has said that it is gone
	seq    uint64
	runs   []*run
	ackAt  time.Time // when the node acknowledged that it leaves
	exited bool
}

// start begins to serve and to send heartbeats.
func (w *worker) start() {
	w.born, w.started, w.state = time.Now().UnixMilli(), time.Now(), "ready"
	l, err := net.Listen("tcp", w.address)
	check(err)
	w.server = &http.Server{Handler: w, IdleTimeout: 10 * time.Second}
	go w.server.Serve(l)
	go func() {
		for w.current() != "" {
			w.beat()
			time.Sleep(beatInterval)
		}
	}()
}

func (w *worker) current() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.exited {
		return ""
	}
	return w.state
}

func (w *worker) beat() bool {
	w.mu.Lock()
	w.seq++
	state := w.state
	body := map[string]any{
		"service": w.service, "address": w.address, "zone": "z", "version": "v1", "slots": w.slots,
		"state": state, "coldLeftMs": 0, "seq": w.seq, "born": w.born,
	}
	w.mu.Unlock()
	if state == "" {
		return false
	}
	data, err := json.Marshal(body)
	check(err)
	return w.send(http.MethodPut, data)
}

// send sends a heartbeat or the deletion and reports whether it was acknowledged.
func (w *worker) send(method string, body []byte) bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+w.control+"/v1/instances/"+w.id, bytes.NewReader(body))
	check(err)
	if method == http.MethodPut {
		req.Header.Set("Content-Type", "application/json")
	}
	req.Close = true
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode/100 == 2
}

// leave tells the node that the worker is gone, without having reported draining, until the
// node acknowledges it, and returns when it did. The worker goes on serving.
func (w *worker) leave(limit time.Duration) bool {
	w.mu.Lock()
	w.state = ""
	w.mu.Unlock()
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		if w.send(http.MethodDelete, nil) {
			w.mu.Lock()
			w.ackAt = time.Now()
			w.mu.Unlock()
			w.rec.log("worker %s: DELETE acknowledged", w.id)
			return true
		}
		w.rec.log("worker %s: DELETE not acknowledged", w.id)
	}
	return false
}

// drain reports that the worker is draining, with its heartbeats from now on, until the node has
// acknowledged it.
func (w *worker) drain(ctx context.Context) bool {
	w.mu.Lock()
	w.state = "draining"
	w.mu.Unlock()
	for ctx.Err() == nil {
		if w.beat() {
			w.rec.log("worker %s: draining acknowledged", w.id)
			return true
		}
		time.Sleep(500 * time.Millisecond)
	}
	return false
}

// exit ends the worker.
func (w *worker) exit() {
	w.mu.Lock()
	w.exited = true
	w.mu.Unlock()
	_ = w.server.Close()
	w.rec.log("worker %s: has ended", w.id)
}

// ServeHTTP implements http.Handler.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	h := rw.Header()
	h.Set("Server-Load", fmt.Sprintf("%d,0,%d", w.running.Load(), w.slots))
	if r.URL.Path == "/healthz" {
		h.Set("Instance-Id", w.id)
		if w.current() != "ready" {
			rw.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	id := r.Header.Get("Request-Id")
	h.Set("Request-Id", id)
	if t := r.Header.Get("Target-Instance"); t != "" && t != w.id {
		h.Set("Instance-Id", w.id)
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if n := w.running.Add(1); n > int64(w.slots) {
		w.running.Add(-1)
		h.Set("Not-Executed", "1")
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer w.running.Add(-1)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	x := &run{worker: w.id, id: id, uri: r.RequestURI, tenant: r.Header.Get("Tenant"), caller: r.Header.Get("Caller-Service"), at: time.Now()}
	w.mu.Lock()
	w.runs = append(w.runs, x)
	w.mu.Unlock()
	w.rec.run(x)
	deadline, _ := strconv.Atoi(r.Header.Get("Deadline-Ms"))
	if deadline <= 0 {
		deadline = 60_000
	}
	work := w.work
	if v := r.URL.Query().Get("work"); v != "" {
		work, _ = time.ParseDuration(v)
	}
	if w.speed > 0 {
		work = time.Duration(float64(work) / w.speed)
	}
	timeUp := time.NewTimer(time.Duration(deadline) * time.Millisecond)
	defer timeUp.Stop()
	select {
	case <-time.After(work):
	case <-r.Context().Done():
		w.done(x, false)
		return
	case <-timeUp.C:
		w.done(x, false)
		rw.WriteHeader(http.StatusGatewayTimeout)
		return
	}
	w.done(x, true)
	h.Set("Response-Signature", "signed-by-"+w.id)
	if w.answerBytes > 0 {
		_, _ = rw.Write(bytes.Repeat([]byte("x"), w.answerBytes))
		return
	}
	_, _ = fmt.Fprintf(rw, "answer of %s to %s %s %s (%d bytes)", w.id, id, r.Method, r.RequestURI, len(body))
}

func (w *worker) done(x *run, served bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	x.end, x.served = time.Now(), served
}

// allRuns returns a copy of what the worker has run.
func (w *worker) allRuns() []run {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := make([]run, 0, len(w.runs))
	for _, x := range w.runs {
		out = append(out, *x)
	}
	return out
}
