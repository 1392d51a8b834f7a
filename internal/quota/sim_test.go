package quota

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/teaselseam/teaselseam/internal/ring"
)

const (
	simCentres  = 4
	simNodes    = 16
	simPatience = 25 * time.Millisecond // how long a call waits for a token
)

// faults describes what goes wrong in a simulation, and which rules are left out.
type faults struct {
	loss, duplicate float64
	delay           time.Duration // longest extra delay of a tenth of the messages
	noWait          bool          // lenders start without waiting for settlement
	noFreshness     bool          // lenders lend although their node is not fresh
	noExpiry        bool          // lenders drop loans at once
	fullStart       bool          // lenders start with a full bucket
	newPartOnly     bool          // lenders use a larger part at once
}

// layoutChange is a change log entry: the limit and the lender of each data centre.
type layoutChange struct {
	limit   Limit
	lenders [simCentres]LenderID
	centres []string
	settled time.Time // zero until settled
}

type simNode struct {
	index       int
	incarnation int
	paused      time.Time
	deaf        bool // does not hear of changes
	known       int  // change log entries applied
	borrower    *Borrower
	lender      *Lender
	waiting     []*call
}

type call struct {
	at                      time.Time
	node                    int
	ideal, accepted, refund bool
	token                   Token
}

// sim is a deterministic simulation of one workspace on 16 nodes in 4 data centres.
type sim struct {
	faults faults
	rnd    *rand.Rand
	now    time.Time
	queue  events
	pushed int
	log    []*layoutChange
	nodes  [simNodes]*simNode
	calls  []*call
	ideal  bucket

	interval time.Duration // between calls of Need
}

type event struct {
	at    time.Time
	order int
	node  int
	inc   int
	run   func(*simNode)
}

type events []event

func (q events) Len() int      { return len(q) }
func (q events) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *events) Push(x any)   { *q = append(*q, x.(event)) }
func (q events) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].order < q[j].order
}

func (q *events) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// bucket is the naive single bucket.
type bucket struct {
	limit Limit
	level float64
	last  time.Time
}

func (b *bucket) take(now time.Time) bool {
	b.level = min(b.limit.Burst, b.level+b.limit.Rate*now.Sub(b.last).Seconds())
	b.last = now
	if b.level < 1-1e-6 {
		return false
	}
	b.level--
	return true
}

func newSim(seed uint64, limit Limit, f faults) *sim {
	s := &sim{faults: f, interval: 5 * time.Millisecond, rnd: rand.New(rand.NewPCG(seed, 0)), now: time.Unix(1_700_000_000, 0)}
	for i := range s.nodes {
		s.nodes[i] = &simNode{index: i}
		s.restart(i)
	}
	s.ideal = bucket{limit: limit, level: limit.Burst, last: s.now}
	s.change(limit, 0, simCentres)
	s.settle()
	return s
}

// at schedules an event on a node. It is dropped if the node restarts before.
func (s *sim) at(after time.Duration, node int, run func(*simNode)) {
	s.pushed++
	heap.Push(&s.queue, event{s.now.Add(after), s.pushed, node, s.nodes[node].incarnation, run})
}

// run handles events for the given time. Events of paused nodes are put off.
func (s *sim) run(d time.Duration) {
	for end := s.now.Add(d); len(s.queue) > 0 && !s.queue[0].at.After(end); {
		e := heap.Pop(&s.queue).(event)
		n := s.nodes[e.node]
		s.now = e.at
		switch {
		case e.inc != n.incarnation:
		case n.paused.After(s.now):
			e.at = n.paused
			heap.Push(&s.queue, e)
		default:
			e.run(n)
		}
	}
}

func (n *simNode) centre() int { return n.index % simCentres }

func (n *simNode) id() LenderID {
	return LenderID{
		Node: fmt.Sprint("n", n.index), Incarnation: fmt.Sprint(n.incarnation), DataCentre: centreName(n.centre()),
	}
}

func centreName(c int) string { return fmt.Sprint("dc", c) }

