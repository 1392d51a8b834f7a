package main

import (
	"bytes"
	"context"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/teaselseam/teaselseam/internal/standin"
)

// tool runs commands against a stand-in of the store.
type tool struct {
	t       *testing.T
	address string
}

func newTool(t *testing.T) *tool {
	t.Helper()
	server := httptest.NewServer(standin.NewStore().OperatorHandler())
	t.Cleanup(server.Close)
	return &tool{t, strings.TrimPrefix(server.URL, "http://")}
}

func (x *tool) run(args ...string) (code int, out, errOut string) {
	var o, e bytes.Buffer
	code = run(context.Background(), append([]string{"--store", x.address}, args...), strings.NewReader(""), &o, &e)
	return code, o.String(), e.String()
}

func (x *tool) file(text string) string {
	x.t.Helper()
	name := filepath.Join(x.t.TempDir(), "file")
	if err := os.WriteFile(name, []byte(text), 0o600); err != nil {
		x.t.Fatal(err)
	}
	return name
}

// TestEdit guards against a tool whose edit, diff, keys and audit trail disagree.
func TestEdit(t *testing.T) {
	x := newTool(t)
	file := x.file("[workspace guild]\nrate = 20\n[route order]\npath = /order\nservice = desk\n")
	if code, out, _ := x.run("tree", "diff", file); code != exitOK || !strings.Contains(out, "[route order]") {
		t.Errorf("diff: %d %s", code, out)
	}
	if code, _, e := x.run("--actor", "ann", "tree", "edit", file); code != exitOK {
		t.Fatalf("edit: %d %s", code, e)
	}
	if _, out, _ := x.run("tree", "show"); !strings.Contains(out, "# version 1") || !strings.Contains(out, "rate = 20") {
		t.Errorf("show: %s", out)
	}
	if _, out, _ := x.run("effective", "workspace guild"); !strings.Contains(out, "workspace guild") || !strings.Contains(out, "built-in default") {
		t.Errorf("effective: %s", out)
	}
	code, key, e := x.run("key", "issue", "guild")
	if code != exitOK || key == "" {
		t.Fatalf("issue: %d %s", code, e)
	}
	if _, out, _ := x.run("--output", "json", "audit"); !strings.Contains(out, `"actor": "ann"`) || strings.Contains(out, strings.TrimSpace(key)) {
		t.Errorf("audit: %s", out)
	}
	if code, _, e := x.run("key", "revoke", strings.TrimSpace(key)); code != exitOK {
		t.Errorf("revoke: %d %s", code, e)
	}
	if _, out, _ := x.run("key", "list"); strings.Contains(out, "guild") {
		t.Errorf("list after the revocation: %s", out)
	}
}

// TestExitCodes guards against scripts that take a refused change for a done one.
func TestExitCodes(t *testing.T) {
	x := newTool(t)
	for _, c := range []struct {
		args []string
		want int
	}{
		{[]string{"--help"}, exitOK},
		{[]string{"no-such-command"}, exitUsage},
		{[]string{"tree", "edit", x.file("[route order]\npath = /order\n")}, exitUsage},
		{[]string{"tree", "check", x.file("[workspace w]\nrate = many\n")}, exitUsage},
		{[]string{"key", "revoke", "unknown"}, exitUsage},
		{[]string{"--store", "127.0.0.1:1", "tree", "show"}, exitError},
	} {
		if code, out, e := x.run(c.args...); code != c.want {
			t.Errorf("%v: exit code %d, want %d: %s%s", c.args, code, c.want, out, e)
		}
	}
}

// TestFollow guards against lines of a request that are missing or out of order.
func TestFollow(t *testing.T) {
	x := newTool(t)
	a := x.file("time=2026-01-01T00:00:02Z msg=answered id=r1\ntime=2026-01-01T00:00:00Z msg=other id=r2\n")
	b := x.file("time=2026-01-01T00:00:01Z msg=refused id=r1 reason=overload\n")
	_, out, _ := x.run("follow", "r1", a, b)
	want := "time=2026-01-01T00:00:01Z msg=refused id=r1 reason=overload\ntime=2026-01-01T00:00:02Z msg=answered id=r1\n"
	if out != want {
		t.Errorf("got %q", out)
	}
}
