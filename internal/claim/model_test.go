package claim

import (
	"fmt"
	"time"

	"github.com/google/uuid"
	"pgregory.net/rapid"

	"github.com/teaselseam/teaselseam/internal/request"
	"github.com/teaselseam/teaselseam/internal/ring"
)

// variant is a rule for claims. The zero value is the rule of this package; each
// field weakens it in one respect.
type variant struct {
	noClaims   bool          // guards run without asking
	oneHolder  bool          // the first claim holder alone decides
	newestOnly bool          // claims are needed in the newest epoch only
	localTimer bool          // each node ends epochs 120 s after it saw the next one
	anyHolder  bool          // holders grant without freshness and epoch check
	retire     time.Duration // epochs end this long after the next one settled
}

const modelNodes = 8

// step is one event of a history. The meaning of a and b depends on the kind.
type step struct{ kind, a, b int }

var kinds = []string{
	"deliver", "deliver", "deliver", "deliver all", "deliver all", "deliver all", "duplicate", "lose",
	"send", "send", "send", "run", "run", "learn", "learn all", "commit", "settle", "change ring",
	"advance", "step clock", "crash", "release", "new ID", "new ID",
}

var advances = []time.Duration{time.Second, 10 * time.Second, 30 * time.Second, 125 * time.Second, 200 * time.Second}

var histories = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step {
	return step{
		kind: rapid.IntRange(0, len(kinds)-1).Draw(t, "kind"),
		a:    rapid.IntRange(0, 63).Draw(t, "a"),
		b:    rapid.IntRange(0, 9).Draw(t, "b"),
	}
}), 30, 120)

type node struct {
	holder      *Holder
	clock       *Clock
	incarnation int
	offset      time.Duration // of the wall clock
	seen        []time.Time   // when it learned each epoch; its length is the number of epochs it knows
}

type attempt struct {
	*Round
	guard       int
	incarnation int
	id          request.ID
}

type message struct {
	attempt *attempt
	ask     Ask
	release *AskRelease
	reply   *Reply
}

// world holds nodes, the messages on their way, and what has been committed.
type world struct {
	variant  variant
	now      time.Time
	epochs   []*ring.Epoch
	settled  []time.Time // of each settled epoch
	known    ring.Settlements
	nodes    [modelNodes]*node
	messages []message
	attempts []*attempt
	id       request.ID
	runs     map[request.ID]int
	fault    string
}

// play runs a history and returns what went wrong, or an empty string.
func play(v variant, steps []step) string {
	w := &world{variant: v, now: time.Unix(1_700_000_000, 0), runs: map[request.ID]int{}}
	for i := range w.nodes {
		w.nodes[i] = &node{}
		w.start(i)
	}
	w.commit(1<<6 - 1) // all nodes
	w.settle()
	for i := range w.nodes {
		w.learn(i)
	}
	w.newID(0)
	for _, s := range steps {
		w.step(s)
		if w.fault != "" {
			return w.fault
		}
	}
	return ""
}

func (w *world) step(s step) {
	n := s.a % modelNodes
	switch kinds[s.kind] {
	case "deliver":
		w.take(s.a, true)
	case "deliver all":
		for range 2 * len(w.messages) { // requests and their replies
			w.take(0, true)
		}
	case "lose":
		w.take(s.a, false)
	case "duplicate":
		if len(w.messages) > 0 {
			w.messages = append(w.messages, w.messages[s.a%len(w.messages)])
		}
	case "send":
		w.send(n)
	case "run":
		w.run(s.a)
	case "release":
		w.release(s.a)
	case "learn":
		w.learn(n)
	case "learn all": // by one node or by all
		for i := range w.nodes {
			for range w.epochs {
				if i == n || s.b >= 5 {
					w.learn(i)
				}
			}
		}
	case "commit":
		w.commit(s.a)
	case "change ring": // and end the older epochs
		w.commit(s.a)
		w.settle()
		w.now = w.now.Add(advances[s.b%len(advances)])
		w.commit(s.a)
	case "settle":
		w.settle()
	case "advance":
		w.now = w.now.Add(advances[s.b%len(advances)])
	case "step clock":
		w.nodes[n].offset = ring.MaxClockError * time.Duration(s.b-5) / 5
	case "crash":
		w.start(n)
	case "new ID":
		w.newID(s.b)
	}
}

func (w *world) start(i int) {
	n := w.nodes[i]
	n.incarnation++
	n.clock = &Clock{}
	n.holder = NewHolder(Config{Incarnation: fmt.Sprint(n.incarnation)})
	n.seen = nil
	for range w.epochs { // a node that starts reads the platform
		w.learn(i)
	}
}

// commit adds an epoch of some of the nodes, in their present incarnations.
func (w *world) commit(set int) {
	var members []ring.Member
	for i, n := range w.nodes {
		if i == set%modelNodes || set>>(i%6)&1 == 1 {
			members = append(members, ring.Member{
				Node: fmt.Sprint("n", i), Incarnation: fmt.Sprint(n.incarnation), DataCentre: fmt.Sprint("dc", i%3),
			})
		}
	}
	number, oldest := int64(len(w.epochs)+1), int64(1)
	if number > 1 {
		oldest = w.oldest()
	}
	e, err := ring.NewEpoch(number, oldest, members)
	if err != nil {
		panic(err)
	}
	w.epochs = append(w.epochs, e)
}

func (w *world) oldest() int64 {
	last := w.epochs[len(w.epochs)-1]
	if w.variant.retire == 0 {
		h, err := ring.NewHistory(w.epochs)
		if err != nil {
			panic(err)
		}
		return w.known.Oldest(w.now, h)
	}
	oldest := last.Oldest()
	for i, at := range w.settled {
		if w.now.Sub(at) > w.variant.retire {
			oldest = max(oldest, int64(i+1))
		}
	}
	return oldest
}

