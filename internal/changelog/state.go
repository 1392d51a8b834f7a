package changelog

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"time"

	"github.com/teaselseam/teaselseam/internal/settings"
	"github.com/teaselseam/teaselseam/internal/workspace"
)

// liftRetention is how long a quarantine lift is kept. Quarantine entries expire
// after an hour; the rest allows for clocks that differ.
const liftRetention = 24 * time.Hour

// ErrGap means that entries are missing before the one to be applied.
var ErrGap = errors.New("change log has a gap")

// State is the control state after applying a prefix of the log. It is
// immutable; Apply returns a new one.
type State struct {
	Seq     int64
	Tree    *settings.Tree
	TreeSeq int64 // revision of the tree: sequence number of its last edit
	Keys    *workspace.Keys
	Ring    json.RawMessage
	RingSeq int64 // sequence number of the ring epoch
	// Lifts maps a quarantine fingerprint to the time of its newest lift.
	Lifts map[string]time.Time
	// LastOperation is the operation ID of entry Seq.
	LastOperation string
	// changed tells of each branch's last change.
	changed map[settings.Branch]Origin
}

// Origin tells which entry changed a branch last.
type Origin struct {
	Seq   int64     `json:"seq"`
	Actor string    `json:"actor"`
	Time  time.Time `json:"time"`
}

// NewState returns the state before the first entry.
func NewState() *State {
	return &State{
		Tree:    settings.NewTree(),
		Keys:    workspace.NewKeys(),
		Lifts:   map[string]time.Time{},
		changed: map[settings.Branch]Origin{},
	}
}

// Apply returns the state after one more entry. An entry that was applied before
// has no effect; one after a gap is ErrGap.
func (s *State) Apply(e Entry) (*State, error) {
	if e.Seq <= s.Seq {
		return s, nil
	}
	if e.Seq != s.Seq+1 {
		return nil, fmt.Errorf("%w: entry %d does not follow %d", ErrGap, e.Seq, s.Seq)
	}
	if err := e.Validate(); err != nil {
		return nil, err
	}
	next := *s
	next.Seq = e.Seq
	next.LastOperation = e.Operation
	switch {
	case e.Settings != nil:
		next.applySettings(e)
	case e.KeyIssued != nil:
		next.Keys = s.Keys.Issue(e.KeyIssued.Digest, e.KeyIssued.Workspace)
	case e.KeyRevoked != nil:
		next.Keys = s.Keys.Revoke(e.KeyRevoked.Digest)
	case len(e.Ring) > 0:
		next.Ring = e.Ring
		next.RingSeq = e.Seq
	case e.QuarantineLift != "":
		next.applyLift(e)
	}
	return &next, nil
}

func (s *State) applySettings(e Entry) {
	s.TreeSeq = e.Seq
	s.changed = maps.Clone(s.changed)
	for _, c := range e.Settings.Branches {
		s.Tree = s.Tree.With(c.Branch, c.New)
		s.changed[c.Branch] = Origin{Seq: e.Seq, Actor: e.Actor, Time: e.Time}
	}
}

func (s *State) applyLift(e Entry) {
	lifts := map[string]time.Time{}
	for fingerprint, t := range s.Lifts {
		if e.Time.Sub(t) < liftRetention {
			lifts[fingerprint] = t
		}
	}
	if e.Time.After(lifts[e.QuarantineLift]) {
		lifts[e.QuarantineLift] = e.Time
	}
	s.Lifts = lifts
}

// LastChanged returns the sequence number of the last change of a branch; zero
// if it never changed.
func (s *State) LastChanged(b settings.Branch) int64 { return s.changed[b].Seq }
