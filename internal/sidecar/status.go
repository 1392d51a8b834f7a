package sidecar

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/teaselseam/teaselseam/internal/obs"
	"github.com/teaselseam/teaselseam/internal/quarantine"
)

// Status is what a node believes, for operators.
type Status struct {
	Node        string `json:"node"`
	Incarnation string `json:"incarnation"`
	Ready       bool   `json:"ready"`
	Stopping    bool   `json:"stopping"`

	// ConfigurationVersion is the version in force, 0 if there is none, and
	// ConfigurationAge how old the knowledge may be that it is the newest.
	ConfigurationVersion uint64  `json:"configuration_version"`
	ConfigurationAge     float64 `json:"configuration_age_seconds"`
	KeysAccepted             bool    `json:"keys_hold"` // requests with keys are served

	Backend BackendStatus   `json:"backend"`
	Members []MemberStatus  `json:"members"`
	Shares  []ShareStatus   `json:"shares"`
	Quarantine []SuspectStatus `json:"quarantine"`
}

// BackendStatus is the backend server beside the node.
type BackendStatus struct {
	ID       string  `json:"id"`
	Service  string  `json:"service"`
	State    string  `json:"state"`
	SinceAnnouncement float64 `json:"heard_ago_seconds"` // since its newest announcement; negative if there was none
	Limit    int     `json:"limit"`
	Running  int     `json:"running"`
	Waiting  int     `json:"waiting"`
	QueueWait     float64 `json:"wait_seconds"`
}

// MemberStatus is another node with its backend server.
type MemberStatus struct {
	Node       string `json:"node"`
	DataCentre string `json:"data_centre"`
	Service    string `json:"service"`
	Backend    string `json:"backend"`
	Usable         bool   `json:"in"`
	Reason        string `json:"why"` // it is in or out
}

// ShareStatus is a workspace's tokens at the node.
type ShareStatus struct {
	Workspace string  `json:"workspace"`
	Rate      float64 `json:"rate"`
	Tokens    float64 `json:"tokens"`
}

// SuspectStatus is a request that may crash backend servers.
type SuspectStatus struct {
	Fingerprint string    `json:"fingerprint"`
	Deaths      int       `json:"deaths"`
	RefusedUntil       time.Time `json:"refused_until,omitzero"`
}

// StatusPath is where a node tells what it believes, beside its metrics.
const StatusPath = "/status"

// observe returns the handler of the metrics address.
func (n *Node) observe() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/metrics", obs.MetricsHandler(n.metrics.Set()))
	mux.HandleFunc(StatusPath, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		if err := json.NewEncoder(w).Encode(n.Status()); err != nil {
			n.log.Warn("status was not written", "event", "status", "err", err)
		}
	})
	return mux
}

// Status returns what the node believes now.
func (n *Node) Status() Status {
	s := Status{
		Node: n.settings.Node, Incarnation: n.incarnation, Ready: n.ready(), Stopping: n.stopping.Load(),
		ConfigurationAge: n.knowledge.age().Seconds(), KeysAccepted: n.knowledge.keysHold(),
		Backend: n.guard.status(), Quarantine: n.crashes.status(),
	}
	if c := n.knowledge.catalog.Load(); c != nil {
		s.ConfigurationVersion = c.Version
		for _, w := range c.Workspaces() {
			s.Shares = append(s.Shares, ShareStatus{Workspace: w.Name, Rate: w.Rate, Tokens: n.tokens.held(w.Name)})
		}
	}
	for _, m := range *n.knowledge.members.Load() {
		why := "its backend server is ready"
		switch {
		case !m.Serving:
			why = "the node is stopping"
		case m.Backend.ID == "":
			why = "the node knows no backend server"
		case !m.Usable():
			why = "its backend server is " + m.Backend.State.String()
		}
		s.Members = append(s.Members, MemberStatus{
			Node: m.Node, DataCentre: m.DataCentre, Service: m.Backend.Service, Backend: m.Backend.ID, Usable: m.Usable(), Reason: why,
		})
	}
	return s
}

func (g *guard) status() BackendStatus {
	g.mu.Lock()
	b := BackendStatus{ID: g.server.ID, Service: g.server.Service, State: g.server.State.String(), SinceAnnouncement: -1}
	if !g.server.ReceivedAt.IsZero() {
		b.SinceAnnouncement = time.Since(g.server.ReceivedAt).Seconds()
	}
	g.mu.Unlock()
	l := g.line.load("", false)
	b.Limit, b.Running, b.Waiting, b.QueueWait = l.Limit, l.Running, l.Queued, l.Wait.Seconds()
	return b
}

func (t *tokens) held(workspace string) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.accounts.Tokens(workspace)
}

func (q *crashes) status() []SuspectStatus {
	q.mu.Lock()
	defer q.mu.Unlock()
	var out []SuspectStatus
	for _, e := range q.set.Entries(time.Now()) {
		out = append(out, suspectStatus(e))
	}
	return out
}

func suspectStatus(e quarantine.Entry) SuspectStatus {
	return SuspectStatus{Fingerprint: e.Fingerprint.String(), Deaths: e.Deaths, RefusedUntil: e.Until}
}
