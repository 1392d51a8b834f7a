package operator

import (
	"context"
	"errors"
	"testing"
)

// TestRestore guards against losing changes and their audit entries when the store comes
// back from an older copy, and against a restore that overwrites a change made since.
func TestRestore(t *testing.T) {
	st, store := newStore(t)
	ctx := context.Background()
	client := New(store, "ann")
	apply := func(text string) {
		t.Helper()
		if _, err := client.Apply(ctx, editFunc(t, text)); err != nil {
			t.Fatal(err)
		}
	}
	apply(treeText)
	copied := st.Copy()
	for range maxRowsPerCommit + 5 { // more than fit into one transaction
		apply("[workspace guild]\nrate = 30\n")
	}
	backup, err := client.Backup(ctx)
	if err != nil {
		t.Fatal(err)
	}
	st.ComeBack(copied)
	plan, err := client.PlanRestore(ctx, backup)
	if err != nil || plan.From != 1 || plan.To != backup.Version || len(plan.Audit) != maxRowsPerCommit+5 {
		t.Fatalf("plan %+v, %v", plan, err)
	}
	if f, err := client.FleetConfig(ctx); err != nil || f.Version != 1 {
		t.Fatalf("planning has written something: %+v, %v", f, err)
	}
	for range 2 { // repeating it changes nothing
		if _, err := client.Restore(ctx, backup); err != nil {
			t.Fatal(err)
		}
		again, err := client.Backup(ctx)
		if err != nil || again.Version != backup.Version || len(again.Rows) != len(backup.Rows) {
			t.Fatalf("after the restore: version %d with %d rows, %v", again.Version, len(again.Rows), err)
		}
	}
	st.ComeBack(copied)
	apply("[workspace guild]\nrate = 40\n")
	if _, err := client.Restore(ctx, backup); !errors.Is(err, ErrDiverged) {
		t.Errorf("restore over a change made since: %v, want %v", err, ErrDiverged)
	}
}
