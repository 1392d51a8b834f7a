package share

import (
	"math/rand/v2"
	"testing"
	"time"
)

const workspace = "guild"

// fleet is a number of nodes with one bank, driven in steps of 10 ms. Exchanges
// take no time; a node that is cut off makes none.
type fleet struct {
	now   time.Time
	nodes []*Buckets
	bank  *Bank
	cut   map[int]bool
	rnd   *rand.Rand
	// passed holds the number of requests of each step.
	passed []int
}

func newFleet(n int, l Limit) *fleet {
	f := &fleet{now: time.Unix(0, 0), bank: NewBank(), cut: map[int]bool{}, rnd: rand.New(rand.NewPCG(1, 2))}
	f.bank.SetLimits([]Limit{l}, n)
	for range n {
		a := NewBuckets()
		a.SetLimits(f.now, []Limit{l}, n)
		f.nodes = append(f.nodes, a)
	}
	return f
}

const step = 10 * time.Millisecond

// run sends requests at a rate to node 0 to spread-1 and returns how many passed.
func (f *fleet) run(d time.Duration, rate float64, spread int) (passed, asked int) {
	for range int(d / step) {
		f.now = f.now.Add(step)
		count := 0
		n := int(rate * step.Seconds())
		if f.rnd.Float64() < rate*step.Seconds()-float64(n) {
			n++
		}
		for range n {
			asked++
			i := f.rnd.IntN(spread)
			if f.nodes[i].Take(f.now, workspace) {
				count++
				continue
			}
			f.exchange(i)
			if f.nodes[i].TakeAfterExchange(f.now, workspace) {
				count++
			}
		}
		if int(f.now.UnixMilli())%250 == 0 {
			for i := range f.nodes {
				f.exchange(i)
			}
		}
		passed += count
		f.passed = append(f.passed, count)
	}
	return passed, asked
}

func (f *fleet) exchange(i int) {
	sent := f.nodes[i].PrepareExchange(f.now)
	if f.cut[i] {
		f.nodes[i].ExchangeFailed(f.now, sent)
		return
	}
	f.nodes[i].ApplyGrants(f.now, sent, f.bank.Handle(sent))
}

// most returns the largest number of requests passed in any window of 5 s.
func (f *fleet) most() int {
	const window = int(5 * time.Second / step)
	sum, most := 0, 0
	for i, n := range f.passed {
		sum += n
		if i >= window {
			sum -= f.passed[i-window]
		}
		most = max(most, sum)
	}
	return most
}

// allowed is the users' bound for a window of 5 s: 10 % and 20 requests beyond
// rate and burst.
func allowed(l Limit) int { return int((l.Rate*5+l.Burst)*1.1 + 20) }

// TestBound guards against a workspace that gets more than its rate and burst when
// it sends many times its rate after a quiet time, through all nodes or a few, and
// with nodes cut off from the bank.
func TestBound(t *testing.T) {
	for _, l := range []Limit{{workspace, 158, 158}, {workspace, 10, 10}, {workspace, 600, 20}, {workspace, 8, 100}} {
		for _, nodes := range []int{1, 16, 83} {
			for _, cut := range []int{0, nodes / 3} {
				f := newFleet(nodes, l)
				for i := range cut {
					f.cut[i] = true
				}
				f.run(10*time.Second, 0, 1)
				f.run(8*time.Second, 8*l.Rate, nodes)
				f.run(8*time.Second, 8*l.Rate, max(nodes/8, 1))
				if got := f.most(); got > allowed(l) {
					t.Errorf("%+v on %d nodes, %d cut off: %d requests in 5 s, allowed %d", l, nodes, cut, got, allowed(l))
				}
			}
		}
	}
}

// TestWithinRate guards against refusing a workspace that asks for less than its
// rate through few of the nodes.
func TestWithinRate(t *testing.T) {
	for _, spread := range []int{1, 3, 16} {
		l := Limit{workspace, 158, 158}
		f := newFleet(16, l)
		f.run(3*time.Second, 0.6*l.Rate, 16)
		passed, asked := f.run(20*time.Second, 0.6*l.Rate, spread)
		if lost := asked - passed; lost > asked/100 {
			t.Errorf("through %d nodes: %d of %d requests were refused", spread, lost, asked)
		}
	}
}

// TestWithinRateOfManyNodes guards against refusing a workspace whose part at each
// node is below one request a second: nearly every token comes from the bank, and
// nodes that hand over too little starve it. Found on hdlw-mesh-grown quiet-1, where
// nodes paused for a second after the bank had been full.
func TestWithinRateOfManyNodes(t *testing.T) {
	for _, l := range []Limit{{workspace, 41, 41}, {workspace, 12, 12}, {workspace, 300, 300}} {
		for _, load := range []float64{0.5, 0.65, 0.8} {
			f := newFleet(83, l)
			f.run(3*time.Second, load*l.Rate, 83)
			passed, asked := f.run(30*time.Second, load*l.Rate, 83)
			if lost := asked - passed; lost > asked/100 {
				t.Errorf("%+v at %.2f of the rate: %d of %d requests were refused", l, load, lost, asked)
			}
		}
	}
}

// TestFullRate guards against a workspace over its rate that gets less than it.
func TestFullRate(t *testing.T) {
	l := Limit{workspace, 158, 158}
	f := newFleet(16, l)
	f.run(3*time.Second, 0.6*l.Rate, 16)
	passed, _ := f.run(20*time.Second, 8*l.Rate, 16)
	if want := 0.95 * 20 * l.Rate; float64(passed) < want {
		t.Errorf("%d requests passed in 20 s, want %.0f", passed, want)
	}
}

// TestLostMessages guards against tokens that are counted twice after a message
// was lost.
func TestLostMessages(t *testing.T) {
	l := Limit{workspace, 100, 100}
	f := newFleet(4, l)
	f.run(5*time.Second, 0, 1)
	for i := range f.nodes {
		sent := f.nodes[i].PrepareExchange(f.now)
		f.bank.Handle(sent) // the answer is lost
		f.nodes[i].ExchangeFailed(f.now, sent)
	}
	f.run(10*time.Second, 1000, 4)
	if got := f.most(); got > allowed(l) {
		t.Errorf("%d requests in 5 s, allowed %d", got, allowed(l))
	}
}

// TestLowerLimit guards against tokens of a larger limit that outlive its change.
func TestLowerLimit(t *testing.T) {
	f := newFleet(16, Limit{workspace, 400, 400})
	f.run(5*time.Second, 100, 16)
	lower := Limit{workspace, 20, 20}
	f.bank.SetLimits([]Limit{lower}, 16)
	for _, n := range f.nodes {
		n.SetLimits(f.now, []Limit{lower}, 16)
	}
	f.passed = nil
	f.run(10*time.Second, 400, 16)
	if got := f.most(); got > allowed(lower) {
		t.Errorf("%d requests in 5 s, allowed %d", got, allowed(lower))
	}
}

// TestQuietBank guards against nodes that send messages while nothing happens.
func TestQuietBank(t *testing.T) {
	f := newFleet(16, Limit{workspace, 158, 158})
	f.run(5*time.Second, 50, 16)
	messages := 0
	for range 40 { // 10 s
		f.now = f.now.Add(250 * time.Millisecond)
		for i := range f.nodes {
			if sent := f.nodes[i].PrepareExchange(f.now); len(sent) > 0 {
				messages++
				f.nodes[i].ApplyGrants(f.now, sent, f.bank.Handle(sent))
			}
		}
	}
	if messages > 16*26 {
		t.Errorf("%d messages in 10 s, want at most 2.5 a second and node", messages)
	}
}
