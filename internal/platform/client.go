package platform

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// ClientConfig sets the limits of a Client. Zero fields take the defaults.
type ClientConfig struct {
	// Timeout bounds each call, whatever deadline the caller has.
	Timeout time.Duration
	// Slow is the duration from which a call counts against the platform like a
	// failure.
	Slow time.Duration
	// Concurrency is the number of calls in flight, and WaitingWrites the number of
	// writes that wait for one to end. Reads do not wait.
	Concurrency   int
	WaitingWrites int
	// Failures is the number of consecutive failed or slow calls that opens the
	// circuit breaker.
	Failures int
	// MinBackoff and MaxBackoff bound the time for which the open breaker refuses
	// calls. It doubles with each failed trial call. Half of it is random, so that
	// 1,800 nodes do not come back at the same moment.
	MinBackoff time.Duration
	MaxBackoff time.Duration
	// Recovery is the time after an outage during which calls are let through at
	// random, at first few and at the end all.
	Recovery time.Duration
	// Now and Random replace the clock and the random numbers in tests.
	Now    func() time.Time
	Random func() float64
}

func (c ClientConfig) withDefaults() ClientConfig {
	for _, d := range []struct {
		field *time.Duration
		value time.Duration
	}{
		{&c.Timeout, 2 * time.Second},
		{&c.Slow, time.Second},
		{&c.MinBackoff, 500 * time.Millisecond},
		{&c.MaxBackoff, 10 * time.Second},
		{&c.Recovery, 5 * time.Second},
	} {
		if *d.field == 0 {
			*d.field = d.value
		}
	}
	for _, d := range []struct{ field, value *int }{
		{&c.Concurrency, new(16)}, {&c.WaitingWrites, new(32)}, {&c.Failures, new(3)},
	} {
		if *d.field == 0 {
			*d.field = *d.value
		}
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.Random == nil {
		c.Random = rand.Float64
	}
	return c
}

// Client is a Store that protects its caller from a slow platform and the platform
// from its callers. It does not repeat calls: whether a write that failed took
// effect is for the caller to read back. Calls that were not sent fail with
// ErrUnavailable. It is safe for concurrent use.
type Client struct {
	store   Store
	cfg     ClientConfig
	slots   chan struct{}
	waiting chan struct{}
	breaker breaker
}

var _ Store = (*Client)(nil)

// NewClient returns a client of a store.
func NewClient(s Store, cfg ClientConfig) *Client {
	cfg = cfg.withDefaults()
	return &Client{
		store:   s,
		cfg:     cfg,
		slots:   make(chan struct{}, cfg.Concurrency),
		waiting: make(chan struct{}, cfg.WaitingWrites),
		breaker: breaker{cfg: cfg},
	}
}

// Get implements Table.
func (c *Client) Get(ctx context.Context, key string) (row Row, err error) {
	err = c.call(ctx, false, func(ctx context.Context) (err error) { row, err = c.store.Get(ctx, key); return })
	return row, err
}

// Scan implements Table.
func (c *Client) Scan(ctx context.Context, from, to string, limit int) (rows []Row, err error) {
	err = c.call(ctx, false, func(ctx context.Context) (err error) { rows, err = c.store.Scan(ctx, from, to, limit); return })
	return rows, err
}

// Commit implements Table.
func (c *Client) Commit(ctx context.Context, tx Transaction) error {
	return c.call(ctx, true, func(ctx context.Context) error { return c.store.Commit(ctx, tx) })
}

// GetObject implements Objects.
func (c *Client) GetObject(ctx context.Context, name string) (data []byte, err error) {
	err = c.call(ctx, false, func(ctx context.Context) (err error) { data, err = c.store.GetObject(ctx, name); return })
	return data, err
}

// PutObject implements Objects.
func (c *Client) PutObject(ctx context.Context, name string, data []byte) error {
	return c.call(ctx, true, func(ctx context.Context) error { return c.store.PutObject(ctx, name, data) })
}

func (c *Client) call(ctx context.Context, write bool, f func(context.Context) error) error {
	release, err := c.enter(ctx, write)
	if err != nil {
		return err
	}
	defer release()
	pass, err := c.breaker.admit()
	if err != nil {
		return err
	}
	callCtx, cancel := context.WithTimeout(ctx, c.cfg.Timeout)
	defer cancel()
	start := c.cfg.Now()
	err = f(callCtx)
	took := c.cfg.Now().Sub(start)
	switch {
	case ctx.Err() != nil && took < c.cfg.Slow:
		c.breaker.abandoned(pass) // the caller gave up; tells nothing of the platform
	case took >= c.cfg.Slow, err != nil && !errors.Is(err, ErrNotFound) && !errors.Is(err, ErrConflict):
		c.breaker.failed(pass)
	default:
		c.breaker.succeeded(pass)
	}
	return err
}

// enter takes a slot. A write may wait for one, within a bounded queue.
func (c *Client) enter(ctx context.Context, write bool) (release func(), err error) {
	release = func() { <-c.slots }
	select {
	case c.slots <- struct{}{}:
		return release, nil
	default:
	}
	if !write {
		return nil, fmt.Errorf("%w: %d calls are in flight", ErrUnavailable, c.cfg.Concurrency)
	}
	select {
	case c.waiting <- struct{}{}:
	default:
		return nil, fmt.Errorf("%w: %d writes are waiting", ErrUnavailable, c.cfg.WaitingWrites)
	}
	defer func() { <-c.waiting }()
	timeout := time.NewTimer(c.cfg.Timeout)
	defer timeout.Stop()
	select {
	case c.slots <- struct{}{}:
		return release, nil
	case <-timeout.C:
	case <-ctx.Done():
	}
	return nil, fmt.Errorf("%w: no call ended in time", ErrUnavailable)
}

// breaker refuses calls after consecutive failures. When its time is up, it lets
// one trial call through; after a successful one it opens up gradually.
type breaker struct {
	cfg       ClientConfig
	mu        sync.Mutex
	failures  int
	backoff   time.Duration // zero while closed
	until     time.Time     // no call before this while open
	trial     bool          // a trial call is under way
	recovered time.Time     // of the last outage
	period    int           // counts openings; results of earlier calls do not count
}

// pass identifies an admitted call.
type pass struct {
	period int
	trial  bool
}

func (b *breaker) admit() (pass, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.cfg.Now()
	if b.backoff > 0 {
		if now.Before(b.until) || b.trial {
			return pass{}, fmt.Errorf("%w: circuit breaker is open", ErrUnavailable)
		}
		b.trial = true
		return pass{b.period, true}, nil
	}
	share := float64(now.Sub(b.recovered)) / float64(b.cfg.Recovery)
	if !b.recovered.IsZero() && share < 1 && b.cfg.Random() >= share {
		return pass{}, fmt.Errorf("%w: recovering from an outage", ErrUnavailable)
	}
	return pass{b.period, false}, nil
}

func (b *breaker) failed(p pass) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if p.period != b.period {
		return
	}
	b.failures++
	if p.trial || b.failures >= b.cfg.Failures {
		b.open()
	}
}

func (b *breaker) open() {
	b.backoff = min(max(2*b.backoff, b.cfg.MinBackoff), b.cfg.MaxBackoff)
	b.until = b.cfg.Now().Add(b.backoff/2 + time.Duration(b.cfg.Random()*float64(b.backoff/2)))
	b.trial = false
	b.failures = 0
	b.period++
}

func (b *breaker) succeeded(p pass) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if p.period != b.period {
		return
	}
	b.failures = 0
	if p.trial {
		b.backoff = 0
		b.trial = false
		b.recovered = b.cfg.Now()
		b.period++
	}
}

func (b *breaker) abandoned(p pass) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if p.period == b.period && p.trial {
		b.trial = false
	}
}
