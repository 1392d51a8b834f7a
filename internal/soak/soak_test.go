package soak

import (
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"
)

// seeds are run by TestShortSoak. A seed that reveals a fault is added with the cause.
var seeds = []struct {
	seed    uint64
	planned bool
	cause   string
}{
	{seed: 1, cause: "short run"},
	{seed: 2, planned: true, cause: "short run, planned operations only"},
}

// TestBackendReplacedAtOnce guards against a backend server that never serves because the
// listener of the one before it was still open when it started.
func TestBackendReplacedAtOnce(t *testing.T) {
	f, err := newFleet(Config{Nodes: 1}, t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	n := f.nodes[0]
	intercept := func(http.ResponseWriter, *http.Request) bool { return false }
	n.newBackend(intercept)
	defer f.close()
	for range 200 {
		n.crashBackend()
		n.newBackend(intercept)
	}
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(2 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		resp, err := client.Get("http://" + n.addresses["server"] + "/")
		if err == nil {
			resp.Body.Close()
			break
		}
		if time.Now().After(end) {
			t.Fatal(err)
		}
	}
	if logs, err := os.ReadFile(f.logs.Name()); err != nil || len(logs) > 0 {
		t.Errorf("log has %q, %v; want no failure to listen", logs, err)
	}
}

// TestShortSoak checks the guarantees to callers and backend servers with real
// node processes, signals and link faults.
func TestShortSoak(t *testing.T) {
	daemon := filepath.Join(t.TempDir(), "teaselseamd")
	if out, err := exec.Command("go", "build", "-o", daemon, "../../cmd/teaselseamd").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	for _, s := range seeds {
		findings, err := Run(Config{
			Daemon: daemon, Seed: s.seed, Nodes: 4, FaultDuration: 8 * time.Second, ParallelFaults: 2, Dir: t.TempDir(), PlannedOnly: s.planned,
			Log: t.Logf,
		})
		if err != nil {
			t.Fatal(err)
		}
		for _, f := range findings {
			t.Errorf("seed %d (%s): %s", s.seed, s.cause, f)
		}
	}
}
