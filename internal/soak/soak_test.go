package soak

import (
	"os/exec"
	"path/filepath"
	"testing"
	"time"
)

// seeds are those of the short run, and those that failed once, each with the cause.
var seeds = []struct {
	seed    uint64
	planned bool
	cause   string
}{
	{seed: 1, cause: "short run"},
	{seed: 2, planned: true, cause: "short run of planned work alone"},
}

// TestShortSoak guards the promises to callers and backend servers with real
// processes, signals and broken links.
func TestShortSoak(t *testing.T) {
	daemon := filepath.Join(t.TempDir(), "teaselseamd")
	if out, err := exec.Command("go", "build", "-o", daemon, "../../cmd/teaselseamd").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	for _, s := range seeds {
		found, err := Run(Config{
			Daemon: daemon, Seed: s.seed, Nodes: 4, FaultDuration: 8 * time.Second, ParallelFaults: 2, Dir: t.TempDir(), PlannedOnly: s.planned,
			Log: t.Logf,
		})
		if err != nil {
			t.Fatal(err)
		}
		for _, f := range found {
			t.Errorf("seed %d (%s): %s", s.seed, s.cause, f)
		}
	}
}
