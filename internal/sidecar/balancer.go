package sidecar

import (
	"context"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/teaselseam/teaselseam/internal/backend"
	"github.com/teaselseam/teaselseam/internal/catalog"
	"github.com/teaselseam/teaselseam/internal/cost"
	"github.com/teaselseam/teaselseam/internal/fleet"
	"github.com/teaselseam/teaselseam/internal/hop"
	"github.com/teaselseam/teaselseam/internal/request"
	"github.com/teaselseam/teaselseam/internal/routing"
	"github.com/teaselseam/teaselseam/platform"
)

const (
	// slowStart covers the time in which a backend server is slow after its start.
	slowStart = 4 * time.Second
	// ejectBase is the duration of a first ejection: a restarted node is back after about
	// a second.
	ejectBase     = time.Second
	ejectMax      = 8 * time.Second
	ejectFailures = 3 // consecutive failures
	// maxSlots is the highest concurrency limit accepted from a load report.
	maxSlots = 1024
	// choiceLogInterval is how often the choice of an endpoint is logged.
	choiceLogInterval = time.Second
)

// endpoint is a backend server to which a call can be sent.
type endpoint struct {
	id      string              // see endpointID
	backend backend.Incarnation // as in the row of its node
	address string              // of the node beside the backend server

	cost     time.Duration // expected run time of the call at a server of usual speed; zero if unknown
	flowCost time.Duration // the same of a typical call of its flow
	expected time.Duration // time until the response
	maxWait  time.Duration // see hop.Call.MaxWait
}

// balancer selects the endpoint for each call, with one picker per service. It is safe
// for concurrent use.
type balancer struct {
	settings *platform.Settings
	runLocal func(context.Context, *hop.Call) *hop.Response
	peers    *hop.Pool

	mu         sync.Mutex
	catalog    *catalog.Catalog // nil until there is a configuration
	rng        *rand.Rand
	pickers    map[string]*routing.Picker
	backends   map[string]backend.Incarnation // by endpoint ID
	seen       map[backend.Incarnation]sighting
	members    []*fleet.Member
	evacuated  []string           // data centres without endpoints, sorted
	conditions backend.Conditions // as the nodes beside the backend servers tell
	costs      *cost.Estimator    // of runs at all backend servers
	logChoice  time.Time          // when the next choice is logged
}

func newBalancer(s *platform.Settings, runLocal func(context.Context, *hop.Call) *hop.Response, peers *hop.Pool) *balancer {
	return &balancer{
		settings: s, runLocal: runLocal, peers: peers, rng: newRand(), costs: cost.New(),
		pickers: map[string]*routing.Picker{}, backends: map[string]backend.Incarnation{}, seen: map[backend.Incarnation]sighting{},
	}
}

// setCatalog sets the configuration in force.
func (b *balancer) setCatalog(c *catalog.Catalog) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.catalog = c
}

// setMembers updates the endpoints from the fleet. Backend servers in the first view
// after the node's start are assumed to have run for a while; later ones have just
// started.
func (b *balancer) setMembers(now time.Time, members []*fleet.Member, first bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.members = members
	b.refresh(now, first)
}

// refresh updates the endpoints of all pickers. The caller holds mu.
func (b *balancer) refresh(now time.Time, first bool) {
	members := b.members
	byService := map[string][]routing.Endpoint{}
	localMembers := 0
	for _, m := range members {
		if m.DataCentre == b.settings.DataCentre {
			localMembers++
		}
	}
	clear(b.backends)
	for _, m := range members {
		if !m.Usable() {
			continue
		}
		incarnation := incarnationOf(m)
		id := endpointID(m)
		b.backends[id] = incarnation
		seen, ok := b.seen[incarnation]
		if !ok {
			seen = b.newSighting(now, m, first)
			b.seen[incarnation] = seen
		}
		if slices.Contains(b.evacuated, m.DataCentre) {
			continue
		}
		byService[m.Backend.Service] = append(byService[m.Backend.Service], routing.Endpoint{
			ID: id, DataCentre: m.DataCentre, Address: m.Address, Started: seen.started, ColdUntil: seen.coldUntil,
			// The row may be outdated, and the node beside the backend server may have restarted.
			Draining: b.conditions.Leaving(incarnation),
		})
	}
	cfg := routing.DefaultConfig(b.settings.Node, max(len(members), 1), max(localMembers, 1))
	cfg.SlowStart, cfg.EjectBase, cfg.EjectMax, cfg.EjectFailures = slowStart, ejectBase, ejectMax, ejectFailures
	cfg.MaxSlots = maxSlots
	for service := range byService {
		if b.pickers[service] == nil {
			b.pickers[service] = routing.NewPicker(cfg, b.settings.DataCentre)
		}
	}
	for service, picker := range b.pickers {
		picker.SetEndpoints(now, byService[service])
	}
}

