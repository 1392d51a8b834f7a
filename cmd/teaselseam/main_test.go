package main

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"

	"github.com/teaselseam/teaselseam/internal/adminapi"
	"github.com/teaselseam/teaselseam/internal/changelog"
	"github.com/teaselseam/teaselseam/internal/config"
	"github.com/teaselseam/teaselseam/internal/control"
	"github.com/teaselseam/teaselseam/internal/membership"
	"github.com/teaselseam/teaselseam/internal/platform/standin"
	"github.com/teaselseam/teaselseam/internal/store"
	"github.com/teaselseam/teaselseam/internal/workspace"
)

// soleNode is the control of a fleet of one node.
type soleNode struct {
	mu    sync.Mutex
	state *changelog.State
}

func (n *soleNode) Snapshot() *control.Snapshot {
	n.mu.Lock()
	defer n.mu.Unlock()
	self := membership.Member{ID: "n1", DataCentre: "dc1", Status: membership.Alive, AppliedSeq: n.state.Seq}
	return &control.Snapshot{State: n.state, Keys: n.state.Keys, Self: self, Members: []membership.Member{self}}
}

func (n *soleNode) Spread(_ context.Context, entries ...changelog.Entry) control.SpreadReport {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, e := range entries {
		if next, err := n.state.Apply(e); err == nil {
			n.state = next
		}
	}
	return control.SpreadReport{Acked: []string{"n1"}}
}

func (n *soleNode) RevokeEarly(context.Context, workspace.Digest) control.SpreadReport {
	return control.SpreadReport{Acked: []string{"n1"}}
}

// startNode serves the API over loopback and returns its address and platform.
func startNode(t *testing.T) (address string, table *standin.Memory) {
	var operators []config.Operator
	for name, rights := range map[string][]string{"ann": config.Rights, "bob": {config.RightRead}} {
		digest := sha256.Sum256([]byte("token-of-" + name))
		operators = append(operators, config.Operator{Name: name, TokenDigest: hex.EncodeToString(digest[:]), Rights: rights})
	}
	table = standin.NewMemory()
	api := adminapi.New(slog.New(slog.DiscardHandler), operators, &soleNode{state: changelog.NewState()}, store.NewLog(table))
	server := httptest.NewServer(api)
	t.Cleanup(func() {
		server.Close()
		api.Close()
	})
	return server.Listener.Addr().String(), table
}

// teaselseam runs one command and returns the exit code and both outputs.
func teaselseam(stdin string, args ...string) (code int, out, errs string) {
	var o, e bytes.Buffer
	code = run(context.Background(), args, streams{strings.NewReader(stdin), &o, &e})
	return code, o.String(), e.String()
}

func writeFile(t *testing.T, text string) string {
	file := filepath.Join(t.TempDir(), "edit.ini")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}

