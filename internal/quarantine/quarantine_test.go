package quarantine

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"pgregory.net/rapid"
)

var start = time.Unix(1e9, 0)

func deathID(n uint64) (id DeathID) {
	binary.BigEndian.PutUint64(id[:], n)
	return id
}

func makeDeath(n uint64, at time.Time, age time.Duration, names ...string) Death {
	d := Death{ID: deathID(n), At: at}
	for _, name := range names {
		d.Suspects = append(d.Suspects, Suspect{IDFingerprint("w", name), age})
	}
	slices.SortFunc(d.Suspects, func(a, b Suspect) int { return compareFingerprints(a.Fingerprint, b.Fingerprint) })
	return d
}

// TestTraces guards the rules one by one: two deaths refuse, completed runs, order,
// ambiguity, lifts and expiry.
func TestTraces(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		s, now := NewSet(), start
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			var names []string
			var n uint64
			age, ms := 10, 0
			for _, a := range d.CmdArgs {
				if a.Key == "on" {
					names = a.Vals
				}
			}
			d.MaybeScanArgs(t, "id", &n)
			d.MaybeScanArgs(t, "age", &age)
			d.MaybeScanArgs(t, "ms", &ms)
			now = now.Add(time.Duration(ms) * time.Millisecond)
			switch d.Cmd {
			case "reset":
				s = NewSet()
			case "death":
				death := makeDeath(n, now, time.Duration(age)*time.Millisecond, names...)
				return fmt.Sprintf("new: %d", len(s.Merge(now, Evidence{Deaths: []Death{death}}).Deaths))
			case "completed":
				_, spread := s.RecordCompletion(now, IDFingerprint("w", names[0]))
				return fmt.Sprintf("spread: %t", spread)
			case "lift":
				s.Lift(IDFingerprint("w", names[0]), now)
			case "expire":
				s.Expire(now)
				return fmt.Sprintf("deaths: %d", len(s.deaths))
			case "refuses":
				var out []string
				for _, name := range names {
					r, refused := s.Refuses(now, IDFingerprint("w", name))
					out = append(out, fmt.Sprintf("%s: %t %v", name, refused, r.RetryAfter))
				}
				return strings.Join(out, "\n")
			}
			return ""
		})
	})
}

// TestMergeIsUnion guards against nodes that differ for ever because evidence
// reached them in another order or twice.
func TestMergeIsUnion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rnd := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		now := start.Add(time.Minute)
		var parts []Evidence
		for n := range rapid.Uint64Range(1, 300).Draw(t, "parts") {
			at := start.Add(time.Duration(rnd.Int64N(int64(time.Minute))))
			name := string(rune('a' + rnd.IntN(6)))
			if rnd.IntN(3) == 0 {
				parts = append(parts, Evidence{Completions: []Completion{{IDFingerprint("w", name), at}}})
			} else {
				parts = append(parts, Evidence{Deaths: []Death{makeDeath(n, at, time.Millisecond, name, "z")}})
			}
		}
		a, b := NewSet(), NewSet()
		for _, e := range parts {
			a.Merge(now, e)
			a.Merge(now, e)
		}
		rnd.Shuffle(len(parts), func(i, j int) { parts[i], parts[j] = parts[j], parts[i] })
		for _, e := range parts {
			b.Merge(now, e)
		}
		full := Evidence{Digest: 1}
		if string(Encode(a.Reply(full))) != string(Encode(b.Reply(full))) || len(a.deaths) > MaxDeaths {
			t.Fatalf("sets with %d and %d deaths differ", len(a.deaths), len(b.deaths))
		}
		if again := a.Merge(now, b.Reply(full)); len(again.Deaths)+len(again.Completions) > 0 {
			t.Fatal("evidence that is known was reported as new")
		}
	})
}

// TestDecodeIsStrict guards against a peer's bytes that crash the node, that exceed
// the bounds, or that have two forms.
func TestDecodeIsStrict(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := Evidence{
			Deaths:    []Death{makeDeath(1, start, time.Second, "a", "b"), makeDeath(2, start, 0, "c")},
			Completions: []Completion{{IDFingerprint("w", "a"), start}},
		}
		b := Encode(e)
		if back, err := Decode(b); err != nil || string(Encode(back)) != string(b) {
			t.Fatalf("decoding of own encoding: %v", err)
		}
		for range rapid.IntRange(1, 3).Draw(t, "changes") {
			i := rapid.IntRange(0, len(b)-1).Draw(t, "offset")
			b[i] = rapid.Byte().Draw(t, "byte")
		}
		b = append(b[:rapid.IntRange(0, len(b)).Draw(t, "length")], rapid.SliceOfN(rapid.Byte(), 0, 3).Draw(t, "tail")...)
		if back, err := Decode(b); err == nil && string(Encode(back)) != string(b) {
			t.Fatal("accepted a form that is not canonical")
		}
	})
	huge := append(Encode(Evidence{})[:9], 0xff, 0xff, 0x03) // 65,535 deaths
	if _, err := Decode(huge); err == nil {
		t.Error("accepted a count over the bound")
	}
}

// fleet is a group of guards whose evidence spreads after some steps. Lost calls
// are sent again at once to another guard.
type fleet struct {
	rnd     *rand.Rand
	now     time.Time
	step    int
	delay   int // steps until evidence reaches the other guards
	guards  []*guard
	deaths  uint64
	ids     int
	pending []pending
	crashes int // deaths caused by the crashing request
	refused time.Duration
}

