//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// fleet is a small deployment: nodes as separate processes, and stand-ins for the store, the
// workers and the platform's readiness checks.
type fleet struct {
	root, dir string
	rec       *recorder
	store     *store
	nodes     []*node
	bounds    map[string]any
}

// node is one process of the system with the worker on its machine.
type node struct {
	f                             *fleet
	name, zone, service           string
	inbound, outbound, ready, ctl string
	metricsPort                   int
	front                         *front
	worker                        *worker
	log                           *os.File
	mu                            sync.Mutex
	cmd                           *exec.Cmd
	exited                        chan struct{}
	misses                        int
	in                            bool
	disturbedAt                   time.Time // last moment of a disruption of its process or of its way to the store
}

// siteBounds are the bounds of the small sites.
func siteBounds() map[string]any {
	return map[string]any{
		"seedLagS": 3, "reuseAfterS": 2, "contactMs": 3000, "ackMs": 4000, "catchUpS": 4, "drainMs": 2000, "graceS": 6,
		"lossSlackMs": 200, "configApplyMs": 2000, "rollbackSlackMs": 250, "outerMs": 5000, "strictRevoke": true,
		"revokeMs": 5000, "retryBudgetRatio": 0.2, "budgetWindowS": 10, "budgetExtra": 49, "quotaWindowS": 5,
		"quotaExcess": 0.1, "quotaSlack": 20, "recoveryS": 15,
	}
}

func newFleet(rec *recorder) *fleet {
	dir, err := os.MkdirTemp("", "review")
	check(err)
	return &fleet{root: os.Getenv("REVIEW_ROOT"), dir: dir, rec: rec, store: newStore(), bounds: siteBounds()}
}

var (
	takenMu sync.Mutex
	taken   = map[int]bool{}
)

// freePort returns a free port that was not returned before, below the ports from which the kernel
// takes those of outgoing connections.
func freePort() int {
	takenMu.Lock()
	defer takenMu.Unlock()
	for {
		p := 12_000 + rand.IntN(18_000)
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", p))
		if err != nil {
			continue
		}
		l.Close()
		if !taken[p] {
			taken[p] = true
			return p
		}
	}
}

func freeAddress() string { return fmt.Sprintf("127.0.0.1:%d", freePort()) }

// add adds a machine with a worker of a service. A worker without slots is not started.
func (f *fleet) add(name, zone, service string, slots int, work time.Duration) *node {
	n := &node{
		f: f, name: name, zone: zone, service: service, inbound: freeAddress(), outbound: freeAddress(), ready: freeAddress(),
		ctl: freeAddress(), metricsPort: freePort(), front: f.store.newFront(),
	}
	n.worker = &worker{id: "i-" + name, service: service, address: freeAddress(), control: n.ctl, slots: slots, work: work, rec: f.rec}
	var err error
	n.log, err = os.Create(filepath.Join(f.dir, name+".log"))
	check(err)
	f.nodes = append(f.nodes, n)
	return n
}

// start starts the process of the node. bootstrap is set at the first start of all.
func (n *node) start(bootstrap bool) {
	settings := map[string]any{
		"node": n.name, "role": "sidecar", "machineClass": "sidecar", "serves": []string{"sidecar", "control"}, "ip": "127.0.0.1",
		"zone": n.zone, "region": "r", "zones": map[string]string{n.zone: "r"},
		"listen":    map[string]string{"inbound": n.inbound, "outbound": n.outbound, "ready": n.ready, "control": n.ctl},
		"portRange": []int{n.metricsPort, n.metricsPort}, "seeds": []string{}, "bootstrap": bootstrap, "lossCounts": false,
		"limits":  map[string]any{"cpuShare": 0.64, "cores": 1, "memoryMb": 284, "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 0},
		"dataDir": nil, "discovery": "static", "entry": "static", "beatIntervalMs": beatInterval.Milliseconds(),
		"contracts":      []string{"base", "drain", "config", "cost", "retry", "recover", "pressure", "tenants", "quota", "platform"},
		"faultTolerance": map[string]int{"machines": 2, "zones": 0, "regions": 0},
		"bounds":         n.f.bounds, "appAddr": n.worker.address, "service": n.service,
		"platform": map[string]any{
			"address": n.front.address, "form": "table", "writesPerS": 400, "readsPerS": 2000, "txMs": 4.0, "appendPerS": 250,
			"rowBytes": 65536, "across": true, "historyS": 20, "blobBytes": 8388608, "blobMs": 25.0, "transferPerS": 80.0,
		},
	}
	data, err := json.Marshal(settings)
	check(err)
	file := filepath.Join(n.f.dir, n.name+".json")
	check(os.WriteFile(file, data, 0o600))
	args := roleCommand(n.f.root)
	cmd := exec.Command(filepath.Join(n.f.root, args[0]), args[1:]...)
	cmd.Dir = n.f.root
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), "TEASELSEAM_NODE_FILE=" + file}
	cmd.Stdout, cmd.Stderr = n.log, n.log
	check(cmd.Start())
	exited := make(chan struct{})
	n.mu.Lock()
	n.cmd, n.exited = cmd, exited
	n.mu.Unlock()
	go func() {
		_ = cmd.Wait() // how it ended does not matter
		close(exited)
	}()
	n.f.rec.log("node %s: process %d started", n.name, cmd.Process.Pid)
}

