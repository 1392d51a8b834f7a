package model

import (
	"time"

	"github.com/teaselseam/teaselseam/internal/pressure"
	"github.com/teaselseam/teaselseam/internal/request"
	"github.com/teaselseam/teaselseam/internal/retry"
	"github.com/teaselseam/teaselseam/internal/routing"
)

// ingress is the state of one node's ingress.
type ingress struct {
	id      string
	dc      int
	targets map[int]*target // by service

	pressure *pressure.Table
}

// target is what an ingress keeps for one service.
type target struct {
	picker *routing.Picker
	policy retry.Policy
}

// ours uses the decision core.
type ours struct {
	w       *world
	buckets [len(shares)]*bucket // of the workspaces
}

func newOurs(w *world) *ours {
	o := &ours{w: w}
	for ws := range o.buckets {
		o.buckets[ws] = newBucket(baseLoad * w.graph.Capacity(1) * shares[ws])
	}
	return o
}

func (o *ours) newGate(k *worker) gate {
	return newDispatchGate(o.w.graph.Services[k.service].Slots, o.w.rnd)
}

// takeToken charges root calls only, as the guard does. Nothing is refunded, because
// each call that takes a token is handed to the backend server.
func (o *ours) takeToken(a *attempt) bool {
	return a.call.service != 0 || o.buckets[a.call.req.workspace].take(o.w.q.now)
}

// target returns the state of an ingress for a service, created at its first use.
func (o *ours) target(in *ingress, service int) *target {
	t := in.targets[service]
	if t == nil {
		nodes := len(o.w.byID)
		t = &target{
			picker: routing.NewPicker(routing.DefaultConfig(in.id, nodes, nodes/dataCentres), dcName(in.dc)),
			policy: retry.Policy{
				Ratio:   retry.NewRatioLimiter(retry.DefaultRatioConfig(), o.w.q.time()),
				Backoff: retry.DefaultBackoff(),
			},
		}
		t.picker.SetEndpoints(o.w.q.time(), o.w.endpoints(service))
		in.targets[service] = t
	}
	return t
}

func (o *ours) begin(c *call) {
	r := c.req
	refusal, ok := c.from.pressure.AdmitRequest(o.w.q.time(), pressure.Request{
		Route: o.w.graph.Services[c.service].Name, Workspace: workspaceNames[r.workspace],
		Weight: shares[r.workspace], Importance: r.importance, Remaining: r.deadline - o.w.q.now,
	}, o.w.rnd)
	if !ok {
		c.finish(refused(refusal))
		return
	}
	c.try()
}

func (o *ours) pick(c *call) (string, bool) {
	t := o.target(c.from, c.service)
	if c.tries == 0 {
		t.policy.Ratio.RecordFirst(o.w.q.time())
	}
	return t.picker.Pick(o.w.q.time(), o.w.rnd, c.tried)
}

// retry follows package sidecar.
func (o *ours) retry(c *call, r result) (time.Duration, bool) {
	switch r.reason {
	case request.ReasonOverload:
	case request.ReasonNoBackend, request.ReasonBackendLost:
		if !r.downstream && r.outcome == request.NotRun {
			return 0, c.budget.Take() // adds no load, so the retry ratio does not count it
		}
	default:
		return 0, false // another guard would refuse as well
	}
	a := retry.Attempt{
		Outcome: r.outcome, Idempotent: c.req.idempotent, DownstreamFailed: r.downstream,
		Retries: c.tries - 1, Remaining: c.req.deadline - o.w.q.now,
	}
	return o.target(c.from, c.service).policy.Next(o.w.q.time(), a, c.budget, o.w.rnd)
}

func (o *ours) observed(a *attempt, r result) []pressure.Hint {
	report := routing.Report{Limit: r.load.Limit, QueueWait: r.load.Wait, ServiceTime: r.load.ServiceTime}
	o.target(a.call.from, a.call.service).picker.Done(o.w.q.time(), a.worker.id, routing.Result{
		Kind: kindOf(r), Latency: o.w.q.now - a.sent, Load: &report,
	})
	service := o.w.graph.Services[a.call.service].Name
	a.call.from.pressure.Observe(o.w.q.time(), service, r.hints)
	return append(r.hints, r.load.Hint(service))
}

func (o *ours) cancelled(c *call, a *attempt) {
	o.target(c.from, c.service).picker.Done(o.w.q.time(), a.worker.id, routing.Result{
		Kind: routing.Cancelled, Latency: o.w.q.now - a.sent,
	})
}

func (o *ours) attemptTimeout() time.Duration { return 0 }
func (o *ours) passesDeadline() bool          { return true }

func (o *ours) endpointsChanged(service int) {
	for _, in := range o.w.ingresses {
		if t := in.targets[service]; t != nil {
			t.picker.SetEndpoints(o.w.q.time(), o.w.endpoints(service))
		}
	}
}
