package routing

import (
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

func testEndpoints(n, dcs, maxConns int) []Endpoint {
	es := make([]Endpoint, n)
	for i := range es {
		es[i] = Endpoint{
			ID: fmt.Sprintf("e%d", i), DataCentre: fmt.Sprintf("dc%d", i%dcs),
			Started: start.Add(-time.Hour), MaxConns: maxConns,
		}
	}
	return es
}

// TestTraces runs the scripts in testdata. They cover preference for local endpoints,
// spillover by expected time, slow start, ejection with increasing duration, and
// draining.
func TestTraces(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		var p *Picker
		now, rnd := start, rand.New(rand.NewPCG(1, 2))
		var es []Endpoint
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			var n, latency, wait, ms int
			var id, kind string
			d.MaybeScanArgs(t, "n", &n)
			d.MaybeScanArgs(t, "id", &id)
			switch d.Cmd {
			case "endpoints":
				dcs := 1
				d.MaybeScanArgs(t, "dcs", &dcs)
				p = NewPicker(DefaultConfig("i0", 16, 4), "dc0")
				es = testEndpoints(n, dcs, 0)
				p.SetEndpoints(now, es)
			case "restart":
				es[slices.IndexFunc(es, func(e Endpoint) bool { return e.ID == id })].Started = now
				p.SetEndpoints(now, es)
			case "done":
				d.MaybeScanArgs(t, "latency", &latency)
				d.MaybeScanArgs(t, "wait", &wait)
				d.MaybeScanArgs(t, "kind", &kind)
				r := Result{Latency: time.Duration(latency) * time.Millisecond, Draining: d.HasArg("draining")}
				r.Kind = map[string]ResultKind{"refused": Refused, "failed": Failed, "cancelled": Cancelled}[kind]
				if wait > 0 {
					r.Load = &Report{Limit: 16, QueueWait: time.Duration(wait) * time.Millisecond}
				}
				for range n {
					p.Done(now, id, r)
				}
			case "advance":
				d.ScanArgs(t, "ms", &ms)
				now = now.Add(time.Duration(ms) * time.Millisecond)
			case "pick": // prints the fraction of picks per endpoint, in tenths
				var exclude []string
				if id != "" {
					exclude = []string{id}
				}
				counts := map[string]int{}
				for range 1000 {
					got, _ := p.Pick(now, rnd, exclude)
					counts[got]++
					if s := p.byID[got]; s != nil {
						s.inFlight = 0
					}
				}
				var out []string
				for _, e := range append(es, Endpoint{}) {
					if c := counts[e.ID]; c > 0 {
						out = append(out, fmt.Sprintf("%q: %d", e.ID, (c+50)/100))
					}
				}
				return strings.Join(out, " ")
			}
			return ""
		})
	})
}

// TestPickRules guards against picking a draining, ejected or excluded endpoint, against
// ejecting more than half of the endpoints of a service, and against picking none
// although a usable endpoint exists.
func TestPickRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := start
		rnd := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		limit := rapid.SampledFrom([]int{0, 5, 200}).Draw(t, "connections")
		es := testEndpoints(rapid.IntRange(1, 9).Draw(t, "endpoints"), 3, limit)
		p := NewPicker(DefaultConfig("i0", 40, 10), "dc0")
		p.SetEndpoints(now, es)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rnd.IntN(1000)) * time.Millisecond)
			switch rnd.IntN(30) {
			case 0: // an endpoint leaves, drains or restarts
				i := rnd.IntN(len(es))
				es[i].Started, es[i].Draining = now, rnd.IntN(2) == 0
				p.SetEndpoints(now, append(es[:i:i], es[i+rnd.IntN(2):]...))
			case 1:
				p.Done(now, es[rnd.IntN(len(es))].ID, Result{Draining: true})
			}
			var exclude []string
			for _, e := range es {
				if rnd.IntN(4) == 0 {
					exclude = append(exclude, e.ID)
				}
			}
			id, ok := p.Pick(now, rnd, exclude)
			usable, ejected, active := 0, 0, 0
			for _, s := range p.all {
				isEjected := now.Before(s.ejectedUntil)
				isUsable := !s.Draining && !isEjected && !slices.Contains(exclude, s.ID)
				if isUsable {
					usable++
				}
				if !s.Draining {
					active++
					if isEjected {
						ejected++
					}
				}
				if s.ID == id && !isUsable {
					t.Fatalf("picked an unusable endpoint: %+v", s)
				}
			}
			if ok != (usable > 0) || 2*ejected > active {
				t.Fatalf("Pick returned %t with %d usable endpoints; %d of %d active endpoints are ejected", ok, usable, ejected, active)
			}
			p.Done(now, id, Result{Kind: ResultKind(rnd.IntN(4)), Latency: time.Duration(rnd.IntN(1e8))})
		}
	})
}

// TestConnectionsPerEndpoint guards against exceeding the connection limits of the endpoints
// when each of 1,800 ingresses in 13 data centres calls each of 160 services.
func TestConnectionsPerEndpoint(t *testing.T) {
	const ingresses, dcs, endpoints = 1800, 13, 1800 / 160
	for _, limit := range []int{750, 300, 200} {
		es := testEndpoints(endpoints, dcs, limit)
		conns := map[string]int{}
		for i := range ingresses {
			p := NewPicker(DefaultConfig(fmt.Sprintf("i%d", i), ingresses, ingresses/dcs+1), fmt.Sprintf("dc%d", i%dcs))
			p.SetEndpoints(start, es)
			for _, s := range append(p.tiers.local, p.tiers.remote...) {
				conns[s.ID]++
			}
			if len(p.tiers.local)+len(p.tiers.remote) == 0 {
				t.Errorf("ingress %d has no endpoint", i)
			}
		}
		for id, n := range conns {
			if n > limit {
				t.Errorf("%s has %d connections, limit %d", id, n, limit)
			}
		}
		t.Logf("limit %d: %v", limit, conns)
	}
}

// TestSubsetIsStable guards against a change of one endpoint moving the connections of
// most ingresses to other endpoints.
func TestSubsetIsStable(t *testing.T) {
	const ingresses = 500
	es := testEndpoints(40, 1, 100)
	kept, total := 0, 0
	for i := range ingresses {
		p := NewPicker(DefaultConfig(fmt.Sprintf("i%d", i), ingresses, ingresses), "dc0")
		p.SetEndpoints(start, es)
		before := p.tiers.local
		p.SetEndpoints(start, es[1:])
		for _, s := range before {
			total++
			if slices.Contains(p.tiers.local, s) {
				kept++
			}
		}
	}
	// 1/40 of the connections used the endpoint that left, and about as many are lost
	// because the total connection capacity shrinks. 3/40 leaves a margin.
	if lost := total - kept; lost*40 > 3*total {
		t.Errorf("%d of %d connections moved when 1 of 40 endpoints left", lost, total)
	}
}

func BenchmarkPick(b *testing.B) {
	p := NewPicker(DefaultConfig("i0", 100, 25), "dc0")
	p.SetEndpoints(start, testEndpoints(50, 4, 0))
	rnd := rand.New(rand.NewPCG(1, 2))
	exclude := []string{"e4"}
	b.ReportAllocs()
	for i := range b.N {
		now := start.Add(time.Duration(i) * time.Microsecond)
		id, _ := p.Pick(now, rnd, exclude)
		p.Done(now, id, Result{Latency: time.Duration(5+i%7) * time.Millisecond})
	}
}
