package fleet

import (
	"fmt"
	"testing"

	"github.com/teaselseam/teaselseam/platform"
)

func row(t *testing.T, node string, version uint64, m Member) platform.Row {
	t.Helper()
	if m.Address == "" {
		m.Address, m.DataCentre = "10.0.0.1:1", "a"
	}
	value, err := m.Encode()
	if err != nil {
		t.Fatal(err)
	}
	return platform.Row{Table: Table, Key: node, Value: value, Version: version}
}

// TestApplyKeepsTheNewest guards against an old row that arrives after a newer one.
func TestApplyKeepsTheNewest(t *testing.T) {
	v := NewView()
	v.Apply([]platform.Row{row(t, "n1", 5, Member{Serving: true})})
	v.Apply([]platform.Row{row(t, "n1", 4, Member{Serving: false})})
	if m, version := v.Member("n1"); m == nil || !m.Serving || version != 5 {
		t.Errorf("got %+v at %d", m, version)
	}
	v.Apply([]platform.Row{{Key: "n1", Version: 6, Deleted: true}})
	if m, _ := v.Member("n1"); m != nil {
		t.Errorf("a deleted row still names %+v", m)
	}
}

// TestUnreadableRow guards against a row from another writer that hides the others
// or names a node.
func TestUnreadableRow(t *testing.T) {
	v := NewView()
	bad := v.Replace([]platform.Row{
		row(t, "n1", 1, Member{Serving: true}),
		{Key: "n2", Version: 2, Value: []byte("\xff")},
		{Key: "n3", Version: 3, Value: []byte(`{"address":7}`)},
		{Key: "n4", Version: 4, Value: []byte(`{}`)},
	})
	if len(bad) != 3 || len(v.Members()) != 1 {
		t.Errorf("%d unreadable rows, %d members", len(bad), len(v.Members()))
	}
}

// TestUsable guards against sending requests to a backend server that leaves or to
// a node that stops.
func TestUsable(t *testing.T) {
	ready := Member{Serving: true, Backend: Backend{ID: "i", State: platform.Ready}}
	if !ready.Usable() {
		t.Error("a ready one is not usable")
	}
	for _, m := range []Member{
		{Serving: false, Backend: ready.Backend},
		{Serving: true},
		{Serving: true, Backend: Backend{ID: "i", State: platform.Draining}},
	} {
		if m.Usable() {
			t.Errorf("%+v is usable", m)
		}
	}
}

// TestOrder guards against an order that moves what other members keep when one
// is lost, or that always begins with the same member.
func TestOrder(t *testing.T) {
	var members []*Member
	for i := range 16 {
		members = append(members, &Member{Node: fmt.Sprint("node-", i)})
	}
	firsts := map[string]int{}
	for i := range 160 {
		purpose := fmt.Sprint("purpose ", i)
		order := RendezvousOrder(members, purpose)
		firsts[order[0].Node]++
		without := RendezvousOrder(append([]*Member{}, order[1:]...), purpose)
		for j, m := range without {
			if m != order[j+1] {
				t.Fatalf("purpose %d: the loss of the first moved place %d", i, j)
			}
		}
	}
	for node, n := range firsts {
		if n > 30 {
			t.Errorf("%s comes first for %d of 160 purposes", node, n)
		}
	}
}
