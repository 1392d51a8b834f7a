package model

import (
	"time"

	"github.com/teaselseam/teaselseam/internal/pressure"
	"github.com/teaselseam/teaselseam/internal/request"
	"github.com/teaselseam/teaselseam/internal/retry"
	"github.com/teaselseam/teaselseam/internal/routing"
)

// ingress is the state of a node's ingress.
type ingress struct {
	id       string
	dc       int
	services map[int]*serviceState // by index of the service

	pressure *pressure.Table
}

// serviceState is the state of an ingress for one service that it calls.
type serviceState struct {
	picker *routing.Picker
	policy retry.Policy
}

// oursPolicy is the policy of version Ours. It uses the decision core.
type oursPolicy struct {
	sim     *simulation
	buckets [len(workspaceShares)]*bucket // by workspace
}

func newOursPolicy(sim *simulation) *oursPolicy {
	p := &oursPolicy{sim: sim}
	for ws := range p.buckets {
		p.buckets[ws] = newBucket(baseLoad * sim.graph.Capacity(1) * workspaceShares[ws])
	}
	return p
}

func (p *oursPolicy) newAdmission(n *node) admission {
	return newDispatchAdmission(p.sim.graph.Services[n.service].Slots, p.sim.rnd)
}

// takeToken charges calls to the root service only, as the guard does. No token is
// refunded, because each call that takes one is passed to the backend server.
func (p *oursPolicy) takeToken(a *attempt) bool {
	return a.call.service != 0 || p.buckets[a.call.req.workspace].take(p.sim.events.now)
}

// stateOf returns the state of an ingress for a service. It is created on first use.
func (p *oursPolicy) stateOf(in *ingress, service int) *serviceState {
	state := in.services[service]
	if state == nil {
		nodes := len(p.sim.byID)
		state = &serviceState{
			picker: routing.NewPicker(routing.DefaultConfig(in.id, nodes, nodes/dataCentres), dataCentreName(in.dc)),
			policy: retry.Policy{
				Ratio:   retry.NewRatioLimiter(retry.DefaultRatioConfig(), p.sim.events.wallTime()),
				Backoff: retry.DefaultBackoff(),
			},
		}
		state.picker.SetEndpoints(p.sim.events.wallTime(), p.sim.endpoints(service))
		in.services[service] = state
	}
	return state
}

func (p *oursPolicy) startCall(c *call) {
	r := c.req
	refusal, ok := c.from.pressure.AdmitRequest(p.sim.events.wallTime(), pressure.Request{
		Route: p.sim.graph.Services[c.service].Name, Workspace: workspaceNames[r.workspace],
		Weight: workspaceShares[r.workspace], Importance: r.importance, Remaining: r.deadline - p.sim.events.now,
	}, p.sim.rnd)
	if !ok {
		c.finish(refused(refusal))
		return
	}
	c.sendAttempt()
}

func (p *oursPolicy) pickNode(c *call) (string, bool) {
	state := p.stateOf(c.from, c.service)
	if c.attempts == 0 {
		state.policy.Ratio.RecordFirst(p.sim.events.wallTime())
	}
	return state.picker.Pick(p.sim.events.wallTime(), p.sim.rnd, c.triedNodes)
}

// retryDelay makes the same decisions as package sidecar.
func (p *oursPolicy) retryDelay(c *call, r result) (time.Duration, bool) {
	switch r.reason {
	case request.ReasonOverload:
	case request.ReasonNoBackend, request.ReasonBackendLost:
		if !r.downstream && r.outcome == request.NotRun {
			return 0, c.budget.Take() // adds no load to a backend server, so the retry ratio does not count it
		}
	default:
		return 0, false // a guard at another node would refuse as well
	}
	a := retry.Attempt{
		Outcome: r.outcome, Idempotent: c.req.idempotent, DownstreamFailed: r.downstream,
		Retries: c.attempts - 1, Remaining: c.req.deadline - p.sim.events.now,
	}
	return p.stateOf(c.from, c.service).policy.Next(p.sim.events.wallTime(), a, c.budget, p.sim.rnd)
}

func (p *oursPolicy) recordResponse(a *attempt, r result) []pressure.Hint {
	report := routing.Report{Limit: r.reportedLoad.Limit, QueueWait: r.reportedLoad.Wait, ServiceTime: r.reportedLoad.ServiceTime}
	p.stateOf(a.call.from, a.call.service).picker.Done(p.sim.events.wallTime(), a.node.id, routing.Result{
		Kind: resultKind(r), Latency: p.sim.events.now - a.sent, Load: &report,
	})
	service := p.sim.graph.Services[a.call.service].Name
	a.call.from.pressure.Observe(p.sim.events.wallTime(), service, r.hints)
	return append(r.hints, r.reportedLoad.Hint(service))
}

func (p *oursPolicy) recordCancelled(c *call, a *attempt) {
	p.stateOf(c.from, c.service).picker.Done(p.sim.events.wallTime(), a.node.id, routing.Result{
		Kind: routing.Cancelled, Latency: p.sim.events.now - a.sent,
	})
}

func (p *oursPolicy) attemptTimeout() time.Duration { return 0 }
func (p *oursPolicy) propagatesDeadline() bool      { return true }

func (p *oursPolicy) endpointsChanged(service int) {
	for _, in := range p.sim.ingresses {
		if state := in.services[service]; state != nil {
			state.picker.SetEndpoints(p.sim.events.wallTime(), p.sim.endpoints(service))
		}
	}
}