// sighting is the first time that a row told of an incarnation of a backend server.
type sighting struct {
	started   time.Time
	coldUntil time.Time // zero if it was not cold
}

// newSighting reads the row of a member. That its backend server is cold counts only for
// services whose cold rate is configured. The caller holds mu.
func (b *balancer) newSighting(now time.Time, m *fleet.Member, first bool) sighting {
	switch cold := time.Duration(m.Backend.ColdMS) * time.Millisecond; {
	case first:
		return sighting{started: now.Add(-slowStart)}
	case cold > 0 && b.hasColdRate(m.Backend.Service):
		return sighting{started: now, coldUntil: now.Add(cold)}
	}
	return sighting{started: now}
}

// hasColdRate reports whether the configuration names a rate for cold backend servers of a
// service. The caller holds mu.
func (b *balancer) hasColdRate(service string) bool {
	return b.catalog != nil && b.catalog.Backends(service).ColdRate > 0
}

// startAgain returns the sighting of a backend server that may have become cold just now. The
// caller holds mu.
func (b *balancer) startAgain(now time.Time, service string) sighting {
	s := sighting{started: now}
	if b.hasColdRate(service) {
		s.coldUntil = now.Add(b.catalog.Backends(service).ColdTime)
	}
	return s
}

// incarnationOf returns the incarnation of a member's backend server.
func incarnationOf(m *fleet.Member) backend.Incarnation {
	return backend.Incarnation{ID: m.Backend.ID, Born: m.Backend.Born}
}

// endpointID returns the ID of the endpoint of a member's backend server. It is another one
// for each incarnation of the node, since a stopping one never comes back, and of the backend
// server, which may start again under its ID after it has left.
func endpointID(m *fleet.Member) string {
	return m.Backend.ID + "/" + strconv.FormatInt(m.Backend.Born, 10) + "@" + m.Incarnation
}

// pick selects an endpoint that has not been tried. The choice is to be logged if logged is
// not nil.
func (b *balancer) pick(c *hop.Call, tried []string) (ep endpoint, logged *routing.Choice, ok bool) {
	predictors := costRequest(c)
	now := time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	picker := b.pickers[c.Service]
	if picker == nil {
		return endpoint{}, nil, false
	}
	ep.cost, ep.flowCost = b.costs.Expect(&predictors), b.costs.Mean(c.Flow)
	choice, ok := picker.PickByCost(now, b.rng, ep.cost, tried)
	if !ok {
		return endpoint{}, nil, false
	}
	ep.id, ep.backend, ep.expected = choice.ID, b.backends[choice.ID], choice.Expected
	ep.maxWait = choice.MaxWait
	ep.address, _ = picker.Address(choice.ID) // known, because the picker has just returned it
	if !now.Before(b.logChoice) {
		b.logChoice = now.Add(choiceLogInterval)
		copied := choice // only a logged choice is allocated
		logged = &copied
	}
	return ep, logged, true
}

func (b *balancer) recordResult(service, id string, r routing.Result) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if picker := b.pickers[service]; picker != nil {
		picker.Done(time.Now(), id, r)
	}
}

// recordRun records how long a call ran at a backend server.
func (b *balancer) recordRun(c *hop.Call, ran time.Duration) {
	predictors := costRequest(c)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.costs.Observe(&predictors, ran)
}

// keep forgets the flows that are not to be kept.
func (b *balancer) keep(keep func(request.Flow) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.costs.Keep(keep)
}

// sinceLastContact returns the time since anything was received from an endpoint.
func (b *balancer) sinceLastContact(service, id string) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.pickers[service].SinceLastContact(time.Now(), id)
}

// recordContact records that an endpoint has shown that it is alive.
func (b *balancer) recordContact(service, id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.pickers[service].RecordContact(time.Now(), id)
}

// markUnresponsive records that an endpoint failed the liveness check. It returns true if
// the endpoint was not known to be unresponsive before.
func (b *balancer) markUnresponsive(service, id string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.pickers[service].MarkUnresponsive(id)
}

// hasAlternative reports whether there is a responsive endpoint that has not been tried.
func (b *balancer) hasAlternative(service string, tried []string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	picker := b.pickers[service]
	return picker != nil && picker.HasAlternative(time.Now(), tried)
}

// send sends the call to an endpoint.
func (b *balancer) send(ctx context.Context, ep endpoint, c *hop.Call) (*hop.Response, *hop.Error) {
	if b.isLocal(ep) {
		return b.runLocal(ctx, c), nil
	}
	return b.peers.SendToNode(ctx, ep.address, c)
}

// isLocal reports whether an endpoint is the backend server beside the node.
func (b *balancer) isLocal(ep endpoint) bool { return ep.address == b.settings.PeerAddress }
