package soak

import (
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