type guard struct {
	record  *RunTracker
	set     *Set
	running []*call
}

type call struct {
	id, body string
	ends     int
	crasher  bool
}

func (c *call) prints() []Fingerprint {
	return []Fingerprint{IDFingerprint("w", c.id), BodyFingerprint("r", "w", []byte(c.body))}
}

type pending struct {
	step int
	e    Evidence
	call *call
}

// send starts a call, or notes the longest refusal of an innocent one.
func (f *fleet) send(c *call) {
	g := f.guards[f.rnd.IntN(len(f.guards))]
	if r, refused := g.set.Refuses(f.now, c.prints()...); refused {
		if !c.crasher {
			f.refused = max(f.refused, r.RetryAfter)
		}
		return
	}
	if !g.record.MayStart(f.now, g.set, c.prints()...) || len(g.running) >= 20 {
		f.pending = append(f.pending, pending{step: f.step + 1, call: c})
		return
	}
	c.ends = f.step + 1 + f.rnd.IntN(5)
	g.running = append(g.running, c)
	g.record.Start(f.now, c.id, c.prints()...)
}

// spread merges evidence into one guard now and into the others later.
func (f *fleet) spread(g *guard, e Evidence) {
	g.set.Merge(f.now, e)
	f.pending = append(f.pending, pending{step: f.step + f.delay, e: e})
}

func (f *fleet) die(g *guard) {
	f.deaths++
	d := Death{ID: deathID(f.deaths), At: f.now, Suspects: g.record.BackendDied(f.now)}
	f.spread(g, Evidence{Deaths: []Death{d}})
	for _, c := range g.running {
		f.pending = append(f.pending, pending{step: f.step + 2, call: c})
	}
	g.running = nil
}

// advance moves the time by 10 ms.
func (f *fleet) advance() {
	f.step++
	f.now = f.now.Add(10 * time.Millisecond)
	due := f.pending
	f.pending = nil
	for _, p := range due {
		switch {
		case p.step > f.step:
			f.pending = append(f.pending, p)
		case p.call != nil:
			f.send(p.call)
		default:
			for _, g := range f.guards {
				for _, d := range g.set.Merge(f.now, p.e).Deaths {
					if own := g.record.CompletedAfter(d); len(own) > 0 {
						f.spread(g, Evidence{Completions: own})
					}
				}
			}
		}
	}
	for _, g := range f.guards {
		f.finish(g)
	}
}

func (f *fleet) finish(g *guard) {
	if slices.ContainsFunc(g.running, func(c *call) bool { return c.crasher && c.ends <= f.step }) {
		f.crashes++
		f.die(g)
	}
	g.running = slices.DeleteFunc(g.running, func(c *call) bool {
		if c.ends > f.step {
			return false
		}
		g.record.Finish(f.now, c.id, true)
		for _, p := range c.prints() {
			if e, ok := g.set.RecordCompletion(f.now, p); ok {
				f.spread(g, e)
			}
		}
		return true
	})
}

// offer sends new innocent calls, half of them with one of three popular bodies.
func (f *fleet) offer() {
	for range 6 {
		f.ids++
		c := &call{id: fmt.Sprint("id", f.ids), body: fmt.Sprint("popular", f.rnd.IntN(3))}
		if f.rnd.IntN(2) == 0 {
			c.body = c.id
		}
		f.send(c)
	}
}

// TestCrasherAndInnocents guards against a crashing request that goes on after its
// second death, and against innocent requests, popular ones or those sent again
// beside it, that are refused. Unrelated deaths happen every 0.6 s.
func TestCrasherAndInnocents(t *testing.T) {
	for seed := range uint64(60) {
		f := &fleet{rnd: rand.New(rand.NewPCG(seed, 1)), now: start, delay: 1}
		if seed%3 == 2 {
			f.delay = 6 // the first death spreads after its calls were sent again
		}
		for range 6 {
			f.guards = append(f.guards, &guard{record: NewRunTracker(), set: NewSet()})
		}
		for step := range 400 {
			f.offer()
			if step%60 == 0 {
				f.die(f.guards[f.rnd.IntN(len(f.guards))])
			}
			if step == 150 {
				f.send(&call{id: "crash", body: "crash", crasher: true})
			}
			if step == 330 { // a common cause stops half of the servers within 2 ms
				f.now = f.now.Add(5 * time.Millisecond)
				for _, g := range f.guards[:3] {
					f.now = f.now.Add(time.Millisecond)
					f.die(g)
				}
			}
			f.advance()
			if f.refused > ambiguousTime || f.refused > 0 && f.delay == 1 && step < 330 {
				t.Fatalf("seed %d, step %d: an innocent call is refused for %v", seed, step, f.refused)
			}
		}
		if f.crashes > 2 && f.delay == 1 || f.crashes > 4 {
			t.Errorf("seed %d: the crashing request caused %d deaths", seed, f.crashes)
		}
		for _, g := range f.guards {
			counted := g.set.counted(f.now, IDFingerprint("w", "crash"))
			if _, refused := g.set.Refuses(f.now, IDFingerprint("w", "crash")); refused != (len(counted) > 1) || !refused && f.crashes > 1 {
				t.Errorf("seed %d: the crashing request has %d deaths, refused %t", seed, len(counted), refused)
			}
		}
	}
}
