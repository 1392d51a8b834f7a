package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"time"
)

// Config configures a run.
type Config struct {
	Daemon         string // path of the teaselseamd binary
	Seed           uint64
	Nodes          int
	FaultDuration  time.Duration // how long faults are injected
	ParallelFaults int           // number of faults injected at the same time
	Dir            string        // directory for settings files and logs
	// PlannedOnly restricts the run to planned operations, during which no request may
	// be lost.
	PlannedOnly bool
	Log         func(format string, args ...any)
}

const (
	startTimeout   = 15 * time.Second // for all nodes to become ready
	recoveryTime   = 7 * time.Second  // from the last fault to full service
	steadyTime     = 3 * time.Second  // without faults at the end, checked by checkRecovery
	callersPerNode = 3                // callers that send requests to each node
)

// run is the state of one soak run.
type run struct {
	cfg         Config
	fleet       *fleet
	config      *operatorConfig
	callers     *callers
	plannedOnly bool
	recoveredAt time.Time // recoveryTime after the last fault; checkRecovery starts here

	storeMu sync.Mutex // held while the store is away to come back from a copy

	mu             sync.Mutex
	rnd            *rand.Rand
	responseFaults map[*node]responseFault
	conditions     map[*node]*condition // what backend servers state now
	pastConditions []*condition
	intrusions     []string // that succeeded
}

// Run runs a fleet under faults and returns the guarantees that were violated.
func Run(cfg Config) (findings []string, err error) {
	if err := os.MkdirAll(cfg.Dir, 0o700); err != nil {
		return nil, err
	}
	f, err := newFleet(cfg, cfg.Dir)
	if err != nil {
		return nil, err
	}
	defer f.close()
	r := &run{
		cfg: cfg, fleet: f, config: newOperatorConfig(), plannedOnly: cfg.PlannedOnly,
		rnd: rand.New(rand.NewPCG(cfg.Seed, 1)), responseFaults: map[*node]responseFault{},
		conditions: map[*node]*condition{},
	}
	r.callers = &callers{config: r.config}
	r.config.write(f)
	joining := f.nodes[len(f.nodes)-1]
	for _, n := range f.nodes {
		n.newBackend(r.interceptor(n))
		if n == joining {
			continue
		}
		if err := n.start(); err != nil {
			return nil, err
		}
	}
	if err := r.waitReady(len(f.nodes) - 1); err != nil {
		return nil, err
	}
	r.sendUnderFaults()
	return r.check(), nil
}

// waitReady waits until a number of nodes are ready.
func (r *run) waitReady(want int) error {
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, n := range r.fleet.nodes {
			if n.ready() {
				ready++
			}
		}
		if ready >= want {
			time.Sleep(time.Second) // for the backend servers to announce themselves
			return nil
		}
	}
	return fmt.Errorf("not all nodes were ready within %v", startTimeout)
}

// sendUnderFaults sends requests while faults are injected and for a while after.
func (r *run) sendUnderFaults() {
	ctx, cancel := context.WithCancel(context.Background())
	var callers sync.WaitGroup
	for i, n := range r.fleet.nodes {
		for j := range callersPerNode {
			callers.Add(1)
			go func() {
				defer callers.Done()
				r.callers.run(ctx, n, rand.New(rand.NewPCG(r.cfg.Seed, uint64(100+i*callersPerNode+j))))
			}()
		}
	}
	if !r.plannedOnly {
		callers.Go(func() { r.sendCrashing(ctx) })
	}
	callers.Go(func() { r.intrude(ctx, rand.New(rand.NewPCG(r.cfg.Seed, 9))) })
	end := time.Now().Add(r.cfg.FaultDuration)
	var faults sync.WaitGroup
	for k := range r.cfg.ParallelFaults {
		faults.Add(1)
		go func() {
			defer faults.Done()
			r.injectFaults(end, rand.New(rand.NewPCG(r.cfg.Seed, uint64(10+k))))
		}()
	}
	faults.Go(func() { r.join(r.fleet.nodes[len(r.fleet.nodes)-1], rand.New(rand.NewPCG(r.cfg.Seed, 8))) })
	faults.Wait()
	time.Sleep(recoveryTime)
	r.recoveredAt = time.Now()
	time.Sleep(steadyTime)
	cancel()
	callers.Wait()
}

// injectFaults performs randomly drawn actions, one at a time, until end.
func (r *run) injectFaults(end time.Time, rnd *rand.Rand) {
	for time.Now().Before(end) {
		a := actions[rnd.IntN(len(actions))]
		n := r.fleet.nodes[rnd.IntN(len(r.fleet.nodes))]
		if a.planned || !r.plannedOnly {
			r.cfg.Log("%s: %s", n.name, a.name)
			a.apply(r, n, rnd)
		}
		time.Sleep(time.Duration(rnd.IntN(400)) * time.Millisecond)
	}
}
