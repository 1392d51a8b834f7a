//go:build review

package main

import (
	"sync"
	"time"
)

// missesOut is how many misses in a row take a machine out.
const missesOut = 2

// probes asks the machines of a zone once a second whether they are ready, as the platform does.
type probes struct {
	machines []*machine
	done     chan struct{}

	mu     sync.Mutex
	misses []int
}

func newProbes(machines []*machine) *probes {
	p := &probes{machines: machines, done: make(chan struct{}), misses: make([]int, len(machines))}
	for i, m := range machines {
		go func() {
			t := time.NewTicker(time.Second)
			defer t.Stop()
			for {
				select {
				case <-p.done:
					return
				case <-t.C:
				}
				p.record(i, m.ready())
			}
		}()
	}
	return p
}

func (p *probes) record(i int, ready bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	before := p.misses[i] < missesOut
	p.misses[i]++
	if ready {
		p.misses[i] = 0
	}
	if in := p.misses[i] < missesOut; in != before {
		p.machines[i].f.record.note("platform", "machine", p.machines[i].name, "in", in)
	}
}

// sends reports whether the clients of a machine get new work: it is in, or fewer than half of the
// zone are.
func (p *probes) sends(i int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	in := 0
	for _, n := range p.misses {
		if n < missesOut {
			in++
		}
	}
	return p.misses[i] < missesOut || 2*in < len(p.misses)
}

func (p *probes) stop() { close(p.done) }
