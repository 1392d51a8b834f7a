package sidecar

import (
	"testing"
	"time"
)

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
