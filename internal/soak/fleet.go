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

// Time limits that the nodes are given, as on the users' platform, and the settings
// of the backend servers.
const (
	revokeBound      = 5 * time.Second
	drainBound       = 2 * time.Second
	stopGrace        = 6 * time.Second
	applyBound       = 2 * time.Second
	announceInterval = 300 * time.Millisecond
	slots            = 4
)

// node is a node process with the backend server beside it.
type node struct {
	fleet        *fleet
	name         string
	service      string
	dataCentre   string
	settingsFile string            // path
	addresses    map[string]string // IP:port by purpose, see prepare
	toStore      *proxy
	toBackend    *proxy

	replacing sync.Mutex // held while one backend server follows another; taken before mu

	mu                sync.Mutex
	cmd               *exec.Cmd
	exited            chan struct{}
	keepRunning       bool // restart the process when it exits
	startTimes        []time.Time
	backend           *standin.Backend
	pastBackends      []*standin.Backend             // earlier ones, kept for the records of what they ran
	leaveAcknowledged map[*standin.Backend]time.Time // when the node acknowledged that it leaves
	crashBackend      func()                         // stops the backend server at once and returns when its address is free
	// lastFaultAt is when an unplanned fault last began or ended on the node, faults when all did.
	lastFaultAt time.Time
	faults      []time.Time
	sigtermAt   time.Time // last SIGTERM
}

// fleet is a store with nodes and their backend servers.
type fleet struct {
	cfg         Config
	dir         string
	daemon      string
	store       *standin.Store
	storeServer *httptest.Server
	nodes       []*node
	logs        *os.File
}

// addressPool hands out a loopback address for each listener. Each address has an IP of
// its own, so that no outgoing connection takes the port before the listener starts.
// The process ID in the IP avoids conflicts between parallel runs.
type addressPool struct{ next int }

func (a *addressPool) take() (string, error) {
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
	f.storeServer = httptest.NewServer(f.store)
	logs, err := os.Create(filepath.Join(dir, "nodes.log"))
	if err != nil {
		return nil, err
	}
	f.logs = logs
	var a addressPool
	for i := range cfg.Nodes {
		n := &node{fleet: f, name: fmt.Sprint("node-", i), service: services[i%len(services)], dataCentre: fmt.Sprint("dc-", i%2), leaveAcknowledged: map[*standin.Backend]time.Time{}}
		if err := n.prepare(&a); err != nil {
			return nil, err
		}
		f.nodes = append(f.nodes, n)
	}
	return f, nil
}

// prepare takes addresses for the node and its backend server, starts the proxies and
// writes the settings file. The proxy at address "backend" forwards to the backend server
// at address "server", the one at "store" to the store.
func (n *node) prepare(a *addressPool) error {
	n.addresses = map[string]string{}
	for _, name := range []string{"peers", "callers", "ready", "announce", "backend", "server", "store", "metrics"} {
		address, err := a.take()
		if err != nil {
			return err
		}
		n.addresses[name] = address
	}
	var err error
	if n.toStore, err = newProxy(n.addresses["store"], strings.TrimPrefix(n.fleet.storeServer.URL, "http://")); err != nil {
		return err
	}
	if n.toBackend, err = newProxy(n.addresses["backend"], n.addresses["server"]); err != nil {
		return err
	}
	n.settingsFile = filepath.Join(n.fleet.dir, n.name+".json")
	settings := standin.NodeSettings{
		Node: n.name, DataCentre: n.dataCentre, Service: n.service,
		Callers: n.addresses["callers"], Peers: n.addresses["peers"], Ready: n.addresses["ready"], Announce: n.addresses["announce"],
		Backend: n.addresses["backend"], Store: n.addresses["store"], Metrics: n.addresses["metrics"],
		AnnounceInterval: announceInterval, Revoke: revokeBound, Drain: drainBound, ConfigApply: applyBound, StopGrace: stopGrace,
	}
	data, err := settings.File()
	if err != nil {
		return err
	}
	return os.WriteFile(n.settingsFile, data, 0o600)
}

// start starts the node's process. It is restarted whenever it exits, until the fleet
// is closed.
func (n *node) start() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.keepRunning = true
	return n.launch()
}

