package soak

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/teaselseam/teaselseam/internal/standin"
)

const (
	// maxAttempts is the attempt limit of all routes.
	maxAttempts = 2
	// settleTime is how long after an unplanned fault on a node its late reaction to a
	// removed route is still tolerated.
	settleTime = 4 * time.Second
	// A workspace may get rateExcess times what its rate and burst allow in rateWindow,
	// plus rateSlack requests.
	rateWindow = 5 * time.Second
	rateExcess = 1.1
	rateSlack  = 20
	// leftBound is how long after its caller has left a request may still start.
	leftBound = 500 * time.Millisecond
)

// execution is one execution of a request by a backend server.
type execution struct {
	standin.Execution
	server *standin.Backend
	node   *node
}

// findings collects descriptions of the guarantees that were violated.
type findings struct{ list []string }

func (f *findings) add(format string, args ...any) {
	f.list = append(f.list, fmt.Sprintf(format, args...))
}

// check compares what callers sent and received with what backend servers ran, and
// returns the guarantees that were violated.
func (r *run) check() []string {
	executions := map[string][]execution{}
	for _, n := range r.fleet.nodes {
		for _, b := range n.backends() {
			for _, x := range b.Executions() {
				executions[x.ID] = append(executions[x.ID], execution{x, b, n})
			}
		}
	}
	var f findings
	all := r.callers.requests()
	sent := map[string]bool{}
	for _, req := range all {
		sent[req.id] = true
		r.checkResponse(&f, req, executions[req.id])
		r.checkExecutions(&f, req, executions[req.id])
		r.checkNoLoss(&f, req, executions[req.id])
		checkNoneAfterCallerLeft(&f, req, executions[req.id])
	}
	for id, execs := range executions {
		if !sent[id] && !strings.HasPrefix(id, "call-") {
			f.add("a backend server ran request %s, which no caller sent", id)
		}
		checkNoneAfterLeaving(&f, id, execs)
	}
	r.checkRates(&f, executions)
	r.checkConditions(&f, executions, all)
	r.checkCrashes(&f, executions, all)
	r.checkRecovery(&f, all)
	return append(f.list, r.intrusions...)
}

// checkResponse checks that a success belongs to the request and that the request ran,
// and that a non-idempotent request that was refused did not run.
func (r *run) checkResponse(f *findings, req *callerRequest, execs []execution) {
	if req.status == http.StatusOK && (!strings.HasPrefix(req.responseBody, "answer of ") || !strings.HasSuffix(req.responseBody, " to "+req.id)) {
		f.add("request %s got an unexpected response body: %.60q", req.id, req.responseBody)
	}
	if req.status == http.StatusOK && len(execs) == 0 {
		f.add("request %s got status 200 but no backend server ran it", req.id)
	}
	if refused := req.status == http.StatusServiceUnavailable || req.status == http.StatusTooManyRequests; refused && req.nonIdempotent && len(execs) > 0 {
		f.add("request %s is not idempotent and was refused with status %d although it ran", req.id, req.status)
	}
}

// checkExecutions checks that a non-idempotent request ran at most once and any other
// at most maxAttempts times, and that each execution was unchanged, within the
// deadline, attributed to the right workspace and caller, and not for a key or route
// that had been removed.
func (r *run) checkExecutions(f *findings, req *callerRequest, execs []execution) {
	if req.nonIdempotent && len(execs) > 1 {
		f.add("request %s is not idempotent and ran %d times", req.id, len(execs))
	}
	if len(execs) > maxAttempts {
		f.add("request %s ran %d times, the limit is %d", req.id, len(execs), maxAttempts)
	}
	for _, x := range execs {
		if x.URI != req.path || x.Body != req.body {
			f.add("request %s ran with URI %s and %d body bytes, sent were URI %s and %d body bytes", req.id, x.URI, len(x.Body), req.path, len(req.body))
		}
		if x.Workspace != r.config.workspaceByKey[req.key] || x.Authorization != "" {
			f.add("request %s ran for workspace %q with Authorization %q, want workspace %q without Authorization", req.id, x.Workspace, x.Authorization, r.config.workspaceByKey[req.key])
		}
		if x.Caller != req.node.service {
			f.add("request %s ran for caller service %q, want %q", req.id, x.Caller, req.node.service)
		}
		if x.Deadline <= 0 || x.Deadline > req.deadline {
			f.add("request %s ran with %v left until its deadline, want more than 0 and at most %v", req.id, x.Deadline, req.deadline)
		}
		if at, ok := r.config.revokedKeys[req.key]; ok && req.sentAt.After(at.Add(revokeBound)) {
			f.add("request %s ran although it was sent %v after its key was revoked", req.id, req.sentAt.Sub(at))
		}
		for prefix, at := range r.config.removedPrefixes {
			if strings.HasPrefix(req.path, prefix) && req.sentAt.After(at.Add(applyBound)) && req.node.noFaultBefore(req.sentAt) {
				f.add("request %s ran although it was sent %v after its route was removed", req.id, req.sentAt.Sub(at))
			}
		}
	}
}