func (s *sim) restart(i int) {
	n := s.nodes[i]
	*n = simNode{index: i, incarnation: n.incarnation + 1}
	n.borrower = NewBorrower(BorrowerConfig{Workspace: "w", DataCentre: centreName(n.centre()), Borrower: fmt.Sprint(i, "/", n.incarnation)})
	for range s.log { // a node that starts knows what has been committed
		s.learn(n)
	}
	s.at(0, i, s.tick)
}

// change commits an entry; the row of nodes that lend is given by first.
func (s *sim) change(limit Limit, first, centres int) {
	c := &layoutChange{limit: limit}
	for i := range centres {
		c.lenders[i] = s.nodes[(first%4)*simCentres+i].id()
		c.centres = append(c.centres, centreName(i))
	}
	s.log = append(s.log, c)
	for i := range s.nodes {
		s.at(s.lag(), i, func(n *simNode) {
			if n.known < len(s.log) && !n.deaf {
				s.learn(n)
			}
		})
	}
}

// lag is the time that a node takes to hear of something.
func (s *sim) lag() time.Duration {
	if s.faults.delay > 0 && s.rnd.IntN(4) == 0 {
		return time.Duration(s.rnd.Int64N(int64(20 * time.Second)))
	}
	return 10 * time.Millisecond
}

func (s *sim) settle() {
	for i, c := range s.log {
		if c.settled.IsZero() {
			c.settled = s.now
		}
		for j := range s.nodes {
			s.at(s.lag(), j, func(n *simNode) {
				if n.lender != nil {
					n.lender.Settled(s.now, int64(i+1))
				}
			})
		}
	}
}

// learn applies the next change log entry on a node.
func (s *sim) learn(n *simNode) {
	c, seq := s.log[n.known], int64(n.known+1)
	n.known++
	dc := n.centre()
	part := Part(c.limit, "w", centreName(dc), c.centres)
	switch {
	case c.lenders[dc] == n.id() && (n.lender == nil || n.lender.state == closed):
		n.lender = NewLender(LenderConfig{Workspace: "w", Self: n.id(), Since: seq, Part: part})
		if s.faults.noWait {
			n.lender.Settled(s.now.Add(-2*settleWait), seq)
		}
		if s.faults.fullStart {
			n.lender.level = part.Burst
		}
		s.at(0, n.index, s.tickLender)
	case c.lenders[dc] == n.id():
		n.lender.Layout(s.now, seq, part)
		if s.faults.newPartOnly {
			n.lender.layouts = n.lender.layouts[len(n.lender.layouts)-1:]
		}
	case n.lender != nil && n.lender.state != closed:
		to := c.lenders[dc]
		if h, ok := n.lender.Close(s.now, seq, to.Incarnation); ok && to.Node != "" {
			s.send(n, s.nodeOf(to), func(n *simNode) {
				if n.lender != nil && n.id() == to {
					n.lender.HandedOver(s.now, h)
				}
			})
		}
	}
	var others []LenderID
	for i := range c.centres {
		if i != dc {
			others = append(others, c.lenders[i])
		}
	}
	if n.lender != nil {
		n.lender.SetPeers(others)
	}
	if c.lenders[dc].Node != "" {
		others = slices.Insert(others, 0, c.lenders[dc])
	}
	n.borrower.SetLenders(others)
}

func (s *sim) nodeOf(id LenderID) *simNode {
	i := slices.IndexFunc(s.nodes[:], func(n *simNode) bool { return n.id().Node == id.Node })
	return s.nodes[i]
}

// send delivers a message after the latency, unless it is lost.
func (s *sim) send(from, to *simNode, deliver func(*simNode)) {
	latency := 100 * time.Microsecond
	if from.centre() != to.centre() {
		latency = 1500 * time.Microsecond
	}
	copies := 1
	if s.rnd.Float64() < s.faults.duplicate {
		copies = 2
	}
	for range copies {
		d := latency
		if s.faults.delay > 0 && s.rnd.IntN(10) == 0 {
			d += time.Duration(s.rnd.Int64N(int64(s.faults.delay)))
		}
		if s.rnd.Float64() >= s.faults.loss {
			s.at(d, to.index, deliver)
		}
	}
}

