package sidecar

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/teaselseam/teaselseam/internal/catalog"
	"github.com/teaselseam/teaselseam/internal/clock"
	"github.com/teaselseam/teaselseam/internal/fleet"
	"github.com/teaselseam/teaselseam/internal/operator"
	"github.com/teaselseam/teaselseam/internal/settings"
	"github.com/teaselseam/teaselseam/internal/share"
	"github.com/teaselseam/teaselseam/platform"
)

const (
	// configWatchWait is the long-poll wait for configuration changes. It may be long: the
	// store responds to a change at once, and confirm.go polls more often to verify that
	// there was none.
	configWatchWait = 20 * time.Second
	// fleetWatchWait is the long-poll wait for the fleet table and the crash records.
	fleetWatchWait = 25 * time.Second
	// Fleet changes are batched so that the start of n nodes does not make each of them
	// call the store n times. The delay is fleetDelayPerMember times the number of
	// members, within bounds. When 16 nodes came back after a power loss, 0.75 of the
	// requests of the first two seconds were served with a delay of 0.25 s, and 0.34
	// with 1 s.
	fleetDelayPerMember = 5 * time.Millisecond
	minFleetDelay       = 250 * time.Millisecond
	maxFleetDelay       = time.Second
	// watchTimeoutMargin is added to the requested wait to get the timeout of a watch. A
	// slow store takes 60 times its usual 4 ms.
	watchTimeoutMargin = time.Second
	storeReadTimeout   = 2 * time.Second
	// Bounds of the exponential backoff after failed store calls.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 500 * time.Millisecond
	// revokeMargin is subtracted from Bounds.Revoke, the time within which a revoked key
	// must be rejected. The store may deliver changes to watches up to a second late
	// before it drops its history; the rest covers rounding.
	revokeMargin = 1200 * time.Millisecond
	// earlyReturnMargin is how much earlier than requested the store may end a watch.
	earlyReturnMargin = 50 * time.Millisecond
	// maxDefinitiveAge is the configuration age up to which the node reports a route or
	// key as unknown. Beyond it, a newer configuration may contain it.
	maxDefinitiveAge = 2500 * time.Millisecond
	// maxReadyAge is the configuration age above which the node reports that it is not
	// ready, so that callers are sent to other nodes.
	maxReadyAge = 3 * time.Second
)

// storeState is the node's copy of the data in the store: the operator's
// configuration, with the time as of which it is known to be the newest, and the
// fleet.
type storeState struct {
	n   *Node
	log *slog.Logger

	mu            sync.Mutex
	configuration *platform.Configuration // newest
	settingsTree  *settings.Tree          // nil if there is none
	// configVersion is the store version up to which changes of the configuration table
	// are known; 0 before the table has been read.
	configVersion uint64

	catalog       atomic.Pointer[catalog.Catalog]
	confirmedAsOf atomic.Int64  // time since boot at which the configuration was known to be the newest
	newerVersion  chan struct{} // signals that a peer has a newer configuration
	fleetView     *fleet.View   // owned by runFleet
	members       atomic.Pointer[[]*fleet.Member]
	ownRow        atomic.Pointer[ownRow]
	fleetLoaded   chan struct{} // closed once the fleet table has been read
}

// ownRow is the node's own row in the fleet table; member is nil if there is none.
type ownRow struct {
	member  *fleet.Member
	version uint64
}

func newStoreState(n *Node) *storeState {
	s := &storeState{n: n, log: n.log, fleetView: fleet.NewView(), fleetLoaded: make(chan struct{}), newerVersion: make(chan struct{}, 1)}
	s.members.Store(&[]*fleet.Member{})
	s.confirmedAsOf.Store(-int64(time.Hour))
	return s
}

// configAge returns the time since the configuration was last known to be the newest.
func (s *storeState) configAge() time.Duration { return s.configAgeAt(clock.SinceBoot()) }

func (s *storeState) configAgeAt(sinceBoot time.Duration) time.Duration {
	return sinceBoot - time.Duration(s.confirmedAsOf.Load())
}

