package ring

import (
	"encoding/json"
	"errors"
	"fmt"
	"testing"
	"time"
)

func testMembers(nodes, centres int) []Member {
	members := make([]Member, nodes)
	for i := range members {
		members[i] = Member{Node: fmt.Sprint("n", i), Incarnation: "1", DataCentre: fmt.Sprint("dc", i%centres)}
	}
	return members
}

func testEpoch(t testing.TB, number, oldest int64, members []Member) *Epoch {
	t.Helper()
	e, err := NewEpoch(number, oldest, members)
	if err != nil {
		t.Fatal(err)
	}
	return e
}

// TestClaimHoldersPlacement guards against two claim holders of an ID in one
// data centre, a node that holds far more claims than others, and a ring change
// that moves claims of unaffected nodes.
func TestClaimHoldersPlacement(t *testing.T) {
	members := testMembers(24, 4)
	full := testEpoch(t, 1, 1, members)
	without := testEpoch(t, 2, 1, members[1:])
	load := map[string]int{}
	for i := range 4000 {
		id := fmt.Sprint("request-", i)
		holders, moved := full.ClaimHolders(id), 0
		centres := map[string]bool{}
		had := map[string]bool{}
		for _, m := range holders {
			centres[m.DataCentre] = true
			had[m.Node] = true
			load[m.Node]++
		}
		if len(holders) != ClaimHolders || len(centres) != ClaimHolders {
			t.Fatalf("%s: holders %v", id, holders)
		}
		for _, m := range without.ClaimHolders(id) {
			if !had[m.Node] {
				moved++
			}
		}
		if !had["n0"] && moved > 0 || moved > 2 {
			t.Fatalf("%s: %d holders moved", id, moved)
		}
	}
	for node, n := range load {
		if n < 350 || n > 650 { // the mean is 500
			t.Errorf("%s holds %d claims", node, n)
		}
	}
}

// TestSmallRings guards against a missing or repeated holder where the ring has
// fewer members or data centres than holders.
func TestSmallRings(t *testing.T) {
	for nodes := range 6 {
		for centres := 1; centres <= 3; centres++ {
			e := testEpoch(t, 1, 1, testMembers(nodes, centres))
			distinct := map[Member]bool{}
			for _, m := range e.ClaimHolders("id") {
				distinct[m] = true
			}
			if len(distinct) != min(nodes, ClaimHolders) {
				t.Errorf("%d nodes in %d data centres: %d holders", nodes, centres, len(distinct))
			}
			if m, ok := e.Lender("w", "dc0"); ok != (nodes > 0) || ok && m.DataCentre != "dc0" {
				t.Errorf("%d nodes in %d data centres: lender %v, %v", nodes, centres, m, ok)
			}
		}
	}
}

// TestEpochJSON guards against an epoch that changes on its way through the
// change log.
func TestEpochJSON(t *testing.T) {
	data, err := json.Marshal(testEpoch(t, 5, 3, testMembers(4, 2)))
	if err != nil {
		t.Fatal(err)
	}
	var e Epoch
	if err := json.Unmarshal(data, &e); err != nil {
		t.Fatal(err)
	}
	again, _ := json.Marshal(&e)
	if string(again) != string(data) || e.Oldest() != 3 || len(e.DataCentres()) != 2 {
		t.Errorf("%s became %s", data, again)
	}
	if err := json.Unmarshal([]byte(`{"number":1,"oldest":2}`), &e); err == nil {
		t.Error("an oldest epoch after the epoch itself was accepted")
	}
}

// TestHistoryEndsEpochs guards against an epoch that ends before its successor
// has been settled for RetireAfter, and against a gap that goes unnoticed.
func TestHistoryEndsEpochs(t *testing.T) {
	members := testMembers(3, 3)
	start := time.Unix(1_000_000, 0)
	h, err := NewHistory([]*Epoch{testEpoch(t, 1, 1, members), testEpoch(t, 2, 1, members)})
	if err != nil {
		t.Fatal(err)
	}
	var s Settlements
	s.Settled(start, 2)
	if got := s.Oldest(start.Add(RetireAfter), h); got != 1 {
		t.Errorf("oldest is %d, want 1", got)
	}
	oldest := s.Oldest(start.Add(RetireAfter+1), h)
	if h, err = h.With(testEpoch(t, 3, oldest, members)); err != nil || len(h.InForce()) != 2 {
		t.Errorf("in force: %d epochs, error %v, want 2 epochs", len(h.InForce()), err)
	}
	if _, err = h.With(testEpoch(t, 5, 2, members)); !errors.Is(err, ErrGap) {
		t.Errorf("epoch 5 after 3: error %v", err)
	}
	if _, err = NewHistory([]*Epoch{testEpoch(t, 3, 2, members)}); !errors.Is(err, ErrGap) {
		t.Errorf("epoch 3 without epoch 2: error %v", err)
	}
}

func BenchmarkClaimHolders1800(b *testing.B) {
	e := testEpoch(b, 1, 1, testMembers(1800, 13))
	b.ReportAllocs()
	for b.Loop() {
		e.ClaimHolders("0192f0c1-2d3e-7abc-8def-0123456789ab")
	}
}
