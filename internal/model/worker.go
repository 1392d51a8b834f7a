package model

import (
	"slices"
	"time"

	"github.com/teaselseam/teaselseam/internal/dispatch"
	"github.com/teaselseam/teaselseam/internal/pressure"
	"github.com/teaselseam/teaselseam/internal/request"
)

const (
	downTime   = 200 * time.Millisecond // from the stop of a backend server to its return
	coldTime   = 5 * time.Second        // from its return to full speed
	coldFactor = 3.0                    // work of the first call after its return
	lyingSlow  = 5.0                    // factor on the work of a worker that reports wrongly
	reportLag  = time.Second            // age that lagging reports do not admit
)

// worker is one node: the ingress for onward calls, the guard and the backend server.
type worker struct {
	w       *world
	id      string
	dc      int
	service int
	number  int // within the service
	gate    gate
	down    bool
	started time.Duration
	active  []*attempt // waiting and running
	busy    int        // slots in use
	inner   []*attempt // running, but waiting for a slot
	ingress *ingress

	stale   pressure.Load // in scenarios with lagging reports
	staleAt time.Duration
}

// factor returns how much slower than usual the backend server works.
func (k *worker) factor() float64 {
	sc, now := k.w.sc, k.w.q.now
	f := 1.0
	if k.w.times.overloaded(now) && k.service == len(k.w.graph.Services)-1 {
		f *= sc.SlowLast
	}
	if k.w.times.overloaded(now) && sc.BadReports && k.number == 0 {
		f *= lyingSlow
	}
	if up := now - k.started; k.started > 0 && up < coldTime {
		f *= coldFactor + (1-coldFactor)*float64(up)/float64(coldTime)
	}
	return f
}

// report returns the load figures on the response to an attempt.
func (k *worker) report(a *attempt) pressure.Load {
	now := k.w.q.now
	r := k.gate.report(a)
	if !k.w.sc.BadReports || !k.w.times.overloaded(now) {
		return r
	}
	if k.number == 0 {
		return pressure.Load{Limit: 1000, AcceptRatio: 1}
	}
	if now-k.staleAt >= reportLag {
		k.stale, k.staleAt = r, now
	}
	return k.stale
}

// arrive takes an attempt from the network.
func (k *worker) arrive(a *attempt) {
	if a.over {
		return
	}
	if k.down {
		a.respond(result{outcome: request.NotRun, reason: request.ReasonNoBackend})
		return
	}
	a.add()
	v, refusal, evicted := k.gate.arrive(k.w.q.time(), a)
	refuseAll(evicted)
	switch v {
	case dispatch.Run:
		k.start(a)
	case dispatch.Refuse:
		a.refuse(refusal)
	case dispatch.Wait:
	}
}

// start hands an attempt to the backend server, which queues it if the gate let in
// more calls than there are slots. An attempt over its workspace's rate is refused
// and counts at the gate as failed, since the backend server did not see it.
func (k *worker) start(a *attempt) {
	if !k.w.policy.takeToken(a) {
		a.refuse(request.Refuse(request.ReasonOverShare, 0))
		k.startAll(k.gate.finish(k.w.q.time(), a, dispatch.Failed))
		return
	}
	a.running = true
	if k.busy >= k.w.graph.Services[k.service].Slots {
		k.inner = append(k.inner, a)
		return
	}
	k.work(a)
}

// work gives an attempt a slot.
func (k *worker) work(a *attempt) {
	k.busy++
	a.slot = true
	work := time.Duration(float64(a.call.work()) * k.factor())
	k.w.q.after(work, func() {
		if a.running {
			a.nest()
		}
	})
}

// free takes the slot back and gives it to the next attempt in the backend server.
func (k *worker) free(a *attempt) {
	if !a.slot {
		k.inner = slices.DeleteFunc(k.inner, func(other *attempt) bool { return other == a })
		return
	}
	a.slot = false
	k.busy--
	if len(k.inner) > 0 && !k.down {
		next := k.inner[0]
		k.inner = k.inner[1:]
		k.work(next)
	}
}

// refuseAll answers the attempts that a gate refuses after they had waited.
func refuseAll(list []*attempt) {
	for _, a := range list {
		a.refuse(a.refusal)
	}
}

// startAll starts the attempts that a gate released.
func (k *worker) startAll(list []*attempt) {
	for _, a := range list {
		k.start(a)
	}
}

// end frees the slot of a running attempt.
func (k *worker) end(a *attempt, r dispatch.Result) {
	a.running = false
	a.remove()
	k.free(a)
	k.startAll(k.gate.finish(k.w.q.time(), a, r))
}

// tick handles queue timeouts and plans the next tick.
func (k *worker) tick() {
	refuseAll(k.gate.tick(k.w.q.time()))
	k.w.q.after(k.gate.tickTime(), k.tick)
}

// restart stops the backend server and brings it back cold. Waiting calls are
// refused first, so that none of them starts.
func (k *worker) restart() {
	k.down = true
	now := k.w.q.time()
	for _, a := range slices.Clone(k.active) {
		if !a.running {
			k.gate.cancel(now, a)
			a.refuse(request.Refuse(request.ReasonNoBackend, 0))
		}
	}
	for _, a := range slices.Clone(k.active) {
		a.cancelNested()
		k.end(a, dispatch.Failed)
		if !a.over {
			a.respond(result{outcome: request.MayHaveRun, reason: request.ReasonBackendLost})
		}
	}
	k.w.q.after(downTime, func() {
		k.down, k.started = false, k.w.q.now
		k.gate.restart()
		k.w.policy.endpointsChanged(k.service)
	})
}
