package model

import (
	"time"

	"github.com/teaselseam/teaselseam/internal/pressure"
	"github.com/teaselseam/teaselseam/internal/request"
	"github.com/teaselseam/teaselseam/internal/retry"
	"github.com/teaselseam/teaselseam/internal/routing"
)

// Bounds on retries, as in the settings of a typical deployment.
const (
	maxAttempts       = 3
	retryRatio        = 0.2
	retryExtraPerNode = 1.3
	retryWindow       = 10 * time.Second
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
	picker  *routing.Picker
	retries *retry.Account
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
			retries: retry.NewAccount(p.sim.events.wallTime(), retry.Bounds{
				Ratio: retryRatio, Cap: retryRatio, Extra: retryExtraPerNode * float64(nodes), Nodes: nodes, Window: retryWindow,
			}),
		}
		state.picker.SetEndpoints(p.sim.events.wallTime(), p.sim.endpoints(service))
		in.services[service] = state
	}
	return state
}

func (p *oursPolicy) startCall(c *call) {
	r := c.req
	refusal, ok := c.from.pressure.AdmitRequest(p.sim.events.wallTime(), pressure.Request{
		Flow: request.Flow(p.sim.graph.Services[c.service].Name), Workspace: workspaceNames[r.workspace],
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
		state.retries.RecordFirst(p.sim.events.wallTime())
	}
	return state.picker.Pick(p.sim.events.wallTime(), p.sim.rnd, c.triedNodes)
}

// retryDelay decides as nodes do. A retry goes to another node, so it is not delayed.
func (p *oursPolicy) retryDelay(c *call, r result) (time.Duration, bool) {
	a := retryAttempt(r)
	c.progress.Record(a)
	if p.sim.events.now >= c.req.deadline {
		return 0, false
	}
	switch c.progress.Next(retry.Call{Idempotent: c.req.idempotent, Repeatable: true, MaxAttempts: maxAttempts}, a) {
	case retry.Free:
		return 0, true
	case retry.Charged:
		return 0, p.stateOf(c.from, c.service).retries.Take(p.sim.events.wallTime(), c.progress.Runs > 0)
	}
	return 0, false
}

// retryAttempt returns what the decision on a retry needs to know of a result. Guards refuse
// all calls before a backend server has received them.
func retryAttempt(r result) retry.Attempt {
	if r.downstream {
		return retry.Attempt{Outcome: request.Completed, ReachedBackend: true, Failed: true, Final: true}
	}
	return retry.Attempt{
		Outcome: r.outcome, Reason: r.reason, ReachedBackend: r.outcome != request.NotRun,
		Elsewhere: r.reason == request.ReasonOverload || r.reason == request.ReasonNoBackend,
	}
}

func (p *oursPolicy) recordResponse(a *attempt, r result) []pressure.Hint {
	report := routing.Report{Limit: r.reportedLoad.Limit, QueueWait: r.reportedLoad.Wait, ServiceTime: r.reportedLoad.ServiceTime}
	p.stateOf(a.call.from, a.call.service).picker.Done(p.sim.events.wallTime(), a.node.id, routing.Result{
		Kind: resultKind(r), Latency: p.sim.events.now - a.sent, Load: &report,
	})
	service := p.sim.graph.Services[a.call.service].Name
	a.call.from.pressure.Observe(p.sim.events.wallTime(), request.Flow(service), r.reportedLoad.Wait, r.hints)
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
