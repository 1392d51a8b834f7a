package sidecar

import (
	"context"
	"fmt"
	"math"
	"net/http"
	"time"
)

const (
	// livenessTimeout is some round trips between data centres (3 ms) and the time that a
	// busy node may take to be scheduled.
	livenessTimeout = 200 * time.Millisecond
	livenessPath    = "/teaselseam/alive"
	// Pauses between the liveness checks of a silent node. Nodes stand still for some
	// seconds.
	minLivenessPause = 250 * time.Millisecond
	maxLivenessPause = time.Second
)

// alive checks whether the node is alive, once for all calls that are overdue at it. A
// slow backend server does not keep its node from answering, so that a call that is being
// worked on is not given up.
func (w *watch) alive() bool {
	alive, _, _ := w.n.livenessChecks.Do(w.at.id, func() (any, error) {
		err := w.n.checkLiveness(w.at)
		if err == nil {
			w.n.places.heard(w.c.Service, w.at.id)
			return true, nil
		}
		if w.n.places.silent(w.c.Service, w.at.id) {
			w.n.requests.Warn("node fails the liveness check", "event", "silent", "id", w.c.ID, "route", w.c.Route,
				"peer", w.at.id, "waited", time.Since(w.sent), "err", err)
			go w.n.awaitLiveness(w.c.Service, w.at)
		}
		return false, nil
	})
	return alive.(bool)
}

// awaitLiveness checks a silent node until it answers or has left the fleet.
func (n *Node) awaitLiveness(service string, at place) {
	for pause := minLivenessPause; ; pause = min(2*pause, maxLivenessPause) {
		time.Sleep(pause)
		if n.closing.Load() || n.places.quiet(service, at.id) == math.MaxInt64 {
			return
		}
		if n.checkLiveness(at) == nil {
			n.places.heard(service, at.id)
			n.log.Info("silent node answers again", "event", "silent", "peer", at.id)
			return
		}
	}
}

// checkLiveness asks a node whether it is alive.
func (n *Node) checkLiveness(at place) error {
	ctx, cancel := context.WithTimeout(context.Background(), livenessTimeout)
	defer cancel()
	a, err := n.peers.Post(ctx, at.address, livenessPath, nil)
	if err != nil {
		return err
	}
	if a.Status != http.StatusNoContent {
		return fmt.Errorf("unexpected status %d", a.Status)
	}
	return nil
}

// serveLiveness answers the liveness check of another node.
func serveLiveness(w http.ResponseWriter, _ *http.Request) {
	w.Header()["Date"] = nil
	w.WriteHeader(http.StatusNoContent)
}
