// Package samplebackend is a small backend server for `teaselseamd dev` and for
// tests. It announces itself to the node beside it, echoes requests, and can be
// made slow, to call on, to crash or to drain.
package samplebackend

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"golang.org/x/sync/errgroup"

	"github.com/teaselseam/teaselseam/internal/control"
	"github.com/teaselseam/teaselseam/internal/ingress"
	"github.com/teaselseam/teaselseam/internal/request"
)

// Config describes a sample backend server.
type Config struct {
	Service string
	Address string // IP:port to listen on
	Ingress string // IP:port of the node beside it
	Slots   int    // calls run at the same time; further ones queue inside
	// ServiceTime is how long a call holds its slot.
	ServiceTime time.Duration
	Connections int
}

// Request headers that steer the sample backend server.
const (
	HeaderSleep = "X-Sample-Sleep-Ms" // extra time in the call
	HeaderCrash = "X-Sample-Crash"    // "true" ends the process
	HeaderNext  = "X-Sample-Next"     // path of a nested call; its body becomes the body
	HeaderDump  = "X-Sample-Dump"     // "true" answers with the received headers as JSON
	HeaderFail  = "X-Sample-Fail"     // "true" answers 503 with the outcome not_run
)

const (
	announceInterval = 500 * time.Millisecond
	announceTimeout  = time.Second
	maxBody          = 16 << 20
	crashStatus      = 3
)

// Server is a running sample backend server.
type Server struct {
	log      *slog.Logger
	cfg      Config
	instance string
	started  time.Time
	slots    chan struct{}
	client   *http.Client
	running  atomic.Int64
	queued   atomic.Int64
	draining atomic.Bool
	total    atomic.Int64 // calls run since the start

	mu sync.Mutex
	// runs counts how often each request ID was run.
	runs map[string]int
}

// New returns a sample backend server.
func New(log *slog.Logger, cfg Config) *Server {
	return &Server{
		log:      log,
		cfg:      cfg,
		instance: uuid.NewString(),
		started:  time.Now(),
		slots:    make(chan struct{}, cfg.Slots),
		client:   &http.Client{},
		runs:     map[string]int{},
	}
}

// Run serves until ctx ends. It then announces that it is draining and lets its
// running calls end.
func (s *Server) Run(ctx context.Context) error {
	l, err := net.Listen("tcp", s.cfg.Address)
	if err != nil {
		return fmt.Errorf("listen on %s: %w", s.cfg.Address, err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /sample/runs", s.serveRuns)
	mux.HandleFunc("GET /sample/total", func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprint(w, s.total.Load())
	})
	mux.HandleFunc("POST /sample/drain", func(w http.ResponseWriter, _ *http.Request) {
		s.draining.Store(true)
		w.WriteHeader(http.StatusNoContent)
	})
	mux.HandleFunc("/", s.serveCall)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: announceTimeout}
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error {
		if err := server.Serve(l); err != http.ErrServerClosed {
			return err
		}
		return nil
	})
	g.Go(func() error {
		s.announceLoop(ctx)
		s.draining.Store(true)
		s.announce(context.Background())
		return server.Shutdown(context.Background())
	})
	return g.Wait()
}

func (s *Server) announceLoop(ctx context.Context) {
	t := time.NewTicker(announceInterval)
	defer t.Stop()
	for {
		s.announce(ctx)
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

func (s *Server) announce(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	body, err := json.Marshal(control.Announcement{
		Service:        s.cfg.Service,
		Address:        s.cfg.Address,
		Instance:       s.instance,
		Started:        s.started,
		Draining:       s.draining.Load(),
		MaxConnections: s.cfg.Connections,
		Slots:          s.cfg.Slots,
		Running:        int(s.running.Load()),
		Queued:         int(s.queued.Load()),
	})
	if err != nil {
		return
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.cfg.Ingress+ingress.AnnouncePath, bytes.NewReader(body))
	if err != nil {
		return
	}
	resp, err := s.client.Do(req)
	if err != nil {
		s.log.Debug("announcement failed", "step", "announce", "peer", s.cfg.Ingress, "error", err)
		return
	}
	resp.Body.Close()
}

// serveRuns returns how often each request ID was run.
func (s *Server) serveRuns(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = json.NewEncoder(w).Encode(s.runs) // the client sees a short body
}

func (s *Server) serveCall(w http.ResponseWriter, r *http.Request) {
	s.queued.Add(1)
	select {
	case s.slots <- struct{}{}:
		s.queued.Add(-1)
	case <-r.Context().Done():
		s.queued.Add(-1)
		return
	}
	defer func() { <-s.slots }()
	s.running.Add(1)
	defer s.running.Add(-1)
	s.total.Add(1)
	s.countRun(r.Header.Get(request.HeaderID))
	if r.Header.Get(HeaderCrash) == "true" {
		os.Exit(crashStatus)
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBody))
	if err != nil {
		return
	}
	if !s.work(r) {
		return
	}
	if r.Header.Get(HeaderDump) == "true" {
		_ = json.NewEncoder(w).Encode(r.Header) // the client sees a short body
		return
	}
	if r.Header.Get(HeaderFail) == "true" {
		w.Header().Set(request.HeaderOutcome, request.NotRun.String())
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if next := r.Header.Get(HeaderNext); next != "" {
		s.callOn(w, r, next, body)
		return
	}
	w.Header().Set("Content-Type", "text/plain")
	fmt.Fprintf(w, "%s %s %s %s\n%s", s.cfg.Service, r.Method, r.URL.RequestURI(), r.Header.Get(request.HeaderID), body)
}

func (s *Server) countRun(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[id]++
}

// work holds the slot for the service time; false means that the caller left.
func (s *Server) work(r *http.Request) bool {
	extra, _ := strconv.Atoi(r.Header.Get(HeaderSleep)) // absent or malformed means none
	select {
	case <-time.After(s.cfg.ServiceTime + time.Duration(extra)*time.Millisecond):
		return true
	case <-r.Context().Done():
		return false
	}
}

// callOn makes a nested call through the node beside the backend server.
func (s *Server) callOn(w http.ResponseWriter, r *http.Request, path string, body []byte) {
	req, err := http.NewRequestWithContext(r.Context(), r.Method, "http://"+s.cfg.Ingress+path, bytes.NewReader(body))
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	req.Header.Set(request.HeaderCall, r.Header.Get(request.HeaderCall))
	for _, name := range []string{HeaderSleep, HeaderDump, HeaderFail} {
		req.Header.Set(name, r.Header.Get("Next-"+name))
	}
	resp, err := s.client.Do(req)
	if err != nil {
		http.Error(w, "nested call failed", http.StatusBadGateway)
		return
	}
	defer resp.Body.Close()
	w.WriteHeader(resp.StatusCode)
	_, _ = io.Copy(w, resp.Body) // a short body is noticed by its length
}
