package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/teaselseam/teaselseam/internal/standin"
)

// How rate limits are judged: from limitNotice after a backend server has named one, it may
// get in limitWindow at most limitExcess times what the limit allows and limitSlack requests
// more, from the nodes that passed on a response with it toldDelay before or earlier.
const (
	limitNotice = 3 * time.Second
	limitWindow = 4 * time.Second
	limitExcess = 1.5
	limitSlack  = 5
	toldDelay   = 500 * time.Millisecond
)

// condition is what a backend server states about itself in its responses.
type condition struct {
	server      *standin.Backend
	rate        float64 // requests per second; zero for no limit
	leaving     bool
	from, until time.Time
}

// state makes the backend server beside a node state something in its responses for a
// while. It returns false if the backend server states something already.
func (r *run) state(n *node, c *condition, length time.Duration) bool {
	c.server, c.from = n.currentBackend(), time.Now()
	r.mu.Lock()
	if r.conditions[n] != nil {
		r.mu.Unlock()
		return false
	}
	r.conditions[n] = c
	r.mu.Unlock()
	time.Sleep(length)
	r.mu.Lock()
	defer r.mu.Unlock()
	c.until = time.Now()
	r.pastConditions = append(r.pastConditions, c)
	delete(r.conditions, n)
	return true
}

// nameLimit makes the backend server beside a node name a rate limit for 4 to 10 s.
func (r *run) nameLimit(n *node, rnd *rand.Rand) {
	r.state(n, &condition{rate: 2 + 40*rnd.Float64()}, time.Duration(4000+rnd.IntN(6000))*time.Millisecond)
}

// leaveUnannounced makes the backend server beside a node leave, which only its responses
// tell. It is replaced after the drain time.
func (r *run) leaveUnannounced(n *node) {
	c := &condition{leaving: true}
	if r.state(n, c, drainBound+2*time.Second) {
		n.replaceBackend(c.server, 0, r.interceptor(n))
	}
}

// setCondition sets the headers of a response by what the backend server beside a node
// states now.
func (r *run) setCondition(n *node, h http.Header) {
	server := n.currentBackend()
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.conditions[n]
	if c == nil || c.server != server {
		return
	}
	if c.leaving {
		h.Set("Server-Leaving", "1")
	} else {
		h.Set("Server-Limit", fmt.Sprintf("%.1f", c.rate))
	}
}

// checkConditions checks that no backend server gets more than the rate that it has named,
// and none after it has stated that it leaves, from nodes that have passed on a response
// with the statement and have not restarted since.
func (r *run) checkConditions(f *findings, executions map[string][]execution, all []*callerRequest) {
	byID := map[string]*callerRequest{}
	for _, req := range all {
		byID[req.id] = req
	}
	for _, c := range r.pastConditions {
		told := c.firstTold(all)
		var starts []time.Time // of requests that count
		for id, execs := range executions {
			req := byID[id]
			if req == nil {
				continue // an internal call, whose node is not recorded
			}
			at, ok := told[req.node]
			for _, x := range execs {
				if !ok || x.server != c.server || req.node.startedBetween(at, x.Started) {
					continue
				}
				if c.leaving && req.sentAt.After(at.Add(drainBound)) {
					f.add("request %s reached a backend server %v after its node had passed on that it leaves", id, x.Started.Sub(at))
				}
				if !c.leaving && x.Started.After(at.Add(toldDelay)) && x.Started.Before(c.until) {
					starts = append(starts, x.Started)
				}
			}
		}
		c.checkRate(f, starts)
	}
}

// firstTold returns when each node first passed on a response with the statement.
func (c *condition) firstTold(all []*callerRequest) map[*node]time.Time {
	told := map[*node]time.Time{}
	for _, req := range all {
		if !req.statedCondition || !strings.HasPrefix(req.responseBody, "answer of "+c.server.ID()+" ") || req.endedAt.Before(c.from) {
			continue
		}
		if at, ok := told[req.node]; !ok || req.endedAt.Before(at) {
			told[req.node] = req.endedAt
		}
	}
	return told
}

func (c *condition) checkRate(f *findings, starts []time.Time) {
	slices.SortFunc(starts, time.Time.Compare)
	allowed := int(limitExcess*c.rate*limitWindow.Seconds()) + limitSlack
	first := 0
	for i, t := range starts {
		for t.Sub(starts[first]) > limitWindow {
			first++
		}
		if n := i - first + 1; n > allowed && t.After(c.from.Add(limitNotice)) {
			f.add("backend server %s with a limit of %.1f/s got %d requests in %v, allowed are %d", c.server.ID(), c.rate, n, limitWindow, allowed)
			return
		}
	}
}

// startedBetween reports whether the node's process was started between two times.
func (n *node) startedBetween(from, to time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.ContainsFunc(n.startTimes, func(t time.Time) bool { return t.After(from) && t.Before(to) })
}
