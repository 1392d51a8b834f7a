package membership

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// step is the resolution of the fake network's clock.
const step = 200 * time.Millisecond

// epoch is the start of every history; it has no monotonic reading.
var epoch = time.Unix(1_700_000_000, 0)

// fakeNode is a State with the faults of its process.
type fakeNode struct {
	*State
	down   bool // crashed or paused: neither sends nor answers
	skew   time.Duration
	late   []func() // delayed duplicates
	log    map[int64]Digest
	side   int       // nodes on different sides cannot reach each other
	heard  time.Time // newest response
	events map[Status]int
}

// network drives States without goroutines: every message takes effect at once,
// or is lost, duplicated or delivered late, as the seeded source says.
type network struct {
	now    time.Time
	rnd    *rand.Rand
	nodes  []*fakeNode
	byAddr map[string]*fakeNode
	loss   float64
	repeat float64
	tamper func(*Exchange) // changes each response; used by naive versions
}

func newNetwork(seed uint64, dcs, perDC int, cfg Config) *network {
	n := &network{now: epoch, rnd: rand.New(rand.NewPCG(seed, 1)), byAddr: map[string]*fakeNode{}}
	for i := range dcs * perDC {
		n.start(fmt.Sprintf("n%04d", i), fmt.Sprintf("dc%02d", i%dcs), address(i), cfg)
	}
	return n
}

func address(i int) string { return fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250) }

func (n *network) start(id, dc, addr string, cfg Config) *fakeNode {
	cfg.Seeds = []string{address(0), address(1), address(2)}
	m := Member{
		ID: id, Incarnation: fmt.Sprintf("%s-%d", id, n.rnd.Uint32()), DataCentre: dc, PeerAddress: addr, Started: n.now,
	}
	f := &fakeNode{State: New(cfg, m, n.now), log: map[int64]Digest{}, events: map[Status]int{}}
	n.nodes = append(n.nodes, f)
	n.byAddr[addr] = f
	return f
}

func (n *network) clock(f *fakeNode) time.Time { return n.now.Add(f.skew) }

// reaches says whether one message from a arrives at b.
func (n *network) reaches(a, b *fakeNode) bool {
	return b != nil && !a.down && !b.down && a.side == b.side && n.rnd.Float64() >= n.loss
}

func (n *network) run(d time.Duration, each func()) {
	for end := n.now.Add(d); n.now.Before(end); n.now = n.now.Add(step) {
		for _, f := range n.nodes {
			if f.down {
				continue
			}
			for _, deliver := range f.late {
				deliver()
			}
			f.late = nil
			for _, a := range f.Tick(n.clock(f), n.rnd) {
				n.act(f, a)
			}
		}
		if each != nil {
			each()
		}
	}
}

func (n *network) act(f *fakeNode, a Action) {
	if a.Kind == DoExchange {
		n.exchange(f, a)
		return
	}
	reached := false
	for _, via := range a.Via {
		v, target := n.byAddr[via.PeerAddress], n.byAddr[a.Address]
		reached = reached || n.reaches(f, v) && n.reaches(v, target) && n.reaches(target, v) && n.reaches(v, f)
	}
	f.Probed(n.clock(f), a.Peer, reached)
}

func (n *network) exchange(f *fakeNode, a Action) {
	sent := n.clock(f)
	req := f.Request(sent, a.Peer.ID, a.Full)
	target := n.byAddr[a.Address]
	if !n.reaches(f, target) {
		n.failed(f, a)
		return
	}
	resp := target.Handle(n.clock(target), req)
	if n.rnd.Float64() < n.repeat {
		target.late = append(target.late, func() { target.Handle(n.clock(target), req) })
	}
	if !n.reaches(target, f) {
		n.failed(f, a)
		return
	}
	if n.tamper != nil {
		n.tamper(&resp)
	}
	f.Answer(sent, n.clock(f), a.Peer.ID, resp)
	f.heard = sent
	if n.rnd.Float64() < n.repeat {
		f.late = append(f.late, func() { f.Answer(sent, n.clock(f), a.Peer.ID, resp) })
	}
	n.fetch(f, target)
}

func (n *network) failed(f *fakeNode, a Action) {
	for _, probe := range f.Failed(n.clock(f), a.Peer, n.rnd) {
		n.act(f, probe)
	}
}

// fetch copies missing entries, as the control goroutine does; the copy may fail.
func (n *network) fetch(f, from *fakeNode) {
	if f.Wanted() <= f.seq || !n.reaches(f, from) || !n.reaches(from, f) {
		return
	}
	for seq := max(0, f.seq) + 1; seq <= from.seq; seq++ {
		f.log[seq] = from.log[seq]
	}
	f.apply(n.clock(f), max(f.seq, from.seq))
}

func (f *fakeNode) apply(now time.Time, seq int64) {
	f.Applied(now, seq, func(d Digest) bool {
		for _, have := range f.log {
			if have == d {
				return true
			}
		}
		return false
	})
}

func (f *fakeNode) revoked(d Digest) bool {
	_, early := f.early.set[d]
	return early || f.known(d)
}

// readPlatform gives each node the state, as a platform read at the start does.
func (n *network) readPlatform() {
	for _, f := range n.nodes {
		f.apply(n.clock(f), 0)
		f.PlatformRead(n.clock(f), n.clock(f))
	}
}

// deadTo counts the pairs of running nodes of which one holds the other dead.
func (n *network) deadTo() int {
	count := 0
	for _, f := range n.nodes {
		for _, o := range n.nodes {
			if r, ok := f.members[o.self.ID]; ok && !f.down && !o.down && r.Incarnation == o.self.Incarnation && r.Status == Dead {
				count++
			}
		}
	}
	return count
}

// converged reports whether all running nodes have the same table, of which want
// members are not dead.
func (n *network) converged(want int) error {
	for _, f := range n.nodes {
		if v := f.view(); !f.down && (v.alive != want || len(v.suspect) > 0) {
			return fmt.Errorf("%s sees %d alive and %d suspect members, want %d and 0", f.self.ID, v.alive, len(v.suspect), want)
		}
	}
	return nil
}

func mustConverge(t *testing.T, n *network, want int) {
	t.Helper()
	if err := n.converged(want); err != nil {
		t.Fatal(err)
	}
}
