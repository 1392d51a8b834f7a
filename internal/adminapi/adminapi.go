// Package adminapi is the administration API of a node, JSON over HTTP.
package adminapi

import (
	"context"
	"encoding/json"
	"log/slog"
	"net/http"
	"time"

	"github.com/google/uuid"

	"github.com/teaselseam/teaselseam/internal/changelog"
	"github.com/teaselseam/teaselseam/internal/config"
	"github.com/teaselseam/teaselseam/internal/control"
	"github.com/teaselseam/teaselseam/internal/settings"
	"github.com/teaselseam/teaselseam/internal/store"
	"github.com/teaselseam/teaselseam/internal/workspace"
)

// Control is what the API needs from the control state.
type Control interface {
	Snapshot() *control.Snapshot
	Learn(ctx context.Context, entries ...changelog.Entry)
}

// API serves operators. It is an http.Handler.
type API struct {
	*http.ServeMux
	log       *slog.Logger
	operators []config.Operator
	control   Control
	changes   *store.Log
}

// New returns the administration API.
func New(log *slog.Logger, operators []config.Operator, ctl Control, changes *store.Log) *API {
	a := &API{ServeMux: http.NewServeMux(), log: log, operators: operators, control: ctl, changes: changes}
	a.HandleFunc("POST /v1/keys", a.issueKey)
	a.HandleFunc("POST /v1/keys/revoke", a.revokeKey)
	a.HandleFunc("PUT /v1/tree", a.putTree)
	a.HandleFunc("GET /v1/status", a.status)
	return a
}

func (a *API) commit(ctx context.Context, e changelog.Entry) (changelog.Entry, error) {
	e.Operation = uuid.NewString()
	e.Time = time.Now()
	head, err := a.changes.Head(ctx)
	if err != nil {
		return e, err
	}
	e, err = a.changes.Append(ctx, head, e)
	if err == nil {
		a.control.Learn(ctx, e)
	}
	return e, err
}

func (a *API) issueKey(w http.ResponseWriter, r *http.Request) {
	var in struct{ Workspace string }
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	key := workspace.GenerateKey()
	e, err := a.commit(r.Context(), changelog.Entry{KeyIssued: &changelog.KeyChange{Digest: workspace.DigestOf(key), Workspace: in.Workspace}})
	respond(w, map[string]any{"key": key, "seq": e.Seq}, err)
}

func (a *API) revokeKey(w http.ResponseWriter, r *http.Request) {
	var in struct{ Key string }
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e, err := a.commit(r.Context(), changelog.Entry{KeyRevoked: &changelog.KeyChange{Digest: workspace.DigestOf(in.Key)}})
	respond(w, map[string]any{"seq": e.Seq}, err)
}

func (a *API) putTree(w http.ResponseWriter, r *http.Request) {
	var in struct{ INI string }
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	tree, err := settings.Parse("request", []byte(in.INI))
	if err != nil {
		http.Error(w, err.Error(), http.StatusUnprocessableEntity)
		return
	}
	change := &changelog.SettingsChange{}
	for b, v := range tree.Branches() {
		change.Branches = append(change.Branches, changelog.BranchChange{Branch: b, New: v})
	}
	e, err := a.commit(r.Context(), changelog.Entry{Settings: change})
	respond(w, map[string]any{"seq": e.Seq}, err)
}

func (a *API) status(w http.ResponseWriter, _ *http.Request) {
	snap := a.control.Snapshot()
	respond(w, map[string]any{"self": snap.Self, "members": snap.Members}, nil)
}

func respond(w http.ResponseWriter, v any, err error) {
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // the client sees a short body
}
