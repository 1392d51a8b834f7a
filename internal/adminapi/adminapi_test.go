package adminapi

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/goleak"

	"github.com/teaselseam/teaselseam/internal/changelog"
	"github.com/teaselseam/teaselseam/internal/config"
	"github.com/teaselseam/teaselseam/internal/control"
	"github.com/teaselseam/teaselseam/internal/membership"
	"github.com/teaselseam/teaselseam/internal/platform"
	"github.com/teaselseam/teaselseam/internal/platform/standin"
	"github.com/teaselseam/teaselseam/internal/settings"
	"github.com/teaselseam/teaselseam/internal/store"
	"github.com/teaselseam/teaselseam/internal/workspace"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fakeControl is a node among others that acknowledge everything, or nothing.
type fakeControl struct {
	mu     sync.Mutex
	snap   control.Snapshot
	silent bool
	early  []workspace.Digest
}

func newFakeControl(members ...membership.Member) *fakeControl {
	c := &fakeControl{}
	c.snap = control.Snapshot{State: changelog.NewState(), Keys: workspace.NewKeys(), Self: membership.Member{ID: "n1", DataCentre: "dc1", Status: membership.Alive}}
	c.snap.Members = append([]membership.Member{c.snap.Self}, members...)
	return c
}

func (c *fakeControl) Snapshot() *control.Snapshot {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.snap
	return &s
}

func (c *fakeControl) report() (r control.SpreadReport) {
	for _, m := range c.snap.Members {
		if c.silent && m.ID != c.snap.Self.ID {
			r.Missing = append(r.Missing, m.ID)
		} else {
			r.Acked = append(r.Acked, m.ID)
		}
	}
	return r
}

func (c *fakeControl) Spread(_ context.Context, entries ...changelog.Entry) control.SpreadReport {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, e := range entries {
		if next, err := c.snap.State.Apply(e); err == nil {
			c.snap.State = next
		}
	}
	c.snap.Keys = c.snap.State.Keys.Revoke(c.early...)
	c.snap.Self.AppliedSeq = c.snap.State.Seq
	return c.report()
}

func (c *fakeControl) RevokeEarly(_ context.Context, d workspace.Digest) control.SpreadReport {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.early = append(c.early, d)
	c.snap.Keys = c.snap.Keys.Revoke(d)
	return c.report()
}

// fixture is an API with three operators, named after their rights.
type fixture struct {
	t     *testing.T
	api   *API
	ctl   *fakeControl
	table *standin.Memory
	seen  lockedBuffer // logs, and responses other than those that issue keys
}

type lockedBuffer struct {
	mu sync.Mutex
	bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.Buffer.Write(p)
}

func newFixture(t *testing.T, members ...membership.Member) *fixture {
	f := &fixture{t: t, ctl: newFakeControl(members...), table: standin.NewMemory()}
	var operators []config.Operator
	for _, right := range config.Rights {
		digest := sha256.Sum256([]byte("token-" + right))
		operators = append(operators, config.Operator{Name: right, TokenDigest: hex.EncodeToString(digest[:]), Rights: []string{right}})
	}
	f.api = New(slog.New(slog.NewTextHandler(&f.seen, nil)), operators, f.ctl, store.NewLog(f.table))
	t.Cleanup(f.api.Close)
	return f
}

// call sends a request as the operator with a right, and decodes the answer.
func (f *fixture) call(right, method, path string, in, out any) int {
	f.t.Helper()
	body, ok := in.(string)
	if !ok {
		data, err := json.Marshal(in)
		if err != nil {
			f.t.Fatal(err)
		}
		body = string(data)
	}
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	r.Header.Set("Authorization", "Bearer token-"+right)
	w := httptest.NewRecorder()
	f.api.ServeHTTP(w, r)
	if _, issues := out.(*IssueResponse); !issues {
		f.seen.Write(w.Body.Bytes())
	}
	if out != nil {
		if err := json.Unmarshal(w.Body.Bytes(), out); err != nil {
			f.t.Fatalf("%s %s: %v in %s", method, path, err, w.Body)
		}
	}
	return w.Code
}

func (f *fixture) edit(base int64, operation, ini string, out any) int {
	return f.call("edit", "POST", "/v1/tree/edit", EditRequest{Base: base, Operation: operation, INI: ini}, out)
}

