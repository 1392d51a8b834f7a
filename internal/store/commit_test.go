package store

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"pgregory.net/rapid"

	"github.com/teaselseam/teaselseam/internal/changelog"
	"github.com/teaselseam/teaselseam/internal/platform"
	"github.com/teaselseam/teaselseam/internal/platform/standin"
	"github.com/teaselseam/teaselseam/internal/settings"
)

func branch(i int) settings.Branch {
	return settings.Branch{Kind: settings.KindWorkspace, Name: fmt.Sprint("w", i)}
}

// edit returns a build that sets the rate of one workspace.
func edit(base int64, b settings.Branch, rate string) Build {
	return func(s *changelog.State) (changelog.Entry, error) {
		change, err := s.Edit(base, map[settings.Branch]settings.Values{b: {"rate": rate}})
		return changelog.Entry{Actor: "ann", Settings: change}, err
	}
}

// outcome is what a client of an operation was told last.
type outcome struct {
	seq     int64 // 0: not committed
	unknown bool
}

// checkLog replays the log into one map and compares it with what clients were
// told. It fails if an edit won although its branch had changed, an operation
// took effect twice, or a client was told something else than the log says.
func checkLog(entries []changelog.Entry, told map[string]outcome) error {
	type cell struct {
		rate string
		seq  int64
	}
	naive := map[settings.Branch]cell{}
	seqOf := map[string]int64{}
	for _, e := range entries {
		if _, twice := seqOf[e.Operation]; twice {
			return fmt.Errorf("operation %s took effect twice", e.Operation)
		}
		seqOf[e.Operation] = e.Seq
		for _, c := range e.Settings.Branches {
			old := naive[c.Branch]
			if old.seq > e.Settings.Base || old.rate != c.Old["rate"] {
				return fmt.Errorf("entry %d based on %d overwrote %+v, its audit says %v", e.Seq, e.Settings.Base, old, c.Old)
			}
			naive[c.Branch] = cell{c.New["rate"], e.Seq}
		}
	}
	for op, o := range told {
		if !o.unknown && seqOf[op] != o.seq {
			return fmt.Errorf("client of %s was told %d, the log says %d", op, o.seq, seqOf[op])
		}
	}
	return nil
}

// TestRacingEdits guards against lost, doubled and half-reported edits when two
// nodes edit over a platform that loses responses, delays writes, is down, or
// conflicts, and against a snapshot that disagrees with the log.
func TestRacingEdits(t *testing.T) {
	rapid.Check(t, racingEdits)
}

// newLog returns a Log that does not wait between tries.
func newLog(table *faulty) *Log {
	l := NewLog(table, WithSnapshots(table, 2))
	l.pause = func(context.Context, time.Duration) bool { return true }
	return l
}

func racingEdits(t *rapid.T) {
	ctx := context.Background()
	faults := rapid.SampledFrom([]fault{healthy, healthy, healthy, lost, late, down, conflict, unavailable})
	table := &faulty{Memory: standin.NewMemory()}
	table.next = func(write bool) fault {
		if write {
			return faults.Draw(t, "write")
		}
		return rapid.SampledFrom([]fault{healthy, healthy, healthy, healthy, down}).Draw(t, "read")
	}
	nodes := []*Log{newLog(table), newLog(table)}
	told := map[string]outcome{}
	builds := []Build{}
	for range rapid.IntRange(1, 8).Draw(t, "edits") {
		op := rapid.IntRange(0, len(builds)).Draw(t, "operation")
		if op == len(builds) {
			base := rapid.Int64Range(0, int64(len(builds))).Draw(t, "base")
			builds = append(builds, edit(base, branch(rapid.IntRange(0, 1).Draw(t, "branch")), fmt.Sprint(op)))
		}
		name := fmt.Sprint("op", op)
		r, err := nodes[rapid.IntRange(0, 1).Draw(t, "node")].Commit(ctx, name, builds[op])
		var unknown *Unknown
		switch before := told[name]; {
		case errors.As(err, &unknown):
			told[name] = outcome{unknown: true}
		case err == nil:
			told[name] = outcome{seq: r.Entry.Seq}
		case before.seq == 0 && !before.unknown:
			told[name] = outcome{}
		}
		if rapid.Bool().Draw(t, "restart") {
			nodes[0] = newLog(table)
		}
	}
	table.next = script()
	_ = table.Commit(ctx, platform.Transaction{}) // delayed writes take effect now
	if err := checkAgainstPlainLog(ctx, table, told); err != nil {
		t.Fatal(err)
	}
}