// noFaultBefore reports whether no unplanned fault began or ended on the node within
// settleTime before t.
func (n *node) noFaultBefore(t time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.lastFaultAt.IsZero() || n.lastFaultAt.Add(settleTime).Before(t)
}

// checkNoLoss checks, in a run with planned operations only, that each request that
// ran at a backend server got a complete response, unless its deadline was reached.
func (r *run) checkNoLoss(f *findings, req *callerRequest, execs []execution) {
	if !r.plannedOnly || len(execs) == 0 || req.status != 0 || req.leaves || req.endedAt.Sub(req.sentAt) >= req.deadline-50*time.Millisecond {
		return
	}
	f.add("request %s ran but its connection to %s ended without a complete response: %v", req.id, req.node.name, req.err)
}

// checkNoneAfterCallerLeft checks that a request does not start later than leftBound after its
// caller has left, unless there was a fault at one of the two nodes.
func checkNoneAfterCallerLeft(f *findings, req *callerRequest, execs []execution) {
	for _, x := range execs {
		if req.leaves && x.Started.After(req.endedAt.Add(leftBound)) && req.node.noFaultBefore(x.Started) && x.node.noFaultBefore(x.Started) {
			f.add("request %s started %v after its caller had left", req.id, x.Started.Sub(req.endedAt))
		}
	}
}

// checkNoneAfterLeaving checks that a backend server starts no request later than
// drainBound after the node acknowledged that it leaves.
func checkNoneAfterLeaving(f *findings, id string, execs []execution) {
	for _, x := range execs {
		x.node.mu.Lock()
		at, ok := x.node.leaveAcknowledged[x.server]
		x.node.mu.Unlock()
		if ok && x.Started.After(at.Add(drainBound)) {
			f.add("request %s started %v after the node acknowledged that the backend server leaves", id, x.Started.Sub(at))
		}
	}
}

// checkRates checks that no workspace gets more than its rate and burst allow in any
// rateWindow.
func (r *run) checkRates(f *findings, executions map[string][]execution) {
	times := map[string][]time.Time{}
	for _, execs := range executions {
		if execs[0].Workspace != "" {
			times[execs[0].Workspace] = append(times[execs[0].Workspace], execs[0].Started)
		}
	}
	for w, ts := range times {
		slices.SortFunc(ts, time.Time.Compare)
		allowed := int((workspaceRates[w]*rateWindow.Seconds()+workspaceRates[w])*rateExcess + rateSlack)
		first := 0
		for i, t := range ts {
			for t.Sub(ts[first]) > rateWindow {
				first++
			}
			if i-first+1 > allowed {
				f.add("workspace %s got %d requests in %v, the limit is %d", w, i-first+1, rateWindow, allowed)
				return
			}
		}
	}
}

// checkRecovery checks that at least 95% of the requests are served once all faults
// have ended.
func (r *run) checkRecovery(f *findings, all []*callerRequest) {
	total, served := 0, 0
	for _, req := range all {
		_, revoked := r.config.revokedKeys[req.key]
		onExtraRoute := strings.HasPrefix(req.path, "/extra")
		if req.sentAt.Before(r.recoveredAt) || req.leaves || req.path == crashingPath || revoked || onExtraRoute || req.status == http.StatusTooManyRequests {
			continue
		}
		total++
		if req.status == http.StatusOK {
			served++
		}
	}
	if total < 20 || float64(served) < 0.95*float64(total) {
		f.add("after the last fault only %d of %d requests were served", served, total)
	}
}
