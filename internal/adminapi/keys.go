package adminapi

import (
	"cmp"
	"context"
	"net/http"
	"slices"

	"github.com/teaselseam/teaselseam/internal/changelog"
	"github.com/teaselseam/teaselseam/internal/settings"
	"github.com/teaselseam/teaselseam/internal/workspace"
)

// shownDigits is the part of a digest that is listed.
const shownDigits = 16

func (a *API) listKeys(_ *http.Request, _ string) (any, error) {
	s, err := a.state()
	if err != nil {
		return nil, err
	}
	keys := a.control.Snapshot().Keys // with early revocations
	out := KeysResponse{Seq: s.Seq, Keys: []Key{}}
	for d, name := range keys.Issued() {
		out.Keys = append(out.Keys, Key{Digest: d.String()[:shownDigits], Workspace: name, Revoked: keys.Revoked(d)})
	}
	slices.SortFunc(out.Keys, func(a, b Key) int {
		return cmp.Or(cmp.Compare(a.Workspace, b.Workspace), cmp.Compare(a.Digest, b.Digest))
	})
	return out, nil
}

func (a *API) issueKey(r *http.Request, operator string) (any, error) {
	var in IssueRequest
	if err := decode(r, &in); err != nil {
		return nil, err
	}
	operation, err := operationID(in.Operation)
	if err != nil {
		return nil, err
	}
	if !settings.ValidName(in.Workspace) {
		return nil, badRequest("workspace is not a valid name")
	}
	key := workspace.GenerateKey()
	digest := workspace.DigestOf(key)
	result, err := a.commit(r, operator, operation, func(*changelog.State) (changelog.Entry, error) {
		return changelog.Entry{KeyIssued: &changelog.KeyChange{Digest: digest, Workspace: in.Workspace}}, nil
	})
	if err != nil {
		return nil, withOperation(err, operation)
	}
	issued := result.Entry.KeyIssued
	switch {
	case issued == nil || issued.Workspace != in.Workspace:
		return nil, reused(operation)
	case issued.Digest != digest:
		return nil, &Error{
			Code: CodeAlreadyIssued, Operation: operation,
			Message: "operation issued the key with digest " + issued.Digest.String() + ", which is not shown again; revoke it and issue another",
		}
	}
	return IssueResponse{ChangeResponse: a.spread(r.Context(), result.Entry), Key: key, Digest: digest.String()}, nil
}

func (a *API) revokeKey(r *http.Request, operator string) (any, error) {
	var in RevokeRequest
	if err := decode(r, &in); err != nil {
		return nil, err
	}
	operation, err := operationID(in.Operation)
	if err != nil {
		return nil, err
	}
	keys := a.control.Snapshot().Keys
	digest, err := in.digest(keys)
	if err != nil {
		return nil, err
	}
	out := RevokeResponse{Digest: digest.String()}
	out.Workspace, out.Known = keys.Issued()[digest]
	out.ChangeResponse, err = a.revoke(r, revocation{
		operation: operation, operator: operator, digest: digest, workspace: out.Workspace, at: a.now().UTC(),
	})
	return out, err
}

func (in *RevokeRequest) digest(keys *workspace.Keys) (workspace.Digest, error) {
	switch {
	case (in.Key == "") == (in.Digest == ""):
		return workspace.Digest{}, badRequest("give either a key or a digest")
	case in.Key != "":
		return workspace.DigestOf(in.Key), nil
	}
	d, err := keys.Resolve(in.Digest)
	if err != nil {
		return d, badRequest("%v", err)
	}
	return d, nil
}

// revoke revokes a key on all reachable nodes first, and then for good.
func (a *API) revoke(r *http.Request, v revocation) (ChangeResponse, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.Context()), spreadTimeout)
	early := a.control.RevokeEarly(ctx, v.digest)
	cancel()
	ctx, cancel = context.WithTimeout(context.WithoutCancel(r.Context()), commitTimeout)
	defer cancel()
	out, err := a.commitRevocation(ctx, v)
	if err == nil || !isUncertain(err) {
		return out, err
	}
	if !a.revocations.add(v) {
		return ChangeResponse{}, &Error{
			Code: CodeUnknownOutcome, Operation: v.operation,
			Message: "key is revoked on the nodes reached, but too many revocations wait for the platform; ask again with this operation ID",
		}
	}
	a.log.Warn("revocation waits for the platform", "step", "revoke", "operator", v.operator, "operation", v.operation, "digest", v.digest.String(), "error", err)
	return ChangeResponse{Outcome: OutcomeSpreading, Operation: v.operation, Spread: early}, nil
}

// commitRevocation commits one revocation and spreads its entry.
func (a *API) commitRevocation(ctx context.Context, v revocation) (ChangeResponse, error) {
	result, err := a.changes.Commit(ctx, v.operation, func(*changelog.State) (changelog.Entry, error) {
		return changelog.Entry{
			Actor: v.operator, Time: v.at,
			KeyRevoked: &changelog.KeyChange{Digest: v.digest, Workspace: v.workspace},
		}, nil
	})
	if err != nil {
		return ChangeResponse{}, withOperation(err, v.operation)
	}
	if revoked := result.Entry.KeyRevoked; revoked == nil || revoked.Digest != v.digest {
		return ChangeResponse{}, reused(v.operation)
	}
	return a.spread(ctx, result.Entry), nil
}