// checkAgainstPlainLog also compares a node that starts from the snapshot with
// one that reads the log only.
func checkAgainstPlainLog(ctx context.Context, table *faulty, told map[string]outcome) error {
	plain := NewLog(table)
	entries, err := plain.Read(ctx, 0)
	if err != nil {
		return err
	}
	fromLog, err := plain.Load(ctx)
	if err != nil {
		return err
	}
	fromSnapshot, err := newLog(table).Load(ctx)
	if err != nil {
		return err
	}
	if d := settings.Diff(fromLog.Tree, fromSnapshot.Tree); len(d) > 0 || fromLog.Seq != fromSnapshot.Seq {
		return fmt.Errorf("snapshot gives %d, %v", fromSnapshot.Seq, d)
	}
	return checkLog(entries, told)
}

// committer is one way to commit an edit under an operation ID.
type committer func(context.Context, *Log, string, Build) (Result, error)

func appendOnce(ctx context.Context, l *Log, op string, build Build) (Result, error) {
	head, s, err := l.load(ctx)
	if err != nil {
		return Result{}, err
	}
	e, err := build(s)
	if err != nil {
		return Result{}, err
	}
	e.Operation = op
	e, err = l.Append(ctx, head, e)
	return Result{Entry: e}, err
}

// readBackOnce looks the operation up after an error and takes its absence for
// failure.
func readBackOnce(ctx context.Context, l *Log, op string, build Build) (Result, error) {
	r, err := appendOnce(ctx, l, op, build)
	if err != nil {
		if seq, found := l.Operation(ctx, op); found == nil {
			return Result{Entry: changelog.Entry{Seq: seq}}, nil
		}
	}
	return r, err
}

// TestNaiveCommits shows what Commit has to guard against. The naive version
// that takes an error for failure is the first to fail, on a lost response;
// reading back once repairs that and fails on a write that takes effect late.
func TestNaiveCommits(t *testing.T) {
	commit := func(ctx context.Context, l *Log, op string, b Build) (Result, error) { return l.Commit(ctx, op, b) }
	for _, c := range []struct {
		name   string
		commit committer
		writes []fault
		right  bool
	}{
		{"append once, lost", appendOnce, []fault{lost}, false},
		{"read back once, lost", readBackOnce, []fault{lost}, true},
		{"read back once, late", readBackOnce, []fault{late}, false},
		{"Commit, lost", commit, []fault{lost}, true},
		{"Commit, late", commit, []fault{late}, true},
		{"Commit, late and down", commit, []fault{late, down, lost}, true},
	} {
		ctx := context.Background()
		table := &faulty{Memory: standin.NewMemory(), next: script(c.writes...)}
		r, err := c.commit(ctx, NewLog(table), "op", edit(0, branch(0), "1"))
		told := map[string]outcome{"op": {seq: r.Entry.Seq}}
		if err != nil {
			told["op"] = outcome{}
		}
		_ = table.Commit(ctx, platform.Transaction{})
		if err := checkAgainstPlainLog(ctx, table, told); (err == nil) != c.right {
			t.Errorf("%s: %v", c.name, err)
		}
	}
}

// TestUnknownOutcome guards against a guess: with every write failing in an
// unknown way, the client must be told so and can ask again.
func TestUnknownOutcome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := &faulty{Memory: standin.NewMemory(), next: func(write bool) fault {
			if write {
				return down
			}
			return healthy
		}}
		l := NewLog(table)
		_, err := l.Commit(t.Context(), "op", edit(0, branch(0), "1"))
		var unknown *Unknown
		if !errors.As(err, &unknown) || unknown.Operation != "op" {
			t.Fatalf("got %v", err)
		}
		table.next = script()
		if r, err := l.Commit(t.Context(), "op", edit(0, branch(0), "1")); err != nil || r.Entry.Seq != 1 {
			t.Errorf("got %+v, %v", r, err)
		}
	})
}

