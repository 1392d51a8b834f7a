package pressure

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/teaselseam/teaselseam/internal/request"
)

// policy decides at an ingress.
type policy func(t *Table, now time.Time, q Request, rnd *rand.Rand) bool

func admitAll(*Table, time.Time, Request, *rand.Rand) bool { return true }

func byPressure(t *Table, now time.Time, q Request, rnd *rand.Rand) bool {
	_, ok := t.AdmitRequest(now, q, rnd)
	return ok
}

// withoutShares does not tell workspaces apart.
func withoutShares(t *Table, now time.Time, q Request, rnd *rand.Rand) bool {
	_, ok := t.Admit(now, q.Route, q.Importance, q.Remaining, rnd)
	return ok
}

// chances counts, per route and importance, the recent requests of an ingress
// and those of them that completed in time.
type chances map[chanceKey]*chance

type chanceKey struct {
	t     *Table
	route string
	imp   request.Importance
}

type chance struct {
	requests, completed float64
	at                  time.Time
}

func (c chances) get(now time.Time, k chanceKey) *chance {
	v := c[k]
	if v == nil {
		v = &chance{}
		c[k] = v
	}
	decay := math.Exp(-now.Sub(v.at).Seconds()) // over one second
	v.requests, v.completed, v.at = v.requests*decay, v.completed*decay, now
	return v
}

// admit refuses requests in proportion to those that did not complete. It lets
// half as many again pass as completed, which are the probes.
func (c chances) admit(t *Table, now time.Time, q Request, rnd *rand.Rand) bool {
	v := c.get(now, chanceKey{t, q.Route, q.Importance})
	refuse := (v.requests - 1.5*v.completed) / (v.requests + 1)
	if q.Importance >= request.Critical || rnd.Float64() >= refuse {
		return true
	}
	v.requests++
	return false
}

// learn takes the end of a request that was admitted.
func (c chances) learn(now time.Time, q *graphRequest, inTime bool) {
	v := c.get(now, chanceKey{q.ingress, q.Route, q.Importance})
	v.requests++
	if inTime {
		v.completed++
	}
}

// station is a service with one backend server.
type station struct {
	name string
	q    waitingLine
	work time.Duration // mean time of a call without onward calls
}

// graphRequest passes stations 0 to last and comes back.
type graphRequest struct {
	Request
	ingress      *Table
	sent         time.Duration
	last         int
	tickets      [3]any
	spent        time.Duration // work done for it
	reached      int
	ok, admitted bool
	done         time.Duration
}

type event struct {
	at  time.Duration
	run func()
}

type eventHeap []event

