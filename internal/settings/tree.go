// Package settings implements the settings tree that operators edit. Its root, the
// branch "defaults", holds fleet-wide values. Below it are branches for workspaces,
// routes and services. A branch name may have several segments separated by "/"; a
// branch inherits each value that it does not set from its parent branch.
//
// Each setting is defined by an entry of the schema: its type, unit, bounds, default and
// documentation. A tree with any invalid value is rejected as a whole.
package settings

import (
	"fmt"
	"maps"
	"strings"

	"github.com/teaselseam/teaselseam/internal/workspace"
)

// Kind is the kind of a branch.
type Kind string

// Branch kinds.
const (
	KindDefaults  Kind = "defaults"
	KindWorkspace Kind = "workspace"
	KindRoute     Kind = "route"
	KindService   Kind = "service"
)

// Branch identifies a branch of the tree. Name is empty for the defaults branch.
type Branch struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name,omitempty"`
}

// Defaults is the root branch.
var Defaults = Branch{Kind: KindDefaults}

// String returns the branch as an INI section name, for example "route spec/read".
func (b Branch) String() string {
	if b.Kind == KindDefaults {
		return string(KindDefaults)
	}
	return string(b.Kind) + " " + b.Name
}

// ParseBranch parses an INI section name.
func ParseBranch(s string) (Branch, error) {
	if s == string(KindDefaults) {
		return Defaults, nil
	}
	kind, name, found := strings.Cut(s, " ")
	b := Branch{Kind: Kind(kind), Name: strings.TrimSpace(name)}
	switch b.Kind {
	case KindWorkspace, KindRoute, KindService:
	default:
		return Branch{}, fmt.Errorf("section name %q is not defaults, workspace NAME, route NAME or service NAME", s)
	}
	if !found || !validName(b.Name) {
		return Branch{}, fmt.Errorf("section %q has an invalid name; use letters, digits, '-', '_', '.' and '/'", s)
	}
	return b, nil
}

// ValidName reports whether s is a valid name of a workspace, route or service.
func ValidName(s string) bool { return validName(s) }

func validName(s string) bool {
	if s == "" || len(s) > maxNameLength || strings.HasPrefix(s, "/") || strings.HasSuffix(s, "/") {
		return false
	}
	for _, c := range s {
		if !isNameChar(c) {
			return false
		}
	}
	return !strings.Contains(s, "//") && !workspace.ContainsKey(s)
}

func isNameChar(c rune) bool {
	return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || strings.ContainsRune("-_./", c)
}

// maxNameLength is the maximum length of a branch name in bytes.
const maxNameLength = 128

// Parent returns the branch that b inherits from; false for the defaults.
func (b Branch) Parent() (Branch, bool) {
	if b.Kind == KindDefaults {
		return Branch{}, false
	}
	if i := strings.LastIndexByte(b.Name, '/'); i >= 0 {
		return Branch{Kind: b.Kind, Name: b.Name[:i]}, true
	}
	return Defaults, true
}

// Values holds the settings that a branch itself sets, by key.
type Values map[string]string

// Tree is a set of branches. Treat it as immutable; With returns a changed copy.
type Tree struct {
	branches map[Branch]Values
}

// NewTree returns a tree without any branch.
func NewTree() *Tree {
	return &Tree{branches: map[Branch]Values{}}
}

// NewTreeFrom returns a tree with the given branches. The caller must not change the
// values afterwards.
func NewTreeFrom(branches map[Branch]Values) *Tree {
	return &Tree{branches: maps.Clone(branches)}
}

// Branches returns the branches of the tree. The caller must not change their values.
func (t *Tree) Branches() map[Branch]Values {
	return maps.Clone(t.branches)
}

// Branch returns the values that a branch itself sets; false if the branch is absent.
func (t *Tree) Branch(b Branch) (Values, bool) {
	v, ok := t.branches[b]
	return maps.Clone(v), ok
}

// With returns a copy of the tree in which a branch has the given values. Nil
// values remove the branch.
func (t *Tree) With(b Branch, v Values) *Tree {
	c := &Tree{branches: maps.Clone(t.branches)}
	if v == nil {
		delete(c.branches, b)
	} else {
		c.branches[b] = maps.Clone(v)
	}
	return c
}

// Lookup returns the effective value of a setting for a branch and the branch that sets
// it. The origin is the zero Branch if the value is the schema's default. For an unknown
// key both results are zero.
func (t *Tree) Lookup(b Branch, key string) (value string, origin Branch) {
	s, known := schemaByKey[key]
	if !known {
		return "", Branch{}
	}
	for ok := true; ok; b, ok = b.Parent() {
		if v, set := t.branches[b][key]; set {
			return v, b
		}
		if s.NotInherited {
			break
		}
	}
	return s.Default, Branch{}
}
