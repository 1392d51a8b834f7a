package sidecar

import (
	"net/http"

	"github.com/teaselseam/teaselseam/platform"
)

// serveControl handles the backend server's announcements and the platform's readiness
// probes.
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

// ready reports whether the platform should send callers to this node: not while it
// stops, while it has no configuration, or when it has not reached the store for so long
// that it will soon refuse requests with keys.
func (n *Node) ready() bool {
	return !n.stopping.Load() && n.state.catalog.Load() != nil && n.state.configAge() <= maxReadyAge
}

func (n *Node) serveReady(w http.ResponseWriter) {
	if !n.ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// serveAnnouncement applies an announcement. It acknowledges that a backend server leaves
// only after no more requests can start there and the store knows of it, since a node that
// is restarted after the acknowledgement must not send it any either. That holds also for a
// backend server that this process does not know: an earlier one may have stored it as ready.
// Without an acknowledgement the backend server repeats the announcement. The settings tell which
// service runs beside the node, so the announcement of another one is no news of it, whatever the
// configuration names.
func (n *Node) serveAnnouncement(w http.ResponseWriter, r *http.Request) {
	a, err := platform.ReadAnnouncement(r)
	if err != nil {
		n.log.Warn("announcement of a backend server cannot be parsed", "event", "backend", "err", err)
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if a.State != platform.Gone && a.Service != n.settings.Service && n.settings.Service != "" {
		// Another program has sent it, or a backend server that had the address before.
		n.requestLog.Warn("announcement of another service is ignored", "event", "backend", "id", a.ID, "service", a.Service, "want", n.settings.Service)
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if n.guard.applyAnnouncement(*a) {
		n.log.Info("backend server changed", "event", "backend", "id", a.ID, "state", a.State.String(),
			"service", a.Service, "slots", a.Slots, "sequence", a.Sequence, "born", a.Born)
		n.member.scheduleUpdate()
	}
	if a.State != platform.Ready && !(n.guard.heeds(*a) && n.member.waitUntilStored()) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	platform.AcknowledgeAnnouncement(w)
}