// TestRights guards against a call that an operator without its right can make.
func TestRights(t *testing.T) {
	f := newFixture(t)
	for path, right := range map[string]string{
		"GET /v1/tree": "read", "POST /v1/tree/check": "read", "GET /v1/effective": "read", "GET /v1/keys": "read", "GET /v1/audit": "read",
		"GET /v1/status": "read", "GET /v1/quarantine": "read", "GET /v1/operations/x": "read",
		"POST /v1/tree/edit": "edit", "POST /v1/quarantine/lift": "edit", "POST /v1/keys": "keys", "POST /v1/keys/revoke": "keys",
	} {
		method, url, _ := strings.Cut(path, " ")
		for _, as := range []string{"read", "edit", "keys", "wrong"} {
			var e Error
			status := f.call(as, method, url, "", &e)
			refused := status == http.StatusForbidden || status == http.StatusUnauthorized
			if refused != (as != right) || (as == "wrong") != (e.Code == CodeUnauthenticated) {
				t.Errorf("%s as %s: got %d %s", path, as, status, e.Code)
			}
		}
	}
}

// TestEdit guards against edits that overwrite each other, take effect twice, or
// are answered without what the operator needs to go on.
func TestEdit(t *testing.T) {
	f := newFixture(t)
	var ok, again ChangeResponse
	if f.edit(0, "op1", "[workspace a]\nrate = 5\n", &ok) != 200 || ok.Outcome != OutcomeAccepted || ok.Seq != 1 {
		t.Fatalf("got %+v", ok)
	}
	if f.edit(0, "op1", "[workspace a]\nrate = 5\n", &again) != 200 || again.Seq != 1 {
		t.Errorf("same operation again: got %+v", again)
	}
	for _, c := range []struct {
		base         int64
		op, ini      string
		code         Code
		status       int
		hasOperation bool
	}{
		{0, "op1", "[workspace a]\nrate = 6\n", CodeOperationReused, 409, true},
		{0, "op2", "[workspace a]\nrate = 6\n", CodeConflict, 409, true},
		{7, "op2", "[workspace a]\nrate = 6\n", CodeUnknownBase, 409, true},
		{1, "op2", "[workspace a]\nrate = x\n", CodeInvalidSetting, 422, false},
		{1, "op2", "[route a]\npath = /a\n", CodeInvalidSetting, 422, true},
		{1, "op 2", "[workspace a]\n", CodeBadRequest, 400, false},
		{1, "op2", "", CodeBadRequest, 400, false},
		{1, "op2", strings.Repeat("#", maxEditBody), CodeBodyTooLarge, 413, false},
	} {
		var e Error
		if status := f.edit(c.base, c.op, c.ini, &e); status != c.status || e.Code != c.code || (e.Operation != "") != c.hasOperation {
			t.Errorf("%.40q at %d as %s: got %d %+v", c.ini, c.base, c.op, status, e)
		}
	}
	var conflict Error
	f.edit(0, "op3", "[workspace a]\nrate = 6\n", &conflict)
	if b := conflict.Conflict.Branches[0]; b.Current["rate"] != "5" || b.Yours["rate"] != "6" || b.Changed.Actor != "edit" {
		t.Errorf("conflict shows %+v", b)
	}
	var check CheckResponse
	f.call("read", "POST", "/v1/tree/check", EditRequest{INI: "[workspace b]\n", Whole: true}, &check)
	if len(check.Changes) != 2 || check.Changes[0].New != nil || check.Changes[1].New == nil || f.ctl.Snapshot().State.Seq != 1 {
		t.Errorf("check of a whole tree: got %+v", check)
	}
	var effective EffectiveResponse
	f.call("read", "GET", "/v1/effective?kind=workspace&name=a/b", "", &effective)
	if e := effective.Values[0]; effective.Own || e != (settings.Effective{Key: "rate", Value: "5", Unit: "calls/s", Origin: "workspace a"}) {
		t.Errorf("effective: got %+v", effective)
	}
}

