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

// BackendConfig configures a stand-in for a backend server.
type BackendConfig struct {
	ID              string
	Service         string
	Address         string // IP:port to announce, and to listen on unless Listen is set
	AnnounceAddress string // IP:port at which the node beside it takes announcements
	// Listen is the IP:port to listen on if a proxy listens on Address.
	Listen string
	// Slots is the number of requests run at the same time, Queue that of requests
	// waiting for a slot.
	Slots            int
	Queue            int
	AnnounceInterval time.Duration // interval between announcements
	ServiceTime      time.Duration // how long a request occupies its slot
	Log              func(format string, args ...any)
	// Cold is how long the stand-in is cold after its start. It does not become slower; tests
	// judge what it gets by Executions.
	Cold time.Duration
}

// HealthPath is where a stand-in answers health checks.
const HealthPath = "/healthz"

// Execution records one request that the stand-in has run.
type Execution struct {
	ID, Method, URI, Body             string
	Workspace, Caller, Authorization  string
	Deadline                          time.Duration
	Started                           time.Time
	Completed                         bool // false if it was cancelled or the interceptor responded
	Host, Target, ContentType, Cookie string
}

// Backend is a stand-in for a backend server: it announces itself to its node, runs
// requests in a limited number of slots and sends the response headers that the
// protocol requires. It is safe for concurrent use.
type Backend struct {
	cfg  BackendConfig
	born int64

	slots    chan struct{}
	admitted chan struct{} // requests that run or wait for a slot

	mu           sync.Mutex
	state        string // announced periodically; "" if announcements have stopped
	sequence     uint64
	coldUntil    time.Time
	checks       int // health checks answered
	executions   []Execution
	intercept    func(w http.ResponseWriter, r *http.Request) bool
	acknowledged map[string]bool // announced states that the node acknowledged
	conns        map[net.Conn]bool
	server       *http.Server
}

// NewBackend returns a stand-in; Serve starts it.
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
	b := &Backend{
		coldUntil: time.Now().Add(cfg.Cold),
		cfg:       cfg, born: time.Now().UnixMilli(), state: "ready", acknowledged: map[string]bool{}, conns: map[net.Conn]bool{},
		slots: make(chan struct{}, cfg.Slots), admitted: make(chan struct{}, cfg.Slots+cfg.Queue),
	}
	b.server = &http.Server{Handler: http.HandlerFunc(b.handle), ConnState: b.trackConn}
	return b
}

// ID returns the ID of the backend server.
func (b *Backend) ID() string { return b.cfg.ID }

// Intercept calls f for each request that runs. If f returns true, it has written
// the response; if false, the usual response is sent.
func (b *Backend) Intercept(f func(w http.ResponseWriter, r *http.Request) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.intercept = f
}

// BecomeCold makes the stand-in cold for a time from now on. Unless announced is set, it stops
// announcing itself, so that only its health responses tell.
func (b *Backend) BecomeCold(d time.Duration, announced bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.coldUntil = time.Now().Add(d)
	if !announced {
		b.state = ""
	}
}

// coldLeft returns how much longer the stand-in is cold, in ms. The caller holds mu.
func (b *Backend) coldLeft() int64 { return max(time.Until(b.coldUntil).Milliseconds(), 0) }

// HealthChecks returns the number of health checks that the stand-in has answered.
func (b *Backend) HealthChecks() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.checks
}

// Executions returns a copy of the records of all requests run so far.
func (b *Backend) Executions() []Execution {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]Execution(nil), b.executions...)
}

// Acknowledged reports whether the node has acknowledged an announcement of the given
// state. The state of a deregistration is "gone".
func (b *Backend) Acknowledged(state string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.acknowledged[state]
}

// Serve accepts requests and sends announcements until ctx ends. The address is free
// again when it returns.
func (b *Backend) Serve(ctx context.Context) error {
	listen := b.cfg.Address
	if b.cfg.Listen != "" {
		listen = b.cfg.Listen
	}
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return err
	}
	go b.announcePeriodically(ctx)
	context.AfterFunc(ctx, b.Crash)
	if err := b.server.Serve(l); err != http.ErrServerClosed {
		return err
	}
	return nil
}

func (b *Backend) trackConn(c net.Conn, s http.ConnState) {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch s {
	case http.StateNew:
		b.conns[c] = true
	case http.StateClosed:
		delete(b.conns, c)
	}
}

