package sidecar

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/teaselseam/teaselseam/internal/obs"
	"github.com/teaselseam/teaselseam/internal/quarantine"
)

// Status is the state of a node as shown to operators.
type Status struct {
	Node        string `json:"node"`
	Incarnation string `json:"incarnation"`
	Ready       bool   `json:"ready"`
	Stopping    bool   `json:"stopping"`

	// ConfigurationVersion is the active version, 0 if there is none. ConfigurationAge is
	// the time since it was last known to be the newest.
	ConfigurationVersion uint64  `json:"configuration_version"`
	ConfigurationAge     float64 `json:"configuration_age_seconds"`
	KeysAccepted         bool    `json:"keys_hold"` // whether requests with keys are served

	// PendingSettings are changed settings that need a restart of the node.
	PendingSettings []string `json:"pending_settings,omitempty"`
	StoreEra        uint64   `json:"store_era"`

	Evacuated []string `json:"evacuated_data_centres,omitempty"`

	Backend    BackendStatus   `json:"backend"`
	Members    []MemberStatus  `json:"members"`
	Shares     []ShareStatus   `json:"shares"`
	Quarantine []SuspectStatus `json:"quarantine"`
}

// BackendStatus is the backend server beside the node.
type BackendStatus struct {
	ID                string  `json:"id"`
	Service           string  `json:"service"`
	State             string  `json:"state"`
	SinceAnnouncement float64 `json:"heard_ago_seconds"` // negative if there was no announcement
	Limit             int     `json:"limit"`
	Running           int     `json:"running"`
	Waiting           int     `json:"waiting"`
	QueueWait         float64 `json:"wait_seconds"`
	// RateLimit is how many requests per second the backend server accepts now: the limit
	// that it has named or, while it is cold, what it bears.
	RateLimit *float64 `json:"rate_limit,omitempty"`
	Cold      float64  `json:"cold_seconds,omitempty"` // how long it stays cold
}

// MemberStatus is a node of the fleet with its backend server.
type MemberStatus struct {
	Node       string `json:"node"`
	DataCentre string `json:"data_centre"`
	Service    string `json:"service"`
	Backend    string `json:"backend"`
	Usable     bool   `json:"in"`
	Reason     string `json:"why"` // why the backend server is usable or not
}

// ShareStatus is a workspace's rate limit, with its tokens at the node.
type ShareStatus struct {
	Workspace string  `json:"workspace"`
	Rate      float64 `json:"rate"`
	Tokens    float64 `json:"tokens"`
}

// SuspectStatus is a request that may crash backend servers.
type SuspectStatus struct {
	Fingerprint  string    `json:"fingerprint"`
	Deaths       int       `json:"deaths"` // crashes that count against it
	RefusedUntil time.Time `json:"refused_until,omitzero"`
}

// StatusPath is the path at the metrics address under which the status is served.
const StatusPath = "/status"

// metricsHandler returns the handler of the metrics address.
func (n *Node) metricsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/metrics", obs.MetricsHandler(n.metrics.Set()))
	mux.HandleFunc(StatusPath, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		if err := json.NewEncoder(w).Encode(n.Status()); err != nil {
			n.log.Warn("writing the status response failed", "event", "status", "err", err)
		}
	})
	return mux
}

// Status returns the current state of the node.
func (n *Node) Status() Status {
	s := Status{
		Node: n.settings.Node, Incarnation: n.incarnation, Ready: n.ready(), Stopping: n.stopping.Load(),
		ConfigurationAge: n.state.configAge().Seconds(), KeysAccepted: n.state.keysValid(),
		PendingSettings: *n.pendingSettings.Load(), StoreEra: n.state.currentEra(), Evacuated: *n.state.evacuated.Load(),
		Backend: n.guard.status(), Quarantine: n.crashes.status(),
	}
	if c := n.state.catalog.Load(); c != nil {
		s.ConfigurationVersion = c.Version
		for _, w := range c.Workspaces() {
			s.Shares = append(s.Shares, ShareStatus{Workspace: w.Name, Rate: w.Rate, Tokens: n.tokens.balance(w.Name)})
		}
	}
	for _, m := range *n.state.members.Load() {
		reason := "its backend server is ready"
		switch {
		case !m.Serving:
			reason = "the node is stopping"
		case m.Backend.ID == "":
			reason = "the node knows no backend server"
		case !m.Usable():
			reason = "its backend server is " + m.Backend.State.String()
		case n.state.isEvacuated(m.DataCentre):
			reason = "its data centre is evacuated"
		}
		s.Members = append(s.Members, MemberStatus{
			Node: m.Node, DataCentre: m.DataCentre, Service: m.Backend.Service, Backend: m.Backend.ID, Usable: m.Usable() && !n.state.isEvacuated(m.DataCentre), Reason: reason,
		})
	}
	return s
}

func (g *guard) status() BackendStatus {
	g.mu.Lock()
	b := BackendStatus{
		ID: g.server.ID, Service: g.server.Service, State: g.server.State.String(), SinceAnnouncement: -1,
		Cold: g.server.ColdRemaining(time.Now()).Seconds(),
	}
	if r, limited := g.server.Rate(time.Now()); limited {
		b.RateLimit = &r.PerSecond
	}
	if !g.server.ReceivedAt.IsZero() {
		b.SinceAnnouncement = time.Since(g.server.ReceivedAt).Seconds()
	}
	g.mu.Unlock()
	l := g.queue.load("", false)
	b.Limit, b.Running, b.Waiting, b.QueueWait = l.Limit, l.Running, l.Queued, l.Wait.Seconds()
	return b
}

func (t *tokens) balance(workspace string) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.buckets.Tokens(workspace)
}

func (t *crashTracker) status() []SuspectStatus {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []SuspectStatus
	for _, e := range t.set.Entries(time.Now()) {
		out = append(out, suspectStatus(e))
	}
	return out
}

func suspectStatus(e quarantine.Entry) SuspectStatus {
	return SuspectStatus{Fingerprint: e.Fingerprint.String(), Deaths: e.Deaths, RefusedUntil: e.Until}
}
