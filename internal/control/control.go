package control

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/teaselseam/teaselseam/internal/changelog"
	"github.com/teaselseam/teaselseam/internal/membership"
	"github.com/teaselseam/teaselseam/internal/peer"
	"github.com/teaselseam/teaselseam/internal/peerpb"
	"github.com/teaselseam/teaselseam/internal/settings"
	"github.com/teaselseam/teaselseam/internal/store"
	"github.com/teaselseam/teaselseam/internal/workspace"
)

// Timers of the control goroutine.
const (
	gossipInterval = 200 * time.Millisecond
	pollInterval   = 500 * time.Millisecond
	rpcTimeout     = time.Second
	// eventQueue is the number of events waiting for the control goroutine.
	eventQueue = 256
	// memberTimeout is the time after which a silent member is dropped.
	memberTimeout = 3 * time.Second
)

// Control owns the control state of a node.
type Control struct {
	log    *slog.Logger
	store  *store.Log
	pool   *peer.Pool
	seeds  []string
	events chan func(*state)

	snapshot     atomic.Pointer[Snapshot]
	lastEvidence atomic.Int64 // time of the newest platform or peer evidence, Unix ns
}

// state is touched by the control goroutine only.
type state struct {
	self     membership.Member
	folded   *changelog.State
	compiled *settings.Compiled
	early    *workspace.Keys
	members  map[string]membership.Member
	heard    map[string]time.Time
}

// New returns the control of one node. Run starts it.
func New(log *slog.Logger, self membership.Member, st *store.Log, pool *peer.Pool, seeds []string) *Control {
	c := &Control{log: log, store: st, pool: pool, seeds: seeds, events: make(chan func(*state), eventQueue)}
	c.snapshot.Store(&Snapshot{Self: self, Keys: workspace.NewKeys()})
	return c
}

// Snapshot returns the newest published state.
func (c *Control) Snapshot() *Snapshot { return c.snapshot.Load() }

// Fresh reports whether the node may serve at the given time.
func (c *Control) Fresh(now time.Time) bool {
	return c.Snapshot().State != nil && now.UnixNano()-c.lastEvidence.Load() < int64(freshnessBound)
}

// freshnessBound is how old a node's newest evidence may be while it serves.
const freshnessBound = 8 * time.Second

// Run owns the state until ctx ends.
func (c *Control) Run(ctx context.Context) error {
	self := c.Snapshot().Self
	s := &state{
		self:    self,
		early:   workspace.NewKeys(),
		members: map[string]membership.Member{},
		heard:   map[string]time.Time{},
	}
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return c.loop(ctx, s) })
	g.Go(func() error { return c.every(ctx, pollInterval, c.poll) })
	g.Go(func() error { return c.every(ctx, gossipInterval, c.gossip) })
	return g.Wait()
}

func (c *Control) loop(ctx context.Context, s *state) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case event := <-c.events:
			event(s)
			c.publish(s)
		}
	}
}

func (c *Control) every(ctx context.Context, d time.Duration, f func(context.Context)) error {
	t := time.NewTicker(d)
	defer t.Stop()
	for {
		f(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
	}
}

func (c *Control) send(ctx context.Context, event func(*state)) {
	select {
	case c.events <- event:
	case <-ctx.Done():
	}
}

func (c *Control) publish(s *state) {
	snap := &Snapshot{State: s.folded, Settings: s.compiled, Self: s.self, Keys: s.early}
	if s.folded != nil {
		snap.Keys = s.folded.Keys.Revoke(s.early.RevokedDigests()...)
		snap.Self.AppliedSeq = s.folded.Seq
	}
	snap.ByService = map[string][]membership.Member{}
	snap.Members = append(snap.Members, snap.Self)
	for _, m := range s.members {
		snap.Members = append(snap.Members, m)
	}
	for _, m := range snap.Members {
		if m.Service != "" && m.Status == membership.Alive {
			snap.ByService[m.Service] = append(snap.ByService[m.Service], m)
		}
	}
	c.snapshot.Store(snap)
}

// poll reads new change log entries from the platform.
func (c *Control) poll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, rpcTimeout)
	defer cancel()
	sent := time.Now()
	var after int64
	if st := c.Snapshot().State; st != nil {
		after = st.Seq
	}
	entries, err := c.store.Read(ctx, after)
	if err != nil {
		c.log.Warn("platform poll failed", "step", "poll", "peer", "platform", "error", err)
		return
	}
	c.send(ctx, func(s *state) { c.apply(s, entries) })
	c.lastEvidence.Store(sent.UnixNano())
}

func (c *Control) apply(s *state, entries []changelog.Entry) {
	if s.folded == nil {
		s.folded = changelog.NewState()
	}
	for _, e := range entries {
		next, err := s.folded.Apply(e)
		if err != nil {
			break // already applied by an earlier poll
		}
		s.folded = next
	}
	s.compiled = settings.Compile(s.folded.Tree)
}

// gossip exchanges members with one random peer.
func (c *Control) gossip(ctx context.Context) {
	snap := c.Snapshot()
	targets := append([]string(nil), c.seeds...)
	for _, m := range snap.Members {
		if m.ID != snap.Self.ID {
			targets = append(targets, m.PeerAddress)
		}
	}
	if len(targets) == 0 {
		return
	}
	target := targets[rand.IntN(len(targets))]
	if target == snap.Self.PeerAddress {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, rpcTimeout)
	defer cancel()
	sent := time.Now()
	resp, err := c.pool.Client(target).Exchange(ctx, &peerpb.ExchangeRequest{Self: memberToPB(snap.Self)})
	if err != nil {
		return
	}
	c.lastEvidence.Store(sent.UnixNano())
	c.send(ctx, func(s *state) { s.merge(time.Now(), append(resp.Members, resp.Self)) })
}

func (s *state) merge(now time.Time, members []*peerpb.Member) {
	for _, pb := range members {
		m := memberFromPB(pb)
		if m.ID == s.self.ID {
			continue
		}
		if old, ok := s.members[m.ID]; ok && old.Incarnation == m.Incarnation && old.Version >= m.Version {
			continue
		}
		s.members[m.ID] = m
		s.heard[m.ID] = now
	}
	for id, t := range s.heard {
		if now.Sub(t) > memberTimeout {
			delete(s.members, id)
			delete(s.heard, id)
		}
	}
}

// Announce records what the backend server beside the node says about itself.
func (c *Control) Announce(ctx context.Context, a Announcement) {
	c.send(ctx, func(s *state) {
		s.self.Service = a.Service
		s.self.Draining = a.Draining
		s.self.MaxConnections = a.MaxConnections
		s.self.BackendStarted = a.Started
		s.self.Version++
	})
}

// SetDraining tells the fleet that the node takes no new calls.
func (c *Control) SetDraining(ctx context.Context) {
	c.send(ctx, func(s *state) {
		s.self.Draining = true
		s.self.Version++
	})
}

// Learn applies entries that were just committed or pushed.
func (c *Control) Learn(ctx context.Context, entries ...changelog.Entry) {
	c.send(ctx, func(s *state) { c.apply(s, entries) })
}