func (h eventHeap) Len() int           { return len(h) }
func (h eventHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h eventHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)        { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

const (
	hop           = 500 * time.Microsecond
	slowFactor    = 4
	modelDeadline = 500 * time.Millisecond
	slowFrom      = 3 * time.Second
	slowUntil     = 8 * time.Second
	modelEnd      = 12 * time.Second
	deepRate      = 600 // requests a second; the slow service can do 187
	shallowRate   = 600
)

// graph is a chain of three services. Route "deep" passes all of them, route
// "shallow" only the first one. The last service becomes slower.
type graph struct {
	now      time.Duration
	events   eventHeap
	rnd      *rand.Rand
	admit    policy
	chances  chances
	stations [3]*station
	requests []*graphRequest
}

func (g *graph) time() time.Time { return time.Unix(1_700_000_000, 0).Add(g.now) }

func (g *graph) after(d time.Duration, run func()) { heap.Push(&g.events, event{g.now + d, run}) }

func (g *graph) exp(mean time.Duration) time.Duration {
	return time.Duration(g.rnd.ExpFloat64() * float64(mean))
}

// newGraph takes nil for the policy that learns chances. There are eight
// workspaces; w0 sends largeFactor times as much as each other one.
func newGraph(seed uint64, ingressCount, largeFactor int, admit policy, newLine newWaitingLine) *graph {
	g := &graph{rnd: rand.New(rand.NewPCG(seed, 3)), admit: admit, chances: chances{}}
	if admit == nil {
		g.admit = g.chances.admit
	}
	for i, slots := range []int{50, 35, 15} {
		work := []time.Duration{5, 10, 20}[i] * time.Millisecond
		g.stations[i] = &station{fmt.Sprintf("s%d", i), newLine(slots, g.time(), g.rnd), work}
	}
	ingresses := make([]*Table, ingressCount)
	for i := range ingresses {
		ingresses[i] = NewTable()
	}
	source := func(route string, last int, rate float64) {
		for at := 0.0; at < modelEnd.Seconds(); at += g.rnd.ExpFloat64() / rate {
			q := &graphRequest{
				Request: Request{
					Route: route, Workspace: fmt.Sprintf("w%d", max(0, g.rnd.IntN(7+largeFactor)-largeFactor+1)),
					Importance: request.Importance(g.rnd.IntN(request.NumImportance)), Remaining: modelDeadline,
				},
				ingress: ingresses[g.rnd.IntN(len(ingresses))], last: last, sent: time.Duration(at * float64(time.Second)),
			}
			g.requests = append(g.requests, q)
			g.after(q.sent, func() { g.enter(q) })
		}
	}
	source("deep", 2, deepRate)
	source("shallow", 0, shallowRate)
	for t := time.Duration(0); t < modelEnd+time.Second; t += 5 * time.Millisecond {
		g.after(t, g.tick)
	}
	return g
}

func (g *graph) run() {
	for len(g.events) > 0 {
		e := heap.Pop(&g.events).(event)
		g.now = e.at
		e.run()
	}
}

func (g *graph) enter(q *graphRequest) {
	q.admitted = g.admit(q.ingress, g.time(), q.Request, g.rnd)
	if q.admitted {
		g.arrive(q, 0)
	}
}

func (g *graph) arrive(q *graphRequest, i int) {
	q.reached = i
	runs, refused := g.stations[i].q.arrive(g.time(), q, i, g.time().Add(q.sent+modelDeadline-g.now))
	for _, r := range refused {
		g.back(r, i-1)
	}
	if runs {
		g.work(q, i)
	}
}

func (g *graph) work(q *graphRequest, i int) {
	mean := g.stations[i].work
	if i == 2 && g.now >= slowFrom && g.now < slowUntil {
		mean *= slowFactor
	}
	took := g.exp(mean)
	q.spent += took
	g.after(took, func() {
		if i == q.last {
			q.ok = true
			g.back(q, i)
			return
		}
		g.after(hop, func() { g.arrive(q, i+1) })
	})
}

// back takes the response through station i and on to the ingress.
func (g *graph) back(q *graphRequest, i int) {
	if i < 0 {
		var hints []Hint
		for _, s := range g.stations[1 : q.reached+1] {
			hints = append(hints, s.q.load(q).Hint(s.name))
		}
		q.done = g.now
		g.after(hop, func() {
			q.ingress.Observe(g.time(), q.Route, hints)
			g.chances.learn(g.time(), q, q.ok && g.now-q.sent <= modelDeadline)
		})
		return
	}
	for _, next := range g.stations[i].q.finish(g.time(), q, i) {
		g.work(next, i)
	}
	g.after(hop, func() { g.back(q, i-1) })
}

func (g *graph) tick() {
	for i, s := range g.stations {
		started, refused := s.q.tick(g.time())
		for _, q := range refused {
			g.back(q, i-1)
		}
		for _, q := range started {
			g.work(q, i)
		}
	}
}

// tally counts requests and those that completed in time.
type tally struct{ sent, good float64 }

func (t *tally) add(good bool) {
	t.sent++
	if good {
		t.good++
	}
}

func (t tally) part() float64 { return t.good / t.sent }

// outcome summarizes the requests of a route that were sent in a period.
type outcome struct {
	all, critical, small tally // small: all workspaces but w0
	work, wasted         time.Duration
}

func (g *graph) add(o *outcome, route string, from, to time.Duration) {
	for _, q := range g.requests {
		if q.Route != route || q.sent < from || q.sent >= to {
			continue
		}
		good := q.ok && q.done-q.sent <= modelDeadline
		o.all.add(good)
		if q.Importance == request.Critical {
			o.critical.add(good)
		}
		if q.Workspace != "w0" {
			o.small.add(good)
		}
		o.work += q.spent
		if !good {
			o.wasted += q.spent
		}
	}
}

type figures struct{ deep, shallow, before, after outcome }

func (f *figures) goodput() float64 {
	return f.deep.all.good / (modelSeeds * (slowUntil - slowFrom - time.Second).Seconds())
}

func (f *figures) wasted() float64 { return f.deep.wasted.Seconds() / f.deep.work.Seconds() }

const modelSeeds = 3

func simulate(ingresses, largeFactor int, admit policy, newLine newWaitingLine) *figures {
	f := &figures{}
	for seed := range uint64(modelSeeds) {
		g := newGraph(seed, ingresses, largeFactor, admit, newLine)
		g.run()
		g.add(&f.deep, "deep", slowFrom+time.Second, slowUntil)
		g.add(&f.shallow, "shallow", slowFrom+time.Second, slowUntil)
		g.add(&f.before, "deep", 0, slowFrom)
		g.add(&f.after, "deep", slowUntil+time.Second, modelEnd)
	}
	return f
}

// TestEarlyRefusal guards the choice recorded in docs/decisions/early-refusal.md
// and its figures: that the slow service stays busy, that services before it
// stay free for other routes, that important requests and small workspaces are
// served, and that nothing is refused before and a second after the slowdown.
func TestEarlyRefusal(t *testing.T) { testEarlyRefusal(t, newAdmissionLine) }

// TestEarlyRefusalBesideDispatch guards the same with the queue that nodes run. It is in
// KNOWN-RED.txt: that queue does not tell workspaces apart.
func TestEarlyRefusalBesideDispatch(t *testing.T) { testEarlyRefusal(t, newDispatchLine) }

func testEarlyRefusal(t *testing.T, newLine newWaitingLine) {
	const slowCapacity = 15 / 0.020 / slowFactor
	policies := map[string]policy{"none": admitAll, "pressure, no shares": withoutShares, "pressure": byPressure}
	for _, ingresses := range []int{4, 100} {
		for _, large := range []int{1, 35} {
			results := map[string]*figures{}
			for _, name := range []string{"none", "chance", "pressure, no shares", "pressure"} {
				f := simulate(ingresses, large, policies[name], newLine)
				results[name] = f
				t.Logf("| %s | %d | %d | %.0f | %.3f | %.3f | %.3f | %.3f | %.3f | %.4f | %.4f |",
					name, ingresses, large, f.goodput(), f.wasted(), f.deep.critical.part(), f.deep.small.part(),
					f.shallow.all.part(), f.shallow.small.part(), f.before.all.part(), f.after.all.part())
			}
			name := fmt.Sprintf("%d ingresses, factor %d: ", ingresses, large)
			f, none := results["pressure"], results["none"]
			atLeast(t, name+"goodput", f.goodput(), 0.9*slowCapacity)
			atLeast(t, name+"before", f.before.all.part(), 0.999)
			atLeast(t, name+"after", f.after.all.part(), 0.995)
			if large > 1 {
				atLeast(t, name+"small workspaces", f.deep.small.part(), 0.97)
				atLeast(t, name+"small workspaces on the other route", f.shallow.small.part(), 0.99)
				continue
			}
			atLeast(t, name+"critical", f.deep.critical.part(), 0.98)
			if ingresses == 4 {
				atLeast(t, name+"waste saved", none.wasted()/f.wasted(), 4)
			}
			atLeast(t, name+"other route", f.shallow.all.part(), none.shallow.all.part())
		}
	}
}

// TestEarlyRefusalManyIngresses guards against early refusal that saves less than
// half of the wasted work when each of many ingresses has few requests, so that
// hints and counts are rare.
func TestEarlyRefusalManyIngresses(t *testing.T) { testManyIngresses(t, newAdmissionLine) }

// TestEarlyRefusalManyIngressesBesideDispatch guards the same with the queue that nodes
// run. It is in KNOWN-RED.txt.
func TestEarlyRefusalManyIngressesBesideDispatch(t *testing.T) { testManyIngresses(t, newDispatchLine) }

func testManyIngresses(t *testing.T, newLine newWaitingLine) {
	none, f := simulate(100, 1, admitAll, newLine), simulate(100, 1, byPressure, newLine)
	atLeast(t, "waste saved", none.wasted()/f.wasted(), 2)
}

func atLeast(t *testing.T, what string, got, want float64) {
	t.Helper()
	if got < want {
		t.Errorf("%s is %.4f, want at least %.4f", what, got, want)
	}
}
