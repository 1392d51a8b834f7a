// Package control owns a node's control state: the state folded from the change
// log, early revocations, members and freshness. One goroutine changes it and
// publishes immutable snapshots; traffic goroutines only read those.
package control

import (
	"time"

	"github.com/teaselseam/teaselseam/internal/changelog"
	"github.com/teaselseam/teaselseam/internal/membership"
	"github.com/teaselseam/teaselseam/internal/settings"
	"github.com/teaselseam/teaselseam/internal/workspace"
)

// Snapshot is the control state at one moment. It is immutable.
type Snapshot struct {
	// State is nil until the node has learned the change log.
	State    *changelog.State
	Settings *settings.Compiled
	// Keys are State's keys with early revocations merged in.
	Keys    *workspace.Keys
	Members []membership.Member
	// ByService lists the members that run a backend server of a service.
	ByService map[string][]membership.Member
	Self      membership.Member
}

// Announcement is what a backend server tells the node beside it. It is
// repeated every second or so.
type Announcement struct {
	Service        string    `json:"service"`
	Address        string    `json:"address"`  // IP:port
	Instance       string    `json:"instance"` // unique to each start of the backend server
	Started        time.Time `json:"started"`
	Draining       bool      `json:"draining"`
	MaxConnections int       `json:"max_connections"`
	Slots          int       `json:"slots"`   // calls that it says it can run at the same time; 0 means unknown
	Running        int       `json:"running"` // calls it says it runs; may lag or mislead
	Queued         int       `json:"queued"`  // calls it says it holds; may lag or mislead
}
