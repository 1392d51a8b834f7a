package sidecar

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/teaselseam/teaselseam/internal/clock"
	"github.com/teaselseam/teaselseam/internal/era"
	"github.com/teaselseam/teaselseam/internal/fleet"
	"github.com/teaselseam/teaselseam/internal/replica"
	"github.com/teaselseam/teaselseam/platform"
)

// Package replica decides whether a node watches the store or learns of changes from
// another node. This file reads and watches the tables; feed.go asks other nodes and
// answers them. Both hand what they get to update.

const (
	// configWatchWait is the long-poll wait for configuration changes. It may be long: the
	// store responds to a change at once, and confirm.go polls more often to verify that
	// there was none.
	configWatchWait = 20 * time.Second
	// fleetWatchWait is the long-poll wait for the fleet table. It bounds, with
	// watchTimeoutMargin, how late a node notices that its connections to the store have
	// gone silent: nothing else verifies the table. A call that ends without a response ends
	// all watches (recordFailure).
	fleetWatchWait = 4 * time.Second
	// crashWatchWait is the long-poll wait for the crash records.
	crashWatchWait = 25 * time.Second
	// Fleet changes are batched so that the start of n nodes does not make each follower
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
	// firstFleetRead is when a node reads the fleet table if the whole fleet starts for the
	// first time. All rows are written by then, and one read finds them.
	firstFleetRead = 2 * time.Second
)

// replication holds the node's copies of the tables of the store.
type replication struct {
	tables      []*replicatedTable
	configTable *replicatedTable

	// watching is open while this node watches the store.
	watching gate

	replicaMu    sync.Mutex
	plan         replica.Plan
	standInUntil time.Time     // until when the node watches the store because others have asked it
	planChanged  chan struct{} // signals a change of either
	changed      chan struct{} // closed at a change of any table
}

func (r *replication) init(s *storeState) {
	r.planChanged = make(chan struct{}, 1)
	r.changed = make(chan struct{})
	r.watching.changed = make(chan struct{})
	r.configTable = &replicatedTable{
		name: platform.ConfigurationTable, wait: replica.WatchWait{Max: configWatchWait}, apply: s.applyConfiguration,
		uses: usesOperatorRow,
	}
	everything := func(string) bool { return true }
	r.tables = []*replicatedTable{
		r.configTable,
		{name: fleet.Table, wait: replica.WatchWait{Max: fleetWatchWait}, delayAfterChange: s.fleetDelay, apply: s.applyFleet, uses: everything},
		{name: fleet.DeathTable, wait: replica.WatchWait{Max: crashWatchWait}, apply: s.applyCrashRecords, uses: everything, notUrgent: true},
	}
}

// replicatedTable is a table of the store that the node keeps up to date.
type replicatedTable struct {
	name string
	wait replica.WatchWait // used by followTable only
	// delayAfterChange returns the time between a change and the next call.
	delayAfterChange func() time.Duration // nil for no delay
	uses             func(key string) bool
	apply            func(update)
	notUrgent        bool // a node that starts may learn the rows from a peer

	mu           sync.Mutex
	copy         replica.Table
	failingSince time.Time // when the calls for the table began to fail; zero if they succeed
}

// setFailing records the result of a call for the table.
func (t *replicatedTable) setFailing(failing bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case !failing:
		t.failingSince = time.Time{}
	case t.failingSince.IsZero():
		t.failingSince = time.Now()
	}
}

// failingFor returns for how long the calls for the table have failed.
func (t *replicatedTable) failingFor() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.failingSince.IsZero() {
		return 0
	}
	return time.Since(t.failingSince)
}

// update is what the store, or a peer, has sent about a table.
type update struct {
	rows     []platform.Row
	snapshot bool          // rows has all rows of the table, not only those that changed
	sentAt   time.Duration // time since boot at which the call was sent
	duration time.Duration
	wait     time.Duration // requested long-poll wait
	// revision is the state of the store up to which the response covers all changes.
	revision platform.Revision
	fromPeer bool
	// afterCopy is true for the first snapshot after the store came back from an older
	// copy.
	afterCopy bool
	previous  platform.Revision // of the node's copy of the table before the update
}

// position returns the revision of the copy and whether the table is loaded.
func (t *replicatedTable) position() (platform.Revision, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.copy.Revision(), t.copy.Loaded()
}

// newest returns the revision of the newest row of the copy.
func (t *replicatedTable) newest() platform.Revision {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.copy.Newest()
}

// update applies an update to a table unless it is outdated.
func (s *storeState) update(t *replicatedTable, u update) (applied bool) {
	used := u.rows[:0:0]
	for _, r := range u.rows {
		if t.uses(r.Key) {
			used = append(used, r)
		}
	}
	u.rows = used
	t.mu.Lock()
	defer t.mu.Unlock()
	previous, loaded := t.copy.Revision(), t.copy.Loaded()
	if !t.copy.Apply(replica.Update{Revision: u.revision, Rows: u.rows, Snapshot: u.snapshot}) {
		return false
	}
	u.afterCopy, u.previous = loaded && u.revision.Era != previous.Era, previous
	t.apply(u)
	if len(u.rows) > 0 || u.snapshot {
		s.signalChange()
	}
	return true
}