// TestAcceptedNeedsFurtherNodes guards against an answer that promises more than
// holds: a change that only this node, or one data centre, has is not accepted.
func TestAcceptedNeedsFurtherNodes(t *testing.T) {
	member := func(id, dc string) membership.Member {
		return membership.Member{ID: id, DataCentre: dc, Status: membership.Alive}
	}
	snap := newFakeControl(member("n2", "dc1"), member("n3", "dc1"), member("n4", "dc2"), member("n5", "dc3")).Snapshot()
	for _, c := range []struct {
		acked string
		want  bool
	}{{"n1", false}, {"n1 n2 n3", false}, {"n1 n2 n4", false}, {"n1 n4 n5", true}, {"n4 n5", true}} {
		if got := outlives(snap, control.SpreadReport{Acked: strings.Fields(c.acked)}); got != c.want {
			t.Errorf("acked by %s: got %v", c.acked, got)
		}
	}
	f := newFixture(t, member("n2", "dc1"))
	f.ctl.silent = true
	var out ChangeResponse
	if f.edit(0, "", "[workspace a]\n", &out); out.Outcome != OutcomeCommitted || len(out.Spread.Missing) != 1 {
		t.Errorf("got %+v", out)
	}
	var status StatusResponse
	if f.call("read", "GET", "/v1/status", "", &status); status.Oldest != (Oldest{Seq: 0, Node: "n2"}) {
		t.Errorf("got %+v", status)
	}
}

// TestRevocationDuringOutage guards against a revocation that is lost, waits for
// the platform before it takes effect, or is committed twice.
func TestRevocationDuringOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		var issued IssueResponse
		f.call("keys", "POST", "/v1/keys", IssueRequest{Workspace: "a"}, &issued)
		f.table.SetFaults(standin.Faults{Down: true})
		var out RevokeResponse
		for range 2 {
			status := f.call("keys", "POST", "/v1/keys/revoke", RevokeRequest{Digest: issued.Digest[:shownDigits], Operation: "op"}, &out)
			if status != http.StatusAccepted || out.Outcome != OutcomeSpreading || !out.Known || out.Workspace != "a" {
				t.Fatalf("got %d %+v", status, out)
			}
		}
		if _, v := f.ctl.Snapshot().Keys.Check(workspace.DigestOf(issued.Key)); v != workspace.Revoked {
			t.Error("key still works while the platform is down")
		}
		var e Error
		if f.edit(1, "", "[workspace a]\n", &e); e.Code != CodeUnavailable {
			t.Errorf("edit while the platform is down: got %+v", e)
		}
		var op OperationResponse
		f.call("read", "GET", "/v1/operations/op", "", &op)
		if op.Outcome != OutcomeSpreading {
			t.Errorf("got %+v", op)
		}
		time.Sleep(time.Hour)
		f.table.SetFaults(standin.Faults{LoseResponses: true})
		time.Sleep(2 * maxRetry)
		f.table.SetFaults(standin.Faults{})
		var audit AuditResponse
		f.call("read", "GET", "/v1/audit", "", &audit)
		if len(audit.Entries) != 2 || audit.Entries[1].KeyRevoked == nil || f.api.revocations.len() != 0 {
			t.Errorf("got %+v, %d waiting", audit.Entries, f.api.revocations.len())
		}
		f.api.Close()
	})
}

// TestAuditPages guards against entries that are skipped or repeated between
// pages, and against filters that let others through.
func TestAuditPages(t *testing.T) {
	f := newFixture(t)
	for i := range 7 {
		f.edit(int64(i), "", fmt.Sprintf("[workspace w%d]\nrate = %d\n", i%2, i), nil)
	}
	for query, want := range map[string]int{"limit=2": 7, "limit=2&branch=workspace+w1": 3, "to=2001-01-01T00:00:00Z": 0, "from=2001-01-01T00:00:00Z": 7} {
		var seqs []int64
		next := int64(0)
		for page := 0; page == 0 || next != 0; page++ {
			var out AuditResponse
			f.call("read", "GET", fmt.Sprintf("/v1/audit?after=%d&%s", next, query), "", &out)
			for _, e := range out.Entries {
				seqs = append(seqs, e.Seq)
			}
			next = out.Next
		}
		for i := 1; i < len(seqs); i++ {
			if seqs[i] <= seqs[i-1] {
				t.Errorf("%s: got %v", query, seqs)
			}
		}
		if len(seqs) != want {
			t.Errorf("%s: got %v, want %d entries", query, seqs, want)
		}
	}
}

