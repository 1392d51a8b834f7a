package main

import (
	"bytes"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"

	"github.com/teaselseam/teaselseam/internal/configcheck"
	"github.com/teaselseam/teaselseam/internal/operator"
	"github.com/teaselseam/teaselseam/internal/settings"
	"github.com/teaselseam/teaselseam/internal/workspace"
	"github.com/teaselseam/teaselseam/platform"
)

type configCmd struct {
	Check configCheckCmd `cmd:"" help:"Show what is wrong with a configuration and what it would change, without sending it."`
}

type configCheckCmd struct {
	File   string `arg:"" type:"existingfile" help:"Configuration in JSON, or a complete settings tree in INI."`
	Strict bool   `help:"Fail on warnings as well."`
}

// Run checks the file and compares it with the configuration in force. The store is not
// needed: without it, the comparison is left out.
func (c *configCheckCmd) Run(s *session) error {
	data, err := os.ReadFile(c.File)
	if err != nil {
		return err
	}
	r := &checkReport{File: c.File}
	inForce, err := s.client.InForce(s.ctx)
	switch {
	case err != nil:
		r.NotCompared = "the store cannot be read: " + workspace.Redact(err.Error())
	case inForce.Configuration == nil:
		r.NotCompared = "the store has no configuration yet"
	}
	updated, ok := configcheck.Config{}, true
	if isJSON(data) {
		updated = r.readConfiguration(data, inForce)
	} else if updated, ok = r.readTree(data, inForce); !ok {
		r.unreadable = true
	}
	if ok {
		r.Findings = configcheck.Check(updated)
	}
	switch {
	case r.NotCompared != "":
	case r.unreadable:
		r.NotCompared = "nodes cannot read the file"
	default:
		r.compare(updated, inForce)
	}
	r.Findings = configcheck.Sorted(r.Findings)
	return r.print(s, c.Strict)
}

// isJSON reports whether a file holds a JSON object. A settings tree cannot begin with a
// brace.
func isJSON(data []byte) bool { return bytes.HasPrefix(bytes.TrimSpace(data), []byte("{")) }

// checkReport is the result of a check.
type checkReport struct {
	File     string                `json:"file"`
	OK       bool                  `json:"ok"`
	Findings []configcheck.Finding `json:"findings"`
	// NotCompared tells why the file was not compared with the configuration in force.
	NotCompared string               `json:"notCompared,omitempty"`
	InForce     uint64               `json:"versionInForce,omitempty"`
	Changes     []configcheck.Change `json:"changes,omitempty"`

	compared, unreadable bool
}

// readConfiguration decodes a configuration in JSON. The settings tree is that of the
// store, if it has one.
func (r *checkReport) readConfiguration(data []byte, inForce *operator.InForce) configcheck.Config {
	read := platform.InspectConfiguration(data)
	r.unreadable = slices.ContainsFunc(read.Faults, func(f platform.ConfigurationFault) bool { return !f.Ignored })
	c := configcheck.Config{Configuration: read.Configuration, Faults: read.Faults, Origin: configcheck.JSONOrigin(r.File, read.Lines)}
	if inForce != nil && inForce.HasTree {
		c.Tree, c.TreeOrigin = inForce.Tree, configcheck.Origin{File: "tree in the store"}
	}
	return c
}

// readTree decodes a settings tree; ok is false if it is invalid. The keys are those of the store, if it could be read.
func (r *checkReport) readTree(data []byte, inForce *operator.InForce) (c configcheck.Config, ok bool) {
	tree, problems := settings.Inspect(r.File, data)
	if len(problems) > 0 {
		r.Findings = configcheck.FromProblems(problems)
		return c, false
	}
	fleet := &operator.FleetConfig{Tree: tree}
	if inForce != nil {
		fleet.Version, fleet.Keys = inForce.Version+1, inForce.Keys
	}
	origin := configcheck.TreeOrigin(r.File, settings.ReadLines(data))
	return configcheck.Config{
		Configuration: fleet.NodeConfiguration(), Tree: tree, Origin: origin, TreeOrigin: origin,
		KeysSeparate: true, KeysUnknown: inForce == nil,
	}, true
}

func (r *checkReport) compare(updated configcheck.Config, inForce *operator.InForce) {
	old := configcheck.Config{Configuration: inForce.Configuration}
	if updated.Tree != nil {
		old.Tree = inForce.Tree
	}
	r.compared, r.InForce = true, inForce.Version
	r.Findings = append(r.Findings, configcheck.CheckVersion(updated, old)...)
	r.Changes = configcheck.Compare(old, updated)
}

// print writes the report. It returns an error if the check failed.
func (r *checkReport) print(s *session, strict bool) error {
	failed := configcheck.Count(r.Findings, configcheck.Error)
	warnings := configcheck.Count(r.Findings, configcheck.Warning)
	r.OK = failed == 0 && (warnings == 0 || !strict)
	if r.Findings == nil {
		r.Findings = []configcheck.Finding{}
	}
	if err := s.output.print(r, func() { r.printText(s.output) }); err != nil {
		return err
	}
	if r.OK {
		return nil
	}
	return fmt.Errorf("%w: %s: errors: %d, warnings: %d", operator.ErrInvalid, r.File, failed, warnings)
}

func (r *checkReport) printText(p *printer) {
	var rows [][]string
	for _, f := range r.Findings {
		where := f.File
		if f.Line > 0 {
			where = fmt.Sprintf("%s:%d", f.File, f.Line)
		}
		rows = append(rows, []string{string(f.Severity), where, f.Entry, f.Problem, f.Remedy})
	}
	if len(rows) > 0 {
		p.table("SEVERITY WHERE ENTRY PROBLEM REMEDY", rows)
	}
	switch {
	case r.NotCompared != "":
		fmt.Fprintln(p.out, "not compared with the version in force:", r.NotCompared)
	case r.compared && len(r.Changes) == 0:
		fmt.Fprintf(p.out, "no difference from version %d in force\n", r.InForce)
	case r.compared:
		fmt.Fprintf(p.out, "changes from version %d in force (! takes something away from callers):\n", r.InForce)
		printChanges(p.out, r.Changes)
	}
	if r.OK {
		fmt.Fprintln(p.out, "ok")
	}
}

func printChanges(out io.Writer, changes []configcheck.Change) {
	for _, c := range changes {
		fmt.Fprintf(out, "%s %s %s\n", mark(c.TakesAway), c.Kind, c.Entry)
		for _, f := range c.Fields {
			fmt.Fprintf(out, "%s   %s: %s -> %s\n", mark(f.TakesAway), f.Field, orDash(f.Old), orDash(f.New))
		}
	}
}

func mark(takesAway bool) string {
	if takesAway {
		return "!"
	}
	return " "
}

func orDash(s string) string {
	if strings.TrimSpace(s) == "" {
		return "-"
	}
	return s
}
