// Package changelog defines the fleet's change log and the control state that
// is folded from it.
//
// Every change by an operator or by the control plane is one entry with a
// sequence number. Each node applies the entries in order, so two nodes with the
// same applied sequence number have the same state, and no node ever goes back.
// An entry names who made the change, when, and the old and new values, so the
// log is also the audit trail. It never contains a key, only key digests.
package changelog

import (
	"encoding/json"
	"fmt"
	"maps"
	"time"

	"github.com/teaselseam/teaselseam/internal/settings"
	"github.com/teaselseam/teaselseam/internal/workspace"
)

// Entry is one change. Exactly one of the change fields is set.
type Entry struct {
	Seq       int64     `json:"seq"`
	Operation string    `json:"operation"` // unique ID chosen by the client of the edit
	Actor     string    `json:"actor"`     // operator, or "node NAME" for automatic actions
	Time      time.Time `json:"time"`

	Settings       *SettingsChange `json:"settings,omitempty"`
	KeyIssued      *KeyChange      `json:"key_issued,omitempty"`
	KeyRevoked     *KeyChange      `json:"key_revoked,omitempty"`
	Ring           json.RawMessage `json:"ring,omitempty"`            // a ring epoch, encoded by package ring
	QuarantineLift string          `json:"quarantine_lift,omitempty"` // fingerprint
}

// SettingsChange replaces the values of one or more branches. All of them were
// based on the state with sequence number Base.
type SettingsChange struct {
	Base     int64          `json:"base"`
	Branches []BranchChange `json:"branches"`
}

// BranchChange is the change of one branch. Nil values mean that the branch is absent.
type BranchChange struct {
	Branch settings.Branch `json:"branch"`
	Old    settings.Values `json:"old"`
	New    settings.Values `json:"new"`
}

// KeyChange issues or revokes a key.
type KeyChange struct {
	Digest    workspace.Digest `json:"digest"`
	Workspace string           `json:"workspace,omitempty"`
}

// State is the control state after applying a prefix of the log. It is
// immutable; Apply returns a new one.
type State struct {
	Seq     int64
	Tree    *settings.Tree
	Keys    *workspace.Keys
	Ring    json.RawMessage
	RingSeq int64 // sequence number of the ring epoch
	// Lifts maps a quarantine fingerprint to the time of its newest lift.
	Lifts map[string]time.Time
	// changed is the sequence number of each branch's last change.
	changed map[settings.Branch]int64
}

// NewState returns the state before the first entry.
func NewState() *State {
	return &State{
		Tree:    settings.NewTree(),
		Keys:    workspace.NewKeys(),
		Lifts:   map[string]time.Time{},
		changed: map[settings.Branch]int64{},
	}
}

// Apply returns the state after one more entry. The entry must be the next one.
func (s *State) Apply(e Entry) (*State, error) {
	if e.Seq != s.Seq+1 {
		return nil, fmt.Errorf("entry %d does not follow %d", e.Seq, s.Seq)
	}
	next := *s
	next.Seq = e.Seq
	switch {
	case e.Settings != nil:
		next.changed = maps.Clone(s.changed)
		for _, c := range e.Settings.Branches {
			next.Tree = next.Tree.With(c.Branch, c.New)
			next.changed[c.Branch] = e.Seq
		}
	case e.KeyIssued != nil:
		next.Keys = s.Keys.Issue(e.KeyIssued.Digest, e.KeyIssued.Workspace)
	case e.KeyRevoked != nil:
		next.Keys = s.Keys.Revoke(e.KeyRevoked.Digest)
	case e.Ring != nil:
		next.Ring = e.Ring
		next.RingSeq = e.Seq
	case e.QuarantineLift != "":
		next.Lifts = maps.Clone(s.Lifts)
		next.Lifts[e.QuarantineLift] = e.Time
	}
	return &next, nil
}

// LastChanged returns the sequence number of the last change of a branch; zero
// if it never changed.
func (s *State) LastChanged(b settings.Branch) int64 { return s.changed[b] }
