package sidecar

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/teaselseam/teaselseam/internal/hop"
	"github.com/teaselseam/teaselseam/internal/request"
	"github.com/teaselseam/teaselseam/internal/shutdown"
)

const (
	// readinessNotice is how long a stopping node serves at least: the platform sends
	// callers elsewhere after two failed readiness probes, a second apart.
	readinessNotice = 2200 * time.Millisecond
	// idleBeforeClose is how long no request must have been active before the node closes
	// its listeners.
	idleBeforeClose = 250 * time.Millisecond
	// killMargin is the time kept in reserve before the platform kills the process. It
	// covers twice shutdownTimeout and the end of the process.
	killMargin = 600 * time.Millisecond
	// successorDelay is how long after the end of the process the next one takes requests.
	successorDelay   = 500 * time.Millisecond
	stopPollInterval = 50 * time.Millisecond
	// closePollInterval is shorter, since all further requests are refused meanwhile.
	closePollInterval = 5 * time.Millisecond
	shutdownTimeout   = 100 * time.Millisecond
)

// Connections stay open while the node stops, and each response announces that its
// connection will be closed. Closing idle connections at once, as
// http.Server.SetKeepAlivesEnabled does, cut off a request that had just been read and
// forwarded.

// stopTimes are the times of a stop of the node.
type stopTimes struct {
	began, ends time.Time // ends is when requests that still run are cut off
}

// requestDurations holds how long requests of callers and of the backend server took. It is
// safe for concurrent use.
type requestDurations struct {
	mu        sync.Mutex
	durations shutdown.Durations
}

// observe records a call whose answer has just been written to its caller. Only runs to the end
// and to the deadline tell how long others take.
func (d *requestDurations) observe(c *hop.Call, resp *hop.Response) {
	switch r := resp.Refusal; {
	case r != nil && (r.Outcome == request.NotRun || r.Reason != request.ReasonDeadline):
		return
	case r == nil && resp.Status >= http.StatusInternalServerError && resp.Status != http.StatusGatewayTimeout:
		return
	}
	took := time.Since(c.Arrived)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.durations.Observe(c.Flow, took)
}

func (d *requestDurations) keep(keep func(request.Flow) bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.durations.Keep(keep)
}

func (d *requestDurations) take(g shutdown.Grace, r shutdown.Request) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.durations.Take(g, r)
}

// doneBeforeStop reports whether the answer to a call is due before a stopping node ends.
func (n *Node) doneBeforeStop(c *hop.Call) bool {
	stop := n.stopAt.Load()
	if stop == nil {
		return true
	}
	now := time.Now()
	return n.durations.take(shutdown.Grace{Elapsed: now.Sub(stop.began), Left: stop.ends.Sub(now)}, shutdown.Request{
		Flow: c.Flow, Idempotent: c.Idempotent, Deadline: c.Deadline.Add(returnMargin).Sub(now), Target: max(remainingTarget(c, now), 0),
	})
}

// refusedByStop returns the refusal of a request that a stopping node does not take. The caller
// has nowhere else to go while most nodes of its data centre stop, so it is told when the next
// process of this one is there.
func (n *Node) refusedByStop() *hop.Response {
	after := successorDelay
	if stop := n.stopAt.Load(); stop != nil && !n.closing.Load() {
		after += max(time.Until(stop.ends), 0)
	}
	return hop.Refused(request.ReasonDraining, after)
}

// stop shuts the node down gracefully: it reports that it is not ready, takes its
// backend server out of the fleet, serves the requests that still arrive, and closes the
// listeners once no request is active or the grace period is almost over.
func (n *Node) stop() {
	began := time.Now()
	grace := n.bounds.Load().StopGrace
	deadline := began.Add(grace - killMargin)
	n.stopAt.Store(&stopTimes{began: began, ends: deadline})
	n.stopping.Store(true)
	n.log.Info("node is stopping", "event", "stopping", "active", n.activeRequests.Load())
	n.member.scheduleUpdate()
	n.state.signalChange() // ends the requests of nodes that this node feeds
	idleSince := began
	for now := began; now.Before(deadline); now = time.Now() {
		n.guard.queue.drain() // these calls would be refused once they had waited
		if n.busy() {
			idleSince = now
		}
		if now.Sub(began) >= readinessNotice && now.Sub(idleSince) >= idleBeforeClose {
			break
		}
		time.Sleep(stopPollInterval)
	}
	n.log.Info("node closes its listeners", "event", "closing", "active", n.activeRequests.Load(),
		"after", time.Since(began))
	n.close(deadline)
}

// busy reports whether requests or calls of other nodes are in progress.
func (n *Node) busy() bool { return n.activeRequests.Load() > 0 || n.guard.activeCalls.Load() > 0 }

// close refuses further requests, waits until the deadline for those that were taken just before,
// and closes the listeners and connections.
func (n *Node) close(deadline time.Time) {
	n.closing.Store(true)
	for n.busy() && time.Now().Before(deadline) {
		time.Sleep(closePollInterval)
	}
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	for _, s := range n.servers {
		if err := s.Shutdown(ctx); err != nil {
			n.log.Warn("requests were still active at shutdown", "event", "closed", "for", s.name, "err", err)
			_ = s.Close() // the process ends now
		}
	}
	n.ahead.Wait(shutdownTimeout) // otherwise the end of the process resets connections whose last response is still on its way
}
