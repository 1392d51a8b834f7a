package control

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/teaselseam/teaselseam/internal/changelog"
	"github.com/teaselseam/teaselseam/internal/membership"
	"github.com/teaselseam/teaselseam/internal/peer"
	"github.com/teaselseam/teaselseam/internal/settings"
	"github.com/teaselseam/teaselseam/internal/store"
	"github.com/teaselseam/teaselseam/internal/workspace"
)

// Control owns the control state of a node.
type Control struct {
	cfg    Config
	log    *slog.Logger
	hooks  Hooks
	events chan event
	calls  chan struct{}  // one for each exchange or probe under way
	wg     sync.WaitGroup // goroutines started by the loop

	snapshot  atomic.Pointer[Snapshot]
	freshFrom atomic.Pointer[time.Time] // evidence on which freshness rests
	dropped   atomic.Int64
	ringAt    atomic.Pointer[RingSettled]
	settled   atomic.Int64 // newest change log entry known to be settled
	stopped   chan struct{}
}

// event changes the state; done is closed once the result is published.
type event struct {
	apply func(*state)
	done  chan struct{}
}

// state is touched by the control goroutine only.
type state struct {
	members    *membership.State
	rnd        *rand.Rand
	folded     *changelog.State
	window     []changelog.Entry // newest applied entries, consecutive
	compiled   *settings.Compiled
	superseded bool // already logged
	leaving    bool // the node takes no new calls, whatever its backend server says

	polling  bool
	pollAt   time.Time
	fetching bool
	ring     ringState
	built    published
}

// published notes from what the snapshot was built, so that only what changed is
// built again.
type published struct {
	tree       *settings.Tree
	keys       *workspace.Keys // of the folded state
	early      int             // number of early revocations merged
	membersRev uint64
	tableDue   bool // the member table may be built again; once a tick, whatever changes
}

// New returns the control of one node with default timers. Run starts it.
func New(log *slog.Logger, self membership.Member, st *store.Log, pool *peer.Pool, seeds []string) *Control {
	return NewWithConfig(Config{
		Log: log, Self: self, Store: st, Pool: pool, Membership: membership.Config{Seeds: seeds},
	})
}

// NewWithConfig returns the control of one node. Run starts it.
func NewWithConfig(cfg Config) *Control {
	cfg = cfg.withDefaults()
	cfg.Self.Started = fromMillis(toMillis(cfg.Self.Started)) // as other nodes see it
	c := &Control{
		cfg: cfg, log: cfg.Log, events: make(chan event, eventQueue), calls: make(chan struct{}, maxCalls),
		stopped: make(chan struct{}),
	}
	c.snapshot.Store(&Snapshot{Self: cfg.Self, Keys: workspace.NewKeys()})
	return c
}

// Snapshot returns the newest published state.
func (c *Control) Snapshot() *Snapshot { return c.snapshot.Load() }

// Fresh reports whether the node may serve at the given time, which must come
// from time.Now. It compares both clocks, so that it is false right after a pause
// or a suspension, before the control goroutine has run.
func (c *Control) Fresh(now time.Time) bool {
	from := c.freshFrom.Load()
	return from != nil && now.Sub(*from) < c.cfg.Membership.Bound &&
		now.UnixNano()-from.UnixNano() < int64(c.cfg.Membership.Bound)
}

// FreshUntil returns until when the node is fresh with its present evidence; the
// zero time if it is not. Everything that the evidence covers is in the snapshot
// that a later call of Snapshot returns.
func (c *Control) FreshUntil() time.Time {
	from := c.freshFrom.Load()
	if from == nil {
		return time.Time{}
	}
	return from.Add(c.cfg.Membership.Bound)
}

// SettledSeq returns the newest change log entry that this node knows to be
// settled.
func (c *Control) SettledSeq() int64 { return c.settled.Load() }

// noteSettled records that the entries up to a sequence number are settled.
func (c *Control) noteSettled(seq int64) {
	for known := c.settled.Load(); seq > known; known = c.settled.Load() {
		if c.settled.CompareAndSwap(known, seq) {
			return
		}
	}
}

// DroppedEvents returns the number of events that found the queue full.
func (c *Control) DroppedEvents() int64 { return c.dropped.Load() }

