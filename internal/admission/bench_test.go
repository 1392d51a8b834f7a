package admission

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/teaselseam/teaselseam/internal/request"
)

// overloadedController returns a controller at its limit with a full queue, in which
// requests of all workspaces wait. It also returns the arrival of each workspace and the
// running tickets.
func overloadedController(b *testing.B, workspaces int) (*Controller, []Arrival, []*Ticket) {
	b.Helper()
	cfg := fixedConfig(35)
	cfg.Rand = rand.New(rand.NewPCG(1, 1))
	c := New(cfg, epoch)
	arrivals := make([]Arrival, workspaces)
	for i := range arrivals {
		arrivals[i] = Arrival{
			Workspace: fmt.Sprintf("workspace %d", i), Weight: 1,
			Importance: request.Importance(i % 2), Deadline: at(time.Hour),
		}
	}
	var running []*Ticket
	for i := range 2000 {
		if t, d := c.Arrive(at(time.Duration(i)*100*time.Microsecond), arrivals[i%workspaces]); d.Verdict == Run {
			running = append(running, t)
		}
	}
	return c, arrivals, running
}

// BenchmarkRun measures a request that runs at once, from arrival to finish.
func BenchmarkRun(b *testing.B) {
	c := New(fixedConfig(35), epoch)
	a := Arrival{Workspace: "a", Weight: 1, Importance: request.Normal, Deadline: at(time.Hour)}
	now := epoch
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Millisecond)
		t, _ := c.Arrive(now, a)
		c.Finish(now, t, Served)
	}
}

// benchmarkOverloaded runs a benchmark of one step under overload, with few and with many
// workspaces waiting.
func benchmarkOverloaded(b *testing.B, step func(b *testing.B, c *Controller, i int, a Arrival, running []*Ticket)) {
	for _, workspaces := range []int{8, 100} {
		b.Run(fmt.Sprintf("workspaces=%d", workspaces), func(b *testing.B) {
			c, arrivals, running := overloadedController(b, workspaces)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				step(b, c, i, arrivals[i%workspaces], running)
			}
		})
	}
}

// BenchmarkWaitAndRun measures a request that finishes, a waiting one that starts, and a
// new one that is queued.
func BenchmarkWaitAndRun(b *testing.B) {
	benchmarkOverloaded(b, func(b *testing.B, c *Controller, i int, a Arrival, running []*Ticket) {
		now := at(time.Second + time.Duration(i)*300*time.Microsecond)
		n := i % len(running)
		if started := c.Finish(now, running[n], Served); len(started) > 0 {
			running[n] = started[0]
		}
		if t, d := c.Arrive(now, a); d.Verdict == Run {
			running[n] = t
		}
	})
}

// BenchmarkRefuse measures a request that is refused because the queue is full.
func BenchmarkRefuse(b *testing.B) {
	benchmarkOverloaded(b, func(b *testing.B, c *Controller, _ int, a Arrival, _ []*Ticket) {
		a.Workspace, a.Importance = "workspace 0", request.Sheddable
		if _, d := c.Arrive(at(time.Second), a); d.Verdict != Refuse {
			b.Fatal("request not refused although the queue is full")
		}
	})
}

// BenchmarkEvict measures a request that displaces a less important one, and the two
// decisions that restore the queue.
func BenchmarkEvict(b *testing.B) {
	benchmarkOverloaded(b, func(b *testing.B, c *Controller, i int, a Arrival, _ []*Ticket) {
		now := at(time.Second + time.Duration(i)*time.Microsecond)
		a.Importance = request.High
		t, d := c.Arrive(now, a)
		if d.Evicted == nil {
			b.Fatalf("no request evicted: decision %+v, load %+v", d, c.Load())
		}
		c.Cancel(now, t)
		a.Importance = request.Sheddable
		c.Arrive(now, a)
	})
}

// BenchmarkTick measures Tick with a full queue.
func BenchmarkTick(b *testing.B) {
	benchmarkOverloaded(b, func(b *testing.B, c *Controller, _ int, _ Arrival, _ []*Ticket) {
		c.Tick(at(200 * time.Millisecond))
	})
}
