package adminapi

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/teaselseam/teaselseam/internal/changelog"
	"github.com/teaselseam/teaselseam/internal/control"
	"github.com/teaselseam/teaselseam/internal/membership"
	"github.com/teaselseam/teaselseam/internal/platform"
	"github.com/teaselseam/teaselseam/internal/workspace"
)

// What the control state may offer besides Control. Each is optional.
type (
	freshness interface {
		Fresh(now time.Time) bool
	}
	// evidence tells the age of the newest information by data centre, and of
	// the platform under the name "platform".
	evidence interface {
		Evidence(now time.Time) map[string]time.Duration
	}
	// quarantineList tells what is quarantined or under suspicion.
	quarantineList interface {
		QuarantineEntries(now time.Time) []QuarantineEntry
	}
)

// neededAcks is the number of further nodes that make a change outlive the node
// that committed it.
const neededAcks = 2

// others returns the members besides this node that are not known to be gone.
func others(snap *control.Snapshot) []membership.Member {
	return slices.DeleteFunc(slices.Clone(snap.Members), func(m membership.Member) bool {
		return m.ID == snap.Self.ID || m.Status == membership.Dead || m.Status == membership.Left
	})
}

// outlives reports whether a change that was acknowledged as in the report
// survives the loss of this node: two further nodes have it, in other data
// centres as far as there are nodes in others.
func outlives(snap *control.Snapshot, report control.SpreadReport) bool {
	var all, remote, ackedAll, ackedRemote int
	for _, m := range others(snap) {
		isRemote := m.DataCentre != snap.Self.DataCentre
		acked := slices.Contains(report.Acked, m.ID)
		all += count(true)
		remote += count(isRemote)
		ackedAll += count(acked)
		ackedRemote += count(acked && isRemote)
	}
	return ackedAll >= min(neededAcks, all) && ackedRemote >= min(neededAcks, remote)
}

func count(b bool) int {
	if b {
		return 1
	}
	return 0
}

var statusNames = map[membership.Status]string{
	membership.Alive: "alive", membership.Suspect: "suspect", membership.Dead: "dead", membership.Left: "left",
}

func (a *API) status(_ *http.Request, _ string) (any, error) {
	snap := a.control.Snapshot()
	out := StatusResponse{
		Node: snap.Self.ID, AppliedSeq: snap.Self.AppliedSeq, Nodes: []Node{},
		Oldest:             Oldest{Seq: snap.Self.AppliedSeq, Node: snap.Self.ID},
		PendingRevocations: a.revocations.len(),
	}
	if snap.State != nil {
		out.Revision = snap.State.TreeSeq
	}
	for _, m := range append([]membership.Member{snap.Self}, others(snap)...) {
		out.Nodes = append(out.Nodes, Node{
			Name: m.ID, DataCentre: m.DataCentre, Region: m.Region, Status: statusNames[m.Status],
			Service: m.Service, Draining: m.Draining, AppliedSeq: m.AppliedSeq, Started: m.Started,
		})
		if m.AppliedSeq < out.Oldest.Seq {
			out.Oldest = Oldest{Seq: m.AppliedSeq, Node: m.ID}
		}
	}
	now := a.now()
	if c, ok := a.control.(freshness); ok {
		fresh := c.Fresh(now)
		out.Fresh = &fresh
	}
	if c, ok := a.control.(evidence); ok {
		out.Evidence = map[string]float64{}
		for name, age := range c.Evidence(now) {
			out.Evidence[name] = age.Seconds()
		}
	}
	return out, nil
}

func (a *API) quarantine(_ *http.Request, _ string) (any, error) {
	s, err := a.state()
	if err != nil {
		return nil, err
	}
	c, ok := a.control.(quarantineList)
	if !ok {
		return nil, &Error{Code: CodeNotSupported, Message: "node does not report its quarantine"}
	}
	return QuarantineResponse{Entries: c.QuarantineEntries(a.now()), Lifts: s.Lifts}, nil
}

// maxFingerprint bounds a quarantine fingerprint, in bytes.
const maxFingerprint = 256

func (a *API) lift(r *http.Request, operator string) (any, error) {
	var in LiftRequest
	if err := decode(r, &in); err != nil {
		return nil, err
	}
	operation, err := operationID(in.Operation)
	if err != nil {
		return nil, err
	}
	if in.Fingerprint == "" || len(in.Fingerprint) > maxFingerprint || workspace.ContainsKey(in.Fingerprint) {
		return nil, badRequest("fingerprint is empty, longer than %d bytes, or a key", maxFingerprint)
	}
	result, err := a.commit(r, operator, operation, func(*changelog.State) (changelog.Entry, error) {
		return changelog.Entry{QuarantineLift: in.Fingerprint}, nil
	})
	if err != nil {
		return nil, withOperation(err, operation)
	}
	if result.Entry.QuarantineLift != in.Fingerprint {
		return nil, reused(operation)
	}
	return a.spread(r.Context(), result.Entry), nil
}

// operation tells the result of an operation from the change log, never from
// memory, except that a revocation may still be waiting here.
func (a *API) operation(r *http.Request, _ string) (any, error) {
	id, err := operationID(r.PathValue("id"))
	if err != nil {
		return nil, err
	}
	e, err := a.findOperation(r.Context(), id)
	if errors.Is(err, platform.ErrNotFound) || err != nil && a.revocations.waits(id) {
		if a.revocations.waits(id) {
			return OperationResponse{Outcome: OutcomeSpreading, Operation: id, InForce: []string{}, Missing: []string{}}, nil
		}
		return nil, &Error{Code: CodeNotFound, Message: "no entry of the change log has this operation ID", Operation: id}
	}
	if err != nil {
		return nil, withOperation(err, id)
	}
	out := OperationResponse{Outcome: OutcomeCommitted, Operation: id, Entry: &e, InForce: []string{}, Missing: []string{}}
	snap := a.control.Snapshot()
	for _, m := range append([]membership.Member{snap.Self}, others(snap)...) {
		if m.AppliedSeq >= e.Seq {
			out.InForce = append(out.InForce, m.ID)
		} else {
			out.Missing = append(out.Missing, m.ID)
		}
	}
	return out, nil
}

func (a *API) findOperation(ctx context.Context, id string) (changelog.Entry, error) {
	seq, err := a.changes.Operation(ctx, id)
	if err != nil {
		return changelog.Entry{}, err
	}
	e, err := a.changes.Entry(ctx, seq)
	if errors.Is(err, platform.ErrNotFound) {
		return e, fmt.Errorf("entry %d of the operation is missing", seq)
	}
	return e, err
}