func (w *world) settle() {
	for len(w.settled) < len(w.epochs) {
		w.settled = append(w.settled, w.now)
		w.known.Settled(w.now, int64(len(w.settled)))
	}
}

func (w *world) learn(i int) {
	n := w.nodes[i]
	if len(n.seen) == len(w.epochs) {
		return
	}
	n.seen = append(n.seen, w.now)
	n.holder.Learn(int64(len(n.seen)))
	for _, a := range w.attempts {
		if a.guard == i && a.incarnation == n.incarnation {
			a.Learned(w.history(n, a.id))
			w.ask(a)
		}
	}
}

// history returns the epochs that a guard uses for an ID under the variant.
func (w *world) history(n *node, id request.ID) ring.History {
	oldest := len(n.seen)
	if !w.variant.newestOnly {
		oldest = int(w.epochs[len(n.seen)-1].Oldest())
	}
	if w.variant.localTimer {
		for oldest = 1; oldest < len(n.seen) && w.now.Sub(n.seen[oldest]) > ring.IDLifetime; {
			oldest++
		}
	}
	var epochs []*ring.Epoch
	for _, e := range w.epochs[oldest-1 : len(n.seen)] {
		members := e.Members()
		if w.variant.oneHolder {
			members = e.ClaimHolders(string(id))[:1]
		}
		e, err := ring.NewEpoch(e.Number(), int64(oldest), members)
		if err != nil {
			panic(err)
		}
		epochs = append(epochs, e)
	}
	h, err := ring.NewHistory(epochs)
	if err != nil {
		panic(err)
	}
	return h
}

func (w *world) wall(n *node) time.Time { return w.now.Add(n.offset) }

func (w *world) newID(ahead int) {
	var u uuid.UUID
	ms := w.now.Add(time.Duration(ahead) * ring.IDAhead / 10).UnixMilli()
	for i := range 6 {
		u[i] = byte(ms >> (40 - 8*i))
	}
	u[6], u[8], u[15] = 0x70, 0x80, byte(len(w.runs))
	w.id = request.ID(u.String())
	w.runs[w.id] = 0
}

func (w *world) send(guard int) {
	n := w.nodes[guard]
	a := &attempt{guard: guard, incarnation: n.incarnation, id: w.id}
	a.Round = NewRound(w.wall(n), n.clock, w.history(n, w.id), Attempt{
		ID: w.id, Claimant: fmt.Sprint(guard, "/", n.incarnation), Token: fmt.Sprint(len(w.attempts)),
	})
	if w.variant.noClaims && a.status == Pending {
		a.status = Holding
	}
	w.attempts = append(w.attempts, a)
	w.ask(a)
}

func (w *world) ask(a *attempt) {
	for _, ask := range a.Asks() {
		w.messages = append(w.messages, message{attempt: a, ask: ask})
	}
}

// take removes a message and delivers or loses it.
func (w *world) take(i int, deliver bool) {
	if len(w.messages) == 0 {
		return
	}
	i %= len(w.messages)
	m := w.messages[i]
	w.messages = append(w.messages[:i:i], w.messages[i+1:]...)
	switch {
	case m.reply != nil && deliver:
		m.attempt.Replied(m.ask, *m.reply)
	case m.release != nil && deliver:
		n := w.receiver(m.release.Holder)
		n.holder.Release(w.wall(n), m.release.Release)
	case m.reply == nil && m.release == nil && deliver:
		n := w.receiver(m.ask.Holder)
		w.refresh(n, m.ask.Acquire)
		reply := n.holder.Acquire(w.wall(n), m.ask.Acquire)
		w.messages = append(w.messages, message{attempt: m.attempt, ask: m.ask, reply: &reply})
	case m.reply == nil && m.release == nil:
		m.attempt.Failed(m.ask)
	}
}

func (w *world) receiver(m ring.Member) *node {
	var i int
	if _, err := fmt.Sscanf(m.Node, "n%d", &i); err != nil {
		panic(err)
	}
	return w.nodes[i]
}

// refresh sets how long the holder is fresh: a fresh node knows every epoch that
// has been settled for the freshness bound.
func (w *world) refresh(n *node, r Acquire) {
	until := w.now.Add(ring.FreshnessBound)
	if len(n.seen) < len(w.settled) {
		until = w.settled[len(n.seen)].Add(ring.FreshnessBound)
	}
	n.holder.SetFreshUntil(until.Add(n.offset))
	if w.variant.anyHolder || w.variant.localTimer {
		n.holder.SetFreshUntil(w.now.Add(time.Hour))
		n.holder.newest = r.Epoch
	}
}

// run starts the call of an attempt that holds its claim, if its guard still
// exists. A guard that paused since the grant may do so at any time.
func (w *world) run(i int) {
	if a := w.holding(i); a != nil && a.Start() {
		if w.runs[a.id]++; w.runs[a.id] > 1 {
			w.fault = "two attempts ran"
		}
	}
}

// release ends an attempt; its guard answers "not run" if it held the claim.
func (w *world) release(i int) {
	a := w.holding(i)
	if a == nil {
		return
	}
	asks, held := a.Release()
	for _, r := range asks {
		w.messages = append(w.messages, message{attempt: a, release: &r})
	}
	if held && w.runs[a.id] > 0 {
		w.fault = "a not run reply for a call that ran"
	}
}

// holding returns an attempt that holds its claim; i chooses among several.
func (w *world) holding(i int) *attempt {
	for j := range w.attempts {
		a := w.attempts[(i+j)%len(w.attempts)]
		if a.Status() == Holding && a.incarnation == w.nodes[a.guard].incarnation {
			return a
		}
	}
	return nil
}
