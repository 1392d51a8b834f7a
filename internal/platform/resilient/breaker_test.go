package resilient

import (
	"math/rand/v2"
	"testing"
	"time"
)

// steps drives a Breaker through a simulated time.
type steps struct {
	t   *testing.T
	b   *Breaker
	now time.Time
	rnd *rand.Rand
}

func newSteps(t *testing.T) *steps {
	return &steps{t, NewBreaker(DefaultConfig().Breaker), epoch(0), rand.New(rand.NewPCG(1, 1))}
}

func (s *steps) allow() Call {
	s.t.Helper()
	c, ok, retryAfter := s.b.Allow(s.now, read)
	if !ok {
		s.t.Fatalf("read refused in state %v, retry after %v", s.b.State(), retryAfter)
	}
	return c
}

func (s *steps) calls(n int, r Result) {
	s.t.Helper()
	for range n {
		s.b.Done(s.now, s.allow(), r, s.rnd)
	}
}

// waitForTrial moves the time to the end of the backoff and returns its length.
func (s *steps) waitForTrial() time.Duration {
	s.t.Helper()
	ok, wait := s.b.Check(s.now, read)
	if ok || wait <= 0 {
		s.t.Fatalf("no wait for a trial in state %v", s.b.State())
	}
	s.now = s.now.Add(wait)
	return wait
}

func (s *steps) want(state State) {
	s.t.Helper()
	if s.b.State() != state {
		s.t.Fatalf("state is %v, want %v", s.b.State(), state)
	}
}

// TestBreakerOpens guards against a breaker that opens on single failures or on
// old ones, or stays closed while half of the newest calls are bad.
func TestBreakerOpens(t *testing.T) {
	s := newSteps(t)
	s.calls(DefaultMinCalls-1, Bad)
	s.want(Closed)
	s.now = s.now.Add(DefaultWindowAge + time.Second)
	s.calls(DefaultMinCalls, Good)
	s.calls(DefaultMinCalls-1, Bad)
	s.want(Closed)
	s.calls(2*DefaultWindowCalls, Abandoned)
	s.want(Closed)
	s.calls(1, Bad)
	s.want(Open)
}

// TestBreakerTrials guards against a second trial beside a running one, a write as
// a trial, a late result of an earlier call that counts as a trial, waits that do
// not grow, and a breaker that does not close on good trials.
func TestBreakerTrials(t *testing.T) {
	s := newSteps(t)
	early := s.allow()
	s.calls(DefaultMinCalls, Bad)
	limit := DefaultMinBackoff
	for range 8 {
		if wait := s.waitForTrial(); wait < limit/2 || wait > limit {
			t.Errorf("wait is %v, want half to all of %v", wait, limit)
		}
		limit = min(2*limit, DefaultMaxBackoff)
		if _, ok, _ := s.b.Allow(s.now, write); ok {
			t.Error("a write became a trial")
		}
		trial := s.allow()
		s.b.Done(s.now, early, Good, s.rnd)
		if _, ok, _ := s.b.Allow(s.now, read); ok {
			t.Error("a second trial was allowed beside the first")
		}
		s.want(HalfOpen)
		s.b.Done(s.now, trial, Bad, s.rnd)
		s.want(Open)
	}
	s.waitForTrial()
	s.calls(1, Good)
	s.want(HalfOpen)
	s.calls(1, Good)
	s.want(Closed)

	// A platform that fails again at once must not bring the short waits back.
	s.calls(DefaultMinCalls, Bad)
	if wait := s.waitForTrial(); wait < DefaultMaxBackoff/2 {
		t.Errorf("first wait after a failed return is %v, want at least %v", wait, DefaultMaxBackoff/2)
	}
	s.calls(DefaultTrialsToClose+DefaultMinCalls, Good)
	s.calls(DefaultMinCalls, Bad)
	if wait := s.waitForTrial(); wait > DefaultMinBackoff {
		t.Errorf("first wait after a healthy time is %v, want at most %v", wait, DefaultMinBackoff)
	}
}

// TestPollWaits guards against a poller that adds its own wait to the breaker's,
// and against waits that stay long after an answer.
func TestPollWaits(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 1))
	p := NewPoll(pollInterval, DefaultBackoff())
	for range 6 {
		p.Next(errPlatform, rnd)
	}
	if wait := p.Next(&Refusal{RetryAfter: time.Millisecond}, rnd); wait != time.Millisecond {
		t.Errorf("wait after a refusal is %v, want the breaker's", wait)
	}
	if wait := p.Next(errPlatform, rnd); wait < DefaultMaxBackoff/2 {
		t.Errorf("wait after many failures is %v, want at least %v", wait, DefaultMaxBackoff/2)
	}
	if wait := p.Next(nil, rnd); wait < pollInterval/2 || wait > pollInterval {
		t.Errorf("wait after an answer is %v, want half to all of %v", wait, pollInterval)
	}
	if wait := p.Next(errPlatform, rnd); wait > DefaultMinBackoff {
		t.Errorf("first wait after an answer is %v, want at most %v", wait, DefaultMinBackoff)
	}
}
