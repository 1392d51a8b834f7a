package sidecar

import (
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/teaselseam/teaselseam/internal/era"
	"github.com/teaselseam/teaselseam/internal/fleet"
	"github.com/teaselseam/teaselseam/internal/standin"
)

// comeBack takes the store away for a moment and brings it back from a copy. The returned
// function writes the operator's lost configuration again.
func (c *cluster) comeBack(copied *standin.Copy) (rewrite func()) {
	c.t.Helper()
	config := c.store.Row("op", "config")
	c.store.SetFaults(standin.Faults{Down: true})
	time.Sleep(300 * time.Millisecond)
	c.store.ComeBack(copied)
	c.store.SetFaults(standin.Faults{})
	return func() { c.store.Put("op", "config", config) }
}

// during calls f repeatedly for a time.
func during(d time.Duration, f func()) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		f()
	}
}

// TestStoreComesBack guards against four faults after the store has come back from an
// older copy: going back to the older configuration, accepting a key that it still has,
// refusing requests meanwhile, and never following the store again.
func TestStoreComesBack(t *testing.T) {
	c := newCluster(t, "stock", "stock", "mill")
	c.keys["key-cooper"] = "cooper"
	c.configure()
	c.eventually("the key of cooper is accepted", func() bool { return c.get(c.nodes[0], "/stock/view/1", "key-cooper").served() })
	copied := c.store.Copy()
	delete(c.keys, "key-cooper")
	c.routes = append(c.routes, route{name: "late", prefix: "/late/", service: "stock", kind: "safe"})
	c.configure()
	c.eventually("the configuration is in force everywhere", func() bool {
		for _, n := range c.nodes {
			if !c.get(n, "/late/1", "key-guild").served() || c.get(n, "/stock/view/1", "key-cooper").status != http.StatusUnauthorized {
				return false
			}
		}
		return true
	})
	rewrite := c.comeBack(copied)
	check := func() {
		for _, n := range c.nodes {
			if r := c.get(n, "/late/1", "key-guild"); !r.served() {
				t.Errorf("node %s: request on a route of the newer configuration: %+v", n.settings.Node, r)
			}
			if r := c.get(n, "/stock/view/1", "key-cooper"); r.served() {
				t.Errorf("node %s accepts a withdrawn key", n.settings.Node)
			}
		}
	}
	during(1500*time.Millisecond, check)
	rewrite()
	during(3*time.Second, check)

	c.routes = append(c.routes, route{name: "later", prefix: "/later/", service: "stock", kind: "safe"})
	c.configure()
	changed := time.Now()
	for _, n := range c.nodes {
		c.eventually("the next configuration is followed", func() bool { return c.get(n, "/later/1", "key-guild").served() })
	}
	if took := time.Since(changed); took > 2*time.Second {
		t.Errorf("the next configuration was in force after %v, want at most 2 s", took)
	}
}

// TestVersionsGivenOutAgain guards against missing a change that has a version which the
// store had given out before it came back from the copy.
func TestVersionsGivenOutAgain(t *testing.T) {
	c := newCluster(t, "stock", "stock")
	copied := c.store.Copy()
	fill := func(n int) {
		for range n {
			c.store.Put("other", "row", nil)
		}
	}
	fill(20)
	c.configure()
	time.Sleep(300 * time.Millisecond) // for all nodes to follow
	c.store.SetFaults(standin.Faults{Down: true})
	c.store.ComeBack(copied)
	c.routes = append(c.routes, route{name: "late", prefix: "/late/", service: "stock", kind: "safe"})
	c.configure()
	fill(40)
	c.store.SetFaults(standin.Faults{})
	for _, n := range c.nodes {
		c.eventually("the change is followed", func() bool { return c.get(n, "/late/1", "key-guild").served() })
	}
}

// TestStartAfterStoreCameBack guards against a node that starts while the store has only
// the older copy, and accepts the keys in it that were withdrawn since.
func TestStartAfterStoreCameBack(t *testing.T) {
	c := newCluster(t, "stock", "stock")
	c.keys["key-cooper"] = "cooper"
	c.configure()
	c.eventually("the key of cooper is accepted", func() bool { return c.get(c.nodes[0], "/stock/view/1", "key-cooper").served() })
	copied := c.store.Copy()
	delete(c.keys, "key-cooper")
	c.configure()
	late := c.nodes[0]
	c.eventually("the key of cooper is rejected", func() bool { return c.get(c.nodes[1], "/stock/view/1", "key-cooper").status == http.StatusUnauthorized })
	late.node.kill()
	late.stop()
	<-late.stopped
	c.comeBack(copied) // the operator does not write again
	c.startNode(late)
	during(2*era.Settle, func() {
		if c.get(late, "/stock/view/1", "key-cooper").served() {
			t.Error("the node accepts a withdrawn key")
		}
	})
	c.eventually("the node serves by the configuration of its peer", func() bool { return c.get(late, "/stock/view/1", "key-guild").served() })
}

