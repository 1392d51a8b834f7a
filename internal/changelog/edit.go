package changelog

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/teaselseam/teaselseam/internal/settings"
)

// ErrBase means that an edit names a revision that the log does not have.
var ErrBase = errors.New("base revision is not in the change log")

// Conflict means that a branch of an edit changed after the edit's base.
type Conflict struct {
	Base     int64            `json:"base"`
	Branches []BranchConflict `json:"branches"`
}

// BranchConflict shows both sides of a branch in conflict. Nil values mean that
// the branch is absent.
type BranchConflict struct {
	Branch  settings.Branch `json:"branch"`
	Changed Origin          `json:"changed"` // the change that came first
	Current settings.Values `json:"current"`
	Yours   settings.Values `json:"yours"`
}

// Error implements error.
func (c *Conflict) Error() string {
	var names []string
	for _, b := range c.Branches {
		names = append(names, fmt.Sprintf("%q at %d by %s", b.Branch, b.Changed.Seq, b.Changed.Actor))
	}
	return fmt.Sprintf("changed after revision %d: %s", c.Base, strings.Join(names, ", "))
}

// Edit returns the change that gives some branches new values, nil for removal.
// It is a *Conflict if one of these branches changed after base, ErrBase if base
// is unknown, and a *settings.Problem if the resulting tree is not valid. Other
// branches may have changed after base.
func (s *State) Edit(base int64, branches map[settings.Branch]settings.Values) (*SettingsChange, error) {
	if base < 0 || base > s.Seq {
		return nil, fmt.Errorf("%w: %d, the newest is %d", ErrBase, base, s.Seq)
	}
	change := &SettingsChange{Base: base}
	conflict := &Conflict{Base: base}
	tree := s.Tree
	for _, b := range slices.SortedFunc(maps.Keys(branches), settings.CompareBranches) {
		current, _ := s.Tree.Branch(b)
		if origin := s.changed[b]; origin.Seq > base {
			conflict.Branches = append(conflict.Branches, BranchConflict{Branch: b, Changed: origin, Current: current, Yours: branches[b]})
		}
		change.Branches = append(change.Branches, BranchChange{Branch: b, Old: current, New: branches[b]})
		tree = tree.With(b, branches[b])
	}
	if len(conflict.Branches) > 0 {
		return nil, conflict
	}
	if err := tree.Validate("edit"); err != nil {
		return nil, err
	}
	return change, nil
}
