package main

import (
	"fmt"
	"os"
	"slices"

	"github.com/teaselseam/teaselseam/internal/configcheck"
	"github.com/teaselseam/teaselseam/internal/operator"
	"github.com/teaselseam/teaselseam/internal/settings"
	"github.com/teaselseam/teaselseam/internal/workspace"
)

type treeCmd struct {
	Show  treeShowCmd  `cmd:"" help:"Print the tree as INI."`
	Edit  treeEditCmd  `cmd:"" help:"Replace the values of the branches that a file lists."`
	Diff  treeDiffCmd  `cmd:"" help:"Show what an edit with this file would change."`
	Check treeCheckCmd `cmd:"" help:"Validate a file as a complete tree, without contacting the store."`
}

type treeShowCmd struct{}

// Run prints the tree.
func (t *treeShowCmd) Run(s *session) error {
	f, err := s.client.FleetConfig(s.ctx)
	if err != nil {
		return err
	}
	shown := struct {
		Version uint64 `json:"version"`
		INI     string `json:"ini"`
	}{f.Version, string(settings.Render(f.Tree))}
	return s.output.print(shown, func() { fmt.Fprintf(s.output.out, "# version %d\n%s", shown.Version, shown.INI) })
}

// treeFile holds the arguments of commands that replace or remove branches.
type treeFile struct {
	File   string   `arg:"" type:"existingfile" help:"INI file with the branches to change."`
	Remove []string `help:"Branch to remove, such as \"workspace demo\"." placeholder:"BRANCH" sep:"none"`
}

func (f *treeFile) branches() (map[settings.Branch]settings.Values, error) {
	data, err := os.ReadFile(f.File)
	if err != nil {
		return nil, err
	}
	branches, err := settings.ParseBranches(f.File, data)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", operator.ErrInvalid, err)
	}
	for _, name := range f.Remove {
		b, err := settings.ParseBranch(name)
		if err != nil {
			return nil, fmt.Errorf("%w: %w", operator.ErrInvalid, err)
		}
		branches[b] = nil
	}
	return branches, nil
}

type treeEditCmd struct{ treeFile }

// Run applies the edit.
func (t *treeEditCmd) Run(s *session) error {
	branches, err := t.branches()
	if err != nil {
		return err
	}
	return s.apply(func(f *operator.FleetConfig) (string, error) {
		return fmt.Sprintf("edited %d branches of the tree", len(branches)), f.Edit(branches)
	})
}

// apply makes a change and prints the version that it produced.
func (s *session) apply(edit func(*operator.FleetConfig) (string, error)) error {
	c, err := s.client.Apply(s.ctx, edit)
	if err != nil {
		return err
	}
	return s.output.print(c, func() { fmt.Fprintf(s.output.out, "version %d: %s\n", c.Version, c.Summary) })
}

type treeDiffCmd struct{ treeFile }

// Run prints the changes that the edit would make, without making them.
func (t *treeDiffCmd) Run(s *session) error {
	branches, err := t.branches()
	if err != nil {
		return err
	}
	f, err := s.client.FleetConfig(s.ctx)
	if err != nil {
		return err
	}
	before := f.Tree
	if err := f.Edit(branches); err != nil {
		return err
	}
	changes := settings.Diff(before, f.Tree)
	return s.output.print(changes, func() {
		for _, c := range changes {
			fmt.Fprintf(s.output.out, "[%s]\n- %v\n+ %v\n", c.Branch, c.Old, c.New)
		}
	})
}

type treeCheckCmd struct {
	File string `arg:"" type:"existingfile"`
}

// Run checks a file as a complete tree.
func (t *treeCheckCmd) Run(s *session) error {
	data, err := os.ReadFile(t.File)
	if err != nil {
		return err
	}
	r := &checkReport{File: t.File}
	if c, ok := r.readTree(data, nil); ok {
		r.Findings = configcheck.Check(c)
	}
	return r.print(s, false)
}

type effectiveCmd struct {
	Branch string `arg:"" help:"Branch such as \"workspace demo\"."`
}

// Run prints the effective values of a branch.
func (e *effectiveCmd) Run(s *session) error {
	b, err := settings.ParseBranch(e.Branch)
	if err != nil {
		return fmt.Errorf("%w: %w", operator.ErrInvalid, err)
	}
	f, err := s.client.FleetConfig(s.ctx)
	if err != nil {
		return err
	}
	values := f.Tree.Effective(b)
	return s.output.print(values, func() {
		var rows [][]string
		for _, v := range values {
			rows = append(rows, []string{v.Key, v.Value, v.Unit, v.Origin})
		}
		s.output.table("SETTING VALUE UNIT ORIGIN", rows)
	})
}

type keyCmd struct {
	Issue  keyIssueCmd  `cmd:"" help:"Issue a new key to a workspace and print it."`
	Revoke keyRevokeCmd `cmd:"" help:"Revoke a key."`
	List   keyListCmd   `cmd:"" help:"List keys by their digests."`
}

type keyIssueCmd struct {
	Workspace string `arg:""`
}

// Run issues a key and prints it. It is not shown again: the list of keys has only
// digests, and the audit trail the first digits of the digest.
func (k *keyIssueCmd) Run(s *session) error {
	var key string
	c, err := s.client.Apply(s.ctx, func(f *operator.FleetConfig) (string, error) {
		var err error
		key, err = f.IssueKey(k.Workspace)
		return fmt.Sprintf("issued key %.8s to workspace %s", workspace.DigestOf(key), k.Workspace), err
	})
	if err != nil {
		return err
	}
	return s.output.print(map[string]any{"version": c.Version, "key": key}, func() { fmt.Fprintln(s.output.out, key) })
}

type keyRevokeCmd struct {
	Key string `arg:"" help:"The key, or its full digest."`
}

// Run revokes a key.
func (k *keyRevokeCmd) Run(s *session) error {
	return s.apply(func(f *operator.FleetConfig) (string, error) {
		name, err := f.RevokeKey(k.Key)
		return "revoked a key of workspace " + name, err
	})
}

type keyListCmd struct{}

// Run lists the digests of all keys by workspace.
func (k *keyListCmd) Run(s *session) error {
	f, err := s.client.FleetConfig(s.ctx)
	if err != nil {
		return err
	}
	var rows [][]string
	for name, keys := range f.Keys {
		for _, key := range keys {
			rows = append(rows, []string{name, workspace.DigestOf(key).String()})
		}
	}
	slices.SortFunc(rows, slices.Compare[[]string])
	return s.output.print(rows, func() { s.output.table("WORKSPACE DIGEST", rows) })
}

type auditCmd struct{}

// Run prints the audit trail.
func (a *auditCmd) Run(s *session) error {
	changes, err := s.client.Audit(s.ctx)
	if err != nil {
		return err
	}
	return s.output.print(changes, func() {
		var rows [][]string
		for _, c := range changes {
			rows = append(rows, []string{fmt.Sprint(c.Version), c.At.UTC().Format("2006-01-02T15:04:05Z"), c.Actor, c.Summary})
		}
		s.output.table("VERSION AT ACTOR CHANGE", rows)
	})
}
