package resilient

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/teaselseam/teaselseam/internal/changelog"
	"github.com/teaselseam/teaselseam/internal/platform"
	"github.com/teaselseam/teaselseam/internal/platform/standin"
	"github.com/teaselseam/teaselseam/internal/store"
)

// recorder notes how often each write was sent, what it returned, and the most
// calls at one time.
type recorder struct {
	*standin.Memory
	mu             sync.Mutex
	sent           map[string]int
	returned       map[string]error
	inFlight, most int
}

func (r *recorder) Commit(ctx context.Context, tx platform.Transaction) error {
	key := tx.Puts[0].Key
	r.mu.Lock()
	r.sent[key]++
	r.inFlight++
	r.most = max(r.most, r.inFlight)
	r.mu.Unlock()
	err := r.Memory.Commit(ctx, tx)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.returned[key] = err
	r.inFlight--
	return err
}

func newStore(t *testing.T, f standin.Faults) (*Store, *recorder) {
	inner := &recorder{Memory: standin.NewMemory(), sent: map[string]int{}, returned: map[string]error{}}
	inner.SetFaults(f)
	cfg := DefaultConfig()
	cfg.Rand = rand.New(rand.NewPCG(1, 1))
	s, err := New(inner, cfg)
	if err != nil {
		t.Fatal(err)
	}
	return s, inner
}

func put(key string) platform.Transaction {
	return platform.Transaction{Puts: []platform.Put{{Key: key}}}
}

// TestSlowIsDown guards against a platform that answers everything, but slowly,
// and keeps being called; and against refusals after it is well again.
func TestSlowIsDown(t *testing.T) {
	for _, delay := range []time.Duration{DefaultTableSlow, DefaultTableTimeout + time.Second} {
		synctest.Test(t, func(t *testing.T) {
			s, inner := newStore(t, standin.Faults{Delay: delay})
			for range DefaultMinCalls {
				_, err := s.Get(context.Background(), "row")
				slow := delay < DefaultTableTimeout
				if want := map[bool]error{true: platform.ErrNotFound, false: context.DeadlineExceeded}[slow]; !errors.Is(err, want) {
					t.Fatalf("slow call returned %v, want %v", err, want)
				}
			}
			begin := time.Now()
			_, err := s.Get(context.Background(), "row")
			var refusal *Refusal
			if !errors.As(err, &refusal) || refusal.Reason != BreakerOpen || !errors.Is(err, platform.ErrUnavailable) {
				t.Fatalf("after slow calls: %v, want a refusal by the breaker", err)
			}
			if time.Since(begin) != 0 {
				t.Errorf("the refusal took %v", time.Since(begin))
			}
			inner.SetFaults(standin.Faults{})
			time.Sleep(refusal.RetryAfter)
			for range DefaultTrialsToClose {
				if _, err := s.Get(context.Background(), "row"); !errors.Is(err, platform.ErrNotFound) {
					t.Fatalf("trial returned %v", err)
				}
			}
			if err := s.Commit(context.Background(), put("row")); err != nil {
				t.Errorf("write after the trials: %v", err)
			}
		})
	}
}

// TestBounds guards against more calls at the platform than configured, a queue
// without bound, and a wait without end.
func TestBounds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, inner := newStore(t, standin.Faults{Delay: DefaultMaxWait/2 - time.Millisecond})
		gone, cancel := context.WithCancel(context.Background())
		var calls sync.WaitGroup
		for i := range DefaultMaxInFlight + DefaultMaxWaiting + 10 {
			ctx := context.Background()
			if i%4 == 1 {
				ctx = gone
			}
			calls.Go(func() { _ = s.Commit(ctx, put(fmt.Sprint(i))) })
			synctest.Wait()
		}
		st := s.Stats()
		if st.InFlight != DefaultMaxInFlight || st.Waiting != DefaultMaxWaiting || st.Refused[QueueFull] != 10 {
			t.Errorf("with all calls started: %+v", st)
		}
		cancel()
		calls.Wait()
		err := s.Commit(gone, put("gone"))
		if !errors.Is(err, platform.ErrUnavailable) || !errors.Is(err, context.Canceled) || inner.sent["gone"] != 0 {
			t.Errorf("call of a caller that has gone: %v, sent %d times", err, inner.sent["gone"])
		}
		st = s.Stats()
		if inner.most != DefaultMaxInFlight {
			t.Errorf("%d calls at the platform at one time, want %d", inner.most, DefaultMaxInFlight)
		}
		// The last caller and a quarter of the waiting ones went. The others got the places of the 2
		// callers that went in flight, then all places twice; the rest waited too long.
		const went, served = DefaultMaxWaiting / 4, 2 + 2*DefaultMaxInFlight
		if st.InFlight != 0 || st.Waiting != 0 || st.Refused[CallerGone] != went+1 ||
			st.Refused[WaitedTooLong] != DefaultMaxWaiting-went-served {
			t.Errorf("after all calls: %+v", st)
		}
	})
}

