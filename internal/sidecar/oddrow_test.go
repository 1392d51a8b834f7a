package sidecar

import (
	"fmt"
	"strings"
	"testing"

	"github.com/teaselseam/teaselseam/internal/fleet"
)

// TestOddRowsAmongMembers guards against nodes that stop following the fleet, or send nothing
// to a backend server any more, because another program has written odd rows to the tables.
func TestOddRowsAmongMembers(t *testing.T) {
	c := newCluster(t, "stock", "mill")
	row := string(c.store.Row(fleet.Table, "node-1"))
	odd := []string{
		"", "\xff\x00", "null", "[]", `{"address":7}`,
		strings.Repeat(`{"backend":`, 20_000) + "1" + strings.Repeat("}", 20_000),
		`{"address":"127.0.0.1:70000","data_centre":"dc-0","serving":true,"backend":{"id":"i-x","service":"mill","state":1}}`,
		strings.Replace(row, `"slots":4`, `"slots":1`+strings.Repeat("0", 400), 1),
		strings.Replace(row, `"slots":4`, `"slots":9000000000000000000`, 1),
	}
	for i, value := range odd {
		for _, table := range []string{fleet.Table, fleet.DeathTable} {
			c.store.Put(table, fmt.Sprint("other-", i), []byte(value))
		}
		c.store.Put(fleet.Table, "node-1", []byte(value))
		for range 20 {
			if r := c.get(c.nodes[0], "/mill/view/1", "key-guild"); !r.served() {
				t.Fatalf("row %q: %+v", value[:min(len(value), 40)], r)
			}
		}
		c.eventually("the node writes its row again", func() bool {
			m, err := fleet.Decode("node-1", c.store.Row(fleet.Table, "node-1"))
			return err == nil && m.Usable()
		})
	}
	if n := len(*c.nodes[0].node.state.members.Load()); n != 2 {
		t.Errorf("%d members, want 2", n)
	}
}

// TestRowRemovedByAnother guards against a node that gets no more requests from others because
// another program has removed its row.
func TestRowRemovedByAnother(t *testing.T) {
	c := newCluster(t, "stock", "mill")
	c.store.Remove(fleet.Table, "node-1")
	c.eventually("the node writes its row again", func() bool { return c.store.Row(fleet.Table, "node-1") != nil })
	c.waitReady()
	if r := c.get(c.nodes[0], "/mill/view/1", "key-guild"); !r.served() {
		t.Errorf("%+v", r)
	}
}
