package model

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/teaselseam/teaselseam/internal/pressure"
	"github.com/teaselseam/teaselseam/internal/request"
	"github.com/teaselseam/teaselseam/internal/routing"
)

// clientTimeout is how long a client waits for a response each time it sends a request.
const clientTimeout = time.Second

// clientRetryDelay is the delay before a client retries.
const clientRetryDelay = 20 * time.Millisecond

// simulation is the state of one run.
type simulation struct {
	graph     Graph
	scenario  Scenario
	phases    phases
	seed      uint64
	events    eventQueue
	rnd       *rand.Rand // for decisions; arrivals and work have random sources of their own
	policy    policy
	nodes     [][]*node // by service
	byID      map[string]*node
	ingresses []*ingress
	stats     *stats
}

// Version selects the version of the deployment that is measured.
type Version string

// Versions.
const (
	Naive Version = "naive" // without teaselseam
	Ours  Version = "ours"  // with the decision core of teaselseam
)

// Run measures one version under one scenario with one seed.
func Run(g Graph, sc Scenario, v Version, seed uint64) Figures {
	sim := newSimulation(g, sc, v, seed)
	for sim.events.step(sim.phases.lastArrival + lateResponseTime) {
	}
	return sim.stats.figures(&sim.scenario)
}

func newSimulation(g Graph, sc Scenario, v Version, seed uint64) *simulation {
	sim := &simulation{
		graph: g, scenario: sc, phases: phasesOf(&g), seed: seed,
		rnd:  rand.New(rand.NewPCG(seed, 2)),
		byID: make(map[string]*node),
	}
	sim.stats = newStats(sim.phases, g.Capacity(sc.LastServiceSlowdown))
	sim.policy = &naivePolicy{sim}
	if v == Ours {
		sim.policy = newOursPolicy(sim)
	}
	sim.buildNodes()
	sim.scheduleArrivals()
	if sc.RestartHalf {
		sim.events.schedule(sim.phases.overloadStart, sim.restartHalf)
	}
	return sim
}

func dataCentreName(dc int) string {
	return fmt.Sprintf("dc%d", dc)
}

func (sim *simulation) buildNodes() {
	for service, s := range sim.graph.Services {
		var nodes []*node
		for i := range nodesPerService {
			id := fmt.Sprintf("%s-%d", s.Name, i)
			n := &node{sim: sim, id: id, dc: i % dataCentres, service: service, index: i}
			n.ingress = &ingress{id: id, dc: n.dc, services: make(map[int]*serviceState), pressure: pressure.NewTable()}
			sim.byID[id] = n
			sim.ingresses = append(sim.ingresses, n.ingress)
			nodes = append(nodes, n)
		}
		sim.nodes = append(sim.nodes, nodes)
	}
	for i, nodes := range sim.nodes {
		for j, n := range nodes {
			n.admission = sim.policy.newAdmission(n)
			if t := n.admission.tickInterval(); t > 0 {
				sim.events.schedule(t*time.Duration(i*nodesPerService+j)/time.Duration(len(sim.byID)), n.tick)
			}
		}
	}
}

// endpoints returns the nodes of a service as endpoints for the picker.
func (sim *simulation) endpoints(service int) []routing.Endpoint {
	var endpoints []routing.Endpoint
	for _, n := range sim.nodes[service] {
		endpoints = append(endpoints, routing.Endpoint{
			ID: n.id, DataCentre: dataCentreName(n.dc), Started: epoch.Add(n.restartedAt - time.Hour),
		})
		if n.restartedAt > 0 {
			endpoints[len(endpoints)-1].Started = epoch.Add(n.restartedAt)
		}
	}
	return endpoints
}

// restartHalf restarts every second backend server of each service.
func (sim *simulation) restartHalf() {
	for _, nodes := range sim.nodes {
		for i := 0; i < len(nodes); i += 2 {
			nodes[i].restart()
		}
	}
}

// clientRequest is a request of a client, which may send it several times.
type clientRequest struct {
	sim        *simulation
	number     uint64
	workspace  int
	importance request.Importance
	idempotent bool
	withinRate bool
	arrived    time.Duration
	deadline   time.Duration // at the ingress, for the last time it was sent
	attempts   int           // number of times the client has sent it
}

// workSample returns an exponentially distributed random number that depends only on the
// seed, the request and the service, so that both versions do the same work.
func (r *clientRequest) workSample(service int) float64 {
	var pcg rand.PCG
	pcg.Seed(r.sim.seed<<32|uint64(service), r.number)
	return rand.New(&pcg).ExpFloat64()
}

// scheduleArrivals schedules the first arrival of each workspace. Each arrival schedules
// the next one.
func (sim *simulation) scheduleArrivals() {
	baseRate := baseLoad * sim.graph.Capacity(1)
	number := uint64(0)
	for ws := range workspaceShares {
		rnd := rand.New(rand.NewPCG(sim.seed, uint64(100+ws)))
		rateLimit := newBucket(baseRate * workspaceShares[ws])
		var arrive func()
		scheduleNext := func() {
			gap := rnd.ExpFloat64() / sim.scenario.arrivalRate(sim.phases, ws, baseRate, sim.events.now)
			sim.events.schedule(time.Duration(gap*float64(time.Second)), arrive)
		}
		arrive = func() {
			if sim.events.now >= sim.phases.lastArrival {
				return
			}
			number++
			r := &clientRequest{sim: sim, number: number<<8 | uint64(ws), workspace: ws, arrived: sim.events.now}
			r.withinRate = rateLimit.take(sim.events.now)
			r.importance = drawImportance(rnd)
			r.idempotent = rnd.Float64() < 0.7
			sim.stats.recordArrival(r)
			r.send()
			scheduleNext()
		}
		scheduleNext()
	}
}

// drawImportance returns a random importance: 20 % are sheddable, 50 % normal, 20 % high
// and 10 % critical.
func drawImportance(rnd *rand.Rand) request.Importance {
	switch f := rnd.Float64(); {
	case f < 0.2:
		return request.Sheddable
	case f < 0.7:
		return request.Normal
	case f < 0.9:
		return request.High
	default:
		return request.Critical
	}
}

// send sends the request to a random ingress.
func (r *clientRequest) send() {
	sim := r.sim
	r.attempts++
	sent, settled := sim.events.now, false
	in := sim.ingresses[sim.rnd.IntN(len(sim.ingresses))]
	c := &call{sim: sim, req: r, service: 0, from: in}
	c.onResult = func(res result) {
		sim.events.schedule(sim.graph.ClientDelay, func() {
			if !settled {
				settled = true
				r.receive(res)
			}
		})
	}
	r.deadline = sent + clientTimeout - sim.graph.ClientDelay
	sim.events.schedule(sim.graph.ClientDelay, func() { sim.policy.startCall(c) })
	sim.events.schedule(clientTimeout-sim.graph.ClientDelay, func() {
		if sim.policy.propagatesDeadline() && !c.ended {
			c.cancel()
		}
	})
	sim.events.schedule(clientTimeout, func() {
		if !settled {
			settled = true
			r.receive(result{outcome: request.MayHaveRun, reason: request.ReasonDeadline})
		}
	})
}

// receive handles the response or the timeout at the client, which sends the request again
// after a failure unless it has already sent it ClientAttempts times.
func (r *clientRequest) receive(res result) {
	if res.completed() || r.attempts >= r.sim.scenario.ClientAttempts {
		r.sim.stats.recordResult(r, res)
		return
	}
	r.sim.events.schedule(clientRetryDelay, r.send)
}
