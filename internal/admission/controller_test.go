package admission

import (
	"cmp"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/teaselseam/teaselseam/internal/request"
)

func fixedConfig(slots int) Config {
	return Config{InitialLimit: slots, MinLimit: slots, MaxLimit: slots}
}

func drawCalls(t *rapid.T) []call {
	n := rapid.IntRange(1, 150).Draw(t, "calls")
	gap := rapid.IntRange(0, 20).Draw(t, "largest gap in ms")
	calls := make([]call, n)
	now := time.Duration(0)
	for i := range calls {
		now += time.Duration(rapid.IntRange(0, gap).Draw(t, "gap")) * time.Millisecond
		calls[i] = call{
			workspace:  rapid.SampledFrom([]string{"a", "a", "a", "b", "c"}).Draw(t, "workspace"),
			importance: request.Importance(rapid.IntRange(0, 3).Draw(t, "importance")),
			at:         now,
			service:    time.Duration(rapid.IntRange(1, 40).Draw(t, "service")) * time.Millisecond,
			deadline:   time.Duration(rapid.SampledFrom([]int{0, 30, 100, 1000}).Draw(t, "deadline")) * time.Millisecond,
		}
	}
	return calls
}

// checkOrder verifies that a ticket that has just started was due.
func checkOrder(t *rapid.T, c *Controller, now time.Time, started *Ticket) {
	active := 0
	for _, tn := range c.tenants {
		if tn.inSystem() > 0 {
			active++
		}
	}
	share := c.limiter.limit / float64(active)
	overdrawn := shares{now: now, perWeight: share}.credit(started.tenant) <= 0
	c.queue.each(func(o *Ticket) {
		if o.tenant == started.tenant && o.importance > started.importance {
			t.Fatalf("%v call started before a %v one", started.importance, o.importance)
		}
		if overdrawn && float64(started.tenant.running-1) >= share && float64(o.tenant.running) < share {
			t.Fatalf("%s runs %d calls and started before %s, which runs %d; the share is %.1f",
				started.Workspace(), started.tenant.running, o.Workspace(), o.tenant.running, share)
		}
	})
}

// TestInvariants guards against a call that is lost or ended twice, a limit
// that is exceeded, a slot left idle while calls wait, a call passed by a less
// important one of its workspace, and a workspace passed within its share by
// one over its share.
func TestInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 6).Draw(t, "slots")
		cfg := fixedConfig(slots)
		if rapid.Bool().Draw(t, "learn the limit") {
			cfg.MinLimit, cfg.MaxLimit = 1, 2*slots
		}
		p := &player{c: New(cfg, epoch), calls: drawCalls(t)}
		for i := range p.calls {
			p.calls[i].giveUp = time.Duration(rapid.SampledFrom([]int{0, 0, 15}).Draw(t, "give up")) * time.Millisecond
		}
		p.observe = func() {
			if l := p.c.Load(); l.Queued > 0 && l.Running < l.Limit {
				t.Fatalf("%d calls wait and %d of %d slots are used", l.Queued, l.Running, l.Limit)
			}
		}
		p.started = func(c *call, waited bool) {
			if l := p.c.Load(); l.Running > l.Limit {
				t.Fatalf("%d calls run, the limit is %d", l.Running, l.Limit)
			}
			if waited {
				checkOrder(t, p.c, at(p.now), c.ticket)
			}
		}
		p.play()
		for i := range p.calls {
			c := &p.calls[i]
			if !c.ended || c.refusal.Reason != "" && (c.started || c.refusal.Outcome != request.NotRun || c.refusal.RetryAfter <= 0) {
				t.Fatalf("call %d: ended %v, started %v, refusal %+v", i, c.ended, c.started, c.refusal)
			}
		}
	})
}

// TestServesWhatFitsNaively guards against wrongful refusals: a workload for
// which a plain FIFO has only short waits must be served completely.
func TestServesWhatFitsNaively(t *testing.T) {
	fitting := 0
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 8).Draw(t, "slots")
		p := &player{c: New(fixedConfig(slots), epoch), calls: drawCalls(t)}
		for i, wait := range naiveWaits(p.calls, slots) {
			c := &p.calls[i]
			// The queue may reorder calls within a busy period, so all of it must be short.
			if wait > DefaultMaxWait/8 || c.deadline > 0 && c.deadline < 100*time.Millisecond {
				return
			}
		}
		fitting++
		p.play()
		for i, c := range p.calls {
			if c.refusal.Reason != "" {
				t.Fatalf("call %d of %+v was refused", i, c)
			}
		}
	})
	if fitting < 5 {
		t.Errorf("only %d workloads fitted", fitting)
	}
}

