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
	"errors"
	"fmt"
	"time"

	"github.com/teaselseam/teaselseam/internal/settings"
	"github.com/teaselseam/teaselseam/internal/workspace"
)

// MaxEntryBytes bounds an encoded entry. An edit that replaces a whole tree holds
// it twice, with some overhead for JSON.
const MaxEntryBytes = 4 * settings.MaxFileBytes

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
type BranchChange = settings.Change

// KeyChange issues or revokes a key.
type KeyChange struct {
	Digest    workspace.Digest `json:"digest"`
	Workspace string           `json:"workspace,omitempty"`
}

// Validate reports whether an entry is well formed. An entry with a change that
// this version does not know is an error: skipping it could skip a revocation.
func (e *Entry) Validate() error {
	changes := 0
	for _, set := range []bool{e.Settings != nil, e.KeyIssued != nil, e.KeyRevoked != nil, len(e.Ring) > 0, e.QuarantineLift != ""} {
		if set {
			changes++
		}
	}
	switch {
	case e.Seq <= 0:
		return fmt.Errorf("entry has sequence number %d", e.Seq)
	case e.Operation == "":
		return errors.New("entry has no operation ID")
	case changes != 1:
		return fmt.Errorf("entry %d has %d known changes, want one", e.Seq, changes)
	}
	if e.Settings == nil {
		return nil
	}
	for _, c := range e.Settings.Branches {
		if err := validBranch(c.Branch); err != nil {
			return fmt.Errorf("entry %d: %w", e.Seq, err)
		}
	}
	return nil
}

func validBranch(b settings.Branch) error {
	parsed, err := settings.ParseBranch(b.String())
	if err == nil && parsed != b {
		err = fmt.Errorf("branch %q of kind %q is malformed", b.Name, b.Kind)
	}
	return err
}

// EncodeEntry returns the stored form of an entry.
func EncodeEntry(e Entry) ([]byte, error) {
	if err := e.Validate(); err != nil {
		return nil, err
	}
	data, err := json.Marshal(e)
	if err != nil {
		return nil, fmt.Errorf("encode entry: %w", err)
	}
	if len(data) > MaxEntryBytes {
		return nil, fmt.Errorf("entry has %d bytes, at most %d are allowed", len(data), MaxEntryBytes)
	}
	return data, nil
}

// DecodeEntry reads the stored form of an entry.
func DecodeEntry(data []byte) (Entry, error) {
	var e Entry
	if err := decode(data, MaxEntryBytes, &e); err != nil {
		return Entry{}, fmt.Errorf("decode entry: %w", err)
	}
	if err := e.Validate(); err != nil {
		return Entry{}, err
	}
	return e, nil
}

// decode reads exactly one JSON value of at most limit bytes.
func decode(data []byte, limit int, v any) error {
	if len(data) > limit {
		return fmt.Errorf("%d bytes, at most %d are allowed", len(data), limit)
	}
	return json.Unmarshal(data, v)
}
