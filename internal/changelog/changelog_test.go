package changelog

import (
	"bytes"
	"errors"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/teaselseam/teaselseam/internal/settings"
	"github.com/teaselseam/teaselseam/internal/workspace"
)

var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

func workspaceBranch(name string) settings.Branch {
	return settings.Branch{Kind: settings.KindWorkspace, Name: name}
}

func drawEntry(t *rapid.T, seq int64) Entry {
	e := Entry{Seq: seq, Operation: fmt.Sprint("op-", seq), Actor: "ann", Time: start.Add(time.Duration(seq) * time.Hour)}
	digest := workspace.Digest{31: byte(rapid.IntRange(0, 3).Draw(t, "digest"))}
	switch rapid.IntRange(0, 4).Draw(t, "kind") {
	case 0:
		change := BranchChange{Branch: workspaceBranch(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "name"))}
		if rapid.Bool().Draw(t, "present") {
			change.New = settings.Values{"rate": fmt.Sprint(seq)}
		}
		e.Settings = &SettingsChange{Base: seq - 1, Branches: []BranchChange{change}}
	case 1:
		e.KeyIssued = &KeyChange{Digest: digest, Workspace: "a"}
	case 2:
		e.KeyRevoked = &KeyChange{Digest: digest}
	case 3:
		e.Ring = []byte(fmt.Sprintf(`{"epoch":%d}`, seq))
	case 4:
		e.QuarantineLift = rapid.SampledFrom([]string{"f1", "f2"}).Draw(t, "fingerprint")
	}
	return e
}

func mustEncode(t *rapid.T, s *State) []byte {
	data, err := EncodeSnapshot(s)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// TestApplyAnyOrder guards against entries that arrive twice, late or with gaps
// (push, gossip and poll overlap) and lead to another state than the log itself,
// against a revoked key that comes back, and against a node that starts from a
// snapshot and differs from the others.
func TestApplyAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var log []Entry
		plain := NewState()
		revoked := map[workspace.Digest]bool{}
		for seq := range int64(rapid.IntRange(1, 12).Draw(t, "entries")) {
			e := drawEntry(t, seq+1)
			log = append(log, e)
			next, err := plain.Apply(e)
			if err != nil {
				t.Fatal(err)
			}
			plain = next
			if e.KeyRevoked != nil {
				revoked[e.KeyRevoked.Digest] = true
			}
			for d := range revoked {
				if _, v := plain.Keys.Check(d); v != workspace.Revoked {
					t.Fatalf("entry %d made a revoked digest valid", e.Seq)
				}
			}
		}
		s := NewState()
		for s.Seq < int64(len(log)) {
			i := rapid.IntRange(0, len(log)-1).Draw(t, "next")
			if rapid.IntRange(0, 2).Draw(t, "in order") > 0 {
				i = int(s.Seq)
			}
			next, err := s.Apply(log[i])
			if gap := int64(i) > s.Seq; gap != errors.Is(err, ErrGap) {
				t.Fatalf("entry %d after %d: %v", i+1, s.Seq, err)
			}
			if err == nil {
				s = next
			}
			if rapid.Bool().Draw(t, "restart") {
				if s, err = DecodeSnapshot(mustEncode(t, s)); err != nil {
					t.Fatal(err)
				}
			}
		}
		if got, want := mustEncode(t, s), mustEncode(t, plain); !bytes.Equal(got, want) {
			t.Fatalf("got\n%s\nwant\n%s", got, want)
		}
	})
}

// TestEditConflictsByBranch guards against a lost edit (both sides of a race
// win) and against a false conflict between edits of different branches.
func TestEditConflictsByBranch(t *testing.T) {
	s := NewState()
	edit := func(base int64, name, rate string) error {
		change, err := s.Edit(base, map[settings.Branch]settings.Values{workspaceBranch(name): {"rate": rate}})
		if err != nil {
			return err
		}
		s, err = s.Apply(Entry{Seq: s.Seq + 1, Operation: fmt.Sprint("op", s.Seq), Actor: "ann", Settings: change})
		return err
	}
	if err := errors.Join(edit(0, "a", "1"), edit(0, "b", "2")); err != nil {
		t.Fatal(err)
	}
	var c *Conflict
	if err := edit(0, "a", "3"); !errors.As(err, &c) {
		t.Fatalf("got %v", err)
	}
	if b := c.Branches[0]; b.Changed.Seq != 1 || b.Changed.Actor != "ann" || b.Current["rate"] != "1" || b.Yours["rate"] != "3" {
		t.Errorf("got %+v", b)
	}
	if err := edit(9, "a", "3"); !errors.Is(err, ErrBase) {
		t.Errorf("got %v", err)
	}
	var p *settings.Problem
	if err := edit(2, "a", "-1"); !errors.As(err, &p) {
		t.Errorf("got %v", err)
	}
}

// FuzzDecode guards against stored data that crashes a node at start.
func FuzzDecode(f *testing.F) {
	state := NewState()
	for _, e := range []Entry{
		{Seq: 1, Operation: "o1", KeyIssued: &KeyChange{Workspace: "a"}},
		{Seq: 2, Operation: "o2", Settings: &SettingsChange{Branches: []BranchChange{{Branch: workspaceBranch("a"), New: settings.Values{"rate": "1"}}}}},
	} {
		data, err := EncodeEntry(e)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
		if state, err = state.Apply(e); err != nil {
			f.Fatal(err)
		}
	}
	data, err := EncodeSnapshot(state)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		if e, err := DecodeEntry(data); err == nil {
			if _, err := EncodeEntry(e); err != nil {
				t.Errorf("decoded entry cannot be encoded: %v", err)
			}
		}
		if s, err := DecodeSnapshot(data); err == nil {
			settings.Compile(s.Tree)
			if _, err := EncodeSnapshot(s); err != nil {
				t.Errorf("decoded snapshot cannot be encoded: %v", err)
			}
		}
	})
}
