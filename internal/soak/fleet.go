package soak

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/teaselseam/teaselseam/internal/standin"
)

// Bounds that the nodes are given, as on the users' platform.
const (
	revokeBound = 5 * time.Second
	drainBound  = 2 * time.Second
	stopGrace   = 6 * time.Second
	applyBound  = 2 * time.Second
	announceBy  = 300 * time.Millisecond
	slots       = 4
)

// node is one node process with the backend server beside it.
type node struct {
	f        *fleet
	name     string
	service  string
	dc       string
	file     string // settings
	ports    map[string]string
	toStore  *proxy
	toServer *proxy

	mu      sync.Mutex
	cmd     *exec.Cmd
	exited  chan struct{}
	wanted  bool // restart it when it ends
	starts  int
	backend *standin.Backend
	old     []*standin.Backend // earlier ones, for what they ran
	drained map[*standin.Backend]time.Time
	crash   context.CancelFunc
	// disturbed is when the last unplanned fault on the node began or ended.
	disturbed time.Time
	stopping  time.Time // last SIGTERM
}

// fleet is a store, nodes and backend servers.
type fleet struct {
	cfg    Config
	dir    string
	daemon string
	store  *standin.Store
	web    *httptest.Server
	nodes  []*node
	logs   *os.File
}

// addresses gives out loopback addresses, so that no outgoing connection takes a
// port before it is used. The process number keeps two runs apart.
type addresses struct{ next int }

func (a *addresses) take() (string, error) {
	a.next++
	host := fmt.Sprintf("127.%d.%d.%d", 20+os.Getpid()%200, 100+a.next/250, a.next%250+1)
	l, err := net.Listen("tcp", host+":0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

func newFleet(cfg Config, dir string) (*fleet, error) {
	f := &fleet{cfg: cfg, dir: dir, daemon: cfg.Daemon, store: standin.NewStore()}
	f.web = httptest.NewServer(f.store)
	logs, err := os.Create(filepath.Join(dir, "nodes.log"))
	if err != nil {
		return nil, err
	}
	f.logs = logs
	var a addresses
	for i := range cfg.Nodes {
		n := &node{f: f, name: fmt.Sprint("node-", i), service: services[i%len(services)], dc: fmt.Sprint("dc-", i%2), drained: map[*standin.Backend]time.Time{}}
		if err := n.prepare(&a); err != nil {
			return nil, err
		}
		f.nodes = append(f.nodes, n)
	}
	return f, nil
}

func (n *node) prepare(a *addresses) error {
	n.ports = map[string]string{}
	for _, name := range []string{"peers", "callers", "ready", "announce", "backend", "server", "store", "metrics"} {
		address, err := a.take()
		if err != nil {
			return err
		}
		n.ports[name] = address
	}
	var err error
	if n.toStore, err = newProxy(n.ports["store"], strings.TrimPrefix(n.f.web.URL, "http://")); err != nil {
		return err
	}
	if n.toServer, err = newProxy(n.ports["backend"], n.ports["server"]); err != nil {
		return err
	}
	n.file = filepath.Join(n.f.dir, n.name+".json")
	settings := standin.NodeSettings{
		Node: n.name, DataCentre: n.dc, Service: n.service,
		Callers: n.ports["callers"], Peers: n.ports["peers"], Ready: n.ports["ready"], Announce: n.ports["announce"],
		Backend: n.ports["backend"], Store: n.ports["store"], Metrics: n.ports["metrics"],
		AnnounceInterval: announceBy, Revoke: revokeBound, Drain: drainBound, ConfigApply: applyBound, StopGrace: stopGrace,
	}
	data, err := settings.File()
	if err != nil {
		return err
	}
	return os.WriteFile(n.file, data, 0o600)
}

// start starts the node's process and keeps it running until stopped for good.
func (n *node) start() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.wanted = true
	return n.launch()
}

func (n *node) launch() error {
	cmd := exec.Command(n.f.daemon, "sidecar")
	cmd.Env = append(os.Environ(), "TEASELSEAM_NODE_FILE="+n.file)
	cmd.Stdout, cmd.Stderr = n.f.logs, n.f.logs
	if err := cmd.Start(); err != nil {
		return err
	}
	n.cmd, n.exited = cmd, make(chan struct{})
	n.starts++
	go n.watch(cmd, n.exited)
	return nil
}

// watch starts the process again after it ended, as the platform does.
func (n *node) watch(cmd *exec.Cmd, exited chan struct{}) {
	err := cmd.Wait()
	close(exited)
	time.Sleep(200 * time.Millisecond)
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.wanted {
		if startErr := n.launch(); startErr != nil {
			fmt.Fprintf(n.f.logs, "soak: %s ended (%v) and did not start again: %v\n", n.name, err, startErr)
		}
	}
}

// signal sends a signal to the node's process.
func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd != nil && n.cmd.Process != nil {
		if err := n.cmd.Process.Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
			fmt.Fprintf(n.f.logs, "soak: signal %v to %s: %v\n", s, n.name, err)
		}
	}
}

// terminate stops the process as planned, and kills it after the grace time.
func (n *node) terminate() {
	n.mu.Lock()
	n.stopping = time.Now()
	exited := n.exited
	n.mu.Unlock()
	n.signal(syscall.SIGTERM)
	select {
	case <-exited:
	case <-time.After(stopGrace):
		fmt.Fprintf(n.f.logs, "soak: %s was still there at the end of the grace time\n", n.name)
		n.disturb()
		n.signal(syscall.SIGKILL)
	}
}

func (n *node) disturb() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.disturbed = time.Now()
}

// newBackend starts a backend server beside the node. The one before is kept for
// what it has run.
func (n *node) newBackend(behave func(http.ResponseWriter, *http.Request) bool) {
	n.mu.Lock()
	if n.backend != nil {
		n.old = append(n.old, n.backend)
	}
	b := standin.NewBackend(standin.BackendConfig{
		ID: fmt.Sprintf("%s-%d", n.name, len(n.old)), Service: n.service, Address: n.ports["backend"], Listen: n.ports["server"],
		AnnounceAddress: n.ports["announce"], Slots: slots, Queue: 2 * slots, AnnounceInterval: announceBy, ServiceTime: 8 * time.Millisecond,
	})
	b.Intercept(behave)
	ctx, cancel := context.WithCancel(context.Background())
	n.backend, n.crash = b, cancel
	n.mu.Unlock()
	go func() {
		if err := b.Serve(ctx); err != nil {
			fmt.Fprintf(n.f.logs, "soak: backend server beside %s: %v\n", n.name, err)
		}
	}()
}

// backends returns all backend servers that ran beside the node.
func (n *node) backends() []*standin.Backend {
	n.mu.Lock()
	defer n.mu.Unlock()
	return append(append([]*standin.Backend(nil), n.old...), n.backend)
}

func (n *node) ready() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + n.ports["ready"] + "/v1/ready")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (f *fleet) close() {
	for _, n := range f.nodes {
		n.mu.Lock()
		n.wanted = false
		n.mu.Unlock()
		n.signal(syscall.SIGCONT)
		n.signal(syscall.SIGKILL)
		n.toStore.close()
		n.toServer.close()
		n.crash()
	}
	f.web.CloseClientConnections()
	f.web.Close()
	_ = f.logs.Close() // the run is over
}
