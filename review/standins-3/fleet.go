//go:build review

package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/teaselseam/teaselseam/internal/standin"
)

// Ports of every machine, as offsets from a base port that is free on all of them.
const (
	portInbound = iota
	portOutbound
	portReady
	portControl
	portApp
	portMetrics
	portStore
	portsOfMachine
)

// Bounds of obrecz-mesh, which all cases use.
const (
	beatInterval  = 1500 * time.Millisecond
	contactTime   = 3000 * time.Millisecond
	quotaWindow   = 5 * time.Second
	quotaExcess   = 0.1
	quotaSlack    = 20
	readyDeadline = 15 * time.Second
)

// fleet is a small deployment: a stand-in of the platform's store, and machines that each have a
// node of the project and a stand-in of a worker.
type fleet struct {
	root   string // of the repository
	dir    string // temporary
	record *record
	base   int // first port of every machine
	store  *standin.Store
	closed atomic.Bool // no further process is started

	mu       sync.Mutex
	machines []*machine
	version  int
}

// machine is one VM.
type machine struct {
	f       *fleet
	name    string
	ip      string
	zone    string
	service string
	worker  *worker
	cmd     *exec.Cmd
	ended   chan struct{}
	// refused makes the store turn the machine away with status 503.
	refused atomic.Bool
	// refuseAfterFleetRead does so once the machine has read the table of the members.
	refuseAfterFleetRead atomic.Bool
	firstStart           bool
	storeServer          *http.Server
}

func newFleet(r *record) (*fleet, error) {
	root, err := os.Getwd()
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	f := &fleet{root: root, dir: dir, record: r, store: standin.NewStore()}
	f.base, err = freeBase()
	return f, err
}

// Ports are taken from below those that the kernel gives to clients.
const (
	firstPort = 20000
	lastPort  = 30000
)

// freeBase returns a port from which on the ports of a machine are free on all addresses.
func freeBase() (int, error) {
	for range 50 {
		base := firstPort + rand.IntN(lastPort-firstPort-portsOfMachine)
		free := true
		for i := range portsOfMachine {
			l, err := net.Listen("tcp", fmt.Sprintf("0.0.0.0:%d", base+i))
			if err != nil {
				free = false
				break
			}
			l.Close()
		}
		if free {
			return base, nil
		}
	}
	return 0, errors.New("no free ports")
}

func (m *machine) addr(port int) string { return fmt.Sprintf("%s:%d", m.ip, m.f.base+port) }

// add adds a machine whose worker runs requests with run. Neither is started.
func (f *fleet) add(zone, service string, firstStart bool) *machine {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := len(f.machines)
	m := &machine{
		f: f, name: fmt.Sprintf("machine-%d", n+1), ip: fmt.Sprintf("127.83.1.%d", n+1), zone: zone, service: service, firstStart: firstStart,
	}
	m.worker = newWorker(m, fmt.Sprintf("i-%s-%d", service, n+1))
	f.machines = append(f.machines, m)
	return m
}

// settings is the file of DEPLOY.md.
func (m *machine) settings() map[string]any {
	return map[string]any{
		"node": m.name, "role": "sidecar", "machineClass": "sidecar", "serves": []string{"sidecar", "control"},
		"ip": m.ip, "zone": m.zone, "region": "r", "zones": map[string]string{m.zone: "r"},
		"listen": map[string]string{
			"inbound": m.addr(portInbound), "outbound": m.addr(portOutbound), "ready": m.addr(portReady), "control": m.addr(portControl),
		},
		"portRange": []int{m.f.base + portMetrics, m.f.base + portMetrics}, "seeds": []string{}, "bootstrap": m.firstStart,
		"limits":    map[string]any{"cpuShare": 0.64, "cores": 1, "memoryMb": 284, "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 0},
		"discovery": "static", "entry": "static", "beatIntervalMs": beatInterval.Milliseconds(),
		"contracts":      []string{"base", "drain", "config", "cost", "retry", "recover", "pressure", "tenants", "quota", "platform"},
		"faultTolerance": map[string]int{"machines": 2, "zones": 0, "regions": 0},
		"bounds": map[string]any{
			"seedLagS": 3, "reuseAfterS": 2, "contactMs": 3000, "ackMs": 4000, "catchUpS": 4, "drainMs": 2000, "graceS": 6,
			"lossSlackMs": 200, "configApplyMs": 2000, "rollbackSlackMs": 250, "outerMs": 5000, "strictRevoke": true,
			"revokeMs": 5000, "retryBudgetRatio": 0.2, "budgetWindowS": 10, "budgetExtra": 49, "quotaWindowS": 5,
			"quotaExcess": 0.1, "quotaSlack": 20, "recoveryS": 15,
		},
		"appAddr": m.addr(portApp), "service": m.service,
		"platform": map[string]any{
			"address": m.addr(portStore), "form": "table", "writesPerS": 400, "readsPerS": 2000, "txMs": 4.0, "appendPerS": 250,
			"rowBytes": 65536, "across": true, "historyS": 20, "blobBytes": 8388608, "blobMs": 25.0, "transferPerS": 80.0,
		},
	}
}

func (m *machine) settingsFile() string { return filepath.Join(m.f.dir, m.name+".json") }

func (m *machine) writeSettings() error {
	data, err := json.Marshal(m.settings())
	if err != nil {
		return err
	}
	return os.WriteFile(m.settingsFile(), data, 0o600)
}

// serveStore serves the store to the machine.
func (m *machine) serveStore() error {
	l, err := net.Listen("tcp", m.addr(portStore))
	if err != nil {
		return err
	}
	m.storeServer = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if m.refused.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		m.f.store.ServeHTTP(w, r)
		if m.refuseAfterFleetRead.Load() && r.URL.Path == "/v1/rows-get" && r.URL.Query().Get("table") == "teaselseam-fleet" {
			m.refuse(true)
		}
	})}
	go m.storeServer.Serve(l)
	return nil
}

