package processtest

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"

	"github.com/teaselseam/teaselseam/internal/platform/standin"
)

// TestRacingOperatorsWithLostAnswers guards against two edits of one branch that
// both win or both vanish, when two operators edit through different nodes at
// the same moment while the platform loses the answer to every write (F3, F5),
// and against nodes that end up with different values (G12).
func TestRacingOperatorsWithLostAnswers(t *testing.T) {
	f := threeNodes(t)
	f.setUp(testTree)
	if err := f.platform.SetFaults(context.Background(), standin.Faults{LoseResponses: true}); err != nil {
		t.Fatal(err)
	}
	const rounds = 10
	for round := range rounds {
		var tree struct{ Revision int64 }
		if _, err := f.admin(f.vms[0], http.MethodGet, "/v1/tree", nil, &tree); err != nil {
			t.Fatal(err)
		}
		accepted, seq := f.race(tree.Revision, round)
		if accepted != 1 {
			t.Fatalf("round %d: %d of 2 racing edits were accepted", round, accepted)
		}
		f.eventually("the edit is in force on every node", func() bool { return f.oldestSeq() >= seq })
	}
	want := f.rateOn(f.vms[0])
	for _, v := range f.vms {
		if got := f.rateOn(v); got != want {
			t.Errorf("rate is %s on %s and %s on %s", got, v.name, want, f.vms[0].name)
		}
	}
}

// race edits one branch through the first two nodes at the same moment.
func (f *fleet) race(base int64, round int) (accepted int, seq int64) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	for i, v := range f.vms[:2] {
		wg.Go(func() {
			var result struct{ Seq int64 }
			body := map[string]any{"base": base, "ini": fmt.Sprintf("[workspace guild]\nrate = %d\n", 1000+10*round+i)}
			status, err := f.admin(v, http.MethodPost, "/v1/tree/edit", body, &result)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case err != nil:
				f.t.Errorf("edit through %s: %v", v.name, err)
			case status == http.StatusOK:
				accepted, seq = accepted+1, result.Seq
			case status != http.StatusConflict:
				f.t.Errorf("edit through %s: status %d", v.name, status)
			}
		})
	}
	wg.Wait()
	return accepted, seq
}

// oldestSeq returns the lowest sequence number in force on any node.
func (f *fleet) oldestSeq() int64 {
	oldest := int64(-1)
	for _, v := range f.vms {
		var status struct {
			AppliedSeq int64 `json:"applied_seq"`
		}
		if _, err := f.admin(v, http.MethodGet, "/v1/status", nil, &status); err != nil {
			return -1
		}
		if oldest < 0 || status.AppliedSeq < oldest {
			oldest = status.AppliedSeq
		}
	}
	return oldest
}

// rateOn returns the rate of the test's workspace in force on a node.
func (f *fleet) rateOn(v *vm) string {
	f.t.Helper()
	var effective struct {
		Values []struct{ Key, Value string } `json:"values"`
	}
	if _, err := f.admin(v, http.MethodGet, "/v1/effective?kind=workspace&name=guild", nil, &effective); err != nil {
		f.t.Fatal(err)
	}
	for _, value := range effective.Values {
		if value.Key == "rate" {
			return value.Value
		}
	}
	f.t.Fatalf("no rate in %+v", effective)
	return ""
}
