package resilient

import (
	"math/rand/v2"
	"time"
)

// maxWindowCalls bounds the memory of a window.
const maxWindowCalls = 1000

// State is the state of a Breaker.
type State int

const (
	// Closed lets every call through.
	Closed State = iota
	// Open lets none through until the backoff has passed.
	Open
	// HalfOpen lets single trial calls through, one after the other.
	HalfOpen
)

func (s State) String() string {
	switch s {
	case Closed:
		return "closed"
	case Open:
		return "open"
	default:
		return "half-open"
	}
}

// Result is how a call went, as the breaker sees it.
type Result int

const (
	// Good is a call that was answered in time, also with a refusal such as
	// platform.ErrConflict.
	Good Result = iota
	// Bad is a call that failed or was slow.
	Bad
	// Abandoned is a call that its caller gave up before it was slow. It counts only
	// as a trial, where it is as Bad: otherwise callers that give up early would
	// follow each other without a wait to a platform that hangs.
	Abandoned
)

// Call is the permission for one call. Pass it to Done once.
type Call struct{ generation uint64 }

// Breaker refuses calls while the platform is down or slow. It opens when enough
// of the newest calls were bad. After a jittered, exponential backoff it lets one
// trial read through; each bad trial opens it again for longer, and TrialsToClose
// good trials in a row close it. Trials follow each other without a wait. The
// backoff starts short again only after MinCalls good calls in a row, so that a
// platform that fails again under returning load keeps the long waits.
//
// A write is never a trial, because a failed trial would leave the outcome of the
// write unknown, where a refusal is definite.
//
// A Breaker is not safe for concurrent use.
type Breaker struct {
	cfg     BreakerConfig
	backoff Backoff
	state   State
	// generation counts changes of state and trials. A result of an older
	// generation is ignored: it is of a call sent before the change.
	generation uint64
	window     []sample // ring of the newest results
	next       int      // position of the next result once the window is full
	retryAt    time.Time
	trial      bool // a trial is running
	good       int  // good results in a row since the state changed
}

type sample struct {
	at  time.Time
	bad bool
}

// NewBreaker returns a closed Breaker.
func NewBreaker(cfg BreakerConfig) *Breaker {
	return &Breaker{cfg: cfg, backoff: NewBackoff(cfg.Backoff)}
}

// State returns the state after the last call.
func (b *Breaker) State() State { return b.state }

// Check tells whether Allow would let a call through now, without a change. If
// not, retryAfter is the time until a read may be the next trial; it is 0 while a
// trial is running or when only a read may pass.
func (b *Breaker) Check(now time.Time, write bool) (ok bool, retryAfter time.Duration) {
	if b.state == Closed {
		return true, 0
	}
	if b.state == Open {
		if wait := b.retryAt.Sub(now); wait > 0 {
			return false, wait
		}
	}
	return !write && !b.trial, 0
}

// Allow returns the permission for a call, or the same as Check.
func (b *Breaker) Allow(now time.Time, write bool) (c Call, ok bool, retryAfter time.Duration) {
	ok, retryAfter = b.Check(now, write)
	if !ok {
		return Call{}, false, retryAfter
	}
	if b.state != Closed {
		b.state = HalfOpen
		b.trial = true
		b.generation++
	}
	return Call{b.generation}, true, 0
}

// Done takes the result of a call.
func (b *Breaker) Done(now time.Time, c Call, r Result, rnd *rand.Rand) {
	if c.generation != b.generation {
		return
	}
	if b.state == HalfOpen {
		b.trialDone(now, r, rnd)
		return
	}
	if r == Abandoned {
		return
	}
	b.record(sample{now, r == Bad})
	if r == Bad {
		b.good = 0
		if b.tooManyBad(now) {
			b.open(now, rnd)
		}
		return
	}
	b.good++
	if b.good >= b.cfg.MinCalls {
		b.backoff.Reset()
	}
}

func (b *Breaker) trialDone(now time.Time, r Result, rnd *rand.Rand) {
	b.trial = false
	if r != Good {
		b.open(now, rnd)
		return
	}
	b.good++
	if b.good >= b.cfg.TrialsToClose {
		b.close()
	}
}

func (b *Breaker) open(now time.Time, rnd *rand.Rand) {
	b.state = Open
	b.generation++
	b.good = 0
	b.retryAt = now.Add(b.backoff.Next(rnd))
}

func (b *Breaker) close() {
	b.state = Closed
	b.generation++
	b.good = 0
	b.window, b.next = b.window[:0], 0
}

func (b *Breaker) record(s sample) {
	if len(b.window) < b.cfg.WindowCalls {
		b.window = append(b.window, s)
		return
	}
	b.window[b.next] = s
	b.next = (b.next + 1) % len(b.window)
}

func (b *Breaker) tooManyBad(now time.Time) bool {
	calls, bad := 0, 0
	for _, s := range b.window {
		if now.Sub(s.at) > b.cfg.WindowAge {
			continue
		}
		calls++
		if s.bad {
			bad++
		}
	}
	return calls >= b.cfg.MinCalls && float64(bad) >= b.cfg.BadShare*float64(calls)
}