// TestCommands guards against a command that does not do what its page says,
// against wrong exit codes, and against a token or key in an output.
func TestCommands(t *testing.T) {
	address, _ := startNode(t)
	t.Setenv("TEASELSEAM_ADDRESS", address)
	t.Setenv("TEASELSEAM_TOKEN", "token-of-ann")
	file := writeFile(t, "# revision 0\n[workspace demo]\nrate = 50\n")
	wrong := writeFile(t, "[workspace demo]\nrate = fast\n")
	code, key, _ := teaselseam("", "key", "issue", "demo")
	if code != exitOK || !strings.HasPrefix(key, "tsk_") || strings.Count(key, "\n") != 1 {
		t.Fatalf("key issue: %d %q", code, key)
	}
	for _, c := range []struct {
		args  string // separated by spaces; _ stands for a space within one
		code  int
		shows string // in the standard output, or in the errors if code is not 0
	}{
		{"tree edit FILE --operation op1", exitOK, "accepted: sequence number 2, operation op1\nin force on: n1"},
		{"tree edit FILE --operation op1", exitOK, "accepted: sequence number 2"},
		{"tree edit FILE --base 1", exitConflict, "workspace demo was changed at 2 by ann"},
		{"tree edit FILE --base 1 --output json", exitConflict, `"code": "conflict"`},
		{"tree edit WRONG", exitUsage, "no base revision"},
		{"tree edit WRONG --base 2", exitError, `key "rate", value "fast": not a number`},
		{"tree edit FILE --base 2 --token token-of-bob", exitRefused, "operator bob lacks the right edit"},
		{"tree show --token wrong", exitRefused, "token is not known"},
		{"tree show --token=", exitRefused, "no token"},
		{"tree show", exitOK, "# revision 2\n[workspace demo]\nrate = 50\n"},
		{"tree show workspace_demo --output json", exitOK, `"revision": 2`},
		{"tree show workspace_other", exitError, "not in the tree"},
		{"tree diff FILE --whole", exitOK, ""},
		{"tree diff FILE --remove workspace_demo", exitError, "occurs twice"},
		{"tree check FILE", exitOK, "ok: revision 2, branches that would change: 0"},
		{"tree check WRONG", exitError, "not a number"},
		{"effective workspace demo", exitOK, "rate            50        calls/s  workspace demo"},
		{"effective planet demo", exitUsage, "must be one of"},
		{"key list --workspace demo", exitOK, "demo"},
		{"key revoke", exitUsage, "either a digest or --key-stdin"},
		{"key revoke 12", exitError, "at least 8"},
		{"key revoke --key-stdin", exitOK, "of workspace demo\naccepted: sequence number 3"},
		{"key list", exitOK, "true"},
		{"quarantine list", exitError, "does not report its quarantine"},
		{"quarantine lift f1", exitOK, "accepted: sequence number 4"},
		{"operation op1", exitOK, "committed: operation op1"},
		{"operation op9", exitError, "no entry of the change log has this operation ID"},
		{"audit --branch workspace_demo", exitOK, "op1: edit based on 0\n    +[workspace demo]\n    +rate = 50\n"},
		{"audit --limit 1", exitOK, "there may be more: --after 1"},
		{"audit --limit 0", exitUsage, "at least 1"},
		{"status", exitOK, "oldest in force: 4 on n1"},
		{"status --output yaml", exitUsage, "must be one of"},
		{"status --address 127.0.0.1:1", exitError, "refused"},
		{"status --address localhost:1", exitUsage, "not an IP number"},
		{"--help", exitOK, "Exit codes: 0 ok"},
	} {
		var args []string
		for _, a := range strings.Fields(c.args) {
			a = strings.NewReplacer("FILE", file, "WRONG", wrong, "_", " ").Replace(a)
			args = append(args, a)
		}
		code, out, errs := teaselseam(key, args...)
		shown := out
		if c.code != exitOK {
			shown = errs
		}
		if code != c.code || !strings.Contains(shown, c.shows) {
			t.Errorf("%s: exit code %d\n%s%s", c.args, code, out, errs)
		}
		if strings.Contains(out+errs, "token-of") || strings.Contains(out+errs, strings.TrimSpace(key)) {
			t.Errorf("%s: shows a secret:\n%s%s", c.args, out, errs)
		}
	}
}

// TestUnknownOutcome guards against an operator who is told that an edit failed
// although it may have taken effect: the platform loses responses and then goes
// down, or the node goes away before it answers.
func TestUnknownOutcome(t *testing.T) {
	address, table := startNode(t)
	t.Setenv("TEASELSEAM_TOKEN", "token-of-ann")
	t.Setenv("TEASELSEAM_ADDRESS", address)
	file := writeFile(t, "[workspace demo]\n")
	table.SetFaults(standin.Faults{LoseResponses: true})
	if code, out, errs := teaselseam("", "tree", "edit", file, "--base", "0", "--operation", "op1"); code != exitOK {
		t.Errorf("lost response that can be read back: %d %s%s", code, out, errs)
	}
	breaking := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if c, _, err := w.(http.Hijacker).Hijack(); err == nil {
			_ = c.(*net.TCPConn).Close()
		}
	}))
	defer breaking.Close()
	code, _, errs := teaselseam("", "--output", "json", "--address", breaking.Listener.Addr().String(), "tree", "edit", file, "--base", "0", "--operation", "op2")
	var e adminapi.Error
	if err := json.Unmarshal([]byte(errs), &e); err != nil || code != exitUnknown || e.Operation != "op2" {
		t.Errorf("no answer: %d %s", code, errs)
	}
}
