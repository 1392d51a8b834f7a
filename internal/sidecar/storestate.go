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
	"github.com/teaselseam/teaselseam/internal/era"
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
	// maxReloadJitter bounds the random delay before a node reads its tables again after
	// the store has come back from a copy, so that not all nodes do so at once.
	maxReloadJitter = 200 * time.Millisecond
)

// storeState is the node's copy of the data in the store: the operator's
// configuration, with the time as of which it is known to be the newest, and the
// fleet.
type storeState struct {
	n   *Node
	log *slog.Logger

	mu            sync.Mutex
	era           era.Confirmation
	watchesEnd    chan struct{}           // closed when pending watches are to end
	configuration *platform.Configuration // newest
	// configValue is the row of the newest configuration as the operator wrote it.
	configValue  []byte
	settingsTree *settings.Tree // nil if there is none
	treeLineage  era.Lineage
	// configCursor is the revision up to which changes of the configuration table are
	// known; the zero value before the table has been read.
	configCursor platform.Revision

	catalog       atomic.Pointer[catalog.Catalog]
	confirmedAsOf atomic.Int64  // time since boot at which the configuration was known to be the newest
	newerVersion  chan struct{} // signals that a peer has a newer configuration
	members       atomic.Pointer[[]*fleet.Member]
	ownRow        atomic.Pointer[ownRow]
	fleetLoaded   chan struct{} // closed once the fleet table has been read

	fleetMu   sync.Mutex // serialises updates of the members
	fleetView *fleet.View
	fleetEra  uint64 // of the versions in fleetView
}

// ownRow is the node's own row in the fleet table; member is nil if there is none.
type ownRow struct {
	member   *fleet.Member
	revision platform.Revision
}

func newStoreState(n *Node) *storeState {
	s := &storeState{
		n: n, log: n.log, fleetView: fleet.NewView(), fleetLoaded: make(chan struct{}),
		newerVersion: make(chan struct{}, 1), watchesEnd: make(chan struct{}),
	}
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
func (s *storeState) keysValid() bool { return s.configAge() < s.n.bounds.Load().Revoke-revokeMargin }

// runConfiguration keeps the operator's configuration up to date.
func (s *storeState) runConfiguration(ctx context.Context) error {
	return s.followTable(ctx, followedTable{name: platform.ConfigurationTable, wait: configWatchWait, apply: s.applyConfiguration})
}

// applyConfiguration applies an update of the configuration table.
func (s *storeState) applyConfiguration(u update) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if u.revision.Era < s.era.Era() {
		return // a later era became known in the meantime
	}
	for _, r := range u.rows {
		if !r.Deleted {
			s.applyConfigurationRow(r, u.revision.Era)
		}
	}
	if len(u.rows) > 0 {
		s.publishCatalog()
	}
	if s.configCursor.Before(u.revision) {
		s.configCursor = u.revision
	}
	if asOf := u.validAsOf(); s.era.Confirms(asOf) {
		s.confirmAsOf(asOf)
	}
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
// one if it cannot be parsed or is older.
func (s *storeState) applyConfigurationRow(r platform.Row, rowEra uint64) {
	switch r.Key {
	case platform.ConfigurationKey:
		c, err := platform.ParseConfiguration(r.Value)
		if err != nil {
			s.log.Error("configuration cannot be parsed; keeping the previous one", "event", "configuration", "err", err)
			return
		}
		s.replaceConfiguration(c, r.Value)
		if !s.era.Stored(c.Version, platform.Revision{Era: rowEra, Version: r.Version}) {
			s.log.Warn("store has an older configuration; keeping the newer one", "event", "configuration",
				"version", s.configuration.Version, "in_store", c.Version, "era", rowEra)
		}
	case operator.TreeKey:
		if !s.era.WrittenIn(r.Version) && s.treeLineage.Replaced(r.Value) {
			s.log.Warn("store has an older settings tree; keeping the newer one", "event", "configuration", "era", rowEra)
			return
		}
		tree, err := settings.Parse(r.Key, r.Value)
		if err != nil {
			s.log.Error("settings tree cannot be parsed; keeping the previous one", "event", "configuration", "err", err)
			return
		}
		s.settingsTree = tree
		s.treeLineage.Replace(r.Value)
	}
}

// replaceConfiguration stores a configuration and returns true if it is newer than the
// known one. The caller holds mu.
func (s *storeState) replaceConfiguration(c *platform.Configuration, value []byte) bool {
	newer := s.era.Adopt(c.Version)
	if newer {
		s.configuration, s.configValue = c, value
	}
	return newer
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
			if u.afterCopy {
				time.AfterFunc(era.Settle, s.dropKeptMembers)
			}
			if first {
				first = false
				close(s.fleetLoaded)
			}
		},
	})
}

