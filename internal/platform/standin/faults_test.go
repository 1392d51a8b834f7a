package standin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/teaselseam/teaselseam/internal/platform"
)

func put(key, value string) platform.Transaction {
	return platform.Transaction{
		Checks: []platform.Check{{Key: key}},
		Puts:   []platform.Put{{Key: key, Value: []byte(value)}},
	}
}

// writes commits rows 0 to n-1, with a read after every few of them, and returns
// each outcome with what was written at once.
func writes(m *Memory, n, readEvery int) []string {
	var seen []string
	for i := range n {
		key := fmt.Sprintf("row%d", i)
		begin := time.Now()
		err := m.Commit(context.Background(), put(key, "x"))
		_, written := m.rows[key]
		seen = append(seen, fmt.Sprint(err, written, time.Since(begin)))
		if i%readEvery == 0 {
			_, _ = m.Get(context.Background(), key)
		}
	}
	return seen
}

// TestFaultsRepeat guards against a seeded failure test whose faults differ from
// run to run, and against reads that shift the faults of writes.
func TestFaultsRepeat(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := Faults{
			Seed: 7, DownProbability: 0.2, LoseProbability: 0.2, LateProbability: 0.2,
			SlowProbability: 0.2, SlowDelay: time.Second, LateDelay: time.Hour,
		}
		run := func(seed uint64, readEvery int) []string {
			m := NewMemory()
			f.Seed = seed
			m.SetFaults(f)
			return writes(m, 200, readEvery)
		}
		first := run(7, 3)
		if !slices.Equal(first, run(7, 5)) {
			t.Error("the same seed gave other faults")
		}
		if slices.Equal(first, run(8, 3)) {
			t.Error("another seed gave the same faults")
		}
		kinds := map[string]int{}
		for _, s := range first {
			kinds[s]++
		}
		for _, want := range []string{
			fmt.Sprint(error(nil), true, time.Duration(0)),
			fmt.Sprint(error(nil), true, time.Second),
			fmt.Sprint(errDown, false, time.Duration(0)),
			fmt.Sprint(errLostResponse, true, time.Duration(0)),
			fmt.Sprint(errLate, false, time.Duration(0)),
		} {
			if kinds[want] == 0 {
				t.Errorf("no write with outcome %s among %v", want, kinds)
			}
		}
	})
}

// TestLateWrite guards against a late write that takes effect at once, never, with
// a buffer that its caller has changed since, or over a newer row.
func TestLateWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := context.Background()
		m := NewMemory()
		m.SetFaults(Faults{LateProbability: 1, LateDelay: time.Second, Delay: time.Millisecond})
		tx := put("a", "late")
		for _, err := range []error{m.Commit(ctx, tx), m.Commit(ctx, put("b", "late")), m.PutObject(ctx, "o", tx.Puts[0].Value)} {
			if !errors.Is(err, errLate) {
				t.Fatalf("late write returned %v", err)
			}
		}
		begin := time.Now()
		_, _ = m.Get(ctx, "a")
		if took := time.Since(begin); took != time.Millisecond {
			t.Errorf("read took %v, want the delay of all calls", took)
		}
		copy(tx.Puts[0].Value, "xxxx")
		m.SetFaults(Faults{})
		if _, err := m.Get(ctx, "a"); !errors.Is(err, platform.ErrNotFound) {
			t.Errorf("row before the delay: %v, want ErrNotFound", err)
		}
		if err := m.Commit(ctx, put("b", "newer")); err != nil {
			t.Fatal(err)
		}
		time.Sleep(2 * time.Second)
		if row, err := m.Get(ctx, "a"); err != nil || string(row.Value) != "late" {
			t.Errorf("row after the delay: %q, %v", row.Value, err)
		}
		if row, _ := m.Get(ctx, "b"); string(row.Value) != "newer" || row.Version != 1 {
			t.Errorf("late write went over a newer row: %+v", row)
		}
		if data, err := m.GetObject(ctx, "o"); err != nil || string(data) != "late" {
			t.Errorf("object after the delay: %q, %v", data, err)
		}
	})
}

// TestFaultsJSON guards against a change of the JSON form that tests and scripts
// post to a stand-in.
func TestFaultsJSON(t *testing.T) {
	const form = `{"down":true,"delay":5,"lose_responses":true}`
	var f Faults
	if err := json.Unmarshal([]byte(form), &f); err != nil {
		t.Fatal(err)
	}
	if f != (Faults{Down: true, Delay: 5, LoseResponses: true}) {
		t.Errorf("decoded as %+v", f)
	}
	if data, err := json.Marshal(f); err != nil || string(data) != form {
		t.Errorf("encoded as %s, %v", data, err)
	}
}
