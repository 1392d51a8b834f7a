package membership

import (
	"testing"
	"time"
)

// TestNoFlappingUnderLoss guards against members declared dead, and pickers
// losing endpoints, because a fifth of all messages is lost.
func TestNoFlappingUnderLoss(t *testing.T) {
	for _, size := range []struct{ dcs, perDC int }{{2, 2}, {4, 3}, {4, 12}} {
		n := newNetwork(7, size.dcs, size.perDC, Config{})
		n.run(40*time.Second, nil)
		mustConverge(t, n, size.dcs*size.perDC)
		n.loss, n.repeat = 0.2, 0.1
		n.run(5*time.Minute, func() {
			if d := n.deadTo(); d > 0 {
				t.Fatalf("%d running nodes at %s: a running node is dead to another", len(n.nodes), n.now.Sub(epoch))
			}
		})
	}
}

// TestNaiveDeathFlaps shows that the test above can fail: without suspicion, the
// same losses take running members for dead.
func TestNaiveDeathFlaps(t *testing.T) {
	n := newNetwork(7, 4, 3, Config{Suspicion: 1})
	n.run(40*time.Second, nil)
	n.loss, n.repeat = 0.2, 0.1
	dead := 0
	n.run(5*time.Minute, func() { dead += n.deadTo() })
	if dead == 0 {
		t.Error("no running member was taken for dead")
	}
}

// TestDataCentreGone guards against a fleet that does not notice, or does not
// take back, a data centre that fails as a whole.
func TestDataCentreGone(t *testing.T) {
	n := newNetwork(3, 4, 5, Config{})
	n.run(20*time.Second, nil)
	for i, f := range n.nodes {
		f.down = i%4 == 1
	}
	n.run(40*time.Second, nil)
	mustConverge(t, n, 15)
	for _, f := range n.nodes {
		f.down = false
	}
	n.run(90*time.Second, nil)
	mustConverge(t, n, 20)
}

// TestRejoinAfterPartition guards against two regions that stay apart for good
// once each has held the other dead for an hour.
func TestRejoinAfterPartition(t *testing.T) {
	n := newNetwork(5, 4, 3, Config{})
	n.run(20*time.Second, nil)
	for i, f := range n.nodes {
		f.side = i % 4 / 2
	}
	n.run(time.Hour, nil)
	mustConverge(t, n, 6)
	for _, f := range n.nodes {
		f.side = 0
	}
	n.run(90*time.Second, nil)
	mustConverge(t, n, 12)
}

// TestReplacedNode guards against a new process that is taken for its
// predecessor, by name or by address.
func TestReplacedNode(t *testing.T) {
	n := newNetwork(11, 2, 3, Config{})
	n.run(20*time.Second, nil)
	for i, name := range []string{"n0004", "other"} { // same name; same address
		old := n.nodes[4+i]
		old.down = true
		fresh := n.start(name, "dc00", old.self.PeerAddress, Config{})
		n.run(20*time.Second, nil)
		for _, f := range n.nodes {
			if f.down {
				continue
			}
			if m, _ := f.Member(name); m.Incarnation != fresh.self.Incarnation || m.Status != Alive {
				t.Fatalf("%s has %+v as the new node %s", f.self.ID, m, name)
			}
			if r := f.members[old.self.ID]; r != nil && r.Incarnation == old.self.Incarnation && r.Status < Dead {
				t.Fatalf("%s still has the replaced process of %s as %d", f.self.ID, r.ID, r.Status)
			}
		}
	}
	old := n.nodes[4]
	for _, f := range n.nodes[6:] {
		f.down = true // even if the successor is dead, what it acknowledged counts
	}
	n.run(20*time.Second, nil)
	old.side, old.down = 0, false
	n.byAddr["10.9.9.9:1"] = old
	n.run(20*time.Second, nil)
	if !old.Superseded() || old.Fresh(n.now) {
		t.Fatal("a node woke, found a later process of its name, and still serves")
	}
}

// TestLeftAndForgotten guards against a table that grows with every restart, and
// against a member that left coming back through old deltas.
func TestLeftAndForgotten(t *testing.T) {
	n := newNetwork(13, 2, 3, Config{})
	n.run(20*time.Second, nil)
	n.readPlatform()
	n.run(20*time.Second, nil)
	left, crashed := n.nodes[4], n.nodes[5]
	left.Leave()
	for _, f := range n.nodes[:2] {
		f.Answer(n.now, n.now, left.self.ID, left.Request(n.now, f.self.ID, false))
	}
	left.down, crashed.down = true, true
	n.run(time.Minute, nil)
	mustConverge(t, n, 4)
	for _, f := range n.nodes[:4] {
		if m, _ := f.Member(left.self.ID); m.Status != Left {
			t.Fatalf("%s has status %d for a member that left", f.self.ID, m.Status)
		}
	}
	n.run(2*time.Hour+time.Minute, nil)
	for _, f := range n.nodes[:4] {
		if got := len(f.Members()); got != 4 {
			t.Fatalf("%s still remembers %d members", f.self.ID, got)
		}
	}
}

// TestEveryDataCentreInTurn guards against a data centre that is never contacted.
func TestEveryDataCentreInTurn(t *testing.T) {
	n := newNetwork(17, 5, 3, Config{})
	n.run(20*time.Second, nil)
	f, local, remote := n.nodes[0], 0, map[string]int{}
	for range int(40 * time.Second / step) {
		n.now = n.now.Add(step)
		for _, a := range f.Tick(n.now, n.rnd) {
			if a.Peer.DataCentre == f.self.DataCentre {
				local++
			} else {
				remote[a.Peer.DataCentre]++
			}
			f.Answer(n.now, n.now, a.Peer.ID, n.byAddr[a.Address].Handle(n.now, f.Request(n.now, a.Peer.ID, false)))
		}
	}
	if local < 40 || len(remote) != 4 {
		t.Fatalf("%d local exchanges in 40 s and these remote ones: %v", local, remote)
	}
	for dc, count := range remote {
		if count < 10 {
			t.Errorf("data centre %s was contacted %d times in 40 s, want 10 of at least 40", dc, count)
		}
	}
}
