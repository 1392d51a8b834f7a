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

// load is a steady stream of calls.
type load struct {
	p       *Picker
	pending []call
}

// play sends a call every 10 ms for a time. Endpoints answer after 20 ms, but for those
// that stand still, whose calls end at a deadline of 2 s and which are found silent after
// 200 ms. It returns how many went to each endpoint.
func (l *load) play(from time.Time, length time.Duration, still map[string]bool) map[string]int {
	p, pending := l.p, l.pending
	rnd := rand.New(rand.NewPCG(1, 1))
	sent := map[string]int{}
	for now := from; now.Before(from.Add(length)); now = now.Add(10 * time.Millisecond) {
		kept := pending[:0]
		for _, c := range pending {
			age := now.Sub(c.sent)
			switch {
			case !still[c.id] && age >= 20*time.Millisecond:
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

func fourEndpoints(now time.Time) *Picker {
	cfg := DefaultConfig("ingress", 4, 4)
	p := NewPicker(cfg, "dc")
	var es []Endpoint
	for _, id := range []string{"a", "b", "c", "d"} {
		es = append(es, Endpoint{ID: id, DataCentre: "dc", Address: id, Started: now.Add(-time.Hour)})
	}
	p.SetEndpoints(now, es)
	return p
}

// TestNodeStandsStill guards against an endpoint that takes a quarter of the calls for
// as long as its node stands still, and against leaving it out once it answers again.
func TestNodeStandsStill(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	l := &load{p: fourEndpoints(now)}
	l.play(now, time.Second, nil)
	now = now.Add(time.Second)
	// 200 ms until the first call is overdue, with a quarter of 20 calls.
	if got := l.play(now, 5*time.Second, map[string]bool{"b": true})["b"]; got > 20/2 {
		t.Errorf("%d of 500 calls went to the endpoint that stands still", got)
	}
	now = now.Add(5 * time.Second)
	l.p.RecordContact(now, "b")
	if got := l.play(now, 5*time.Second, nil)["b"]; got < 60 {
		t.Errorf("%d of 500 calls went to the endpoint after it answers again, want about 100", got)
	}
}

// TestQuiet guards against asking a node that has just answered, and against trusting
// one that answered long ago.
func TestQuiet(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	p := fourEndpoints(now)
	p.Done(now, "a", Result{Kind: Refused})
	p.Done(now.Add(time.Second), "a", Result{Kind: Cancelled, NoResponse: true})
	if got := p.SinceLastContact(now.Add(time.Second), "a"); got != time.Second {
		t.Errorf("a node that answered 1 s ago has been quiet for %v", got)
	}
	p.RecordContact(now.Add(time.Second), "a")
	if got := p.SinceLastContact(now.Add(time.Second), "a"); got != 0 {
		t.Errorf("a node that has just answered has been quiet for %v", got)
	}
	if got := p.SinceLastContact(now, "gone"); got < time.Hour {
		t.Errorf("a node that has left has been quiet for %v", got)
	}
}

// TestAllSilent guards against refusing calls because no endpoint has answered lately.
func TestAllSilent(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	p := fourEndpoints(now)
	for _, id := range []string{"a", "b", "c", "d"} {
		p.MarkUnresponsive(id)
	}
	if p.HasAlternative(now.Add(time.Second), []string{"a"}) {
		t.Error("a silent endpoint counts as an alternative")
	}
	if _, ok := p.Pick(now.Add(time.Second), rand.New(rand.NewPCG(1, 1)), nil); !ok {
		t.Error("no endpoint is picked when all are silent")
	}
}
