package model

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/teaselseam/teaselseam/internal/pressure"
	"github.com/teaselseam/teaselseam/internal/request"
	"github.com/teaselseam/teaselseam/internal/retry"
	"github.com/teaselseam/teaselseam/internal/routing"
)

// clientTimeout is how long a client waits for one send of its request.
const clientTimeout = time.Second

// clientPause is the time between two sends of a client that retries hard.
const clientPause = 20 * time.Millisecond

// world is one run.
type world struct {
	graph     Graph
	sc        Scenario
	times     times
	seed      uint64
	q         events
	rnd       *rand.Rand // decisions; arrivals and work have their own sources
	policy    policy
	workers   [][]*worker // by service
	byID      map[string]*worker
	ingresses []*ingress
	stats     *stats
}

// Version selects what is measured.
type Version string

// Versions.
const (
	Naive Version = "naive"
	Ours  Version = "ours"
)

// Run measures one version under one scenario with one seed.
func Run(g Graph, sc Scenario, v Version, seed uint64) Figures {
	w := newWorld(g, sc, v, seed)
	for w.q.step(w.times.stop + responseTime) {
	}
	return w.stats.figures(&w.sc)
}

func newWorld(g Graph, sc Scenario, v Version, seed uint64) *world {
	w := &world{
		graph: g, sc: sc, times: timesOf(&g), seed: seed,
		rnd:  rand.New(rand.NewPCG(seed, 2)),
		byID: make(map[string]*worker),
	}
	w.stats = newStats(w.times, g.Capacity(sc.SlowLast))
	w.policy = &naive{w}
	if v == Ours {
		w.policy = newOurs(w)
	}
	w.build()
	w.arrivals()
	if sc.Restart {
		w.q.after(w.times.start, w.restartHalf)
	}
	return w
}

func dcName(dc int) string {
	return fmt.Sprintf("dc%d", dc)
}

func (w *world) build() {
	for service, s := range w.graph.Services {
		var ks []*worker
		for i := range workers {
			id := fmt.Sprintf("%s-%d", s.Name, i)
			k := &worker{w: w, id: id, dc: i % dataCentres, service: service, number: i}
			k.ingress = &ingress{id: id, dc: k.dc, targets: make(map[int]*target), pressure: pressure.NewTable()}
			w.byID[id] = k
			w.ingresses = append(w.ingresses, k.ingress)
			ks = append(ks, k)
		}
		w.workers = append(w.workers, ks)
	}
	for i, ks := range w.workers {
		for j, k := range ks {
			k.gate = w.policy.newGate(k)
			if t := k.gate.tickTime(); t > 0 {
				w.q.after(t*time.Duration(i*workers+j)/time.Duration(len(w.byID)), k.tick)
			}
		}
	}
}

// endpoints returns the workers of a service as the picker takes them.
func (w *world) endpoints(service int) []routing.Endpoint {
	var es []routing.Endpoint
	for _, k := range w.workers[service] {
		es = append(es, routing.Endpoint{
			ID: k.id, DataCentre: dcName(k.dc), Started: epoch.Add(k.started - time.Hour),
		})
		if k.started > 0 {
			es[len(es)-1].Started = epoch.Add(k.started)
		}
	}
	return es
}

// restartHalf restarts every second worker of each service.
func (w *world) restartHalf() {
	for _, ks := range w.workers {
		for i := 0; i < len(ks); i += 2 {
			ks[i].restart()
		}
	}
}

// req is one request with all sends of its client.
type req struct {
	w          *world
	number     uint64
	workspace  int
	importance request.Importance
	idempotent bool
	inRate     bool
	arrived    time.Duration
	deadline   time.Duration // of the current send, at the ingress
	sends      int
}

// draw returns an exponential random number that depends on the seed, the request
// and the service only, so that both versions do the same work.
func (r *req) draw(service int) float64 {
	var pcg rand.PCG
	pcg.Seed(r.w.seed<<32|uint64(service), r.number)
	return rand.New(&pcg).ExpFloat64()
}

// arrivals plans the first arrival of each workspace.
func (w *world) arrivals() {
	base := baseLoad * w.graph.Capacity(1)
	number := uint64(0)
	for ws := range shares {
		rnd := rand.New(rand.NewPCG(w.seed, uint64(100+ws)))
		within := newBucket(base * shares[ws])
		var next func()
		plan := func() {
			gap := rnd.ExpFloat64() / w.sc.rate(w.times, ws, base, w.q.now)
			w.q.after(time.Duration(gap*float64(time.Second)), next)
		}
		next = func() {
			if w.q.now >= w.times.stop {
				return
			}
			number++
			r := &req{w: w, number: number<<8 | uint64(ws), workspace: ws, arrived: w.q.now}
			r.inRate = within.take(w.q.now)
			r.importance = drawImportance(rnd)
			r.idempotent = rnd.Float64() < 0.7
			w.stats.arrive(r)
			r.send()
			plan()
		}
		plan()
	}
}

// drawImportance returns 20 % sheddable, 50 % normal, 20 % high, 10 % critical.
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

// send makes the client send the request once.
func (r *req) send() {
	w := r.w
	r.sends++
	sent, answered := w.q.now, false
	in := w.ingresses[w.rnd.IntN(len(w.ingresses))]
	c := &call{w: w, req: r, service: 0, from: in, budget: retry.NewBudget(retry.DefaultBudget), share: 1}
	c.done = func(res result) {
		w.q.after(w.graph.ClientDelay, func() {
			if !answered {
				answered = true
				r.answer(res)
			}
		})
	}
	r.deadline = sent + clientTimeout - w.graph.ClientDelay
	w.q.after(w.graph.ClientDelay, func() { w.policy.begin(c) })
	w.q.after(clientTimeout-w.graph.ClientDelay, func() {
		if w.policy.passesDeadline() && !c.over {
			c.cancel()
		}
	})
	w.q.after(clientTimeout, func() {
		if !answered {
			answered = true
			r.answer(result{outcome: request.MayHaveRun, reason: request.ReasonDeadline})
		}
	})
}

// answer takes the response or its absence at the client.
func (r *req) answer(res result) {
	if res.completed() || r.sends >= r.w.sc.ClientSends {
		r.w.stats.finish(r, res)
		return
	}
	r.w.q.after(clientPause, r.send)
}
