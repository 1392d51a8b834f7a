package soak

import (
	"context"
	"net/http"
	"slices"
	"time"
)

// One request crashes each backend server that runs it, and is sent again by turns at each node.
const (
	crashingPrefix = "/check/desk/c/"
	crashingPath   = crashingPrefix + "crash"
	crashPause     = 300 * time.Millisecond // until the next backend server starts
	crashInterval  = 500 * time.Millisecond
	// learnTime is how long after the third crash the request may still run anywhere, and
	// maxLaterRuns how often after that: as trials.
	learnTime    = 3 * time.Second
	maxLaterRuns = 3
)

// sendCrashing sends the request again and again until ctx ends.
func (r *run) sendCrashing(ctx context.Context) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for i := 0; ctx.Err() == nil; i++ {
		n := r.fleet.nodes[i%len(r.fleet.nodes)]
		r.callers.send(client, &callerRequest{id: r.callers.nextID(), host: usualHost, path: crashingPath, node: n, deadline: time.Second}, http.MethodGet, time.Second)
		time.Sleep(crashInterval)
	}
}

// crash ends the backend server beside a node, which starts again after a while. Nothing listens at
// its address until then.
func (r *run) crash(n *node) {
	n.toBackend.refuse()
	time.AfterFunc(crashPause/2, func() {
		if err := n.toBackend.listen(); err != nil {
			r.cfg.Log("%s: no way to its backend server any more: %v", n.name, err)
		}
	})
	go n.replaceBackend(n.currentBackend(), crashPause/2, r.interceptor(n))
	panic(http.ErrAbortHandler)
}

// checkCrashes checks that the request which crashes backend servers runs a few times only once it has
// crashed three, without a fault at the nodes since its crashes could be learned.
func (r *run) checkCrashes(f *findings, executions map[string][]execution, all []*callerRequest) {
	var runs []execution
	senders := map[string]*node{}
	for _, req := range all {
		if req.path == crashingPath {
			runs = append(runs, executions[req.id]...)
			senders[req.id] = req.node
		}
	}
	slices.SortFunc(runs, func(a, b execution) int { return a.Started.Compare(b.Started) })
	if len(runs) < 3 {
		return
	}
	later := 0
	for _, x := range runs[3:] {
		if x.Started.Sub(runs[2].Started) > learnTime && x.node.undisturbed(x.Started) && senders[x.ID].undisturbed(x.Started) {
			later++
		}
	}
	if later > maxLaterRuns {
		f.add("a request that crashes backend servers ran %d times, %d of them later than %v after the third", len(runs), later, learnTime)
	}
}

// undisturbed reports whether no unplanned fault began or ended on the node within settleTime before
// a time.
func (n *node) undisturbed(at time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !slices.ContainsFunc(n.faults, func(t time.Time) bool { return !t.After(at) && at.Sub(t) < settleTime })
}
