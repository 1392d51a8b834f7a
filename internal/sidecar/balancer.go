package sidecar

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/teaselseam/teaselseam/internal/fleet"
	"github.com/teaselseam/teaselseam/internal/hop"
	"github.com/teaselseam/teaselseam/internal/routing"
	"github.com/teaselseam/teaselseam/platform"
)

const (
	// slowStart covers the seconds in which a backend server is slow after its
	// start.
	slowStart = 4 * time.Second
	// A restarted node is back after about a second, so an endpoint is left out
	// for that long first.
	ejectBase     = time.Second
	ejectMax      = 8 * time.Second
	ejectFailures = 3
	maxSlots      = 1024
)

// place is where a call may run.
type place struct {
	id      string // of the endpoint: backend server and incarnation of its node
	target  string // ID of the backend server
	address string // of the node beside it
}

// places chooses backend servers, one picker a service. It is safe for concurrent
// use.
type places struct {
	settings *platform.Settings
	local    func(context.Context, *hop.Call) *hop.Answer
	peers    *hop.Pool

	mu      sync.Mutex
	rnd     *rand.Rand
	pickers map[string]*routing.Picker
	targets map[string]string    // ID of the backend server by endpoint
	since   map[string]time.Time // when a backend server was first seen
}

func newPlaces(s *platform.Settings, local func(context.Context, *hop.Call) *hop.Answer, peers *hop.Pool) *places {
	return &places{
		settings: s, local: local, peers: peers, rnd: newRand(),
		pickers: map[string]*routing.Picker{}, targets: map[string]string{}, since: map[string]time.Time{},
	}
}

// setMembers takes the fleet. Backend servers seen at the node's own start have
// run for a while; later ones have just started.
func (p *places) setMembers(now time.Time, members []*fleet.Member, first bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	byService := map[string][]routing.Endpoint{}
	local := 0
	for _, m := range members {
		if m.DataCentre == p.settings.DataCentre {
			local++
		}
	}
	clear(p.targets)
	for _, m := range members {
		if !m.Usable() {
			continue
		}
		id := m.Backend.ID
		// A stopped node's backend server is taken as leaving for good; the next
		// incarnation of the node is a new endpoint.
		endpoint := id + "@" + m.Incarnation
		p.targets[endpoint] = id
		if _, ok := p.since[id]; !ok {
			p.since[id] = now
			if first {
				p.since[id] = now.Add(-slowStart)
			}
		}
		byService[m.Backend.Service] = append(byService[m.Backend.Service], routing.Endpoint{
			ID: endpoint, DataCentre: m.DataCentre, Address: m.Address, Started: p.since[id],
		})
	}
	cfg := routing.DefaultConfig(p.settings.Node, max(len(members), 1), max(local, 1))
	cfg.SlowStart, cfg.EjectBase, cfg.EjectMax, cfg.EjectFailures = slowStart, ejectBase, ejectMax, ejectFailures
	cfg.MaxSlots = maxSlots
	for service := range byService {
		if p.pickers[service] == nil {
			p.pickers[service] = routing.NewPicker(cfg, p.settings.DataCentre)
		}
	}
	for service, picker := range p.pickers {
		picker.SetEndpoints(now, byService[service])
	}
}

// pick chooses a place that has not been tried.
func (p *places) pick(service string, tried []string) (place, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	picker := p.pickers[service]
	if picker == nil {
		return place{}, false
	}
	id, ok := picker.Pick(time.Now(), p.rnd, tried)
	if !ok {
		return place{}, false
	}
	address, _ := picker.Address(id) // the picker has just named it
	return place{id: id, target: p.targets[id], address: address}, true
}

func (p *places) done(service, id string, r routing.Result) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if picker := p.pickers[service]; picker != nil {
		picker.Done(time.Now(), id, r)
	}
}

// quiet returns how long nothing has come from a place.
func (p *places) quiet(service, id string) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.pickers[service].Quiet(time.Now(), id)
}

// heard takes a sign of life of a place.
func (p *places) heard(service, id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pickers[service].Heard(time.Now(), id)
}

// silent takes the news that a place fails the liveness check, and returns true if this
// was not known.
func (p *places) silent(service, id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.pickers[service].Silent(id)
}

// alternative tells whether a place that has not been tried answers.
func (p *places) alternative(service string, tried []string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	picker := p.pickers[service]
	return picker != nil && picker.Alternative(time.Now(), tried)
}

// send passes the call to a place.
func (p *places) send(ctx context.Context, at place, c *hop.Call) (*hop.Answer, *hop.Error) {
	if p.isLocal(at) {
		return p.local(ctx, c), nil
	}
	return p.peers.ToNode(ctx, at.address, c)
}

// isLocal tells whether a place is the backend server beside the node.
func (p *places) isLocal(at place) bool { return at.address == p.settings.PeerAddress }
