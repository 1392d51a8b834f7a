//go:build review

package main

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// run is a request that a worker has begun to work on.
type run struct {
	At                               time.Time
	ID, Method, URI, Tenant, Caller  string
	Worker, Service, BodySum, Framed string
	BodyLen                          int
}

// runs collects the runs of all workers.
type runs struct {
	mu   sync.Mutex
	list []run
}

func (r *runs) add(x run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.list = append(r.list, x)
}

func (r *runs) all() []run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]run(nil), r.list...)
}

// worker is a stand-in of a worker, by PROTOCOL.md. It reads a request whole before it works on
// it.
type worker struct {
	id, service, zone, addr, control string
	outbound                         string // where the worker makes its calls
	slots                            int
	work                             time.Duration
	born                             int64
	runs                             *runs
	beat                             time.Duration
	ahead                            time.Duration // of the time of day of its machine at its start
	note                             func(string, ...any)

	mu      sync.Mutex
	state   string
	seq     int
	running int
	conns   map[net.Conn]bool
	server  *http.Server
	end     context.CancelFunc
}

func (k *worker) start() error {
	l, err := net.Listen("tcp", k.addr)
	if err != nil {
		return err
	}
	k.born, k.state, k.conns = time.Now().Add(k.ahead).UnixMilli(), "ready", map[net.Conn]bool{}
	k.server = &http.Server{Handler: k, ConnState: func(c net.Conn, s http.ConnState) {
		k.mu.Lock()
		defer k.mu.Unlock()
		if s == http.StateNew {
			k.conns[c] = true
		} else if s == http.StateClosed {
			delete(k.conns, c)
		}
	}}
	ctx, end := context.WithCancel(context.Background())
	k.end = end
	go func() { _ = k.server.Serve(l) }()
	go func() {
		for ctx.Err() == nil {
			k.sendBeat(ctx)
			select {
			case <-time.After(k.beat):
			case <-ctx.Done():
			}
		}
	}()
	return nil
}

// crash ends the worker at once: nothing listens any more, and its connections are reset.
func (k *worker) crash() {
	k.end()
	k.mu.Lock()
	conns := k.conns
	k.conns = map[net.Conn]bool{}
	k.mu.Unlock()
	for c := range conns {
		if tc, ok := c.(*net.TCPConn); ok {
			_ = tc.SetLinger(0)
		}
	}
	_ = k.server.Close()
}

// sendBeat reports whether the beat was acknowledged.
func (k *worker) sendBeat(ctx context.Context) bool {
	k.mu.Lock()
	k.seq++
	body, _ := json.Marshal(map[string]any{
		"service": k.service, "address": k.addr, "zone": k.zone, "version": "v1", "slots": k.slots,
		"state": k.state, "coldLeftMs": 0, "seq": k.seq, "born": k.born,
	})
	k.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+k.control+"/v1/instances/"+k.id, bytes.NewReader(body))
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode/100 == 2
}

func (k *worker) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	id := r.Header.Get("Request-Id")
	k.mu.Lock()
	running := k.running
	k.mu.Unlock()
	h.Set("Server-Load", fmt.Sprintf("%d,0,%d", min(running, k.slots), k.slots))
	if r.URL.Path == "/healthz" {
		h.Set("Instance-Id", k.id)
		return
	}
	h.Set("Request-Id", id)
	if t := r.Header.Get("Target-Instance"); t != "" && t != k.id {
		h.Set("Instance-Id", k.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if running >= k.slots {
		h.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	k.mu.Lock()
	k.running++
	k.mu.Unlock()
	defer func() {
		k.mu.Lock()
		k.running--
		k.mu.Unlock()
	}()
	framed := "length " + strconv.FormatInt(r.ContentLength, 10)
	if r.ContentLength < 0 {
		framed = "chunks"
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // the request didn't arrive whole, so it isn't run
	}
	sum := sha256.Sum256(body)
	k.runs.add(run{
		At: time.Now(), ID: id, Method: r.Method, URI: r.RequestURI, Tenant: r.Header.Get("Tenant"),
		Caller: r.Header.Get("Caller-Service"), Worker: k.id, Service: k.service,
		BodySum: hex.EncodeToString(sum[:8]), BodyLen: len(body), Framed: framed,
	})
	if strings.HasPrefix(r.URL.Path, "/stock/") {
		if status := callTable(k.outbound, r.Header.Get("Deadline-Ms")); status != http.StatusOK {
			h.Set("Response-Signature", "sig."+k.id+"."+id)
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
	} else {
		time.Sleep(k.work)
	}
	h.Set("Response-Signature", "sig."+k.id+"."+id)
	if strings.HasPrefix(r.URL.Path, "/report/") {
		if n, err := serveReport(w); err != nil && k.note != nil {
			k.note("worker %s: its answer to %s was cut after %d bytes: %v", k.id, id, n, err)
		}
		return
	}
	_, _ = io.WriteString(w, "done "+id)
}