func (n *node) launch() error {
	cmd := exec.Command(n.fleet.daemon, "sidecar")
	cmd.Env = append(os.Environ(), "TEASELSEAM_NODE_FILE="+n.settingsFile)
	cmd.Stdout, cmd.Stderr = n.fleet.logs, n.fleet.logs
	if err := cmd.Start(); err != nil {
		return err
	}
	n.cmd, n.exited = cmd, make(chan struct{})
	n.startTimes = append(n.startTimes, time.Now())
	go n.watch(cmd, n.exited)
	return nil
}

// watch restarts the process after it has exited, as the platform does.
func (n *node) watch(cmd *exec.Cmd, exited chan struct{}) {
	err := cmd.Wait()
	close(exited)
	time.Sleep(200 * time.Millisecond)
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.keepRunning {
		if startErr := n.launch(); startErr != nil {
			fmt.Fprintf(n.fleet.logs, "soak: %s exited (%v) and could not be restarted: %v\n", n.name, err, startErr)
		}
	}
}

// signal sends a signal to the node's process.
func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd != nil && n.cmd.Process != nil {
		if err := n.cmd.Process.Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
			fmt.Fprintf(n.fleet.logs, "soak: sending signal %v to %s: %v\n", s, n.name, err)
		}
	}
}

// terminate sends SIGTERM and, if the process still runs after stopGrace, SIGKILL.
func (n *node) terminate() {
	n.mu.Lock()
	n.sigtermAt = time.Now()
	exited := n.exited
	n.mu.Unlock()
	if exited == nil {
		return // it has not joined yet
	}
	n.signal(syscall.SIGTERM)
	select {
	case <-exited:
	case <-time.After(stopGrace):
		fmt.Fprintf(n.fleet.logs, "soak: %s had not exited when the grace period ended; killing it\n", n.name)
		n.recordFault()
		n.signal(syscall.SIGKILL)
	}
}

// recordFault records that an unplanned fault begins or ends on the node.
func (n *node) recordFault() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lastFaultAt = time.Now()
	n.faults = append(n.faults, n.lastFaultAt)
}

// newBackend starts a backend server beside the node. The previous one is kept for the
// records of what it ran.
func (n *node) newBackend(intercept func(http.ResponseWriter, *http.Request) bool) {
	n.mu.Lock()
	if n.backend != nil {
		n.pastBackends = append(n.pastBackends, n.backend)
	}
	b := standin.NewBackend(standin.BackendConfig{
		ID: fmt.Sprintf("%s-%d", n.name, len(n.pastBackends)), Service: n.service, Address: n.addresses["backend"], Listen: n.addresses["server"],
		AnnounceAddress: n.addresses["announce"], Slots: slots, Queue: 2 * slots, AnnounceInterval: announceInterval, ServiceTime: 8 * time.Millisecond,
	})
	b.Intercept(intercept)
	ctx, cancel := context.WithCancel(context.Background())
	served := make(chan struct{})
	n.backend = b
	n.crashBackend = func() {
		cancel()
		<-served // the next backend server listens at the same address
	}
	n.mu.Unlock()
	go func() {
		defer close(served)
		if err := b.Serve(ctx); err != nil {
			fmt.Fprintf(n.fleet.logs, "soak: backend server beside %s: %v\n", n.name, err)
		}
	}()
}

// replaceBackend stops a backend server at once and starts the next one after a pause, unless
// another one runs already.
func (n *node) replaceBackend(b *standin.Backend, pause time.Duration, intercept func(http.ResponseWriter, *http.Request) bool) {
	n.replacing.Lock()
	defer n.replacing.Unlock()
	n.mu.Lock()
	current, crash := n.backend, n.crashBackend
	n.mu.Unlock()
	if current != b {
		return
	}
	crash()
	time.Sleep(pause)
	n.newBackend(intercept)
}

func (n *node) currentBackend() *standin.Backend {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.backend
}

// backends returns all backend servers that have run beside the node.
func (n *node) backends() []*standin.Backend {
	n.mu.Lock()
	defer n.mu.Unlock()
	return append(append([]*standin.Backend(nil), n.pastBackends...), n.backend)
}

func (n *node) ready() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + n.addresses["ready"] + "/v1/ready")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (f *fleet) close() {
	for _, n := range f.nodes {
		n.mu.Lock()
		n.keepRunning = false
		n.mu.Unlock()
		n.signal(syscall.SIGCONT)
		n.signal(syscall.SIGKILL)
		n.toStore.close()
		n.toBackend.close()
		n.crashBackend()
	}
	f.storeServer.CloseClientConnections()
	f.storeServer.Close()
	_ = f.logs.Close() // an error at the end of the run doesn't matter
}
