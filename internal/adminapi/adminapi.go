// Package adminapi is the administration API of a node, JSON over HTTP.
//
// Every call names an operator by a bearer token and needs one right. A change
// is committed to the change log under an operation ID, which the client may
// choose; sending it again gives the first result. The answer to a change says
// how far it got:
//
//   - accepted: committed, and enough further nodes have it in force that it
//     outlives this node;
//   - committed: committed, but acknowledgements are missing;
//   - spreading: a revocation is in force on the listed nodes, and this node
//     keeps trying to commit it.
//
// Every other answer is an *Error with a code.
package adminapi

import (
	"context"
	"encoding/json"
	"log/slog"
	"net/http"
	"time"

	"github.com/teaselseam/teaselseam/internal/changelog"
	"github.com/teaselseam/teaselseam/internal/config"
	"github.com/teaselseam/teaselseam/internal/control"
	"github.com/teaselseam/teaselseam/internal/settings"
	"github.com/teaselseam/teaselseam/internal/store"
	"github.com/teaselseam/teaselseam/internal/workspace"
)

const (
	// maxEditBody bounds the body of an edit: a whole tree, escaped for JSON.
	maxEditBody = 2 * settings.MaxFileBytes
	// maxBody bounds every other body.
	maxBody = 64 << 10
	// commitTimeout bounds a commit with all its tries.
	commitTimeout = 10 * time.Second
	// spreadTimeout bounds how long an answer waits for acknowledgements.
	spreadTimeout = 3 * time.Second
)

// Control is what the API needs from the control state.
type Control interface {
	Snapshot() *control.Snapshot
	// Spread applies committed entries here and pushes them to all live members.
	Spread(ctx context.Context, entries ...changelog.Entry) control.SpreadReport
	// RevokeEarly revokes a key on all live members without the change log.
	RevokeEarly(ctx context.Context, d workspace.Digest) control.SpreadReport
}

// API serves operators. It is an http.Handler.
type API struct {
	mux         *http.ServeMux
	log         *slog.Logger
	operators   []operator
	control     Control
	changes     *store.Log
	revocations *revocations
	now         func() time.Time
}

// New returns the administration API. Close stops its background work.
func New(log *slog.Logger, operators []config.Operator, ctl Control, changes *store.Log) *API {
	a := &API{mux: http.NewServeMux(), log: log, operators: knownOperators(operators), control: ctl, changes: changes, now: time.Now}
	a.revocations = newRevocations(log, a.commitRevocation)
	a.handle("GET /v1/tree", config.RightRead, maxBody, a.tree)
	a.handle("POST /v1/tree/edit", config.RightEdit, maxEditBody, a.edit)
	a.handle("POST /v1/tree/check", config.RightRead, maxEditBody, a.check)
	a.handle("GET /v1/effective", config.RightRead, maxBody, a.effective)
	a.handle("GET /v1/keys", config.RightRead, maxBody, a.listKeys)
	a.handle("POST /v1/keys", config.RightKeys, maxBody, a.issueKey)
	a.handle("POST /v1/keys/revoke", config.RightKeys, maxBody, a.revokeKey)
	a.handle("GET /v1/audit", config.RightRead, maxBody, a.audit)
	a.handle("GET /v1/status", config.RightRead, maxBody, a.status)
	a.handle("GET /v1/quarantine", config.RightRead, maxBody, a.quarantine)
	a.handle("POST /v1/quarantine/lift", config.RightEdit, maxBody, a.lift)
	a.handle("GET /v1/operations/{id}", config.RightRead, maxBody, a.operation)
	a.mux.HandleFunc("/", func(w http.ResponseWriter, _ *http.Request) {
		respond(w, http.StatusNotFound, &Error{Code: CodeNotFound, Message: "no such method and path"})
	})
	return a
}

// Close stops trying to commit revocations that the platform has not taken yet.
func (a *API) Close() { a.revocations.close() }

// ServeHTTP implements http.Handler.
func (a *API) ServeHTTP(w http.ResponseWriter, r *http.Request) { a.mux.ServeHTTP(w, r) }

// handler serves one kind of call. The body it returns is sent as JSON.
type handler func(r *http.Request, operator string) (body any, err error)

func (a *API) handle(pattern, right string, bodyLimit int64, h handler) {
	a.mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
		r.Body = http.MaxBytesReader(w, r.Body, bodyLimit)
		name, err := a.authorize(r, right)
		var body any
		if err == nil {
			body, err = h(r, name)
		}
		if err != nil {
			e := errorOf(err)
			a.log.Info("administration call failed", "step", pattern, "operator", name, "code", e.Code, "operation", e.Operation, "error", e.Message)
			respond(w, e.status(), e)
			return
		}
		status := http.StatusOK
		if c, ok := body.(interface{ status() int }); ok {
			status = c.status()
		}
		respond(w, status, body)
	})
}

func respond(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "no-store")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // the client sees a short body
}

// state returns the node's folded state.
func (a *API) state() (*changelog.State, error) {
	s := a.control.Snapshot().State
	if s == nil {
		return nil, &Error{Code: CodeNotReady, Message: "node has not learned the change log yet"}
	}
	return s, nil
}

// commit commits an entry and spreads it. It goes on when the client goes away,
// so that a committed change always spreads.
func (a *API) commit(r *http.Request, operator, operation string, build store.Build) (store.Result, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.Context()), commitTimeout)
	defer cancel()
	at := a.now().UTC()
	return a.changes.Commit(ctx, operation, func(s *changelog.State) (changelog.Entry, error) {
		e, err := build(s)
		e.Actor, e.Time = operator, at
		return e, err
	})
}

// spread pushes a committed entry and says how far it got.
func (a *API) spread(ctx context.Context, e changelog.Entry) ChangeResponse {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), spreadTimeout)
	defer cancel()
	report := a.control.Spread(ctx, e)
	out := ChangeResponse{Outcome: OutcomeCommitted, Operation: e.Operation, Seq: e.Seq, Spread: report}
	if outlives(a.control.Snapshot(), report) {
		out.Outcome = OutcomeAccepted
	}
	a.log.Info("change", "step", "commit", "operator", e.Actor, "operation", e.Operation, "seq", e.Seq, "outcome", out.Outcome)
	return out
}