// TestOutcomesAreKept guards against a sent write that is reported as not sent, a
// refused one that was sent, a changed error and a write that is sent twice.
func TestOutcomesAreKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, inner := newStore(t, standin.Faults{
			Seed: 1, DownProbability: 0.05, LoseProbability: 0.1, SlowProbability: 0.1, SlowDelay: time.Minute,
			LateProbability: 0.05, LateDelay: time.Second, Delay: 100 * time.Millisecond,
		})
		var mu sync.Mutex
		got := map[string]error{}
		var callers sync.WaitGroup
		for caller := range 12 {
			callers.Go(func() {
				rnd := rand.New(rand.NewPCG(2, uint64(caller)))
				for i := range 100 {
					time.Sleep(Jitter(4*time.Second, rnd))
					_, _ = s.Get(context.Background(), "none") // may be a trial
					ctx, cancel := context.WithTimeout(context.Background(), time.Duration(rnd.Int64N(int64(3*time.Second))))
					tx := put(fmt.Sprint(caller, "/", i))
					tx.Checks = []platform.Check{{Key: tx.Puts[0].Key, Version: int64(i % 4 / 3)}} // each fourth conflicts
					err := s.Commit(ctx, tx)
					cancel()
					mu.Lock()
					got[tx.Puts[0].Key] = err
					mu.Unlock()
				}
			})
		}
		callers.Wait()
		time.Sleep(time.Minute) // late writes take effect
		inner.SetFaults(standin.Faults{})
		seen := map[string]int{}
		for key, err := range got {
			seen[fmt.Sprint(err == nil, errors.Is(err, platform.ErrUnavailable), errors.Is(err, platform.ErrConflict))]++
			refused := errors.Is(err, platform.ErrUnavailable)
			if sent := inner.sent[key]; sent > 1 || refused == (sent == 1) {
				t.Errorf("write %s returned %v and was sent %d times", key, err, sent)
			}
			if _, absent := inner.Get(context.Background(), key); (err == nil && absent != nil) || (refused && absent == nil) {
				t.Errorf("write %s returned %v, its row is read as: %v", key, err, absent)
			}
			if !refused && err != inner.returned[key] {
				t.Errorf("write %s returned %v, the platform %v", key, err, inner.returned[key])
			}
		}
		if len(seen) != 4 {
			t.Errorf("not all of success, refusal, conflict and unknown were seen: %v", seen)
		}
	})
}

// TestEditClosesBreaker guards against a node that does not poll and refuses edits
// for ever after an outage, because writes are not trials.
func TestEditClosesBreaker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, inner := newStore(t, standin.Faults{Down: true})
		for range DefaultMinCalls {
			_, _ = s.Get(context.Background(), "row")
		}
		inner.SetFaults(standin.Faults{})
		time.Sleep(DefaultMinBackoff)
		if st := s.Stats(); st.State != Open {
			t.Fatalf("state before the edit is %v", st.State)
		}
		_, err := store.NewLog(s).Commit(context.Background(), "edit", func(*changelog.State) (changelog.Entry, error) {
			return changelog.Entry{Actor: "ann", QuarantineLift: "fingerprint"}, nil
		})
		if err != nil || s.Stats().State != Closed {
			t.Errorf("edit: %v, state %v", err, s.Stats().State)
		}
	})
}
