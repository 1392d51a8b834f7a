package sidecar

import (
	"context"
	"fmt"
	"math"
	"net/http"
	"net/url"
	"sync"
	"time"
)

const (
	// livenessTimeout allows for some round trips between data centres (3 ms) and for the
	// scheduling delay of a busy node.
	livenessTimeout = 200 * time.Millisecond
	livenessPath    = "/teaselseam/alive"
	livenessCall    = "call" // query parameter with the ID of a call that is overdue
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
		err := m.n.checkLiveness(m.endpoint.address)
		if err == nil {
			m.n.balancer.recordContact(m.call.Service, m.endpoint.id)
			return true, nil
		}
		m.markUnresponsive(err)
		return false, nil
	})
	return alive.(bool)
}

// markUnresponsive records that the node failed a liveness check.
func (m *attemptMonitor) markUnresponsive(err error) {
	if m.n.balancer.markUnresponsive(m.call.Service, m.endpoint.id) {
		m.n.requestLog.Warn("node failed the liveness check", "event", "silent", "id", m.call.ID, "route", m.call.Route,
			"peer", m.endpoint.id, "waited", time.Since(m.sent), "err", err)
		go m.n.awaitLiveness(m.call.Service, m.endpoint)
	}
}

// awaitLiveness repeats the liveness check until the node responds or has left the
// fleet.
func (n *Node) awaitLiveness(service string, ep endpoint) {
	for pause := minLivenessPause; ; pause = min(2*pause, maxLivenessPause) {
		time.Sleep(pause)
		if n.closing.Load() || n.balancer.sinceLastContact(service, ep.id) == math.MaxInt64 {
			return
		}
		if n.checkLiveness(ep.address) == nil {
			n.balancer.recordContact(service, ep.id)
			n.log.Info("unresponsive node responds again", "event", "silent", "peer", ep.id)
			return
		}
	}
}

// checkLiveness sends a liveness check to a node.
func (n *Node) checkLiveness(address string) error {
	_, err := n.askForCall(address, "")
	return err
}

// askForCall sends a liveness check to a node and asks whether it has a call, unless the ID
// is empty.
func (n *Node) askForCall(address, id string) (known bool, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), livenessTimeout)
	defer cancel()
	path := livenessPath
	if id != "" {
		path += "?" + livenessCall + "=" + url.QueryEscape(id)
	}
	resp, lost, callErr := n.peers.Probe(ctx, address, path)
	if callErr != nil && callErr.NoSocket {
		return true, nil // nothing is known, so nothing changes
	}
	if callErr != nil {
		return false, callErr
	}
	if lost {
		n.log.Warn("connections to a node have been lost without notice", "event", "silent", "peer", address)
	}
	switch resp.Status {
	case http.StatusNoContent:
		return true, nil
	case http.StatusNotFound:
		return false, nil
	}
	return false, fmt.Errorf("unexpected status %d", resp.Status)
}

// serveLiveness answers the liveness check of another node: 404 if that asks for a call which
// this node does not have.
func (g *guard) serveLiveness(w http.ResponseWriter, r *http.Request) {
	w.Header()["Date"] = nil
	if id := r.URL.Query().Get(livenessCall); id != "" && !g.calls.has(id) {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// callSet holds the IDs of the calls of other nodes that are in progress. It is safe for
// concurrent use.
type callSet struct {
	mu  sync.Mutex
	ids map[string]int // number of calls by ID, which a caller may use again
}

func (s *callSet) add(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ids == nil {
		s.ids = map[string]int{}
	}
	s.ids[id]++
}

func (s *callSet) remove(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ids[id]--; s.ids[id] <= 0 {
		delete(s.ids, id)
	}
}

func (s *callSet) has(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ids[id] > 0
}