// TestRestoredPlatform guards against a restored table or object that takes a
// node back to an older configuration.
func TestRestoredPlatform(t *testing.T) {
	ctx := t.Context()
	table := standin.NewMemory()
	l := NewLog(table, WithSnapshots(table, 1))
	var old []byte
	for i := range 3 {
		if _, err := l.Commit(ctx, fmt.Sprint("op", i), edit(int64(i), branch(0), fmt.Sprint(i))); err != nil {
			t.Fatal(err)
		}
		if i == 0 {
			old, _ = table.GetObject(ctx, snapshotObject)
		}
	}
	newer, _ := table.GetObject(ctx, snapshotObject)
	if err := table.PutObject(ctx, snapshotObject, old); err != nil {
		t.Fatal(err)
	}
	if s, err := NewLog(table, WithSnapshots(table, 1)).Load(ctx); err != nil || s.Seq != 3 {
		t.Errorf("old object: got %v, %v", s, err)
	}
	other := standin.NewMemory() // a log with another history
	if _, err := NewLog(other).Commit(ctx, "other", edit(0, branch(1), "9")); err != nil {
		t.Fatal(err)
	}
	for _, data := range [][]byte{old, newer, []byte("{")} {
		_ = other.PutObject(ctx, snapshotObject, data)
		if s, err := NewLog(other, WithSnapshots(other, 1)).Load(ctx); err != nil || s.LastOperation != "other" {
			t.Errorf("object of another history: got %v, %v", s, err)
		}
	}
	l.table = other
	if _, err := l.Load(ctx); !errors.Is(err, ErrWentBack) {
		t.Errorf("shorter log: got %v", err)
	}
}

// call and reply are the input and output of an operation in a history; model
// is the state of two branches.
type (
	call struct {
		branch int // -1 reads
		base   int64
		rate   string
	}
	reply struct {
		seq   int64 // 0: conflict
		rates [2]string
	}
	model struct {
		seq   int64
		rates [2]string
		seqs  [2]int64
	}
)

func step(state, input, output any) (bool, any) {
	m, in, out := state.(model), input.(call), output.(reply)
	switch {
	case in.branch < 0:
		return out.seq == m.seq && out.rates == m.rates, m
	case out.seq == 0:
		return m.seqs[in.branch] > in.base, m
	}
	ok := out.seq == m.seq+1 && m.seqs[in.branch] <= in.base
	m.seq, m.seqs[in.branch], m.rates[in.branch] = out.seq, out.seq, in.rate
	return ok, m
}

// TestEditsAreLinearizable guards against edits and reads that no order of
// single steps explains, with four nodes editing at the same time.
func TestEditsAreLinearizable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rnd := rand.New(rand.NewPCG(1, 2))
		table := &faulty{Memory: standin.NewMemory()}
		table.next = func(write bool) fault {
			if write {
				return []fault{healthy, healthy, lost, late, down, conflict}[rnd.IntN(6)]
			}
			return healthy
		}
		table.SetFaults(standin.Faults{Delay: time.Millisecond})
		var mu sync.Mutex
		var history []porcupine.Operation
		var wg sync.WaitGroup
		for client := range 4 {
			wg.Go(func() {
				l := NewLog(table)
				for i := range 12 {
					start := time.Now()
					in, out := runCall(t, l, client, i)
					op := porcupine.Operation{ClientId: client, Input: in, Call: start.UnixNano(), Output: out, Return: time.Now().UnixNano()}
					mu.Lock()
					history = append(history, op)
					mu.Unlock()
				}
			})
		}
		wg.Wait()
		m := porcupine.Model{Init: func() any { return model{} }, Step: step}
		if !porcupine.CheckOperations(m, history) {
			t.Error("history is not linearizable")
		}
	})
}

// runCall reads or edits once; a client that is told "unknown" asks again.
func runCall(t *testing.T, l *Log, client, i int) (call, reply) {
	ctx := t.Context()
	if i%3 == 0 {
		s, err := l.Load(ctx)
		if err != nil {
			t.Error(err)
			return call{branch: -1}, reply{}
		}
		var out reply
		out.seq = s.Seq
		for b := range out.rates {
			values, _ := s.Tree.Branch(branch(b))
			out.rates[b] = values["rate"]
		}
		return call{branch: -1}, out
	}
	in := call{branch: i % 2, rate: fmt.Sprint(client*100 + i)}
	if s := l.newest(nil); s != nil {
		in.base = s.Seq
	}
	for {
		r, err := l.Commit(ctx, in.rate, edit(in.base, branch(in.branch), in.rate))
		var c *changelog.Conflict
		switch {
		case err == nil:
			return in, reply{seq: r.Entry.Seq}
		case errors.As(err, &c):
			return in, reply{}
		}
	}
}
