package main

import (
	"context"
	"errors"
	"fmt"
	"net/url"
	"os"
	"regexp"
	"strconv"

	"github.com/teaselseam/teaselseam/internal/adminapi"
	"github.com/teaselseam/teaselseam/internal/settings"
)

type treeCmd struct {
	Show  treeShowCmd  `cmd:"" help:"Print the tree, or some branches, as INI with the revision."`
	Edit  treeEditCmd  `cmd:"" help:"Give the branches in a file the values in it."`
	Diff  treeDiffCmd  `cmd:"" help:"Show what an edit with this file would change."`
	Check treeCheckCmd `cmd:"" help:"Check a file against the current tree without changing anything."`
}

// revisionLine is written above a tree and read back as the base of an edit.
var revisionLine = regexp.MustCompile(`(?m)^# revision ([0-9]+)$`)

type treeShowCmd struct {
	Branches []string `arg:"" optional:"" name:"branch" help:"Branch such as \"workspace demo\"."`
}

// Run prints the tree.
func (t *treeShowCmd) Run(ctx context.Context, c *client, p *printer) error {
	var out adminapi.TreeResponse
	if err := c.get(ctx, "/v1/tree", url.Values{"format": {"json"}}, &out); err != nil {
		return err
	}
	tree := settings.NewTree()
	for _, e := range out.Branches {
		b, err := settings.ParseBranch(e.Branch)
		if err != nil {
			return err
		}
		tree = tree.With(b, e.Values)
	}
	if len(t.Branches) > 0 {
		var err error
		if tree, err = only(tree, t.Branches); err != nil {
			return err
		}
	}
	shown := adminapi.TreeResponse{Revision: out.Revision, INI: string(settings.Render(tree))}
	return p.print(shown, func() {
		fmt.Fprintf(p.out, "# revision %d\n%s", shown.Revision, shown.INI)
	})
}

// only returns the named branches of a tree.
func only(tree *settings.Tree, names []string) (*settings.Tree, error) {
	out := settings.NewTree()
	for _, name := range names {
		b, err := settings.ParseBranch(name)
		if err != nil {
			return nil, usageError{err}
		}
		values, ok := tree.Branch(b)
		if !ok {
			return nil, fmt.Errorf("branch %q is not in the tree", name)
		}
		out = out.With(b, values)
	}
	return out, nil
}

// treeFile is a file with branches.
type treeFile struct {
	File   string   `arg:"" type:"existingfile" help:"INI file with the branches to change."`
	Remove []string `help:"Branch to remove, such as \"workspace demo\"." placeholder:"BRANCH" sep:"none"`
}

func (f *treeFile) request() (adminapi.EditRequest, error) {
	data, err := os.ReadFile(f.File)
	if err != nil {
		return adminapi.EditRequest{}, err
	}
	if len(data) > settings.MaxFileBytes {
		return adminapi.EditRequest{}, fmt.Errorf("%s has %d bytes, at most %d are allowed", f.File, len(data), settings.MaxFileBytes)
	}
	in := adminapi.EditRequest{File: f.File, INI: string(data)}
	for _, b := range f.Remove {
		in.Branches = append(in.Branches, adminapi.BranchEdit{Branch: b})
	}
	return in, nil
}

type treeEditCmd struct {
	treeFile
	operationFlag
	Base int64 `help:"Revision that the edit is based on. Default: the line \"# revision N\" in the file." default:"-1" placeholder:"N"`
}

// Run edits the tree.
func (t *treeEditCmd) Run(ctx context.Context, c *client, p *printer) error {
	in, err := t.request()
	if err != nil {
		return err
	}
	in.Base = t.Base
	if in.Base < 0 {
		line := revisionLine.FindStringSubmatch(in.INI)
		if line == nil {
			return usageError{errors.New("no base revision: give --base, or keep the line \"# revision N\" that tree show prints")}
		}
		if in.Base, err = strconv.ParseInt(line[1], 10, 64); err != nil {
			return usageError{err}
		}
	}
	in.Operation = t.id()
	var out adminapi.ChangeResponse
	if err := c.change(ctx, "/v1/tree/edit", in.Operation, in, &out); err != nil {
		return err
	}
	return p.print(out, func() { p.change(out) })
}

// wholeFlag makes a file stand for the whole tree.
type wholeFlag struct {
	Whole bool `help:"The file is the whole tree: branches that it lacks count as removed."`
}

func checkFile(ctx context.Context, c *client, f *treeFile, whole bool) (out adminapi.CheckResponse, err error) {
	in, err := f.request()
	if err != nil {
		return out, err
	}
	in.Whole = whole
	return out, c.post(ctx, "/v1/tree/check", in, &out)
}

type treeDiffCmd struct {
	treeFile
	wholeFlag
}

// Run shows the difference to the current tree.
func (t *treeDiffCmd) Run(ctx context.Context, c *client, p *printer) error {
	out, err := checkFile(ctx, c, &t.treeFile, t.Whole)
	if err != nil {
		return err
	}
	return p.print(out, func() {
		for _, change := range out.Changes {
			fmt.Fprint(p.out, change)
		}
	})
}

type treeCheckCmd struct {
	treeFile
	wholeFlag
}

// Run checks a file.
func (t *treeCheckCmd) Run(ctx context.Context, c *client, p *printer) error {
	out, err := checkFile(ctx, c, &t.treeFile, t.Whole)
	if err != nil {
		return err
	}
	return p.print(out, func() {
		fmt.Fprintf(p.out, "ok: revision %d, branches that would change: %d\n", out.Revision, len(out.Changes))
	})
}

type effectiveCmd struct {
	Kind string `arg:"" enum:"workspace,route,service" help:"workspace, route or service."`
	Name string `arg:"" help:"Name; it need not have a branch of its own."`
}

// Run shows effective values.
func (e *effectiveCmd) Run(ctx context.Context, c *client, p *printer) error {
	var out adminapi.EffectiveResponse
	if err := c.get(ctx, "/v1/effective", url.Values{"kind": {e.Kind}, "name": {e.Name}}, &out); err != nil {
		return err
	}
	return p.print(out, func() {
		rows := [][]string{{"SETTING", "VALUE", "UNIT", "ORIGIN"}}
		for _, v := range out.Values {
			rows = append(rows, []string{v.Key, v.Value, v.Unit, v.Origin})
		}
		p.table(rows)
	})
}
