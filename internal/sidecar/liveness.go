package sidecar

import (
	"context"
	"fmt"
	"math"
	"net/http"
	"time"
)

const (
	// livenessTimeout allows for some round trips between data centres (3 ms) and for the
	// scheduling delay of a busy node.
	livenessTimeout = 200 * time.Millisecond
	livenessPath    = "/teaselseam/alive"
	// minLivenessPause and maxLivenessPause bound the pause between liveness checks of an
	// unresponsive node. Stalls of nodes last some seconds.
	minLivenessPause = 250 * time.Millisecond
	maxLivenessPause = time.Second
)

// peerAlive checks whether the node is alive. Concurrent checks for overdue attempts at
// the same node share one message. A node answers the check even if its backend server is
// slow, so that attempts in progress there are not abandoned.
func (m *attemptMonitor) peerAlive() bool {
	alive, _, _ := m.n.livenessChecks.Do(m.endpoint.id, func() (any, error) {
		err := m.n.checkLiveness(m.endpoint)
		if err == nil {
			m.n.balancer.recordContact(m.call.Service, m.endpoint.id)
			return true, nil
		}
		if m.n.balancer.markUnresponsive(m.call.Service, m.endpoint.id) {
			m.n.requestLog.Warn("node failed the liveness check", "event", "silent", "id", m.call.ID, "route", m.call.Route,
				"peer", m.endpoint.id, "waited", time.Since(m.sent), "err", err)
			go m.n.awaitLiveness(m.call.Service, m.endpoint)
		}
		return false, nil
	})
	return alive.(bool)
}

// awaitLiveness repeats the liveness check until the node responds or has left the
// fleet.
func (n *Node) awaitLiveness(service string, ep endpoint) {
	for pause := minLivenessPause; ; pause = min(2*pause, maxLivenessPause) {
		time.Sleep(pause)
		if n.closing.Load() || n.balancer.sinceLastContact(service, ep.id) == math.MaxInt64 {
			return
		}
		if n.checkLiveness(ep) == nil {
			n.balancer.recordContact(service, ep.id)
			n.log.Info("unresponsive node responds again", "event", "silent", "peer", ep.id)
			return
		}
	}
}

// checkLiveness sends a liveness check to a node.
func (n *Node) checkLiveness(ep endpoint) error {
	ctx, cancel := context.WithTimeout(context.Background(), livenessTimeout)
	defer cancel()
	resp, err := n.peers.Post(ctx, ep.address, livenessPath, nil)
	if err != nil {
		return err
	}
	if resp.Status != http.StatusNoContent {
		return fmt.Errorf("unexpected status %d", resp.Status)
	}
	return nil
}

// serveLiveness answers the liveness check of another node.
func serveLiveness(w http.ResponseWriter, _ *http.Request) {
	w.Header()["Date"] = nil
	w.WriteHeader(http.StatusNoContent)
}