// borrow sends a request to its lender and brings the answer back, or a failure
// after 60 ms.
func (s *sim) borrow(n *simNode, r Borrow, answered func(*simNode, Grant), failed func()) {
	incarnation := n.incarnation
	s.at(60*time.Millisecond, n.index, func(*simNode) { failed() })
	s.send(n, s.nodeOf(r.Lender), func(to *simNode) {
		if to.lender == nil {
			return
		}
		until := s.now.Add(ring.FreshnessBound)
		if c := s.log[min(to.known, len(s.log)-1)]; to.known < len(s.log) && !c.settled.IsZero() && !s.faults.noFreshness {
			until = c.settled.Add(ring.FreshnessBound)
		}
		to.lender.SetFreshUntil(until)
		g := to.lender.Borrow(s.now, r)
		if s.faults.noExpiry {
			to.lender.lent = 0
		}
		s.lend(to)
		s.send(to, n, func(n *simNode) {
			if n.incarnation == incarnation {
				answered(n, g)
			}
		})
	})
}

func (s *sim) lend(n *simNode) {
	l := n.lender
	for r, ok := l.Need(s.now); ok; r, ok = l.Need(s.now) {
		s.borrow(n, r, func(_ *simNode, g Grant) { l.Granted(s.now, r, g) }, func() { l.Failed(s.now, r) })
	}
}

func (s *sim) need(n *simNode) {
	for r, ok := n.borrower.Need(s.now); ok; r, ok = n.borrower.Need(s.now) {
		s.borrow(n, r, func(n *simNode, g Grant) {
			n.borrower.Granted(s.now, r, g)
			s.wake(n)
			if len(n.waiting) > 0 {
				s.at(g.RetryAfter, n.index, s.need)
			}
		}, func() { n.borrower.Failed(s.now, r) })
	}
}

func (s *sim) tick(n *simNode) {
	s.need(n)
	s.at(s.interval, n.index, s.tick)
}

func (s *sim) tickLender(n *simNode) {
	s.lend(n)
	s.at(s.interval, n.index, s.tickLender)
}

// arrive is a call at a node. The ideal bucket decides on it too.
func (s *sim) arrive(n *simNode) {
	c := &call{node: n.index, at: s.now, ideal: s.ideal.take(s.now)}
	s.calls = append(s.calls, c)
	if c.token, c.accepted = n.borrower.Take(s.now); !c.accepted {
		n.waiting = append(n.waiting, c)
		s.need(n)
	}
	s.finish(c)
}

// wake lets waiting calls try again.
func (s *sim) wake(n *simNode) {
	waiting := n.waiting
	n.waiting = nil
	for _, c := range waiting {
		if s.now.Sub(c.at) > simPatience {
			continue
		}
		if c.token, c.accepted = n.borrower.TakeWaiting(s.now); !c.accepted {
			n.waiting = append(n.waiting, c)
			continue
		}
		c.at = s.now
		s.finish(c)
	}
	s.need(n)
}

// finish refunds the token of one call in ten, if refunds are simulated.
func (s *sim) finish(c *call) {
	if c.accepted && s.faults.delay > 0 && s.rnd.IntN(10) == 0 {
		s.at(time.Duration(s.rnd.Int64N(int64(40*time.Millisecond))), c.node, func(n *simNode) {
			c.refund = n.borrower.Refund(s.now, c.token)
		})
	}
}

// load lets calls arrive at the given rate for some time; where chooses the node.
func (s *sim) load(d time.Duration, rate float64, where func() int) {
	for t := 0.0; ; {
		t += s.rnd.ExpFloat64() / rate
		if t > d.Seconds() {
			break
		}
		s.at(time.Duration(t*float64(time.Second)), where(), s.arrive)
	}
	s.run(d)
}
