package dispatch

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/teaselseam/teaselseam/internal/request"
)

func newQueue(slots int) *Queue { return New(slots, rand.New(rand.NewPCG(1, 1))) }

func root(now time.Time, imp request.Importance, aim time.Duration) Request {
	return Request{Route: "root", Importance: imp, SoftDeadline: now.Add(aim), Deadline: now.Add(4 * aim)}
}

func inner(now time.Time) Request {
	return Request{Route: "inner", Internal: true, SoftDeadline: now.Add(time.Second), Deadline: now.Add(2 * time.Second)}
}

// TestOrder guards against a root that runs before a call of a request that has
// run elsewhere already, and against a less important one before a more important.
func TestOrder(t *testing.T) {
	now := time.Unix(0, 0)
	q := newQueue(1)
	first, _, _ := q.Arrive(now, root(now, request.High, time.Second))
	low, _, _ := q.Arrive(now, root(now, request.Normal, time.Second))
	high, _, _ := q.Arrive(now, root(now, request.High, time.Second))
	call, _, _ := q.Arrive(now, inner(now))
	for i, want := range []*Ticket{call, high, low} {
		got := q.Finish(now, first, Served)
		if len(got) != 1 || got[0] != want {
			t.Fatalf("place %d: got %+v, want %+v", i, got, want.Request)
		}
		first = got[0]
	}
}

// TestCallsLeaveRoom guards against a service of which calls take every slot while
// its own requests wait.
func TestCallsLeaveRoom(t *testing.T) {
	now := time.Unix(0, 0)
	q := newQueue(21) // 19 of them are used
	var running []*Ticket
	for range 19 {
		ticket, _, _ := q.Arrive(now, inner(now))
		running = append(running, ticket)
	}
	for range 30 {
		q.Arrive(now, inner(now))
		q.Arrive(now, root(now, request.Normal, 10*time.Second))
	}
	roots := 0
	for range 30 {
		now = now.Add(time.Millisecond)
		got := q.Finish(now, running[0], Served)
		running = append(running[1:], got...)
		for _, g := range got {
			if !g.Internal {
				roots++
			}
		}
	}
	if roots < 4 || roots > 12 {
		t.Errorf("%d of 30 starts were roots, want about a quarter", roots)
	}
}

// TestShedKeepsHalf guards against a limit that falls to one because a faulty
// backend server sheds whatever its load and calls itself full.
func TestShedKeepsHalf(t *testing.T) {
	now := time.Unix(0, 0)
	q := newQueue(16)
	for range 200 {
		ticket, v, _ := q.Arrive(now, inner(now))
		if v != Run {
			t.Fatalf("verdict %d with nothing running", v)
		}
		q.Finish(now, ticket, AtCapacity)
	}
	if got := q.Load().Limit; got < 7 {
		t.Errorf("limit is %d of 15", got)
	}
}

// TestLateIsRefusedAtOnce guards against holding a request that will miss its aim:
// refused at once, its caller can return within the aim.
func TestLateIsRefusedAtOnce(t *testing.T) {
	now := time.Unix(0, 0)
	q := newQueue(1)
	learn(q, "root", 100*time.Millisecond)
	q.Arrive(now, root(now, request.Normal, time.Second))
	waits := 0
	for range 30 {
		if _, v, _ := q.Arrive(now, root(now, request.Normal, time.Second)); v == Wait {
			waits++
		}
	}
	if waits < 4 || waits > 8 {
		t.Errorf("%d requests of 100 ms wait for an aim of 1 s", waits)
	}
	_, v, evicted := q.Arrive(now, root(now, request.Critical, time.Second))
	if v != Wait || len(evicted) == 0 {
		t.Errorf("a more important request: verdict %d, %d made room", v, len(evicted))
	}
}

func learn(q *Queue, route string, cost time.Duration) {
	now := time.Unix(0, 0)
	for range 100 {
		ticket, _, _ := q.Arrive(now, Request{Route: route, Deadline: now.Add(time.Hour)})
		now = now.Add(cost)
		q.Finish(now, ticket, Served)
	}
}

// arrivals is a heap of ends of running requests.
type arrivals []*Ticket

func (a arrivals) Len() int           { return len(a) }
func (a arrivals) Less(i, j int) bool { return a[i].Owner.(time.Time).Before(a[j].Owner.(time.Time)) }
func (a arrivals) Swap(i, j int)      { a[i], a[j] = a[j], a[i] }
func (a *arrivals) Push(x any)        { *a = append(*a, x.(*Ticket)) }
func (a *arrivals) Pop() any {
	old := *a
	x := old[len(old)-1]
	*a = old[:len(old)-1]
	return x
}

// TestTwiceTheLoad replays the load pattern of the package comment: twice what the
// slots serve for 20 s, two levels of importance and calls of running requests.
// Served in order of arrival nearly everything is late; here what runs is in time,
// calls and important requests first.
func TestTwiceTheLoad(t *testing.T) {
	for seed := range uint64(5) {
		inTime, asked := overload(seed)
		if got := inTime["inner"] / asked["inner"]; got < 0.95 {
			t.Errorf("seed %d: %.2f of the calls are in time", seed, got)
		}
		if got := inTime["important"] / asked["important"]; got < 0.9 {
			t.Errorf("seed %d: %.2f of the important requests are in time", seed, got)
		}
		// 5 ms x 300 calls and 40 ms x 100 important requests of 17 slots a second
		// leave room for 280 of the 710 others.
		if got := inTime["other"] / asked["other"]; got < 0.3 {
			t.Errorf("seed %d: %.2f of the other requests are in time", seed, got)
		}
	}
}

func overload(seed uint64) (inTime, asked map[string]float64) {
	const step = time.Millisecond
	rnd := rand.New(rand.NewPCG(seed, 7))
	q := New(18, rnd)
	now := time.Unix(0, 0)
	inTime, asked = map[string]float64{}, map[string]float64{}
	cost := map[string]float64{"inner": 5, "important": 40, "other": 40}
	rate := map[string]float64{"inner": 300, "important": 100, "other": 710}
	var running arrivals
	begin := func(ts []*Ticket) {
		for _, x := range ts {
			x.Owner = now.Add(time.Duration(rnd.ExpFloat64() * cost[x.Route] * float64(time.Millisecond)))
			heap.Push(&running, x)
		}
	}
	for range 20_000 {
		now = now.Add(step)
		for len(running) > 0 && !running[0].Owner.(time.Time).After(now) {
			x := heap.Pop(&running).(*Ticket)
			if !now.After(x.SoftDeadline) {
				inTime[x.Route]++
			}
			begin(q.Finish(now, x, Served))
		}
		q.Tick(now)
		for _, name := range []string{"inner", "important", "other"} {
			if rnd.Float64() >= rate[name]*step.Seconds() {
				continue
			}
			asked[name]++
			r := Request{Route: name, Internal: name == "inner", SoftDeadline: now.Add(600 * time.Millisecond), Deadline: now.Add(2 * time.Second)}
			if name == "important" {
				r.Importance = request.Critical
			}
			if x, v, _ := q.Arrive(now, r); v == Run {
				begin([]*Ticket{x})
			}
		}
	}
	return inTime, asked
}
