package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/teaselseam/teaselseam/internal/adminapi"
	"github.com/teaselseam/teaselseam/internal/changelog"
	"github.com/teaselseam/teaselseam/internal/settings"
	"github.com/teaselseam/teaselseam/internal/workspace"
)

// printer writes results as text or JSON.
type printer struct {
	out  io.Writer
	json bool
}

// print writes a result as JSON, or calls text.
func (p *printer) print(v any, text func()) error {
	if !p.json {
		text()
		return nil
	}
	e := json.NewEncoder(p.out)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

// table writes rows with aligned columns.
func (p *printer) table(rows [][]string) {
	w := tabwriter.NewWriter(p.out, 0, 8, 2, ' ', 0)
	for _, row := range rows {
		fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	w.Flush()
}

func (p *printer) nodes(label string, names []string) {
	if len(names) > 0 {
		fmt.Fprintf(p.out, "%s: %s\n", label, strings.Join(names, ", "))
	}
}

// change writes how far a change got.
func (p *printer) change(c adminapi.ChangeResponse) {
	fmt.Fprintf(p.out, "%s: ", c.Outcome)
	if c.Seq > 0 {
		fmt.Fprintf(p.out, "sequence number %d, ", c.Seq)
	}
	fmt.Fprintf(p.out, "operation %s\n", c.Operation)
	p.nodes("in force on", c.Spread.Acked)
	p.nodes("not acknowledged by", c.Spread.Missing)
	if c.Outcome == adminapi.OutcomeSpreading {
		fmt.Fprintln(p.out, "the platform did not answer; the node keeps trying to commit")
	}
}

// entry writes an entry of the audit trail.
func (p *printer) entry(e changelog.Entry) {
	fmt.Fprintf(p.out, "%d %s %s %s: ", e.Seq, e.Time.UTC().Format(time.RFC3339), e.Actor, e.Operation)
	switch {
	case e.Settings != nil:
		fmt.Fprintf(p.out, "edit based on %d\n", e.Settings.Base)
		for _, c := range e.Settings.Branches {
			p.indented(c.String())
		}
	case e.KeyIssued != nil:
		fmt.Fprintf(p.out, "issued key %s for workspace %s\n", e.KeyIssued.Digest, e.KeyIssued.Workspace)
	case e.KeyRevoked != nil:
		fmt.Fprintf(p.out, "revoked key %s\n", e.KeyRevoked.Digest)
	case len(e.Ring) > 0:
		fmt.Fprintln(p.out, "new ring epoch")
	case e.QuarantineLift != "":
		fmt.Fprintf(p.out, "lifted quarantine of %s\n", e.QuarantineLift)
	}
}

func (p *printer) indented(text string) {
	for line := range strings.Lines(text) {
		fmt.Fprintf(p.out, "    %s", line)
	}
}

// failure writes an error, and both sides of a conflict.
func (p *printer) failure(err error) {
	var e *adminapi.Error
	if !errors.As(err, &e) {
		e = &adminapi.Error{Code: "error", Message: workspace.Redact(err.Error())}
	}
	_ = p.print(e, func() {
		fmt.Fprintln(p.out, "teaselseam:", e.Message)
		if e.Conflict != nil {
			for _, b := range e.Conflict.Branches {
				p.conflict(b)
			}
		}
		if e.Code == adminapi.CodeUnknownOutcome {
			fmt.Fprintf(p.out, "send the same command again with --operation %s\n", e.Operation)
		}
	})
}

func (p *printer) conflict(b changelog.BranchConflict) {
	fmt.Fprintf(p.out, "%s was changed at %d by %s (%s)\n", b.Branch, b.Changed.Seq, b.Changed.Actor, b.Changed.Time.UTC().Format(time.RFC3339))
	p.side("current", b.Current)
	p.side("yours", b.Yours)
}

func (p *printer) side(label string, values settings.Values) {
	if values == nil {
		fmt.Fprintf(p.out, "  %s: no such branch\n", label)
		return
	}
	fmt.Fprintf(p.out, "  %s:\n", label)
	for _, key := range slices.Sorted(maps.Keys(values)) {
		fmt.Fprintf(p.out, "    %s = %s\n", key, values[key])
	}
}