// TestMembersAfterStoreCameBack guards against three faults after the store has come back
// from a copy that lacks rows of members: calling them gone, sharing the rates of
// workspaces between fewer nodes, and not writing the rows again.
func TestMembersAfterStoreCameBack(t *testing.T) {
	c := prepareCluster(t, "stock", "stock", "mill", "mill")
	c.configure()
	empty := c.store.Copy()
	for _, n := range c.nodes {
		c.startNode(n)
		c.startBackend(n, "")
	}
	c.waitReady()
	writes := c.store.Calls()["/v1/rows-tx"]
	c.comeBack(empty)
	during(era.Settle, func() {
		for _, n := range c.nodes {
			if members := len(*n.node.state.members.Load()); members != len(c.nodes) {
				t.Errorf("node %s shares the rates between %d nodes, want %d", n.settings.Node, members, len(c.nodes))
			}
			if r := c.get(n, "/mill/view/1", "key-guild"); !r.served() {
				t.Errorf("node %s: %+v", n.settings.Node, r)
			}
		}
	})
	for _, n := range c.nodes {
		if m, err := fleet.Decode(n.settings.Node, c.store.Row(fleet.Table, n.settings.Node)); err != nil || !m.Usable() {
			t.Errorf("row of %s %v after the store came back: %+v, %v", n.settings.Node, era.Settle, m, err)
		}
	}
	time.Sleep(era.Settle)
	if extra := c.store.Calls()["/v1/rows-tx"] - writes; extra > 2*len(c.nodes) {
		t.Errorf("%d writes of %d nodes, want at most two each", extra, len(c.nodes))
	}
	leaver := c.nodes[3]
	leaver.backend.Drain(t.Context())
	c.eventually("changes of members are followed again", func() bool {
		for _, m := range *c.nodes[0].node.state.members.Load() {
			if m.Node == leaver.settings.Node {
				return !m.Usable()
			}
		}
		return false
	})
}

// TestDrainingAfterStoreCameBack guards against sending requests to a backend server whose
// acknowledged draining the copy lacks.
func TestDrainingAfterStoreCameBack(t *testing.T) {
	c := newCluster(t, "stock", "stock")
	leaver := c.nodes[0]
	copied := c.store.Copy()
	leaver.backend.Drain(t.Context())
	if !leaver.backend.Acknowledged("draining") {
		t.Fatal("draining was not acknowledged")
	}
	before := len(leaver.backend.Executions())
	c.comeBack(copied)
	during(era.Settle+time.Second, func() {
		for _, n := range c.nodes {
			if r := c.get(n, "/stock/view/1", "key-guild"); !r.served() {
				t.Errorf("node %s: %+v", n.settings.Node, r)
			}
		}
	})
	if after := len(leaver.backend.Executions()); after != before {
		t.Errorf("%d requests ran after the acknowledgement", after-before)
	}
}

// TestCrashRecordsAfterStoreCameBack guards against losing the records of crashes that the
// copy lacks: a node that starts later would let the request crash another backend server.
func TestCrashRecordsAfterStoreCameBack(t *testing.T) {
	c := newCluster(t, "stock", "stock", "stock")
	copied := c.store.Copy()
	crasher := c.nodes[0]
	crasher.backend.Intercept(func(http.ResponseWriter, *http.Request) bool {
		go crasher.killBackend()
		time.Sleep(50 * time.Millisecond)
		panic(http.ErrAbortHandler)
	})
	c.eventually("a crash is recorded", func() bool {
		c.get(crasher, "/stock/view/crash", "key-guild")
		return len(c.store.Keys(fleet.DeathTable)) > 0
	})
	time.Sleep(300 * time.Millisecond) // for all nodes to follow
	records := c.store.Keys(fleet.DeathTable)
	c.comeBack(copied)
	c.eventually("the records are written again", func() bool {
		return slices.Equal(c.store.Keys(fleet.DeathTable), records)
	})
}