func init() {
	// The same workloads on every run; -rapid.seed overrides it.
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

// poisson appends calls of one workspace with exponential service times.
func poisson(calls []call, rnd *rand.Rand, workspace string, perSecond float64, until time.Duration) []call {
	for now := 0.0; ; {
		now += rnd.ExpFloat64() / perSecond
		c := call{
			workspace:  workspace,
			importance: request.Importance(rnd.IntN(request.NumImportance)),
			at:         time.Duration(now * float64(time.Second)),
			service:    time.Duration(20e6 * rnd.ExpFloat64()),
			deadline:   time.Second,
		}
		if c.at >= until {
			return calls
		}
		calls = append(calls, c)
	}
}

// sorted merges the workspaces' calls.
func sorted(calls []call) []call {
	slices.SortStableFunc(calls, func(a, b call) int { return cmp.Compare(a.at, b.at) })
	return calls
}

// served returns the part of the calls that pass the filter and were served.
func served(calls []call, filter func(*call) bool) float64 {
	n, ok := 0, 0
	for i := range calls {
		if c := &calls[i]; filter(c) {
			n++
			if c.refusal.Reason == "" && c.finished-c.at <= c.deadline {
				ok++
			}
		}
	}
	return float64(ok) / float64(n)
}

// TestWorkspaceAtTenTimesItsRate guards against a large workspace that pushes
// out calls of small ones that are within their share.
func TestWorkspaceAtTenTimesItsRate(t *testing.T) {
	const slots, capacity, seconds = 35, 35 / 0.020, 5
	for seed := range uint64(3) {
		rnd := rand.New(rand.NewPCG(seed, 1))
		calls := poisson(nil, rnd, "large", 10*capacity/8, seconds*time.Second)
		for i := range 7 {
			calls = poisson(calls, rnd, fmt.Sprintf("small %d", i), 0.8*capacity/8, seconds*time.Second)
		}
		p := &player{c: New(fixedConfig(slots), epoch), calls: sorted(calls)}
		p.play()
		for i := range 7 {
			name := fmt.Sprintf("small %d", i)
			atLeast(t, name, served(p.calls, func(c *call) bool { return c.workspace == name }), 0.99)
		}
	}
}

// TestSurge guards against important calls that are shed before others, idle
// slots in a surge, and refusals that go on after it, with a known limit and
// with one that is learned meanwhile.
func TestSurge(t *testing.T) {
	t.Run("fixed", func(t *testing.T) { surge(t, fixedConfig(35), nil, 0.95) })
	t.Run("learned", func(t *testing.T) {
		server := &backend{
			slots: 35, service: 20 * time.Millisecond, kind: "queue",
			slow: func(time.Duration) float64 { return 1 }, rnd: rand.New(rand.NewPCG(2, 2)),
		}
		surge(t, Config{}, server, 0.95)
	})
}

func surge(t *testing.T, cfg Config, server *backend, goodput float64) {
	const begin, end, until = 2 * time.Second, 7 * time.Second, 11 * time.Second
	const capacity = 35 / 0.020
	rnd := rand.New(rand.NewPCG(1, 1))
	calls := poisson(nil, rnd, "a", 0.35*capacity, until)
	calls = poisson(calls, rnd, "b", 0.35*capacity, until)
	for _, c := range poisson(nil, rnd, "a", 2.3*capacity, end-begin) {
		c.at += begin
		calls = append(calls, c)
	}
	p := &player{c: New(cfg, epoch), calls: sorted(calls), server: server}
	p.play()
	inSurge := func(c *call) bool { return c.at >= begin && c.at < end }
	previous := 0.0
	for imp := range request.Importance(request.NumImportance) {
		part := served(p.calls, func(c *call) bool { return inSurge(c) && c.importance == imp })
		t.Logf("%v: %.4f served", imp, part)
		atLeast(t, imp.String(), part, previous)
		previous = part
	}
	total := served(p.calls, inSurge) * 3
	t.Logf("goodput %.3f of capacity", total)
	atLeast(t, "critical calls", previous, 0.99)
	atLeast(t, "goodput in the surge", total, goodput)
	later := served(p.calls, func(c *call) bool { return c.at > end+time.Second })
	atLeast(t, "calls one second after the surge", later, 0.999)
	before := served(p.calls, func(c *call) bool { return c.at < begin })
	atLeast(t, "calls before the surge, after a cold start", before, 0.999)
}

// TestBurstsRaiseTheLimit guards against a limit that stays at its start value
// because demand reaches it only now and then.
func TestBurstsRaiseTheLimit(t *testing.T) {
	var calls []call
	for i := range 1000 {
		calls = append(calls, call{workspace: "a", at: time.Duration(i/20) * 100 * time.Millisecond, service: 20 * time.Millisecond})
	}
	p := &player{c: New(Config{}, epoch), calls: calls}
	p.play()
	atLeast(t, "limit after bursts of 20 calls", float64(p.c.Load().Limit), 20)
}
