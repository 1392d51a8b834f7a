package retry

import (
	"testing"

	"github.com/teaselseam/teaselseam/internal/request"
	"pgregory.net/rapid"
)

func drawAttempt(t *rapid.T) Attempt {
	a := Attempt{
		Outcome:        rapid.SampledFrom([]request.Outcome{request.MayHaveRun, request.NotRun, request.Completed}).Draw(t, "outcome"),
		ReachedBackend: rapid.Bool().Draw(t, "reached"),
		Elsewhere:      rapid.Bool().Draw(t, "elsewhere"),
		Failed:         rapid.Bool().Draw(t, "failed"),
		Final:          rapid.Bool().Draw(t, "final"),
	}
	if a.Outcome != request.Completed {
		a.Reason = rapid.SampledFrom([]request.Reason{request.ReasonOverload, request.ReasonRejected, request.ReasonRateLimited, request.ReasonNoBackend}).Draw(t, "reason")
	}
	a.ReachedBackend = a.ReachedBackend || a.Outcome != request.NotRun
	return a
}

// TestDecision replays calls of which every attempt fails in a random way. It guards
// against repeating a call that may have run and is not idempotent, against more runs,
// endpoints or refusals for overload than allowed, against a retry that is not charged
// although a backend server has received the call, and against giving up a call that has
// not run anywhere and may run elsewhere.
func TestDecision(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := Call{
			Idempotent: rapid.Bool().Draw(t, "idempotent"), Repeatable: rapid.Bool().Draw(t, "repeatable"),
			MaxAttempts: rapid.IntRange(1, 3).Draw(t, "max attempts"),
		}
		var p Progress
		arrivals, overload := 0, 0
		for {
			a := drawAttempt(t)
			p.Record(a)
			if a.ReachedBackend {
				arrivals++
			}
			if a.Reason == request.ReasonOverload {
				overload++
			}
			v := p.Next(c, a)
			ran := a.Outcome != request.NotRun
			switch {
			case v == End && p.Endpoints == 1 && !a.ReachedBackend && a.Elsewhere:
				t.Fatalf("gave up after %+v", a)
			case v == End:
				return
			case ran && !c.Idempotent, !ran && !a.Elsewhere, !c.Repeatable && a.ReachedBackend, a.Outcome == request.Completed && (!a.Failed || a.Final):
				t.Fatalf("%v after %+v of %+v", v, a, c)
			case p.Runs >= c.MaxAttempts, p.Endpoints >= maxEndpoints+max(maxRateRefusals, maxRejections), overload >= maxOverloadRefusals:
				t.Fatalf("%v after %+v", v, p)
			case (v == Charged) != (arrivals > 0):
				t.Fatalf("%v after %d arrivals", v, arrivals)
			}
		}
	})
}

// TestLostBodyEnds guards against sending what is left of a body as the whole: once part of it was
// passed on and is gone, no outcome leads to another attempt.
func TestLostBodyEnds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := Call{Idempotent: rapid.Bool().Draw(t, "idempotent"), BodyLost: true, MaxAttempts: 3}
		var p Progress
		a := drawAttempt(t)
		p.Record(a)
		if v := p.Next(c, a); v != End {
			t.Fatalf("%v after %+v", v, a)
		}
		if p.MayAbandon(c) {
			t.Fatal("an attempt that has the body may be abandoned")
		}
	})
}

// TestNaiveMultiplies shows the failure that a single decision at the hop next to the
// failure prevents: with three attempts at each hop, a service that always fails gets
// 3^depth calls. With failures that are final further up, only the last hop repeats.
func TestNaiveMultiplies(t *testing.T) {
	c := Call{Idempotent: true, Repeatable: true, MaxAttempts: 3}
	var calls func(depth int, final bool) int
	calls = func(depth int, final bool) int {
		if depth == 0 {
			return 1
		}
		var p Progress
		for n := 0; ; {
			n += calls(depth-1, final)
			a := Attempt{Outcome: request.Completed, ReachedBackend: true, Failed: true, Final: final && depth > 1}
			p.Record(a)
			if p.Next(c, a) == End {
				return n
			}
		}
	}
	if got := calls(10, false); got != 59049 {
		t.Errorf("with retries at each hop, the last service got %d calls, want 59049", got)
	}
	if got := calls(10, true); got != 3 {
		t.Errorf("with retries next to the failure, the last service got %d calls, want 3", got)
	}
}