// roleCommand returns the command of the only role of the deploy file.
func roleCommand(root string) []string {
	data, err := os.ReadFile(filepath.Join(root, "deploy", "system.toml"))
	check(err)
	for line := range strings.SplitSeq(string(data), "\n") {
		if v, ok := strings.CutPrefix(line, "run = "); ok {
			return strings.Fields(strings.Trim(v, `"`))
		}
	}
	panic("the deploy file names no command")
}

func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	cmd := n.cmd
	n.mu.Unlock()
	if cmd == nil {
		return
	}
	n.f.rec.log("node %s: %s", n.name, signalName(s))
	_ = cmd.Process.Signal(s) // it may have ended already
}

func signalName(s syscall.Signal) string {
	return map[syscall.Signal]string{
		syscall.SIGKILL: "SIGKILL", syscall.SIGTERM: "SIGTERM", syscall.SIGSTOP: "SIGSTOP", syscall.SIGCONT: "SIGCONT",
	}[s]
}

// awaitExit waits until the process has ended.
func (n *node) awaitExit(limit time.Duration) bool {
	n.mu.Lock()
	exited := n.exited
	n.mu.Unlock()
	select {
	case <-exited:
		return true
	case <-time.After(limit):
		return false
	}
}

// probeAll asks each node once a second whether it is ready, as the platform does.
func (f *fleet) probeAll() {
	for _, n := range f.nodes {
		go n.probeForever()
	}
}

func (n *node) probeForever() {
	for {
		ok := n.probe()
		n.mu.Lock()
		if ok {
			n.misses, n.in = 0, true
		} else if n.misses++; n.misses >= 2 {
			n.in = false
		}
		n.mu.Unlock()
		time.Sleep(time.Second)
	}
}

func (n *node) probe() bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Get("http://" + n.ready + "/v1/ready")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// getsClients reports whether clients on the machine of the node get new work: while it is in,
// or while fewer than half of the nodes of its zone are.
func (n *node) getsClients() bool {
	in, all := 0, 0
	for _, m := range n.f.nodes {
		if m.zone != n.zone {
			continue
		}
		all++
		if m.isIn() {
			in++
		}
	}
	return n.isIn() || 2*in < all
}

func (n *node) isIn() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.in
}

// awaitReady waits until all nodes that run are ready.
func (f *fleet) awaitReady(limit time.Duration, nodes ...*node) {
	end := time.Now().Add(limit)
	for _, n := range nodes {
		for !n.probe() {
			if time.Now().After(end) {
				cannotRun("node %s is not ready", n.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// stop kills all processes.
func (f *fleet) stop() {
	for _, n := range f.nodes {
		n.mu.Lock()
		cmd, exited := n.cmd, n.exited
		n.mu.Unlock()
		if cmd != nil {
			_ = cmd.Process.Kill() // it may have ended already
			<-exited
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir) // a temporary folder
	} else {
		fmt.Println("kept", f.dir)
	}
}

// route is a route of the configuration.
type route struct {
	name, prefix, kind, service string
	timeoutMs, targetMs         int
	noAuth                      bool
}

// tenant is a tenant of the configuration.
type tenant struct {
	name, key   string
	rate, burst int
}

const host = "hulo84.example"

// configure writes a configuration to the store, as the operator does.
func (f *fleet) configure(version int, routes []route, tenants []tenant) {
	rows, services, ts := [][]any{}, [][]any{}, [][]any{}
	seen := map[string]bool{}
	for _, r := range routes {
		rows = append(rows, []any{r.name, host, r.prefix, r.kind, r.timeoutMs, r.targetMs, 2, nil, 2, r.noAuth, r.service})
		if !seen[r.service] {
			seen[r.service] = true
			services = append(services, []any{r.service, "/healthz", 766, "h1", false})
		}
	}
	for _, t := range tenants {
		ts = append(ts, []any{t.name, []string{t.key}, 1, t.rate, t.burst})
	}
	data, err := json.Marshal(map[string]any{
		"version": fmt.Sprintf("r%d", version),
		"routes": map[string]any{
			"columns": []string{"name", "host", "prefix", "kind", "timeoutMs", "targetLatencyMs", "priority", "weightedClusters", "maxAttempts", "noAuth", "service"},
			"rows":    rows,
		},
		"services": map[string]any{"columns": []string{"name", "healthPath", "maxConns", "protocol", "tls"}, "rows": services},
		"limits":   map[string]int{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  map[string]any{"columns": []string{"name", "apiKeys", "priority", "ratePerS", "burst"}, "rows": ts},
	})
	check(err)
	f.store.put("op", "config", data)
	f.rec.log("operator: configuration r%d acknowledged", version)
}
