package routing

import (
	"math/rand/v2"
	"testing"
	"time"
)

type call struct {
	id   string
	sent time.Time
}

// load generates a steady stream of calls.
type load struct {
	p       *Picker
	pending []call
}

// run sends a call every 10 ms for the given time and returns the number of calls per
// endpoint. Endpoints answer after 20 ms. Those that are stalled do not answer: they are
// marked unresponsive after 200 ms, and their calls end at a deadline of 2 s.
func (l *load) run(from time.Time, length time.Duration, stalled map[string]bool) map[string]int {
	p, pending := l.p, l.pending
	rnd := rand.New(rand.NewPCG(1, 1))
	sent := map[string]int{}
	for now := from; now.Before(from.Add(length)); now = now.Add(10 * time.Millisecond) {
		kept := pending[:0]
		for _, c := range pending {
			age := now.Sub(c.sent)
			switch {
			case !stalled[c.id] && age >= 20*time.Millisecond:
				p.Done(now, c.id, Result{Kind: Completed, Latency: age})
				continue
			case age >= 2*time.Second:
				p.Done(now, c.id, Result{Kind: Cancelled, Latency: age, NoResponse: true})
				continue
			case age == 200*time.Millisecond:
				p.MarkUnresponsive(c.id)
			}
			kept = append(kept, c)
		}
		pending = kept
		if id, ok := p.Pick(now, rnd, nil); ok {
			pending = append(pending, call{id, now})
			sent[id]++
		}
	}
	l.pending = pending
	return sent
}

func newFourEndpointPicker(now time.Time) *Picker {
	cfg := DefaultConfig("ingress", 4, 4)
	p := NewPicker(cfg, "dc")
	var es []Endpoint
	for _, id := range []string{"a", "b", "c", "d"} {
		es = append(es, Endpoint{ID: id, DataCentre: "dc", Address: id, Started: now.Add(-time.Hour)})
	}
	p.SetEndpoints(now, es)
	return p
}

// TestNodeStandsStill guards against an endpoint getting a quarter of the calls while
// its node is stalled, and against not using the endpoint after it answers again.
func TestNodeStandsStill(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	l := &load{p: newFourEndpointPicker(now)}
	l.run(now, time.Second, nil)
	now = now.Add(time.Second)
	// In the 200 ms until the first call is overdue, 20 calls are sent, a quarter of them
	// to b.
	if got := l.run(now, 5*time.Second, map[string]bool{"b": true})["b"]; got > 20/2 {
		t.Errorf("%d of 500 calls went to the stalled endpoint, want at most 10", got)
	}
	now = now.Add(5 * time.Second)
	l.p.RecordContact(now, "b")
	if got := l.run(now, 5*time.Second, nil)["b"]; got < 60 {
		t.Errorf("%d of 500 calls went to the endpoint after it answered again, want about 100", got)
	}
}

// TestSinceLastContact guards against a liveness check of a node that has just answered,
// and against none of a node that answered long ago.
func TestSinceLastContact(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	p := newFourEndpointPicker(now)
	p.Done(now, "a", Result{Kind: Refused})
	p.Done(now.Add(time.Second), "a", Result{Kind: Cancelled, NoResponse: true})
	if got := p.SinceLastContact(now.Add(time.Second), "a"); got != time.Second {
		t.Errorf("time since last contact with a node that answered 1 s ago: %v", got)
	}
	p.RecordContact(now.Add(time.Second), "a")
	if got := p.SinceLastContact(now.Add(time.Second), "a"); got != 0 {
		t.Errorf("time since last contact with a node that has just answered: %v", got)
	}
	if got := p.SinceLastContact(now, "gone"); got < time.Hour {
		t.Errorf("time since last contact with a node that has left: %v", got)
	}
}

// TestAllUnresponsive guards against failing calls because all endpoints are
// unresponsive.
func TestAllUnresponsive(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	p := newFourEndpointPicker(now)
	for _, id := range []string{"a", "b", "c", "d"} {
		p.MarkUnresponsive(id)
	}
	if p.HasAlternative(now.Add(time.Second), []string{"a"}) {
		t.Error("an unresponsive endpoint counts as an alternative")
	}
	if _, ok := p.Pick(now.Add(time.Second), rand.New(rand.NewPCG(1, 1)), nil); !ok {
		t.Error("no endpoint is picked when all are unresponsive")
	}
}
