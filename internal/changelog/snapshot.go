package changelog

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/teaselseam/teaselseam/internal/settings"
	"github.com/teaselseam/teaselseam/internal/workspace"
)

const (
	// MaxSnapshotBytes bounds an encoded snapshot. 100,000 keys take 10.6 MB.
	MaxSnapshotBytes = 64 << 20
	// snapshotFormat changes when a reader of the old format would go wrong.
	snapshotFormat = 1
)

// snapshot is the stored form of a State.
type snapshot struct {
	Format        int                  `json:"format"`
	Seq           int64                `json:"seq"`
	LastOperation string               `json:"last_operation"`
	TreeSeq       int64                `json:"tree_seq"`
	Branches      []branchSnapshot     `json:"branches"`
	Issued        []KeyChange          `json:"issued"`
	Revoked       []workspace.Digest   `json:"revoked"`
	Ring          json.RawMessage      `json:"ring,omitempty"`
	RingSeq       int64                `json:"ring_seq"`
	Lifts         map[string]time.Time `json:"lifts"`
}

// branchSnapshot is a branch that exists or existed. Absent ones are kept,
// because an edit that is based on an earlier revision must find the conflict.
type branchSnapshot struct {
	Branch  settings.Branch `json:"branch"`
	Values  settings.Values `json:"values"`
	Changed Origin          `json:"changed"`
}

// EncodeSnapshot returns the stored form of a state. Equal states have equal
// stored forms.
func EncodeSnapshot(s *State) ([]byte, error) {
	out := snapshot{
		Format: snapshotFormat, Seq: s.Seq, LastOperation: s.LastOperation, TreeSeq: s.TreeSeq,
		Revoked: s.Keys.RevokedDigests(), Ring: s.Ring, RingSeq: s.RingSeq, Lifts: s.Lifts,
	}
	for _, b := range slices.SortedFunc(maps.Keys(s.changed), settings.CompareBranches) {
		values, _ := s.Tree.Branch(b)
		out.Branches = append(out.Branches, branchSnapshot{Branch: b, Values: values, Changed: s.changed[b]})
	}
	issued := s.Keys.Issued()
	for _, d := range slices.SortedFunc(maps.Keys(issued), workspace.Digest.Compare) {
		out.Issued = append(out.Issued, KeyChange{Digest: d, Workspace: issued[d]})
	}
	data, err := json.Marshal(out)
	if err != nil {
		return nil, fmt.Errorf("encode snapshot: %w", err)
	}
	if len(data) > MaxSnapshotBytes {
		return nil, fmt.Errorf("snapshot has %d bytes, at most %d are allowed", len(data), MaxSnapshotBytes)
	}
	return data, nil
}

// DecodeSnapshot reads the stored form of a state.
func DecodeSnapshot(data []byte) (*State, error) {
	var in snapshot
	if err := decode(data, MaxSnapshotBytes, &in); err != nil {
		return nil, fmt.Errorf("decode snapshot: %w", err)
	}
	if err := in.validate(); err != nil {
		return nil, fmt.Errorf("decode snapshot: %w", err)
	}
	s := NewState()
	s.Seq, s.LastOperation, s.TreeSeq = in.Seq, in.LastOperation, in.TreeSeq
	s.Ring, s.RingSeq = in.Ring, in.RingSeq
	maps.Copy(s.Lifts, in.Lifts)
	branches := map[settings.Branch]settings.Values{}
	for _, b := range in.Branches {
		s.changed[b.Branch] = b.Changed
		if b.Values != nil {
			branches[b.Branch] = b.Values
		}
	}
	s.Tree = settings.TreeOf(branches)
	issued := make(map[workspace.Digest]string, len(in.Issued))
	for _, k := range in.Issued {
		issued[k.Digest] = k.Workspace
	}
	s.Keys = workspace.KeysOf(issued, in.Revoked)
	return s, nil
}

func (in *snapshot) validate() error {
	switch {
	case in.Format != snapshotFormat:
		return fmt.Errorf("format %d is not known", in.Format)
	case in.Seq < 0, in.TreeSeq > in.Seq, in.RingSeq > in.Seq:
		return errors.New("sequence numbers are out of order")
	case in.Seq > 0 && in.LastOperation == "":
		return errors.New("last operation is missing")
	}
	for _, b := range in.Branches {
		if err := validBranch(b.Branch); err != nil {
			return err
		}
		if b.Changed.Seq > in.TreeSeq {
			return fmt.Errorf("branch %q changed after the tree", b.Branch)
		}
	}
	return nil
}