// signalChange wakes the requests of nodes that this node feeds.
func (s *storeState) signalChange() {
	s.replicaMu.Lock()
	defer s.replicaMu.Unlock()
	close(s.changed)
	s.changed = make(chan struct{})
}

// errEarlierEra is the failure of a call whose response is of an earlier era than known.
var errEarlierEra = errors.New("response is from before the store came back from a copy")

// followTable reads a table and then, while the node watches the store, watches its changes
// until ctx ends. It reads the whole table again if the store has dropped the history or
// come back from an older copy.
func (s *storeState) followTable(ctx context.Context, t *replicatedTable) error {
	if t.name == fleet.Table && s.n.settings.FirstStart {
		sleep(ctx, firstFleetRead+time.Duration(rand.Float64()*float64(maxReloadJitter)))
	}
	reload := false
	failures := 0
	for ctx.Err() == nil {
		if !s.awaitTurn(ctx, t) {
			return nil
		}
		cursor, loaded := t.position()
		reload = reload || !loaded || s.currentEra() != cursor.Era
		u := update{snapshot: reload, sentAt: clock.SinceBoot(), wait: t.wait.Next()}
		changes, err := s.fetch(ctx, t.name, cursor, u)
		if ctx.Err() != nil {
			return nil
		}
		if err == nil && s.observe(changes.Revision) == era.Earlier {
			err = errEarlierEra
		}
		switch {
		case errors.Is(err, context.Canceled), err == nil && !reload && changes.Era != cursor.Era:
			// The watch was ended, or the store has come back from a copy.
			sleep(ctx, time.Duration(rand.Float64()*float64(maxReloadJitter)))
			continue
		case errors.Is(err, platform.ErrHistoryLost):
			failures++
			s.recordFailure(t.name, failures, err)
			reload = true
			continue
		case err != nil:
			failures++
			t.setFailing(true)
			s.recordFailure(t.name, failures, err)
			if errors.Is(err, platform.ErrOutcomeUnknown) {
				t.wait.Record(false)
			}
			backoff(ctx, failures)
			continue
		}
		t.setFailing(false)
		if !reload {
			t.wait.Record(true)
		}
		if failures > 0 {
			s.log.Info("store calls succeed again", "event", "store", "table", t.name, "failures", failures)
			failures = 0
		}
		u.rows, u.revision, u.duration = changes.Rows, changes.Revision, clock.SinceBoot()-u.sentAt
		reload = false
		if !s.update(t, u) {
			backoff(ctx, 1) // a peer has sent a newer state meanwhile
			continue
		}
		if len(u.rows) > 0 && t.delayAfterChange != nil {
			sleep(ctx, t.delayAfterChange())
		}
	}
	return nil
}

// awaitTurn waits until the store is to be called for a table. It returns false when ctx
// ends.
func (s *storeState) awaitTurn(ctx context.Context, t *replicatedTable) bool {
	if _, loaded := t.position(); !loaded && !t.notUrgent {
		return ctx.Err() == nil
	}
	return s.watching.wait(ctx)
}

// fetch reads the whole table for a snapshot, or watches it for changes after the cursor
// until the watch is ended (endWatches).
func (s *storeState) fetch(ctx context.Context, table string, cursor platform.Revision, u update) (platform.Changes, error) {
	timeout := u.wait + watchTimeoutMargin
	if u.snapshot {
		timeout = storeReadTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if u.snapshot {
		return s.n.store.Read(ctx, table, "")
	}
	stop := s.onWatchesEnd(cursor.Era, cancel)
	defer stop()
	return s.n.store.Watch(ctx, table, cursor.Version, u.wait)
}

// setWatching starts or ends the watching of the store.
func (s *storeState) setWatching(on bool, reason string) {
	if !s.watching.set(on) {
		return
	}
	s.log.Info("source of changes", "event", "feed", "store", on, "reason", reason)
	if !on {
		for _, t := range s.tables {
			t.setFailing(false)
		}
		s.abortWatches()
	}
}

// hasLostStore reports whether this node cannot hand on changes, because the store does not
// answer it or the age of its configuration shows that it has heard nothing for long.
func (s *storeState) hasLostStore() bool {
	for _, t := range s.tables {
		if t.failingFor() > maxWatchFailure {
			return true
		}
	}
	return s.configAge() > maxSourceAge
}

// fleetDelay returns the time over which fleet changes are batched.
func (s *storeState) fleetDelay() time.Duration {
	delay := time.Duration(len(*s.members.Load())) * fleetDelayPerMember
	return min(max(delay, minFleetDelay), maxFleetDelay)
}

// gate lets goroutines wait until it is open.
type gate struct {
	mu      sync.Mutex
	open    bool
	changed chan struct{} // closed at a change of open
}

// set opens or closes the gate and reports whether that is a change.
func (g *gate) set(open bool) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.open == open {
		return false
	}
	g.open = open
	close(g.changed)
	g.changed = make(chan struct{})
	return true
}

func (g *gate) isOpen() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.open
}

// wait waits until the gate is open. It returns false when ctx ends.
func (g *gate) wait(ctx context.Context) bool {
	for ctx.Err() == nil {
		g.mu.Lock()
		open, changed := g.open, g.changed
		g.mu.Unlock()
		if open {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
	return false
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}