// keysValid reports whether requests with keys may be served. It is false once the
// configuration is so old that a key revoked since it was confirmed might be accepted for
// longer than Bounds.Revoke allows.
func (s *storeState) keysValid() bool { return s.configAge() < s.n.settings.Bounds.Revoke-revokeMargin }

// runConfiguration keeps the operator's configuration up to date.
func (s *storeState) runConfiguration(ctx context.Context) error {
	return s.followTable(ctx, followedTable{name: platform.ConfigurationTable, wait: configWatchWait, apply: s.applyConfiguration})
}

// applyConfiguration applies an update of the configuration table.
func (s *storeState) applyConfiguration(u update) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range u.rows {
		if !r.Deleted {
			s.applyConfigurationRow(r)
		}
	}
	if len(u.rows) > 0 {
		s.publishCatalog()
	}
	s.configVersion = max(s.configVersion, u.version)
	s.confirmAsOf(u.validAsOf())
}

// validAsOf returns the time since boot at which the update was certainly the newest
// state. The store ends a watch without changes at the end of its wait. When it sent a
// response with changes is unknown, because the response may have been delayed on the
// network, so only the time of the call is certain.
func (u *update) validAsOf() time.Duration {
	if len(u.rows) > 0 || u.snapshot {
		return u.sentAt
	}
	return u.sentAt + max(min(u.duration, u.wait)-earlyReturnMargin, 0)
}

// applyConfigurationRow stores a row of the configuration table, or keeps the previous
// one if it cannot be parsed.
func (s *storeState) applyConfigurationRow(r platform.Row) {
	switch r.Key {
	case platform.ConfigurationKey:
		c, err := platform.ParseConfiguration(r.Value)
		if err != nil {
			s.log.Error("configuration cannot be parsed; keeping the previous one", "event", "configuration", "err", err)
			return
		}
		if s.configuration == nil || c.Version > s.configuration.Version {
			s.configuration = c
		}
	case operator.TreeKey:
		tree, err := settings.Parse(r.Key, r.Value)
		if err != nil {
			s.log.Error("settings tree cannot be parsed; keeping the previous one", "event", "configuration", "err", err)
			return
		}
		s.settingsTree = tree
	}
}

// publishCatalog activates the newest configuration and settings tree.
func (s *storeState) publishCatalog() {
	if s.configuration == nil {
		return
	}
	next := catalog.New(s.configuration, s.settingsTree)
	s.catalog.Store(next)
	s.n.applyLimits()
	s.n.guard.queue.setMaxWait(next.Service(s.n.settings.Service).QueueTime)
	s.log.Info("configuration applied", "event", "configuration", "version", next.Version,
		"routes", len(next.Routes()), "workspaces", len(next.Workspaces()))
}

// runFleet keeps the view of the members up to date.
func (s *storeState) runFleet(ctx context.Context) error {
	first := true
	return s.followTable(ctx, followedTable{
		name: fleet.Table, wait: fleetWatchWait, delayAfterChange: s.fleetDelay,
		apply: func(u update) {
			s.applyFleet(u, first)
			if first {
				first = false
				close(s.fleetLoaded)
			}
		},
	})
}

func (s *storeState) applyFleet(u update, first bool) {
	var errs []error
	if u.snapshot {
		errs = s.fleetView.Replace(u.rows)
	} else {
		errs = s.fleetView.Apply(u.rows)
	}
	for _, err := range errs {
		s.log.Warn("row of the fleet table cannot be parsed", "event", "fleet", "err", err)
	}
	if len(u.rows) > 0 || u.snapshot {
		s.publishFleet(first)
	}
}

// servingMembers returns the members that are not stopping.
func (s *storeState) servingMembers() []*fleet.Member {
	var out []*fleet.Member
	for _, m := range *s.members.Load() {
		if m.Serving {
			out = append(out, m)
		}
	}
	return out
}

// fleetDelay returns the time over which fleet changes are batched.
func (s *storeState) fleetDelay() time.Duration {
	delay := time.Duration(len(*s.members.Load())) * fleetDelayPerMember
	return min(max(delay, minFleetDelay), maxFleetDelay)
}