// Crash stops the stand-in at once: it closes the listener and resets all
// connections.
func (b *Backend) Crash() {
	b.mu.Lock()
	b.state = ""
	conns := b.conns
	b.conns = map[net.Conn]bool{}
	b.mu.Unlock()
	for c := range conns {
		if tc, ok := c.(*net.TCPConn); ok {
			_ = tc.SetLinger(0) // best effort: SO_LINGER 0 makes Close send a reset
		}
	}
	_ = b.server.Close() // listener and connections are closed whatever it returns
}

// Drain announces the state draining.
func (b *Backend) Drain(ctx context.Context) {
	b.mu.Lock()
	b.state = "draining"
	b.mu.Unlock()
	b.announce(ctx)
}

// Deregister removes the backend server from the node without announcing the state
// draining first.
func (b *Backend) Deregister(ctx context.Context) {
	b.mu.Lock()
	b.state = ""
	b.mu.Unlock()
	b.sendAnnouncement(ctx, http.MethodDelete, nil, "gone")
}

func (b *Backend) announcePeriodically(ctx context.Context) {
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
		"state": state, "coldLeftMs": b.coldLeft(), "seq": b.sequence, "born": b.born,
	}
	b.mu.Unlock()
	if state != "" {
		b.sendAnnouncement(ctx, http.MethodPut, body, state)
	}
}

func (b *Backend) sendAnnouncement(ctx context.Context, method string, body any, state string) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	data, err := json.Marshal(body)
	if err != nil {
		b.cfg.Log("announcing backend server %s to its node: %v", b.cfg.ID, err)
		return
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+b.cfg.AnnounceAddress+"/v1/instances/"+b.cfg.ID, bytes.NewReader(data))
	if err != nil {
		b.cfg.Log("announcing backend server %s to its node: %v", b.cfg.ID, err)
		return
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		b.cfg.Log("announcing backend server %s to its node: %v", b.cfg.ID, err)
		return
	}
	resp.Body.Close()
	if resp.StatusCode/100 == 2 {
		b.mu.Lock()
		b.acknowledged[state] = true
		b.mu.Unlock()
	}
}

func (b *Backend) handle(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	h.Set("Request-Id", r.Header.Get("Request-Id"))
	h.Set("Server-Load", fmt.Sprintf("%d,%d,%d", len(b.slots), max(len(b.admitted)-len(b.slots), 0), b.cfg.Slots))
	if r.URL.Path == HealthPath {
		b.serveHealth(w)
		return
	}
	if target := r.Header.Get("Target-Instance"); target != "" && target != b.cfg.ID {
		h.Set("Instance-Id", b.cfg.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	select {
	case b.admitted <- struct{}{}:
		defer func() { <-b.admitted }()
	default:
		h.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	b.slots <- struct{}{}
	defer func() { <-b.slots }()
	b.run(w, r)
}

func (b *Backend) serveHealth(w http.ResponseWriter) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.checks++
	w.Header().Set("Instance-Id", b.cfg.ID)
	w.Header().Set("Cold-Ms", strconv.FormatInt(b.coldLeft(), 10))
}

func (b *Backend) run(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // the connection ended before the whole request arrived
	}
	ms, _ := strconv.Atoi(r.Header.Get("Deadline-Ms")) // an invalid or missing deadline counts as zero
	execution := Execution{
		ID: r.Header.Get("Request-Id"), Method: r.Method, URI: r.RequestURI, Body: string(body), Host: r.Host,
		Workspace: r.Header.Get("Tenant"), Caller: r.Header.Get("Caller-Service"), Target: r.Header.Get("Target-Instance"),
		Started:       time.Now(),
		Authorization: r.Header.Get("Authorization"), Deadline: time.Duration(ms) * time.Millisecond,
	}
	b.mu.Lock()
	index := len(b.executions)
	b.executions = append(b.executions, execution)
	intercept := b.intercept
	b.mu.Unlock()
	if intercept != nil && intercept(w, r) {
		return
	}
	select {
	case <-time.After(b.cfg.ServiceTime):
	case <-r.Context().Done():
		return
	}
	b.mu.Lock()
	b.executions[index].Completed = true
	b.mu.Unlock()
	w.Header().Set("Response-Signature", "signed-by-"+b.cfg.ID)
	_, _ = io.WriteString(w, "answer of "+b.cfg.ID+" to "+execution.ID) // the caller may have disconnected
}

// StopAnnouncing ends the periodic announcements, as if the backend server had crashed or were
// about to leave. It goes on serving.
func (b *Backend) StopAnnouncing() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.state = ""
}
