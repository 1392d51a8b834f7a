// Package resilient wraps a platform.Store for a node that must live with a
// platform that is down or slow for long, and must not overload it when it returns.
//
// Each call gets a deadline. At most Config.MaxInFlight calls are at the platform
// and at most Config.MaxWaiting wait; more are refused. A circuit breaker refuses
// calls while too many of the newest ones failed or were slow, and lets single
// reads through as trials after a jittered, exponential backoff.
//
// Outcomes are never changed. A refusal (*Refusal, platform.ErrUnavailable) is
// given only to a call that was not sent. The error of a call that was sent is
// passed on as it is, also when a deadline of this package ended the call, and no
// call is sent twice. So an error other than platform.ErrUnavailable, ErrConflict
// and ErrNotFound still means that the outcome is unknown.
//
// Breaker, Backoff and Poll decide; they do no I/O and take the time and random
// numbers as arguments. Store runs the calls.
package resilient

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/teaselseam/teaselseam/internal/platform"
)

// Store implements platform.Store. It is safe for concurrent use.
type Store struct {
	inner platform.Store
	cfg   Config
	slots chan struct{} // one element for each call in flight

	mu      sync.Mutex
	breaker *Breaker
	rnd     *rand.Rand
	waiting int
	stats   Stats
}

var _ platform.Store = (*Store)(nil)

// Stats are figures for metrics; the counters start at 0 with the Store.
type Stats struct {
	State    State
	InFlight int
	Waiting  int
	Sent     int64             // calls passed to the platform
	Bad      int64             // those that failed or were slow
	Opened   int64             // times that the breaker opened, failed trials included
	Refused  [numReasons]int64 // calls not sent, by Reason
}

// New returns a Store that passes calls on to inner. Each method of inner must
// return when its context ends; otherwise the call keeps its place in flight.
func New(inner platform.Store, cfg Config) (*Store, error) {
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	rnd := cfg.Rand
	if rnd == nil {
		rnd = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	return &Store{
		inner:   inner,
		cfg:     cfg,
		slots:   make(chan struct{}, cfg.MaxInFlight),
		breaker: NewBreaker(cfg.Breaker),
		rnd:     rnd,
	}, nil
}

// Stats returns the figures of this moment.
func (s *Store) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stats
	st.State, st.InFlight, st.Waiting = s.breaker.State(), len(s.slots), s.waiting
	return st
}

// Kinds of calls.
const (
	read  = false
	write = true
)

// Get implements platform.Table.
func (s *Store) Get(ctx context.Context, key string) (row platform.Row, err error) {
	err = s.do(ctx, s.cfg.Table, read, func(ctx context.Context) error {
		row, err = s.inner.Get(ctx, key)
		return err
	})
	return row, err
}

// Scan implements platform.Table.
func (s *Store) Scan(ctx context.Context, from, to string, limit int) (rows []platform.Row, err error) {
	err = s.do(ctx, s.cfg.Table, read, func(ctx context.Context) error {
		rows, err = s.inner.Scan(ctx, from, to, limit)
		return err
	})
	return rows, err
}

// Commit implements platform.Table.
func (s *Store) Commit(ctx context.Context, tx platform.Transaction) error {
	return s.do(ctx, s.cfg.Table, write, func(ctx context.Context) error {
		return s.inner.Commit(ctx, tx)
	})
}

// GetObject implements platform.Objects.
func (s *Store) GetObject(ctx context.Context, name string) (data []byte, err error) {
	err = s.do(ctx, s.cfg.Objects, read, func(ctx context.Context) error {
		data, err = s.inner.GetObject(ctx, name)
		return err
	})
	return data, err
}

// PutObject implements platform.Objects.
func (s *Store) PutObject(ctx context.Context, name string, data []byte) error {
	return s.do(ctx, s.cfg.Objects, write, func(ctx context.Context) error {
		return s.inner.PutObject(ctx, name, data)
	})
}

// do sends one call or refuses it, and returns the error of send unchanged.
func (s *Store) do(ctx context.Context, l Limits, write bool, send func(context.Context) error) error {
	c, err := s.enter(ctx, write)
	if err != nil {
		return err
	}
	callCtx, cancel := context.WithTimeout(ctx, l.Timeout)
	defer cancel()
	result := Bad // holds if send panics
	defer func() { s.leave(c, result) }()
	sent := time.Now()
	err = send(callCtx)
	result = judge(err, time.Since(sent), l, ctx.Err() != nil)
	return err
}

// judge returns what a call says about the platform.
func judge(err error, took time.Duration, l Limits, callerGone bool) Result {
	switch {
	case took >= l.Slow:
		return Bad
	case answered(err):
		return Good
	case callerGone:
		return Abandoned
	default:
		return Bad
	}
}

// enter waits for a place in flight and for the breaker's permission. An error is
// a *Refusal.
func (s *Store) enter(ctx context.Context, write bool) (Call, error) {
	s.mu.Lock()
	ok, retryAfter := s.breaker.Check(time.Now(), write)
	s.mu.Unlock()
	if !ok {
		return Call{}, s.refuse(&Refusal{Reason: BreakerOpen, RetryAfter: retryAfter})
	}
	if r := s.acquire(ctx); r != nil {
		return Call{}, s.refuse(r)
	}
	// The breaker may have opened, or the caller gone, during the wait.
	r := &Refusal{Reason: CallerGone, Cause: ctx.Err()}
	if r.Cause == nil {
		c, ok, retryAfter := s.allow(write)
		if ok {
			return c, nil
		}
		r = &Refusal{Reason: BreakerOpen, RetryAfter: retryAfter}
	}
	<-s.slots
	return Call{}, s.refuse(r)
}

func (s *Store) allow(write bool) (Call, bool, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c, ok, retryAfter := s.breaker.Allow(time.Now(), write)
	if ok {
		s.stats.Sent++
	}
	return c, ok, retryAfter
}

// refuse counts a refusal.
func (s *Store) refuse(r *Refusal) *Refusal {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Refused[r.Reason]++
	return r
}

// acquire takes a place in flight, or returns why there is none.
func (s *Store) acquire(ctx context.Context) *Refusal {
	select {
	case s.slots <- struct{}{}:
		return nil
	default:
	}
	if !s.startWaiting() {
		return &Refusal{Reason: QueueFull}
	}
	defer s.stopWaiting()
	t := time.NewTimer(s.cfg.MaxWait)
	defer t.Stop()
	select {
	case s.slots <- struct{}{}:
		return nil
	case <-ctx.Done():
		return &Refusal{Reason: CallerGone, Cause: ctx.Err()}
	case <-t.C:
		return &Refusal{Reason: WaitedTooLong}
	}
}

func (s *Store) startWaiting() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.waiting >= s.cfg.MaxWaiting {
		return false
	}
	s.waiting++
	return true
}

func (s *Store) stopWaiting() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting--
}

// leave gives the place in flight back and tells the breaker the result.
func (s *Store) leave(c Call, r Result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	<-s.slots
	before := s.breaker.generation
	s.breaker.Done(time.Now(), c, r, s.rnd)
	if s.breaker.state == Open && s.breaker.generation != before {
		s.stats.Opened++
	}
	if r == Bad {
		s.stats.Bad++
	}
}
