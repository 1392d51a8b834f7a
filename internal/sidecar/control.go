package sidecar

import (
	"net/http"

	"github.com/teaselseam/teaselseam/platform"
)

// serveControl answers the backend server's announcements and the platform's
// ready question.
func (n *Node) serveControl(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == platform.ReadyPath:
		n.serveReady(w)
	case platform.IsAnnouncement(r):
		n.serveAnnouncement(w, r)
	default:
		http.NotFound(w, r)
	}
}

// ready tells whether callers should be sent here: not while the node stops,
// knows no configuration, or has not heard of the store for so long that it will
// soon refuse requests with keys.
func (n *Node) ready() bool {
	return !n.stopping.Load() && n.knowledge.catalog.Load() != nil && n.knowledge.age() <= readyAge
}

func (n *Node) serveReady(w http.ResponseWriter) {
	if !n.ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// serveAnnouncement takes an announcement. That a backend server leaves is
// acknowledged once no request can start there any more.
func (n *Node) serveAnnouncement(w http.ResponseWriter, r *http.Request) {
	a, err := platform.ReadAnnouncement(r)
	if err != nil {
		n.log.Warn("announcement names no backend server", "event", "backend", "err", err)
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if n.guard.hear(*a) {
		n.log.Info("backend server changed", "event", "backend", "id", a.ID, "state", a.State.String(),
			"service", a.Service, "slots", a.Slots, "sequence", a.Sequence, "born", a.Born)
		if a.State == platform.Ready {
			n.member.changed()
		} else {
			n.member.settle()
		}
	}
	platform.AcknowledgeAnnouncement(w)
}
