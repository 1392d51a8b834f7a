package main

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net/url"
	"slices"
	"strconv"
	"time"

	"github.com/teaselseam/teaselseam/internal/adminapi"
	"github.com/teaselseam/teaselseam/internal/changelog"
)

type statusCmd struct{}

// Run shows the fleet.
func (statusCmd) Run(ctx context.Context, c *client, p *printer) error {
	var out adminapi.StatusResponse
	if err := c.get(ctx, "/v1/status", nil, &out); err != nil {
		return err
	}
	return p.print(out, func() {
		fmt.Fprintf(p.out, "node %s, tree revision %d, applied %d\n", out.Node, out.Revision, out.AppliedSeq)
		fmt.Fprintf(p.out, "oldest in force: %d on %s\n", out.Oldest.Seq, out.Oldest.Node)
		if out.Fresh != nil {
			fmt.Fprintf(p.out, "fresh: %t\n", *out.Fresh)
		}
		for _, name := range slices.Sorted(maps.Keys(out.Evidence)) {
			fmt.Fprintf(p.out, "evidence from %s: %.1f s old\n", name, out.Evidence[name])
		}
		if out.PendingRevocations > 0 {
			fmt.Fprintf(p.out, "revocations waiting for the platform: %d\n", out.PendingRevocations)
		}
		rows := [][]string{{"NODE", "DATA CENTRE", "STATUS", "SERVICE", "DRAINING", "APPLIED"}}
		for _, n := range out.Nodes {
			rows = append(rows, []string{n.Name, n.DataCentre, n.Status, n.Service, strconv.FormatBool(n.Draining), strconv.FormatInt(n.AppliedSeq, 10)})
		}
		p.table(rows)
	})
}

type auditCmd struct {
	From   time.Time `help:"Only entries at or after this time (2026-01-02T15:04:05Z)."`
	To     time.Time `help:"Only entries before this time."`
	Branch string    `help:"Only edits of this branch, such as \"workspace demo\"."`
	After  int64     `help:"Only entries after this sequence number."`
	Limit  int       `help:"Largest number of entries." default:"100"`
}

func (a *auditCmd) query(after int64, limit int) url.Values {
	q := url.Values{"after": {strconv.FormatInt(after, 10)}, "limit": {strconv.Itoa(limit)}}
	if a.Branch != "" {
		q.Set("branch", a.Branch)
	}
	if !a.From.IsZero() {
		q.Set("from", a.From.Format(time.RFC3339))
	}
	if !a.To.IsZero() {
		q.Set("to", a.To.Format(time.RFC3339))
	}
	return q
}

// Run prints the audit trail, oldest entry first.
func (a *auditCmd) Run(ctx context.Context, c *client, p *printer) error {
	const page = 500 // the largest that the API gives
	if a.Limit < 1 || a.After < 0 {
		return usageError{errors.New("--limit is at least 1 and --after at least 0")}
	}
	all := adminapi.AuditResponse{Entries: []changelog.Entry{}, Next: a.After}
	for more := true; more && len(all.Entries) < a.Limit; more = all.Next != 0 {
		var out adminapi.AuditResponse
		if err := c.get(ctx, "/v1/audit", a.query(all.Next, min(page, a.Limit-len(all.Entries))), &out); err != nil {
			return err
		}
		all.Entries = append(all.Entries, out.Entries...)
		all.Next = out.Next
	}
	return p.print(all, func() {
		for _, e := range all.Entries {
			p.entry(e)
		}
		if all.Next != 0 {
			fmt.Fprintf(p.out, "there may be more: --after %d\n", all.Next)
		}
	})
}

type quarantineCmd struct {
	List quarantineListCmd `cmd:"" help:"List requests that are refused, or under suspicion, because backend servers died running them."`
	Lift quarantineLiftCmd `cmd:"" help:"Let a quarantined request run again."`
}

type quarantineListCmd struct{}

// Run lists the quarantine.
func (quarantineListCmd) Run(ctx context.Context, c *client, p *printer) error {
	var out adminapi.QuarantineResponse
	if err := c.get(ctx, "/v1/quarantine", nil, &out); err != nil {
		return err
	}
	return p.print(out, func() {
		rows := [][]string{{"FINGERPRINT", "DEATHS", "NEWEST", "REFUSED"}}
		for _, e := range out.Entries {
			rows = append(rows, []string{e.Fingerprint, strconv.Itoa(e.Deaths), e.Newest.Format(time.RFC3339), strconv.FormatBool(e.Refused)})
		}
		p.table(rows)
	})
}

type quarantineLiftCmd struct {
	operationFlag
	Fingerprint string `arg:"" help:"Fingerprint as listed."`
}

// Run lifts an entry.
func (q *quarantineLiftCmd) Run(ctx context.Context, c *client, p *printer) error {
	in := adminapi.LiftRequest{Fingerprint: q.Fingerprint, Operation: q.id()}
	var out adminapi.ChangeResponse
	if err := c.change(ctx, "/v1/quarantine/lift", in.Operation, in, &out); err != nil {
		return err
	}
	return p.print(out, func() { p.change(out) })
}

type operationCmd struct {
	ID string `arg:"" help:"Operation ID."`
}

// Run shows the result of an operation.
func (o *operationCmd) Run(ctx context.Context, c *client, p *printer) error {
	var out adminapi.OperationResponse
	if err := c.get(ctx, "/v1/operations/"+url.PathEscape(o.ID), nil, &out); err != nil {
		return err
	}
	return p.print(out, func() {
		fmt.Fprintf(p.out, "%s: operation %s\n", out.Outcome, out.Operation)
		if out.Entry == nil {
			return
		}
		p.entry(*out.Entry)
		p.nodes("in force on", out.InForce)
		p.nodes("not yet on", out.Missing)
	})
}
