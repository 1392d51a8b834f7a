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
	"github.com/teaselseam/teaselseam/internal/evacuation"
	"github.com/teaselseam/teaselseam/internal/fleet"
	"github.com/teaselseam/teaselseam/internal/hop"
	"github.com/teaselseam/teaselseam/internal/operator"
	"github.com/teaselseam/teaselseam/internal/replica"
	"github.com/teaselseam/teaselseam/internal/request"
	"github.com/teaselseam/teaselseam/internal/settings"
	"github.com/teaselseam/teaselseam/internal/share"
	"github.com/teaselseam/teaselseam/platform"
)

const (
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
	evacuations  evacuation.Set
	heard        hop.ConfigFreshness // newest version, era and row that peers have told of

	catalog       atomic.Pointer[catalog.Catalog]
	confirmedAsOf atomic.Int64  // time since boot at which the configuration was known to be the newest
	newerVersion  chan struct{} // signals that a peer has a newer configuration
	members       atomic.Pointer[[]*fleet.Member]
	peers         atomic.Pointer[peerDirectory]
	evacuated     atomic.Pointer[[]string] // data centres, sorted
	ownRow        atomic.Pointer[ownRow]
	countedFrom   atomic.Pointer[time.Time] // see isCounted; nil while this node is no member
	returned      atomic.Bool               // counted from the start, and its buckets are not filled yet
	fleetLoaded   chan struct{}             // closed once the fleet table has been read
	crashesLoaded chan struct{}             // closed once the table of crashes has been read
	loadCrashes   sync.Once                 // closes crashesLoaded

	fleetMu   sync.Mutex // serialises updates of the members
	fleetView *fleet.View
	fleetEra  uint64 // of the versions in fleetView
	founder   bool   // the whole fleet started with this node, or there was no other member

	replication
}

// ownRow is the node's own row in the fleet table.
type ownRow struct {
	fleet.Row
	revision platform.Revision // of its latest change
}

func newStoreState(n *Node) *storeState {
	s := &storeState{
		n: n, log: n.log, fleetView: fleet.NewView(), fleetLoaded: make(chan struct{}), crashesLoaded: make(chan struct{}),
		newerVersion: make(chan struct{}, 1), watchesEnd: make(chan struct{}),
	}
	s.members.Store(&[]*fleet.Member{})
	s.peers.Store(newPeerDirectory(nil))
	s.evacuated.Store(&[]string{})
	s.confirmedAsOf.Store(-int64(time.Hour))
	s.replication.init(s)
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

// applyConfiguration applies an update of the operator's table.
func (s *storeState) applyConfiguration(u update) {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed := false
	for _, r := range u.rows {
		if !r.Deleted && isConfiguration(r.Key) {
			s.applyConfigurationRow(r, u.revision.Era)
			changed = true
		}
	}
	s.applyEvacuations(u)
	if changed {
		s.publishCatalog()
	}
	if asOf := u.validAsOf(); !u.fromPeer && s.era.Confirms(asOf) {
		s.confirmAsOf(asOf)
	}
}

// usesOperatorRow reports whether nodes use a row of the operator's table. They do not need
// the audit trail there.
func usesOperatorRow(key string) bool {
	_, evacuated := platform.EvacuatedDataCentre(key)
	return evacuated || isConfiguration(key)
}

func isConfiguration(key string) bool {
	return key == platform.ConfigurationKey || key == operator.TreeKey
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
	previous := s.catalog.Swap(next)
	s.n.keepFlows(func(f request.Flow) bool { return next.Carries(previous, f) })
	s.n.applyLimits()
	s.n.balancer.setCatalog(next)
	s.n.guard.setColdRate(next.Backends(s.n.settings.Service))
	s.n.guard.queue.setMaxWait(next.Service(s.n.settings.Service).QueueTime)
	s.log.Info("configuration applied", "event", "configuration", "version", next.Version,
		"routes", len(next.Routes()), "workspaces", len(next.Workspaces()))
}

// keepFlows forgets what has been learned of other flows. What a route has been given to do
// anew is not to be expected of what it did before.
func (n *Node) keepFlows(keep func(request.Flow) bool) {
	n.durations.keep(keep)
	n.responseTimes.keep(keep)
	n.balancer.keep(keep)
	n.guard.queue.keep(keep)
	n.downstream.keep(keep)
}

// applyFleet applies an update of the table of members.
func (s *storeState) applyFleet(u update) {
	s.fleetMu.Lock()
	defer s.fleetMu.Unlock()
	first := !isClosed(s.fleetLoaded)
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
	if u.afterCopy {
		time.AfterFunc(era.Settle, s.dropKeptMembers)
	}
	if first {
		close(s.fleetLoaded)
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

// applyCrashRecords applies the records of backend server crashes that nodes write.
func (s *storeState) applyCrashRecords(u update) {
	for _, r := range u.rows {
		if r.Deleted {
			s.n.crashes.forgetRecord(r.Key)
			continue
		}
		s.n.crashes.applyRecord(r)
	}
	s.loadCrashes.Do(func() { close(s.crashesLoaded) })
	if u.afterCopy {
		go s.n.republishCrashes(u.rows)
	}
}

// publishFleet publishes the view of the members. The caller holds fleetMu.
func (s *storeState) publishFleet(first bool) {
	members := s.fleetView.Members()
	s.members.Store(&members)
	s.peers.Store(newPeerDirectory(members))
	own := s.fleetView.Row(s.n.settings.Node)
	s.ownRow.Store(&ownRow{Row: own, revision: platform.Revision{Era: s.fleetEra, Version: own.Version}})
	s.n.balancer.setMembers(time.Now(), members, first)
	s.countSelf(members, first)
	s.n.applyLimits()
	s.n.member.scheduleUpdate()
	s.setPlan(replica.NewPlan(s.n.settings.Node, s.n.settings.DataCentre, members))
	s.log.Info("fleet changed", "event", "fleet", "members", len(members))
}

// recordFailure counts a failed store call and logs the first of a series.
func (s *storeState) recordFailure(table string, failures int, err error) {
	s.n.metrics.Counter("teaselseam_store_failures_total").Inc()
	if failures == 1 {
		s.log.Warn("store call failed", "event", "store", "table", table, "err", err)
	}
	if errors.Is(err, platform.ErrOutcomeUnknown) {
		s.n.store.CloseIdle()
		if failures == 1 {
			s.abortWatches() // their connections have probably been lost together
		}
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
	n.tokens.setLimits(limits, len(*n.state.members.Load()), n.state.isCounted())
	if n.state.returned.CompareAndSwap(true, false) {
		n.tokens.fill()
	}
}
