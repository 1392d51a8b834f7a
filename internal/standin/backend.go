package standin

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
	"time"
)

// BackendConfig describes a stand-in of a backend server.
type BackendConfig struct {
	ID       string
	Service  string
	Address  string // IP:port to listen on
	AnnounceAddress string // IP:port of the node beside it
	// Listen is where it listens if a proxy stands at Address.
	Listen   string
	Slots    int
	Queue    int
	AnnounceInterval time.Duration // between announcements
	ServiceTime     time.Duration // that a request takes
	Log      func(format string, args ...any)
}

// Execution is one request that the stand-in has run.
type Execution struct {
	ID, Method, URI, Body             string
	Workspace, Caller, Authorization  string
	Deadline                          time.Duration
	Started                           time.Time
	Completed                              bool // it was not cancelled
	Host, Target, ContentType, Cookie string
}

// Backend is a stand-in of a backend server: it announces itself, runs requests in
// slots and answers as published. It is safe for concurrent use.
type Backend struct {
	cfg  BackendConfig
	born int64

	slots chan struct{}
	wait  chan struct{}

	mu       sync.Mutex
	state    string
	sequence uint64
	runs     []Execution
	behave   func(w http.ResponseWriter, r *http.Request) bool
	acked    map[string]bool // states that were acknowledged
	conns    map[net.Conn]bool
	server   *http.Server
}

// NewBackend returns a stand-in that is not started.
func NewBackend(cfg BackendConfig) *Backend {
	if cfg.Slots == 0 {
		cfg.Slots = 8
	}
	if cfg.Queue == 0 {
		cfg.Queue = 8
	}
	if cfg.AnnounceInterval == 0 {
		cfg.AnnounceInterval = 100 * time.Millisecond
	}
	if cfg.Log == nil {
		cfg.Log = func(string, ...any) {}
	}
	return &Backend{
		cfg: cfg, born: time.Now().UnixMilli(), state: "ready", acked: map[string]bool{}, conns: map[net.Conn]bool{},
		slots: make(chan struct{}, cfg.Slots), wait: make(chan struct{}, cfg.Slots+cfg.Queue),
	}
}

// Intercept replaces the answer to a request that runs. The function returns false to
// leave the usual answer in place.
func (b *Backend) Intercept(f func(w http.ResponseWriter, r *http.Request) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.behave = f
}

// Executions returns the requests that have run.
func (b *Backend) Executions() []Execution {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]Execution(nil), b.runs...)
}

// Acknowledged tells whether an announcement in the given state was acknowledged.
func (b *Backend) Acknowledged(state string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.acked[state]
}

// Serve listens and announces until ctx ends.
func (b *Backend) Serve(ctx context.Context) error {
	listen := b.cfg.Address
	if b.cfg.Listen != "" {
		listen = b.cfg.Listen
	}
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return err
	}
	b.server = &http.Server{Handler: http.HandlerFunc(b.handle), ConnState: b.track}
	go b.announceAll(ctx)
	context.AfterFunc(ctx, b.Crash)
	if err := b.server.Serve(l); err != http.ErrServerClosed {
		return err
	}
	return nil
}

func (b *Backend) track(c net.Conn, s http.ConnState) {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch s {
	case http.StateNew:
		b.conns[c] = true
	case http.StateClosed:
		delete(b.conns, c)
	}
}

// Crash ends the stand-in at once: nothing listens any more and all connections
// are reset.
func (b *Backend) Crash() {
	b.mu.Lock()
	b.state = ""
	conns := b.conns
	b.conns = map[net.Conn]bool{}
	b.mu.Unlock()
	for c := range conns {
		if tc, ok := c.(*net.TCPConn); ok {
			_ = tc.SetLinger(0) // only the reset matters
		}
	}
	_ = b.server.Close() // its listener and connections go whatever it returns
}

// Drain announces that the backend server leaves.
func (b *Backend) Drain(ctx context.Context) {
	b.mu.Lock()
	b.state = "draining"
	b.mu.Unlock()
	b.announce(ctx)
}

// Deregister announces the end without a state before it.
func (b *Backend) Deregister(ctx context.Context) {
	b.mu.Lock()
	b.state = ""
	b.mu.Unlock()
	b.call(ctx, http.MethodDelete, nil, "gone")
}

func (b *Backend) announceAll(ctx context.Context) {
	t := time.NewTicker(b.cfg.AnnounceInterval)
	defer t.Stop()
	for {
		b.announce(ctx)
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

func (b *Backend) announce(ctx context.Context) {
	b.mu.Lock()
	state := b.state
	b.sequence++
	body := map[string]any{
		"service": b.cfg.Service, "address": b.cfg.Address, "zone": "z", "version": "v1", "slots": b.cfg.Slots,
		"state": state, "coldLeftMs": 0, "seq": b.sequence, "born": b.born,
	}
	b.mu.Unlock()
	if state != "" {
		b.call(ctx, http.MethodPut, body, state)
	}
}

func (b *Backend) call(ctx context.Context, method string, body any, state string) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	data, err := json.Marshal(body)
	if err != nil {
		b.cfg.Log("announcement of %s: %v", b.cfg.ID, err)
		return
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+b.cfg.AnnounceAddress+"/v1/instances/"+b.cfg.ID, bytes.NewReader(data))
	if err != nil {
		b.cfg.Log("announcement of %s: %v", b.cfg.ID, err)
		return
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		b.cfg.Log("announcement of %s: %v", b.cfg.ID, err)
		return
	}
	resp.Body.Close()
	if resp.StatusCode/100 == 2 {
		b.mu.Lock()
		b.acked[state] = true
		b.mu.Unlock()
	}
}

func (b *Backend) handle(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	h.Set("Request-Id", r.Header.Get("Request-Id"))
	h.Set("Server-Load", fmt.Sprintf("%d,%d,%d", len(b.slots), max(len(b.wait)-len(b.slots), 0), b.cfg.Slots))
	if target := r.Header.Get("Target-Instance"); target != "" && target != b.cfg.ID {
		h.Set("Instance-Id", b.cfg.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	select {
	case b.wait <- struct{}{}:
		defer func() { <-b.wait }()
	default:
		h.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	b.slots <- struct{}{}
	defer func() { <-b.slots }()
	b.run(w, r)
}

func (b *Backend) run(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // the request broke off before it ran
	}
	ms, _ := strconv.Atoi(r.Header.Get("Deadline-Ms")) // zero is what a missing one shows as
	run := Execution{
		ID: r.Header.Get("Request-Id"), Method: r.Method, URI: r.RequestURI, Body: string(body), Host: r.Host,
		Workspace: r.Header.Get("Tenant"), Caller: r.Header.Get("Caller-Service"), Target: r.Header.Get("Target-Instance"),
		Started:       time.Now(),
		Authorization: r.Header.Get("Authorization"), Deadline: time.Duration(ms) * time.Millisecond,
	}
	b.mu.Lock()
	index := len(b.runs)
	b.runs = append(b.runs, run)
	behave := b.behave
	b.mu.Unlock()
	if behave != nil && behave(w, r) {
		return
	}
	select {
	case <-time.After(b.cfg.ServiceTime):
	case <-r.Context().Done():
		return
	}
	b.mu.Lock()
	b.runs[index].Completed = true
	b.mu.Unlock()
	w.Header().Set("Response-Signature", "signed-by-"+b.cfg.ID)
	_, _ = io.WriteString(w, "answer of "+b.cfg.ID+" to "+run.ID) // the caller may have left
}
