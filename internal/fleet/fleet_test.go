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

// TestApplyKeepsTheNewest checks that an old row that arrives after a newer one is
// ignored.
func TestApplyKeepsTheNewest(t *testing.T) {
	v := NewView()
	v.Apply([]platform.Row{row(t, "n1", 5, Member{Serving: true})})
	v.Apply([]platform.Row{row(t, "n1", 4, Member{Serving: false})})
	if r := v.Row("n1"); r.Member == nil || !r.Member.Serving || r.Version != 5 {
		t.Errorf("got %+v at version %d, want a serving member at version 5", r.Member, r.Version)
	}
	v.Apply([]platform.Row{{Key: "n1", Version: 6, Deleted: true}})
	if r := v.Row("n1"); r.Member != nil || !r.Deleted {
		t.Errorf("the member of a deleted row is still in the view: %+v", r)
	}
}

// TestUnreadableRow checks that a row that cannot be decoded, for example one written by
// another program, yields no member and does not affect the other rows.
func TestUnreadableRow(t *testing.T) {
	v := NewView()
	errs := v.Replace([]platform.Row{
		row(t, "n1", 1, Member{Serving: true}),
		{Key: "n2", Version: 2, Value: []byte("\xff")},
		{Key: "n3", Version: 3, Value: []byte(`{"address":7}`)},
		{Key: "n4", Version: 4, Value: []byte(`{}`)},
	})
	if len(errs) != 3 || len(v.Members()) != 1 {
		t.Errorf("%d errors and %d members, want 3 and 1", len(errs), len(v.Members()))
	}
}

// TestUsable checks that no requests are sent to a backend server that is draining or
// unknown, or to a node that is not serving.
func TestUsable(t *testing.T) {
	ready := Member{Serving: true, Backend: Backend{ID: "i", State: platform.Ready}}
	if !ready.Usable() {
		t.Error("a serving member with a ready backend server is not usable")
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

// TestOrder checks that the loss of a member does not change the order of the others,
// and that the first places are spread over the members.
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
				t.Fatalf("purpose %d: the loss of the first member changed place %d", i, j)
			}
		}
	}
	for node, n := range firsts {
		if n > 30 {
			t.Errorf("%s comes first for %d of 160 purposes", node, n)
		}
	}
}

// TestCopyKeepsMembers checks that members known before the store came back from a copy stay
// until their rows are written again, also if the copy is read twice.
func TestCopyKeepsMembers(t *testing.T) {
	v := NewView()
	serving, stopping := Member{Serving: true}, Member{Serving: false}
	v.Replace([]platform.Row{row(t, "n1", 50, serving), row(t, "n2", 60, serving), row(t, "n3", 70, serving)})
	copied := []platform.Row{row(t, "n1", 40, stopping)}
	check := func(when, want string) {
		t.Helper()
		got := ""
		for _, m := range v.Members() {
			got += fmt.Sprint(m.Node, " ", m.Serving, "; ")
		}
		if got != want {
			t.Errorf("%s: members %q, want %q", when, got, want)
		}
	}
	const all = "n1 true; n2 true; n3 true; "
	v.ReplaceByCopy(copied)
	check("after the first read", all)
	v.Replace(copied)
	check("after the second read", all)
	v.Apply([]platform.Row{row(t, "n2", 41, stopping)})
	check("after n2 is written again", "n1 true; n2 false; n3 true; ")
	v.Replace([]platform.Row{row(t, "n1", 42, stopping), row(t, "n2", 41, stopping)})
	check("after n1 is written again", "n1 false; n2 false; n3 true; ")
	if r := v.Row("n3"); r.Version != 0 {
		t.Errorf("row of n3 has version %d in the store, want none", r.Version)
	}
	v.DropKept()
	check("at last", "n1 false; n2 false; ")
}