// refuse makes the store turn the machine away, or serve it again.
func (m *machine) refuse(on bool) {
	if m.refused.Swap(on) != on {
		m.f.record.note("store", "machine", m.name, "turned_away", on)
	}
}

// startNode starts the node's process with the command of the deploy file.
func (m *machine) startNode() error {
	if m.f.closed.Load() {
		return errors.New("the case has ended")
	}
	if err := m.writeSettings(); err != nil {
		return err
	}
	if m.storeServer == nil {
		if err := m.serveStore(); err != nil {
			return err
		}
	}
	out, err := os.OpenFile(filepath.Join(m.f.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	m.cmd = exec.Command("target/teaselseamd", "sidecar")
	m.cmd.Dir, m.cmd.Stdout, m.cmd.Stderr = m.f.root, out, out
	m.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // should this process be killed
	m.cmd.Env = []string{
		"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), "TEASELSEAM_NODE_FILE=" + m.settingsFile(),
	}
	if err := m.cmd.Start(); err != nil {
		return err
	}
	cmd, ended := m.cmd, make(chan struct{})
	m.ended = ended
	go func() {
		_ = cmd.Wait() // the state tells how it ended
		m.f.record.note("process", "machine", m.name, "ended", cmd.ProcessState.String())
		close(ended)
	}()
	m.f.record.note("process", "machine", m.name, "started", cmd.Process.Pid)
	return nil
}

// awaitReady waits until all nodes say that they are ready.
func (f *fleet) awaitReady() error {
	end := time.Now().Add(readyDeadline)
	for _, m := range f.machines {
		for !m.ready() {
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready", m.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

var probeClient = &http.Client{Timeout: 500 * time.Millisecond}

func (m *machine) ready() bool {
	resp, err := probeClient.Get("http://" + m.addr(portReady) + "/v1/ready")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// start starts all machines and waits until they are ready.
func (f *fleet) start() error {
	for _, m := range f.machines {
		if err := m.startNode(); err != nil {
			return err
		}
		if err := m.worker.start(); err != nil {
			return err
		}
	}
	return f.awaitReady()
}

// close ends all processes.
func (f *fleet) close() {
	f.closed.Store(true)
	for _, m := range f.machines {
		m.worker.close()
		if m.cmd != nil && m.cmd.Process != nil {
			_ = m.cmd.Process.Kill() // it may have ended
			<-m.ended
		}
		if m.storeServer != nil {
			m.storeServer.Close()
		}
	}
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(f.dir)
	} else {
		fmt.Println("kept", f.dir)
	}
}

// route is a row of the configuration.
type route struct {
	name, host, prefix, kind, service string
	timeoutMs, targetMs, maxAttempts  int
	noAuth                            bool
}

// tenant is a row of the configuration.
type tenant struct {
	name  string
	keys  []string
	rate  float64
	burst float64
}

// configure writes a version of the configuration. The store's acknowledgement is its return.
func (f *fleet) configure(routes []route, tenants []tenant) error {
	f.version += 3
	table := func(columns []string, rows [][]any) map[string]any {
		return map[string]any{"columns": columns, "rows": rows}
	}
	routeRows, tenantRows, serviceRows := [][]any{}, [][]any{}, [][]any{}
	services := map[string]bool{}
	for _, r := range routes {
		routeRows = append(routeRows, []any{r.name, r.host, r.prefix, r.kind, r.service, r.timeoutMs, r.targetMs, 1, r.maxAttempts, r.noAuth})
		if !services[r.service] {
			services[r.service] = true
			serviceRows = append(serviceRows, []any{r.service, "/healthz", 850})
		}
	}
	for _, t := range tenants {
		tenantRows = append(tenantRows, []any{t.name, t.keys, 1, t.rate, t.burst})
	}
	data, err := json.Marshal(map[string]any{
		"version":  fmt.Sprintf("r%d", f.version),
		"routes":   table([]string{"name", "host", "prefix", "kind", "service", "timeoutMs", "targetLatencyMs", "priority", "maxAttempts", "noAuth"}, routeRows),
		"services": table([]string{"name", "healthPath", "maxConns"}, serviceRows),
		"tenants":  table([]string{"name", "apiKeys", "priority", "ratePerS", "burst"}, tenantRows),
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 1 << 20, "headerTimeoutMs": 5000, "idleTimeoutMs": 30000},
	})
	if err != nil {
		return err
	}
	f.store.Put("op", "config", data)
	f.record.note("operator", "wrote", fmt.Sprintf("r%d", f.version), "routes", len(routes), "tenants", len(tenants))
	return nil
}
