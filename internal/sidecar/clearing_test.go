package sidecar

import (
	"testing"
	"time"

	"github.com/teaselseam/teaselseam/internal/quarantine"
)

// TestClaimWithLostResponse guards against losing a trial whose claim was written without a
// response: the second write conflicts with the first one, and the row is this node's.
func TestClaimWithLostResponse(t *testing.T) {
	held, now := newTrials(), time.Unix(1e9, 0)
	trial := quarantine.Trial{Number: 1}
	first := held.claim(trial)
	if second := held.claim(trial); second != first {
		t.Errorf("the second claim has the nonce %d, the first %d", second, first)
	}
	held.claimed(now, trial, first)
	if held.use(now, trial.Fingerprint) == nil || held.use(now, trial.Fingerprint) != nil {
		t.Error("the trial is not held for one use")
	}
	held.claim(trial)
	held.claimed(now, trial, first+2) // by another node
	if held.use(now, trial.Fingerprint) != nil {
		t.Error("the trial of another node is used")
	}
}

// TestWritersOfOneService bounds the writes for what all nodes of a service could write at the
// same moment: each refrains once it has learned that another has written.
func TestWritersOfOneService(t *testing.T) {
	for _, x := range []struct {
		nodes, most int
		learned     time.Duration // time until all nodes know of a write
	}{
		{16, 4, 300 * time.Millisecond},
		{194, 8, 700 * time.Millisecond},
		{1841, 32, 1700 * time.Millisecond},
	} {
		writes := 0
		for rank := range x.nodes {
			if writeDelay(rank) <= x.learned {
				writes++
			}
		}
		if writes > x.most {
			t.Errorf("%d nodes: %d writes, want at most %d", x.nodes, writes, x.most)
		}
		if last := writeDelay(x.nodes - 1); last > 6*time.Second {
			t.Errorf("%d nodes: the last writes after %v", x.nodes, last)
		}
	}
}
