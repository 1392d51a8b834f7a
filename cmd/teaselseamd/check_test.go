package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// TestDeployFile guards against committing a deploy file that the platform would
// reject.
func TestDeployFile(t *testing.T) {
	if problems := checkDeploy("../../deploy/system.toml"); len(problems) > 0 {
		t.Errorf("%v", problems)
	}
}

// TestCheckReportsAllProblems guards against a check that stops at the first problem.
func TestCheckReportsAllProblems(t *testing.T) {
	file := filepath.Join(t.TempDir(), "system.toml")
	if err := os.WriteFile(file, []byte("bild = \"x\"\n[roles.a]\nrun = \"x\"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	all := strings.Join(checkDeploy(file), "\n")
	for _, want := range []string{"build is missing", "lacks run, on or serves", "has no metrics", `"bild" is not known`} {
		if !strings.Contains(all, want) {
			t.Errorf("problem %q is not reported: %s", want, all)
		}
	}
}
