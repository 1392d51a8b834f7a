package membership

import "time"

// Status is what a node believes about a member.
type Status uint8

// Member statuses.
const (
	Alive Status = iota + 1
	Suspect
	Dead
	Left
)

// Member is one incarnation of a node and the backend server beside it.
type Member struct {
	ID          string // node name
	Incarnation string // unique to each start of the process
	DataCentre  string
	Region      string
	PeerAddress string // IP:port
	Status      Status
	// Version is raised by the member itself, to refute a suspicion or to
	// announce a change of the fields below. It is odd once the member has been
	// fresh since its start.
	Version        uint64
	Service        string // of the backend server; empty if none has announced itself
	Draining       bool
	Started        time.Time
	BackendStarted time.Time
	MaxConnections int   // that the backend server accepts; 0 means unknown
	AppliedSeq     int64 // newest change log entry in force
}

// supersedes reports whether a is a later incarnation of a node than b.
func (a *Member) supersedes(b *Member) bool {
	if !a.Started.Equal(b.Started) {
		return a.Started.After(b.Started)
	}
	return a.Incarnation > b.Incarnation
}

// overrides reports whether news about the same incarnation replaces old.
func (a *Member) overrides(old *Member) bool {
	if old.Status == Left {
		return false
	}
	if a.Version != old.Version {
		return a.Version > old.Version
	}
	return a.Status > old.Status
}

// CaughtUp reports whether the member has been fresh since its start. Before that
// it may lack what its predecessor of the same name acknowledged.
func (a *Member) CaughtUp() bool { return a.Version%2 == 1 }

// raise sets the version to the next one after both its own and another.
func (a *Member) raise(other uint64, caughtUp bool) {
	a.Version = max(a.Version, other)/2*2 + 2
	if caughtUp {
		a.Version++
	}
}
