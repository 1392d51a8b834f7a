package settings

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Render writes a tree in INI form. Parse reads it back to an equal tree.
func Render(t *Tree) []byte {
	var out strings.Builder
	for i, b := range t.SortedBranches() {
		if i > 0 {
			out.WriteByte('\n')
		}
		fmt.Fprintf(&out, "[%s]\n", b)
		values := t.branches[b]
		for _, key := range slices.Sorted(maps.Keys(values)) {
			fmt.Fprintf(&out, "%s = %s\n", key, values[key])
		}
	}
	return []byte(out.String())
}

// Change is the difference of one branch between two trees. Nil values mean
// that the branch is absent.
type Change struct {
	Branch Branch `json:"branch"`
	Old    Values `json:"old"`
	New    Values `json:"new"`
}

// Diff returns the branches that differ, in the order of Sorted.
func Diff(old, updated *Tree) []Change {
	all := maps.Clone(old.branches)
	maps.Copy(all, updated.branches)
	var changes []Change
	for _, b := range slices.SortedFunc(maps.Keys(all), CompareBranches) {
		was, hadBranch := old.branches[b]
		is, hasBranch := updated.branches[b]
		if hadBranch != hasBranch || !maps.Equal(was, is) {
			changes = append(changes, Change{Branch: b, Old: maps.Clone(was), New: maps.Clone(is)})
		}
	}
	return changes
}

// String returns the change as lines that start with - for what is removed and
// + for what is added.
func (c Change) String() string {
	var out strings.Builder
	fmt.Fprintf(&out, "%s[%s]\n", c.sign(), c.Branch)
	keys := maps.Clone(c.Old)
	if keys == nil {
		keys = Values{}
	}
	maps.Copy(keys, c.New)
	for _, key := range slices.Sorted(maps.Keys(keys)) {
		was, had := c.Old[key]
		is, has := c.New[key]
		if had == has && was == is {
			continue
		}
		if had {
			fmt.Fprintf(&out, "-%s = %s\n", key, was)
		}
		if has {
			fmt.Fprintf(&out, "+%s = %s\n", key, is)
		}
	}
	return out.String()
}

func (c Change) sign() string {
	switch {
	case c.Old == nil:
		return "+"
	case c.New == nil:
		return "-"
	default:
		return " "
	}
}

// Effective is the value that is in force for one setting of a branch.
type Effective struct {
	Key   string `json:"key"`
	Value string `json:"value"`
	Unit  string `json:"unit,omitempty"`
	// Origin is the section that sets the value, or OriginBuiltIn.
	Origin string `json:"origin"`
}

// OriginBuiltIn is the origin of a value that no branch sets.
const OriginBuiltIn = "built-in default"

// Effective returns the values in force for a workspace, route or service,
// whether or not it has a branch of its own.
func (t *Tree) Effective(b Branch) []Effective {
	var out []Effective
	for _, s := range Schema() {
		if s.Kind != b.Kind {
			continue
		}
		value, origin := t.Lookup(b, s.Key)
		e := Effective{Key: s.Key, Value: value, Unit: s.Unit, Origin: OriginBuiltIn}
		if origin != (Branch{}) {
			e.Origin = origin.String()
		}
		out = append(out, e)
	}
	return out
}
