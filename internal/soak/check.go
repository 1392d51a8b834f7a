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
	// maxAttempts is that of all routes.
	maxAttempts = 2
	// calm is how long no fault may have touched a node for the checks that excuse
	// faults.
	calm = 4 * time.Second
	// Bounds of a workspace's rate in rateWindow.
	rateWindow = 5 * time.Second
	rateExcess = 1.1
	rateSlack  = 20
)

// ran is a run of a request at a backend server.
type ran struct {
	standin.Execution
	server *standin.Backend
	node   *node
}

// findings collects broken promises.
type findings struct{ list []string }

func (f *findings) add(format string, args ...any) {
	f.list = append(f.list, fmt.Sprintf(format, args...))
}

// check compares what callers sent and got with what backend servers ran.
func (r *run) check() []string {
	runs := map[string][]ran{}
	for _, n := range r.fleet.nodes {
		for _, b := range n.backends() {
			for _, x := range b.Executions() {
				runs[x.ID] = append(runs[x.ID], ran{x, b, n})
			}
		}
	}
	var f findings
	all := r.callers.taken()
	known := map[string]bool{}
	for _, s := range all {
		known[s.id] = true
		r.checkAnswer(&f, s, runs[s.id])
		r.checkRuns(&f, s, runs[s.id])
		r.checkLost(&f, s, runs[s.id])
	}
	for id, xs := range runs {
		if !known[id] && !strings.HasPrefix(id, "call-") {
			f.add("a backend server ran %s, which nobody sent", id)
		}
		checkLeaving(&f, id, xs)
	}
	r.checkRates(&f, runs)
	r.checkService(&f, all)
	return f.list
}

// checkAnswer: the whole answer to its own request, and true refusals.
func (r *run) checkAnswer(f *findings, s *sent, xs []ran) {
	if s.status == http.StatusOK && (!strings.HasPrefix(s.answer, "answer of ") || !strings.HasSuffix(s.answer, " to "+s.id)) {
		f.add("%s got the answer %.60q", s.id, s.answer)
	}
	if s.status == http.StatusOK && len(xs) == 0 {
		f.add("%s got a success and has not run", s.id)
	}
	if refused := s.status == http.StatusServiceUnavailable || s.status == http.StatusTooManyRequests; refused && s.order && len(xs) > 0 {
		f.add("%s was answered %d and has run", s.id, s.status)
	}
}

// checkRuns: at most one run of an order, bounded attempts, and each run for the
// key's workspace, unchanged and in time.
func (r *run) checkRuns(f *findings, s *sent, xs []ran) {
	if s.order && len(xs) > 1 {
		f.add("order %s ran %d times", s.id, len(xs))
	}
	if len(xs) > maxAttempts {
		f.add("%s ran %d times, %d are allowed", s.id, len(xs), maxAttempts)
	}
	for _, x := range xs {
		if x.URI != s.path || x.Body != s.body {
			f.add("%s ran with %s and %d bytes instead of %s and %d", s.id, x.URI, len(x.Body), s.path, len(s.body))
		}
		if x.Workspace != r.config.all[s.key] || x.Authorization != "" {
			f.add("%s ran for workspace %q with authorization %q, its key is that of %q", s.id, x.Workspace, x.Authorization, r.config.all[s.key])
		}
		if x.Caller != s.node.service {
			f.add("%s ran for caller %q instead of %q", s.id, x.Caller, s.node.service)
		}
		if x.Deadline <= 0 || x.Deadline > s.deadline {
			f.add("%s was given %v of %v", s.id, x.Deadline, s.deadline)
		}
		if at, ok := r.config.revoked[s.key]; ok && s.at.After(at.Add(revokeBound)) {
			f.add("%s was sent %v after its key was withdrawn and ran", s.id, s.at.Sub(at))
		}
		for prefix, at := range r.config.removed {
			if strings.HasPrefix(s.path, prefix) && s.at.After(at.Add(applyBound)) && s.node.calmAt(s.at) {
				f.add("%s was sent %v after its route was removed and ran", s.id, s.at.Sub(at))
			}
		}
	}
}

// calmAt tells whether no unplanned fault touched the node in the last while.
func (n *node) calmAt(t time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.disturbed.IsZero() || n.disturbed.Add(calm).Before(t)
}

// checkLost: in a run with planned work alone, a request that a backend server got
// has a whole answer.
func (r *run) checkLost(f *findings, s *sent, xs []ran) {
	if !r.plannedOnly || len(xs) == 0 || s.status != 0 || s.end.Sub(s.at) >= s.deadline-50*time.Millisecond {
		return
	}
	f.add("%s ran and its connection to %s ended without an answer: %v", s.id, s.node.name, s.err)
}

// checkLeaving: no run starts at a backend server later than the bound after its
// leaving was acknowledged.
func checkLeaving(f *findings, id string, xs []ran) {
	for _, x := range xs {
		x.node.mu.Lock()
		at, ok := x.node.drained[x.server]
		x.node.mu.Unlock()
		if ok && x.Started.After(at.Add(drainBound)) {
			f.add("%s started %v after its backend server's leaving was acknowledged", id, x.Started.Sub(at))
		}
	}
}

// checkRates: no workspace gets more than its rate and burst in any window.
func (r *run) checkRates(f *findings, runs map[string][]ran) {
	times := map[string][]time.Time{}
	for _, xs := range runs {
		if xs[0].Workspace != "" {
			times[xs[0].Workspace] = append(times[xs[0].Workspace], xs[0].Started)
		}
	}
	for w, ts := range times {
		slices.SortFunc(ts, time.Time.Compare)
		allowed := int((rates[w]*rateWindow.Seconds()+rates[w])*rateExcess + rateSlack)
		first := 0
		for i, t := range ts {
			for t.Sub(ts[first]) > rateWindow {
				first++
			}
			if i-first+1 > allowed {
				f.add("workspace %s got %d requests in %v, %d are allowed", w, i-first+1, rateWindow, allowed)
				return
			}
		}
	}
}

// checkService: once all faults have ended, requests are served.
func (r *run) checkService(f *findings, all []*sent) {
	asked, served := 0, 0
	for _, s := range all {
		_, withdrawn := r.config.revoked[s.key]
		extra := strings.HasPrefix(s.path, "/extra")
		if s.at.Before(r.calmSince) || withdrawn || extra || s.status == http.StatusTooManyRequests {
			continue
		}
		asked++
		if s.status == http.StatusOK {
			served++
		}
	}
	if asked < 20 || float64(served) < 0.95*float64(asked) {
		f.add("after the faults %d of %d requests were served", served, asked)
	}
}
