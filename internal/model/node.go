package model

import (
	"slices"
	"time"

	"github.com/teaselseam/teaselseam/internal/dispatch"
	"github.com/teaselseam/teaselseam/internal/pressure"
	"github.com/teaselseam/teaselseam/internal/request"
)

const (
	restartTime          = 200 * time.Millisecond // from the stop of a backend server until it accepts calls again
	coldStartTime        = 5 * time.Second        // from then until it works at full speed
	coldStartSlowdown    = 3.0                    // factor on the work right after a restart; it falls to 1 linearly
	misreportingSlowdown = 5.0                    // factor on the work of a node that reports no load
	maxReportAge         = time.Second            // age at which a lagging load report is renewed
)

// node is one node with its backend server: the ingress for the calls that the backend
// server makes, and the guard in front of it.
type node struct {
	sim         *simulation
	id          string
	dc          int
	service     int
	index       int // among the nodes of the service
	admission   admission
	down        bool
	restartedAt time.Duration
	active      []*attempt // waiting or running
	busySlots   int
	slotQueue   []*attempt // passed to the backend server, waiting for a slot
	ingress     *ingress

	laggedLoad pressure.Load // last load report, if reports lag
	laggedAt   time.Duration
}

// slowdown returns the current factor on the work of the backend server.
func (n *node) slowdown() float64 {
	sc, now := n.sim.scenario, n.sim.events.now
	f := 1.0
	if n.sim.phases.overloaded(now) && n.service == len(n.sim.graph.Services)-1 {
		f *= sc.LastServiceSlowdown
	}
	if n.sim.phases.overloaded(now) && sc.WrongLoadReports && n.index == 0 {
		f *= misreportingSlowdown
	}
	if up := now - n.restartedAt; n.restartedAt > 0 && up < coldStartTime {
		f *= coldStartSlowdown + (1-coldStartSlowdown)*float64(up)/float64(coldStartTime)
	}
	return f
}

// loadReport returns the load to send with the response to an attempt. It is wrong during
// the overload if the scenario says so.
func (n *node) loadReport(a *attempt) pressure.Load {
	now := n.sim.events.now
	r := n.admission.report(a)
	if !n.sim.scenario.WrongLoadReports || !n.sim.phases.overloaded(now) {
		return r
	}
	if n.index == 0 {
		return pressure.Load{Limit: 1000}
	}
	if now-n.laggedAt >= maxReportAge {
		n.laggedLoad, n.laggedAt = r, now
	}
	return n.laggedLoad
}

// receive handles an attempt that arrives from the network.
func (n *node) receive(a *attempt) {
	if a.settled {
		return
	}
	if n.down {
		a.respond(result{outcome: request.NotRun, reason: request.ReasonNoBackend})
		return
	}
	a.addToActive()
	v, refusal, evicted := n.admission.arrive(n.sim.events.wallTime(), a)
	refuseAll(evicted)
	switch v {
	case dispatch.Run:
		n.start(a)
	case dispatch.Refuse:
		a.refuse(refusal)
	case dispatch.Wait:
	}
}

// start passes an attempt to the backend server, which queues it if all its slots are
// taken. An attempt over its workspace's rate is refused instead. The admission control
// counts it as failed, since the backend server did not receive it.
func (n *node) start(a *attempt) {
	if !n.sim.policy.takeToken(a) {
		a.refuse(request.Refuse(request.ReasonOverShare, 0))
		n.startAll(n.admission.finish(n.sim.events.wallTime(), a, dispatch.Failed))
		return
	}
	a.running = true
	if n.busySlots >= n.sim.graph.Services[n.service].Slots {
		n.slotQueue = append(n.slotQueue, a)
		return
	}
	n.occupySlot(a)
}

// occupySlot gives an attempt a slot and schedules the end of its work.
func (n *node) occupySlot(a *attempt) {
	n.busySlots++
	a.holdsSlot = true
	work := time.Duration(float64(a.call.work()) * n.slowdown())
	n.sim.events.schedule(work, func() {
		if a.running {
			a.makeInternalCalls()
		}
	})
}

// releaseSlot gives the slot of an attempt to the next one in slotQueue, unless the backend
// server is down. An attempt that is still in slotQueue itself is removed from there.
func (n *node) releaseSlot(a *attempt) {
	if !a.holdsSlot {
		n.slotQueue = slices.DeleteFunc(n.slotQueue, func(other *attempt) bool { return other == a })
		return
	}
	a.holdsSlot = false
	n.busySlots--
	if len(n.slotQueue) > 0 && !n.down {
		next := n.slotQueue[0]
		n.slotQueue = n.slotQueue[1:]
		n.occupySlot(next)
	}
}

// refuseAll responds to attempts that are refused after they were queued.
func refuseAll(list []*attempt) {
	for _, a := range list {
		a.refuse(a.refusal)
	}
}

// startAll starts attempts that were queued.
func (n *node) startAll(list []*attempt) {
	for _, a := range list {
		n.start(a)
	}
}

// endAttempt ends a running attempt and starts queued ones in its place.
func (n *node) endAttempt(a *attempt, r dispatch.Result) {
	a.running = false
	a.removeFromActive()
	n.releaseSlot(a)
	n.startAll(n.admission.finish(n.sim.events.wallTime(), a, r))
}

// tick refuses attempts that have been queued for too long and schedules the next tick.
func (n *node) tick() {
	refuseAll(n.admission.tick(n.sim.events.wallTime()))
	n.sim.events.schedule(n.admission.tickInterval(), n.tick)
}

// restart stops the backend server and starts it again after restartTime. Until
// coldStartTime after that it works more slowly. Waiting attempts are refused first, so
// that none of them starts when the running ones end.
func (n *node) restart() {
	n.down = true
	now := n.sim.events.wallTime()
	for _, a := range slices.Clone(n.active) {
		if !a.running {
			n.admission.cancel(now, a)
			a.refuse(request.Refuse(request.ReasonNoBackend, 0))
		}
	}
	for _, a := range slices.Clone(n.active) {
		a.cancelInternalCalls()
		n.endAttempt(a, dispatch.Failed)
		if !a.settled {
			a.respond(result{outcome: request.MayHaveRun, reason: request.ReasonBackendLost})
		}
	}
	n.sim.events.schedule(restartTime, func() {
		n.down, n.restartedAt = false, n.sim.events.now
		n.admission.restart()
		n.sim.policy.endpointsChanged(n.service)
	})
}