// Run owns the state until ctx ends, then tells a few members that the node left.
func (c *Control) Run(ctx context.Context) error {
	now := time.Now()
	s := &state{
		members: membership.New(c.cfg.Membership, c.cfg.Self, now),
		rnd:     rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
	tick := time.NewTicker(c.cfg.Tick)
	defer tick.Stop()
	c.tick(ctx, s)
	for {
		select {
		case <-ctx.Done():
			close(c.stopped)
			c.wg.Wait()
			c.farewell(ctx, s)
			return nil
		case e := <-c.events:
			e.apply(s)
			c.publish(s)
			if e.done != nil {
				close(e.done)
			}
		case <-tick.C:
			c.tick(ctx, s)
		}
	}
}

// tick starts what is due.
func (c *Control) tick(ctx context.Context, s *state) {
	now := time.Now()
	for _, a := range s.members.Tick(now, s.rnd) {
		c.act(ctx, s, a)
	}
	c.pollIfDue(ctx, s, now)
	c.ringIfDue(ctx, s, now)
	s.built.tableDue = true
	c.publish(s)
	if s.members.Superseded() && !s.superseded {
		s.superseded = true
		c.log.Error("another node started under this name; this one serves no more", "step", "membership", "node", c.cfg.Self.ID)
	}
}

// start runs f on a goroutine that Run waits for, unless too many are running.
func (c *Control) start(f func()) bool {
	select {
	case c.calls <- struct{}{}:
	default:
		return false
	}
	c.wg.Go(func() {
		defer func() { <-c.calls }()
		f()
	})
	return true
}

// do runs an event on the control goroutine and waits until its result is
// published. It returns false if the event was not run.
func (c *Control) do(ctx context.Context, apply func(*state)) bool {
	e := event{apply: apply, done: make(chan struct{})}
	select {
	case c.events <- e:
	case <-ctx.Done():
		c.dropped.Add(1)
		return false
	case <-c.stopped:
		return false
	}
	// A queued event runs even if ctx ends, so its variables must not be read before.
	select {
	case <-e.done:
		return true
	case <-c.stopped:
		return false
	}
}

// post queues an event without waiting; an event that finds the queue full is
// counted and dropped.
func (c *Control) post(apply func(*state)) {
	select {
	case c.events <- event{apply: apply}:
	default:
		c.dropped.Add(1)
	}
}

// publish stores a new snapshot if anything changed, and then the evidence: a
// reader that sees the evidence sees all entries it stands for.
func (c *Control) publish(s *state) {
	if snap, changed := s.build(c.Snapshot()); changed {
		c.snapshot.Store(snap)
	}
	from := s.members.FreshFrom(time.Now())
	if from.IsZero() || s.folded == nil {
		c.freshFrom.Store(nil)
		return
	}
	c.freshFrom.Store(&from)
}

// build returns the snapshot of a state, with unchanged parts taken over.
func (s *state) build(old *Snapshot) (snap *Snapshot, changed bool) {
	snap = &Snapshot{
		State: s.folded, Settings: s.compiled, Self: s.members.Self(),
		Keys: old.Keys, Members: old.Members, ByService: old.ByService,
	}
	changed = snap.State != old.State || snap.Settings != old.Settings || snap.Self != old.Self
	if s.folded != nil {
		early := s.members.EarlyRevocations()
		if s.built.keys != s.folded.Keys || s.built.early != len(early) {
			s.built.keys, s.built.early = s.folded.Keys, len(early)
			snap.Keys = s.folded.Keys.Revoke(toDigests(early)...)
			changed = true
		}
	}
	if rev := s.members.Revision(); s.built.tableDue && rev != s.built.membersRev || snap.Self != old.Self || old.Members == nil {
		s.built.membersRev, s.built.tableDue = rev, false
		snap.Members = s.members.Members()
		snap.ByService = byService(snap.Members)
		changed = true
	}
	return snap, changed
}

func byService(members []membership.Member) map[string][]membership.Member {
	out := map[string][]membership.Member{}
	for _, m := range members {
		if m.Service != "" && m.Status == membership.Alive {
			out[m.Service] = append(out[m.Service], m)
		}
	}
	return out
}

// Announce records what the backend server beside the node says about itself.
func (c *Control) Announce(_ context.Context, a Announcement) {
	c.post(func(s *state) {
		s.members.UpdateSelf(func(m *membership.Member) {
			m.Service = a.Service
			m.Draining = a.Draining || s.leaving
			m.MaxConnections = a.MaxConnections
			m.BackendStarted = fromMillis(toMillis(a.Started))
		})
	})
}

// SetDraining tells the fleet that the node takes no new calls.
func (c *Control) SetDraining(ctx context.Context) {
	c.do(ctx, func(s *state) {
		s.leaving = true
		s.members.UpdateSelf(func(m *membership.Member) { m.Draining = true })
	})
}

// Evidence returns the age of the newest information by data centre, and of the
// platform under membership.PlatformSource.
func (c *Control) Evidence(now time.Time) map[string]time.Duration {
	ctx, cancel := context.WithTimeout(context.Background(), c.cfg.CallTimeout)
	defer cancel()
	out := map[string]time.Duration{}
	c.do(ctx, func(s *state) { out = s.members.EvidenceAges(now) })
	return out
}
