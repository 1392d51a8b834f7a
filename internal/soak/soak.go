package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"time"
)

// Config describes a run.
type Config struct {
	Daemon   string // path of teaselseamd
	Seed     uint64
	Nodes    int
	FaultDuration   time.Duration // how long faults come
	ParallelFaults int           // faults at the same time
	Dir      string        // for settings and logs
	// PlannedOnly leaves out all but planned work, so that nothing excuses a loss.
	PlannedOnly bool
	Log     func(format string, args ...any)
}

const (
	startTime   = 15 * time.Second // for all nodes to be ready
	recoverTime = 7 * time.Second  // from the last fault to full service
	serveTime   = 3 * time.Second  // of undisturbed service at the end
	perNode     = 3                // callers
)

// run is one run.
type run struct {
	cfg         Config
	fleet       *fleet
	config      *operatorConfig
	callers     *callers
	plannedOnly bool
	calmSince   time.Time

	mu     sync.Mutex
	rnd    *rand.Rand
	spoilt map[*node]spoiling
}

// Run runs a fleet under faults and returns the broken promises.
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
		rnd: rand.New(rand.NewPCG(cfg.Seed, 1)), spoilt: map[*node]spoiling{},
	}
	r.callers = &callers{cfg: r.config}
	r.config.write(f)
	for _, n := range f.nodes {
		n.newBackend(r.behave(n))
		if err := n.start(); err != nil {
			return nil, err
		}
	}
	if err := r.waitReady(); err != nil {
		return nil, err
	}
	r.play()
	return r.check(), nil
}

func (r *run) waitReady() error {
	for end := time.Now().Add(startTime); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, n := range r.fleet.nodes {
			if n.ready() {
				ready++
			}
		}
		if ready == len(r.fleet.nodes) {
			time.Sleep(time.Second) // backend servers announce themselves
			return nil
		}
	}
	return fmt.Errorf("the nodes were not ready within %v", startTime)
}

// play sends requests while faults come, and for a while after.
func (r *run) play() {
	ctx, cancel := context.WithCancel(context.Background())
	var callers sync.WaitGroup
	for i, n := range r.fleet.nodes {
		for j := range perNode {
			callers.Add(1)
			go func() {
				defer callers.Done()
				r.callers.run(ctx, n, rand.New(rand.NewPCG(r.cfg.Seed, uint64(100+i*perNode+j))))
			}()
		}
	}
	end := time.Now().Add(r.cfg.FaultDuration)
	var faults sync.WaitGroup
	for k := range r.cfg.ParallelFaults {
		faults.Add(1)
		go func() {
			defer faults.Done()
			r.disturb(end, rand.New(rand.NewPCG(r.cfg.Seed, uint64(10+k))))
		}()
	}
	faults.Wait()
	time.Sleep(recoverTime)
	r.calmSince = time.Now()
	time.Sleep(serveTime)
	cancel()
	callers.Wait()
}

// disturb makes one step after the other until the end.
func (r *run) disturb(end time.Time, rnd *rand.Rand) {
	for time.Now().Before(end) {
		s := steps[rnd.IntN(len(steps))]
		n := r.fleet.nodes[rnd.IntN(len(r.fleet.nodes))]
		if s.planned || !r.plannedOnly {
			r.cfg.Log("%s: %s", n.name, s.name)
			s.do(r, n, rnd)
		}
		time.Sleep(time.Duration(rnd.IntN(400)) * time.Millisecond)
	}
}
