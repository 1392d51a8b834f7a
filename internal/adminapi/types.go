package adminapi

import (
	"net/http"
	"time"

	"github.com/teaselseam/teaselseam/internal/changelog"
	"github.com/teaselseam/teaselseam/internal/control"
	"github.com/teaselseam/teaselseam/internal/settings"
)

// Outcome says how far a change got.
type Outcome string

// Outcomes of a change.
const (
	OutcomeAccepted  Outcome = "accepted"
	OutcomeCommitted Outcome = "committed"
	OutcomeSpreading Outcome = "spreading"
)

// ChangeResponse answers a change.
type ChangeResponse struct {
	Outcome   Outcome              `json:"outcome"`
	Operation string               `json:"operation"`
	Seq       int64                `json:"seq,omitempty"` // zero while spreading
	Spread    control.SpreadReport `json:"spread"`
}

func (c ChangeResponse) status() int {
	if c.Outcome == OutcomeSpreading {
		return http.StatusAccepted
	}
	return http.StatusOK
}

// TreeResponse is the settings tree; INI or Branches is set.
type TreeResponse struct {
	Revision int64        `json:"revision"` // base for an edit
	INI      string       `json:"ini,omitempty"`
	Branches []BranchEdit `json:"branches,omitempty"`
}

// EditRequest changes some branches. INI holds branches with their new values;
// Branches does the same in JSON, with null values for branches to remove.
type EditRequest struct {
	Base      int64        `json:"base"`
	Operation string       `json:"operation,omitempty"`
	File      string       `json:"file,omitempty"` // name of the INI file, for messages
	INI       string       `json:"ini,omitempty"`
	Branches  []BranchEdit `json:"branches,omitempty"`
	// Whole means that the branches are the whole tree: others are removed.
	Whole bool `json:"whole,omitempty"`
}

// BranchEdit is one branch, named as in INI, for example "workspace demo".
type BranchEdit struct {
	Branch string          `json:"branch"`
	Values settings.Values `json:"values"`
}

// CheckResponse says what an edit would change now.
type CheckResponse struct {
	Revision int64             `json:"revision"`
	Changes  []settings.Change `json:"changes"`
}

// EffectiveResponse has the values in force for a branch.
type EffectiveResponse struct {
	Branch   string               `json:"branch"`
	Revision int64                `json:"revision"`
	Own      bool                 `json:"own"` // whether the branch is in the tree
	Values   []settings.Effective `json:"values"`
}

// IssueRequest issues a key.
type IssueRequest struct {
	Workspace string `json:"workspace"`
	Operation string `json:"operation,omitempty"`
}

// IssueResponse shows a new key, this once.
type IssueResponse struct {
	ChangeResponse
	Key    string `json:"key"`
	Digest string `json:"digest"`
}

// RevokeRequest revokes a key, given by itself, its digest or the start of that.
type RevokeRequest struct {
	Key       string `json:"key,omitempty"`
	Digest    string `json:"digest,omitempty"`
	Operation string `json:"operation,omitempty"`
}

// RevokeResponse answers a revocation.
type RevokeResponse struct {
	ChangeResponse
	Digest string `json:"digest"`
	// Known is false if this node does not know the key as issued.
	Known     bool   `json:"known"`
	Workspace string `json:"workspace,omitempty"`
}

// KeysResponse lists keys by workspace and digest.
type KeysResponse struct {
	Seq  int64 `json:"seq"`
	Keys []Key `json:"keys"`
}

// Key is an issued key.
type Key struct {
	Digest    string `json:"digest"` // the first digits, enough to revoke it
	Workspace string `json:"workspace"`
	Revoked   bool   `json:"revoked"`
}

// AuditResponse is one page of the audit trail, oldest first.
type AuditResponse struct {
	Entries []changelog.Entry `json:"entries"`
	// Next is the value of "after" for the next page; zero at the end. A page
	// may be empty although there is a next one.
	Next int64 `json:"next,omitempty"`
}

// StatusResponse is the fleet as this node sees it.
type StatusResponse struct {
	Node       string `json:"node"`
	Revision   int64  `json:"revision"`
	AppliedSeq int64  `json:"applied_seq"`
	Nodes      []Node `json:"nodes"`
	// Oldest is the live node with the lowest applied sequence number.
	Oldest             Oldest `json:"oldest"`
	PendingRevocations int    `json:"pending_revocations"`
	// Fresh and Evidence are absent if the node does not report them. Evidence
	// is the age in seconds of the newest information by data centre, and of
	// the platform under the name "platform".
	Fresh    *bool              `json:"fresh,omitempty"`
	Evidence map[string]float64 `json:"evidence_seconds,omitempty"`
}

// Node is one member of the fleet.
type Node struct {
	Name       string    `json:"name"`
	DataCentre string    `json:"data_centre"`
	Region     string    `json:"region"`
	Status     string    `json:"status"`
	Service    string    `json:"service,omitempty"`
	Draining   bool      `json:"draining"`
	AppliedSeq int64     `json:"applied_seq"`
	Started    time.Time `json:"started"`
}

// Oldest names a sequence number in force and a node that has it.
type Oldest struct {
	Seq  int64  `json:"seq"`
	Node string `json:"node"`
}

// QuarantineResponse lists quarantined requests and lifts.
type QuarantineResponse struct {
	Entries []QuarantineEntry    `json:"entries"`
	Lifts   map[string]time.Time `json:"lifts"`
}

// QuarantineEntry is a request that is refused everywhere, or is under suspicion.
type QuarantineEntry struct {
	Fingerprint string    `json:"fingerprint"`
	Deaths      int       `json:"deaths"` // backend servers that died while running it
	Newest      time.Time `json:"newest"` // of these deaths
	Refused     bool      `json:"refused"`
}

// LiftRequest lifts a quarantine entry.
type LiftRequest struct {
	Fingerprint string `json:"fingerprint"`
	Operation   string `json:"operation,omitempty"`
}

// OperationResponse is the result of an operation.
type OperationResponse struct {
	// Outcome is committed, or spreading for a revocation that this node has
	// yet to commit.
	Outcome   Outcome          `json:"outcome"`
	Operation string           `json:"operation"`
	Entry     *changelog.Entry `json:"entry,omitempty"`
	// InForce and Missing are the live nodes that have and have not applied it,
	// as this node knows.
	InForce []string `json:"in_force"`
	Missing []string `json:"missing"`
}
