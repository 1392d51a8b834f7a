package settings

import (
	"cmp"
	"maps"
	"slices"
)

// Parse parses and validates a complete tree in INI form. The file name is used in
// errors only. An error is a *Problem: the first invalid setting in the order of the
// file, or else the first invalid route.
func Parse(file string, data []byte) (*Tree, error) {
	branches, err := ParseBranches(file, data)
	if err != nil {
		return nil, err
	}
	t := &Tree{branches: branches}
	if err := t.checkRoutes(file); err != nil {
		return nil, err
	}
	return t, nil
}

// ParseBranches parses branches in INI form and checks each value on its own. Call
// Validate on the tree that they are put into to check the branches against each other.
func ParseBranches(file string, data []byte) (map[Branch]Values, error) {
	sections, err := ReadSections(file, data)
	if err != nil {
		return nil, err
	}
	branches := map[Branch]Values{}
	for _, s := range sections {
		if s.Name == "" {
			v := s.Values[0]
			return nil, NewProblem(file, "", v.Key, v.Value, "setting is outside a section")
		}
		b, err := ParseBranch(s.Name)
		if err != nil {
			return nil, NewProblem(file, s.Name, "", "", err.Error())
		}
		if _, ok := branches[b]; ok {
			return nil, NewProblem(file, s.Name, "", "", "section occurs twice")
		}
		values := Values{}
		for _, v := range s.Values {
			if err := checkValue(b, v.Key, v.Value); err != nil {
				return nil, NewProblem(file, s.Name, v.Key, v.Value, err.Error())
			}
			values[v.Key] = v.Value
		}
		branches[b] = values
	}
	return branches, nil
}

// Validate checks the values of the tree against the schema, and the branches against
// each other. It returns the first problem in the order of SortedBranches and of keys,
// so every node reports the same one for a tree.
func (t *Tree) Validate(file string) error {
	if err := t.checkValues(file); err != nil {
		return err
	}
	return t.checkRoutes(file)
}

func (t *Tree) checkValues(file string) error {
	for _, b := range t.SortedBranches() {
		if b != Defaults {
			if _, err := ParseBranch(b.String()); err != nil {
				return NewProblem(file, b.String(), "", "", err.Error())
			}
		}
		values := t.branches[b]
		for _, key := range slices.Sorted(maps.Keys(values)) {
			if err := checkValue(b, key, values[key]); err != nil {
				return NewProblem(file, b.String(), key, values[key], err.Error())
			}
		}
	}
	return nil
}

// checkRoutes returns an error if a route has no path or service, or the same path as
// another one.
func (t *Tree) checkRoutes(file string) error {
	paths := map[string]Branch{}
	for _, b := range t.SortedBranches() {
		if b.Kind != KindRoute {
			continue
		}
		for _, key := range []string{"path", "service"} {
			if value, _ := t.Lookup(b, key); value == "" {
				return NewProblem(file, b.String(), key, "", "route has no "+key)
			}
		}
		path, _ := t.Lookup(b, "path")
		if other, ok := paths[path]; ok {
			return NewProblem(file, b.String(), "path", path, "section \""+other.String()+"\" has the same path")
		}
		paths[path] = b
	}
	return nil
}

// SortedBranches returns the branches in the order in which Render writes them: defaults,
// workspaces, routes, services, and by name within a kind.
func (t *Tree) SortedBranches() []Branch {
	return slices.SortedFunc(maps.Keys(t.branches), CompareBranches)
}

// CompareBranches defines the order of SortedBranches.
func CompareBranches(a, b Branch) int {
	return cmp.Or(
		cmp.Compare(slices.Index(Kinds, a.Kind), slices.Index(Kinds, b.Kind)),
		cmp.Compare(a.Name, b.Name),
	)
}

// CheckBranch checks the values of a branch on their own, in the order of their keys.
func CheckBranch(file string, b Branch, values Values) error {
	return NewTreeFrom(map[Branch]Values{b: values}).checkValues(file)
}
