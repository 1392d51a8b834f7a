package settings

import (
	"cmp"
	"errors"
	"maps"
	"slices"
)

// removedKeys are settings of earlier releases. A tree that still has one is read without it:
// a node that refused the tree would run without any of the operator's settings.
var removedKeys = map[string]bool{"refuse_failing": true}

// Parse parses and validates a complete tree in INI form. The file name is used in
// errors only. An error is a *Problem: the first invalid setting in the order of the
// file, or else the first invalid route.
func Parse(file string, data []byte) (*Tree, error) {
	t, problems := Inspect(file, data)
	if len(problems) > 0 {
		return nil, problems[0]
	}
	return t, nil
}

// Inspect parses a tree like Parse, but returns all problems instead of the first one. The
// routes are checked only if all settings are valid. The tree is nil if there are problems.
func Inspect(file string, data []byte) (*Tree, []*Problem) {
	branches, problems := parseBranches(file, data)
	t := &Tree{branches: branches}
	if len(problems) == 0 {
		problems = t.routeProblems(file)
	}
	if len(problems) == 0 {
		return t, nil
	}
	setLines(problems, data)
	return nil, problems
}

// ParseBranches parses branches in INI form and checks each value on its own. Call
// Validate on the tree that they are put into to check the branches against each other.
func ParseBranches(file string, data []byte) (map[Branch]Values, error) {
	branches, problems := parseBranches(file, data)
	if len(problems) > 0 {
		setLines(problems[:1], data)
		return nil, problems[0]
	}
	return branches, nil
}

func parseBranches(file string, data []byte) (map[Branch]Values, []*Problem) {
	sections, err := ReadSections(file, data)
	var problem *Problem
	if errors.As(err, &problem) {
		return nil, []*Problem{problem}
	}
	var problems []*Problem
	add := func(section, key, value, reason string) {
		problems = append(problems, NewProblem(file, section, key, value, reason))
	}
	branches := map[Branch]Values{}
	for _, s := range sections {
		if s.Name == "" {
			add("", s.Values[0].Key, s.Values[0].Value, "setting is outside a section")
			continue
		}
		b, err := ParseBranch(s.Name)
		if err != nil {
			add(s.Name, "", "", err.Error())
			continue
		}
		if _, ok := branches[b]; ok {
			add(s.Name, "", "", "section occurs twice")
			continue
		}
		values := Values{}
		for _, v := range s.Values {
			if removedKeys[v.Key] {
				continue
			}
			if err := checkValue(b, v.Key, v.Value); err != nil {
				add(s.Name, v.Key, v.Value, err.Error())
			}
			values[v.Key] = v.Value
		}
		branches[b] = values
	}
	return branches, problems
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

// checkRoutes returns the first problem of the routes.
func (t *Tree) checkRoutes(file string) error {
	if problems := t.routeProblems(file); len(problems) > 0 {
		return problems[0]
	}
	return nil
}

// routeProblems returns the routes without a path or service, and those with the same path
// as another one.
func (t *Tree) routeProblems(file string) []*Problem {
	var problems []*Problem
	paths := map[string]Branch{}
	for _, b := range t.SortedBranches() {
		if b.Kind != KindRoute {
			continue
		}
		for _, key := range []string{"path", "service"} {
			if value, _ := t.Lookup(b, key); value == "" {
				problems = append(problems, NewProblem(file, b.String(), key, "", "route has no "+key))
			}
		}
		path, _ := t.Lookup(b, "path")
		if other, ok := paths[path]; ok && path != "" {
			problems = append(problems, NewProblem(file, b.String(), "path", path, "section \""+other.String()+"\" has the same path"))
			continue
		}
		paths[path] = b
	}
	return problems
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