// runCrashRecords applies the records of backend server crashes that nodes write.
func (s *storeState) runCrashRecords(ctx context.Context) error {
	return s.followTable(ctx, followedTable{name: fleet.DeathTable, wait: fleetWatchWait, apply: func(u update) {
		for _, r := range u.rows {
			if !r.Deleted {
				s.n.crashes.applyRecord(r.Value)
			}
		}
	}})
}

func (s *storeState) publishFleet(first bool) {
	members := s.fleetView.Members()
	s.members.Store(&members)
	m, version := s.fleetView.Member(s.n.settings.Node)
	s.ownRow.Store(&ownRow{member: m, version: version})
	s.n.balancer.setMembers(time.Now(), members, first)
	s.n.applyLimits()
	s.n.member.scheduleUpdate()
	s.log.Info("fleet changed", "event", "fleet", "members", len(members))
}

// followedTable describes a table of the store that the node keeps up to date.
type followedTable struct {
	name string
	wait time.Duration // long-poll wait for a change
	// delayAfterChange returns the time between a change and the next call.
	delayAfterChange func() time.Duration // nil for no delay
	apply            func(update)
}

// update is the store's response about a table.
type update struct {
	rows     []platform.Row
	snapshot bool          // rows has all rows of the table, not only those that changed
	sentAt   time.Duration // time since boot at which the call was sent
	duration time.Duration
	wait     time.Duration // requested long-poll wait
	// version is the store version up to which the response covers all changes.
	version uint64
}

// followTable reads a table and then watches its changes until ctx ends. It reads the
// whole table again if the store has dropped the history.
func (s *storeState) followTable(ctx context.Context, t followedTable) error {
	var version uint64
	loaded := false
	failures := 0
	for ctx.Err() == nil {
		u := update{snapshot: !loaded, sentAt: clock.SinceBoot(), wait: t.wait}
		changes, err := s.fetch(ctx, t.name, version, loaded, t.wait)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			failures++
			lost := errors.Is(err, platform.ErrHistoryLost)
			s.recordFailure(t.name, failures, err)
			if loaded = loaded && !lost; !lost {
				backoff(ctx, failures)
			}
			continue
		}
		if failures > 0 {
			s.log.Info("store calls succeed again", "event", "store", "table", t.name, "failures", failures)
			failures = 0
		}
		u.rows, u.version, u.duration = changes.Rows, changes.Version, clock.SinceBoot()-u.sentAt
		t.apply(u)
		version, loaded = changes.Version, true
		if len(u.rows) > 0 && t.delayAfterChange != nil {
			sleep(ctx, t.delayAfterChange())
		}
	}
	return nil
}

// fetch reads the whole table if it is not loaded, and otherwise watches it for changes
// after the version.
func (s *storeState) fetch(ctx context.Context, name string, version uint64, loaded bool, wait time.Duration) (platform.Changes, error) {
	timeout := storeReadTimeout
	if loaded {
		timeout = wait + watchTimeoutMargin
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if !loaded {
		return s.n.store.Read(ctx, name, "")
	}
	return s.n.store.Watch(ctx, name, version, wait)
}

// recordFailure counts a failed store call and logs the first of a series.
func (s *storeState) recordFailure(table string, failures int, err error) {
	s.n.metrics.Counter("teaselseam_store_failures_total").Inc()
	if failures == 1 {
		s.log.Warn("store call failed", "event", "store", "table", table, "err", err)
	}
	if errors.Is(err, platform.ErrOutcomeUnknown) {
		s.n.store.CloseIdle()
	}
}

// backoff waits before the next store call, with jitter so that nodes do not call the
// store again at the same time.
func backoff(ctx context.Context, failures int) {
	d := min(minBackoff<<min(failures-1, 8), maxBackoff)
	sleep(ctx, d+time.Duration(rand.Float64()*float64(d)))
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// applyLimits sets the rate limits of workspaces after a change of the configuration
// or of the number of nodes.
func (n *Node) applyLimits() {
	c := n.state.catalog.Load()
	if c == nil {
		return
	}
	limits := make([]share.Limit, 0, len(c.Workspaces()))
	for _, w := range c.Workspaces() {
		limits = append(limits, share.Limit{Workspace: w.Name, Rate: w.Rate, Burst: w.Burst})
	}
	n.tokens.setLimits(limits, len(*n.state.members.Load()))
}