// TestNoKeyIsShownTwice guards against a key in a log line, an error, the audit
// trail, or a response other than the one that issues it, wherever an operator
// pastes the key.
func TestNoKeyIsShownTwice(t *testing.T) {
	f := newFixture(t)
	var issued IssueResponse
	f.call("keys", "POST", "/v1/keys", IssueRequest{Workspace: "a", Operation: "op"}, &issued)
	key := issued.Key
	if !strings.HasPrefix(key, "tsk_") {
		t.Fatalf("got %+v", issued)
	}
	var again Error
	if f.call("keys", "POST", "/v1/keys", IssueRequest{Workspace: "a", Operation: "op"}, &again); again.Code != CodeAlreadyIssued {
		t.Errorf("got %+v", again)
	}
	for _, ini := range []string{
		"[workspace " + key + "]\n", "[" + key + "]\n", key + " = 1\n", key, "[workspace a]\nrate = " + key, "[workspace a]\n" + key + " = 1\n",
		"[route a]\npath = /" + key + "\nservice = s\n", "[route a]\npath = /a\nservice = s\nworkspaces = a, " + key + "\n",
	} {
		f.edit(1, "", ini, nil)
		f.call("read", "POST", "/v1/tree/check", EditRequest{INI: ini, File: key}, nil)
	}
	f.call("edit", "POST", "/v1/tree/edit", EditRequest{Base: 1, Branches: []BranchEdit{{"workspace a", settings.Values{key: key}}, {key, nil}}}, nil)
	for _, path := range []string{"/v1/keys", "/v1/keys/revoke", "/v1/quarantine/lift", "/v1/tree/edit"} {
		for _, right := range []string{"keys", "edit"} {
			f.call(right, "POST", path, map[string]string{"workspace": key, "operation": key}, nil)
			f.call(right, "POST", path, map[string]string{"workspace": key}, nil)
			f.call(right, "POST", path, map[string]string{"digest": key, "fingerprint": key}, nil)
			f.call(right, "POST", path, map[string]string{"fingerprint": key}, nil)
			f.call(right, "POST", path, map[string]any{key: key}, nil)
			f.call(right, "POST", path, key, nil)
		}
	}
	for _, path := range []string{"/v1/audit?branch=" + key, "/v1/effective?kind=workspace&name=" + key, "/v1/operations/" + key, "/v1/" + key} {
		f.call("read", "GET", path, "", nil)
	}
	f.call("keys", "POST", "/v1/keys/revoke", RevokeRequest{Key: key}, nil)
	for _, path := range []string{"/v1/audit", "/v1/keys", "/v1/status", "/v1/tree", "/v1/operations/op"} {
		f.call("read", "GET", path, "", nil)
	}
	if i := strings.Index(f.seen.String(), key[4:]); i >= 0 {
		t.Errorf("key shown in ...%s", f.seen.String()[max(0, i-200):i+60])
	}
	if _, v := f.ctl.Snapshot().Keys.Check(workspace.DigestOf(key)); v != workspace.Revoked {
		t.Error("key was not revoked")
	}
}

// silentTable takes reads, and answers no write.
type silentTable struct {
	*standin.Memory
	healthy bool
}

func (s *silentTable) Commit(ctx context.Context, tx platform.Transaction) error {
	if !s.healthy {
		return context.DeadlineExceeded
	}
	return s.Memory.Commit(ctx, tx)
}

// TestUnknownOutcome guards against an edit that is reported as failed although
// it may take effect, and against a key that is shown although it may not be
// issued.
func TestUnknownOutcome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		table := &silentTable{Memory: f.table}
		f.api.changes = store.NewLog(table)
		var e, k Error
		if status := f.edit(0, "op", "[workspace a]\n", &e); status != http.StatusGatewayTimeout || e.Code != CodeUnknownOutcome || e.Operation != "op" {
			t.Errorf("got %d %+v", status, e)
		}
		f.call("keys", "POST", "/v1/keys", IssueRequest{Workspace: "a"}, &k)
		if k.Code != CodeUnknownOutcome || k.Operation == "" || strings.Contains(f.seen.String(), "tsk_") {
			t.Errorf("got %+v", k)
		}
		table.healthy = true
		var out ChangeResponse
		if f.edit(0, "op", "[workspace a]\n", &out); out.Outcome != OutcomeAccepted || out.Seq != 1 {
			t.Errorf("asked again: got %+v", out)
		}
	})
}