func (s *storeState) applyFleet(u update, first bool) {
	s.fleetMu.Lock()
	defer s.fleetMu.Unlock()
	var errs []error
	switch {
	case u.afterCopy:
		errs = s.fleetView.ReplaceByCopy(u.rows)
	case u.snapshot:
		errs = s.fleetView.Replace(u.rows)
	default:
		errs = s.fleetView.Apply(u.rows)
	}
	s.fleetEra = u.revision.Era
	for _, err := range errs {
		s.log.Warn("row of the fleet table cannot be parsed", "event", "fleet", "err", err)
	}
	if len(u.rows) > 0 || u.snapshot {
		s.publishFleet(first)
	}
}

// dropKeptMembers ends the precedence of the members known from before the store came back
// from a copy.
func (s *storeState) dropKeptMembers() {
	s.fleetMu.Lock()
	defer s.fleetMu.Unlock()
	if s.fleetView.DropKept() {
		s.publishFleet(false)
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
		if u.afterCopy {
			go s.n.republishCrashes(ctx, u.rows)
		}
	}})
}

// publishFleet publishes the view of the members. The caller holds fleetMu.
func (s *storeState) publishFleet(first bool) {
	members := s.fleetView.Members()
	s.members.Store(&members)
	m, version := s.fleetView.Member(s.n.settings.Node)
	s.ownRow.Store(&ownRow{member: m, revision: platform.Revision{Era: s.fleetEra, Version: version}})
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
	// revision is the state of the store up to which the response covers all changes.
	revision platform.Revision
	// afterCopy is true for the first snapshot after the store came back from an older
	// copy.
	afterCopy bool
}

// errEarlierEra is the failure of a call whose response is of an earlier era than known.
var errEarlierEra = errors.New("response is from before the store came back from a copy")

// followTable reads a table and then watches its changes until ctx ends. It reads the
// whole table again if the store has dropped the history or come back from an older copy.
func (s *storeState) followTable(ctx context.Context, t followedTable) error {
	var cursor platform.Revision
	loaded, loadedBefore := false, false
	failures := 0
	for ctx.Err() == nil {
		u := update{snapshot: !loaded, sentAt: clock.SinceBoot(), wait: t.wait}
		changes, err := s.fetch(ctx, t.name, cursor, loaded, t.wait)
		if ctx.Err() != nil {
			return nil
		}
		if err == nil && s.observe(changes.Revision) == era.Earlier {
			err = errEarlierEra
		}
		if loaded && s.currentEra() != cursor.Era {
			loaded = false
			sleep(ctx, time.Duration(rand.Float64()*float64(maxReloadJitter)))
			continue
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
		u.rows, u.revision, u.duration = changes.Rows, changes.Revision, clock.SinceBoot()-u.sentAt
		u.afterCopy = loadedBefore && changes.Era != cursor.Era
		t.apply(u)
		cursor, loaded, loadedBefore = changes.Revision, true, true
		if len(u.rows) > 0 && t.delayAfterChange != nil {
			sleep(ctx, t.delayAfterChange())
		}
	}
	return nil
}

// fetch reads the whole table if it is not loaded, and otherwise watches it for changes
// after the cursor until the era of the cursor ends.
func (s *storeState) fetch(ctx context.Context, name string, cursor platform.Revision, loaded bool, wait time.Duration) (platform.Changes, error) {
	timeout := storeReadTimeout
	if loaded {
		timeout = wait + watchTimeoutMargin
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if !loaded {
		return s.n.store.Read(ctx, name, "")
	}
	stop := s.onEraEnd(cursor.Era, cancel)
	defer stop()
	return s.n.store.Watch(ctx, name, cursor.Version, wait)
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
