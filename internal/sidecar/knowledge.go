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
	// configWait is how long a watch of the configuration lasts. It brings changes at
	// once; that there is none is learned otherwise (confirm.go).
	configWait = 20 * time.Second
	// fleetWait is the same for the table of members.
	fleetWait = 25 * time.Second
	// Changes of the fleet are collected, so that the start of n nodes does not make
	// each of them call the store n times: for pausePerMember times the members, within
	// bounds. News of 16 nodes that came back after a loss of power served 0.75 of the
	// first two seconds after a pause of 0.25 s, and 0.34 after 1 s.
	pausePerMember = 5 * time.Millisecond
	minFleetPause  = 250 * time.Millisecond
	maxFleetPause  = time.Second
	// answerSlack is how long an answer may take beyond the wait asked for. A slow
	// store takes 60 times its usual 4 ms.
	answerSlack = time.Second
	readTimeout = 2 * time.Second
	// Pause after a failed call, doubled with each failure.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 500 * time.Millisecond
	// keyMargin is taken off the bound on withdrawn keys: a second for which the
	// store may hold back changes from watches before it drops its history, and the
	// rest for rounding.
	keyMargin = 1200 * time.Millisecond
	// waitSlack is how much earlier than asked for the store may end a wait.
	waitSlack = 50 * time.Millisecond
	// sureAge is the age up to which the node is sure that a route or key does not
	// exist. Beyond it, a newer configuration may have it.
	sureAge = 2500 * time.Millisecond
	// readyAge is the age of its knowledge above which a node asks for callers to
	// be sent elsewhere.
	readyAge = 3 * time.Second
)

// knowledge is what the node knows from the store: the operator's configuration,
// with the time as of which it is known to be the newest, and the fleet.
type knowledge struct {
	n   *Node
	log *slog.Logger

	mu            sync.Mutex
	configuration *platform.Configuration // newest
	tree          *settings.Tree          // nil if there is none
	// configVersion is the store's version up to which changes of the operator's
	// table are known; 0 before it was read.
	configVersion uint64

	catalog   atomic.Pointer[catalog.Catalog]
	confirmed atomic.Int64  // time since boot as of which the configuration is known to be the newest
	newer     chan struct{} // a peer knows a newer configuration
	view      *fleet.View   // owned by runFleet
	members   atomic.Pointer[[]*fleet.Member]
	own       atomic.Pointer[ownRow]
	fleetSeen chan struct{} // closed once the table has been read
}

// ownRow is the node's own row as the store has it.
type ownRow struct {
	member  *fleet.Member
	version uint64
}

func newKnowledge(n *Node) *knowledge {
	k := &knowledge{n: n, log: n.log, view: fleet.NewView(), fleetSeen: make(chan struct{}), newer: make(chan struct{}, 1)}
	k.members.Store(&[]*fleet.Member{})
	k.confirmed.Store(-int64(time.Hour))
	return k
}

// age is how old the knowledge of the configuration may be.
func (k *knowledge) age() time.Duration { return k.ageAt(clock.SinceBoot()) }

func (k *knowledge) ageAt(sinceBoot time.Duration) time.Duration {
	return sinceBoot - time.Duration(k.confirmed.Load())
}

// keysHold tells whether no key can have been withdrawn for longer than users
// allow without the node knowing.
func (k *knowledge) keysHold() bool { return k.age() < k.n.settings.Bounds.Revoke-keyMargin }

// runConfiguration follows the operator's configuration.
func (k *knowledge) runConfiguration(ctx context.Context) error {
	return k.follow(ctx, table{name: platform.ConfigurationTable, wait: configWait, take: k.takeConfiguration})
}

// takeConfiguration takes an answer about the operator's table.
func (k *knowledge) takeConfiguration(u update) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, r := range u.rows {
		if !r.Deleted {
			k.takeRow(r)
		}
	}
	if len(u.rows) > 0 {
		k.publishCatalog()
	}
	k.configVersion = max(k.configVersion, u.version)
	k.confirm(u.confirms())
}

// confirms returns the time since boot as of which the update is known to be the
// newest state. An answer without a change was given at the end of the wait. An
// answer with a change was given at some time after the call was sent; it may have
// been held up on its way.
func (u *update) confirms() time.Duration {
	if len(u.rows) > 0 || u.all {
		return u.sent
	}
	return u.sent + max(min(u.took, u.wait)-waitSlack, 0)
}

// takeRow keeps a row of the operator if it can be read.
func (k *knowledge) takeRow(r platform.Row) {
	switch r.Key {
	case platform.ConfigurationKey:
		c, err := platform.ParseConfiguration(r.Value)
		if err != nil {
			k.log.Error("configuration cannot be read; the previous one stays in force", "event", "configuration", "err", err)
			return
		}
		if k.configuration == nil || c.Version > k.configuration.Version {
			k.configuration = c
		}
	case operator.TreeKey:
		tree, err := settings.Parse(r.Key, r.Value)
		if err != nil {
			k.log.Error("settings tree cannot be read; the previous one stays in force", "event", "configuration", "err", err)
			return
		}
		k.tree = tree
	}
}

// publishCatalog puts the newest rows into force.
func (k *knowledge) publishCatalog() {
	if k.configuration == nil {
		return
	}
	next := catalog.New(k.configuration, k.tree)
	k.catalog.Store(next)
	k.n.applyLimits()
	k.n.guard.line.setMaxWait(next.Service(k.n.settings.Service).QueueTime)
	k.log.Info("configuration is in force", "event", "configuration", "version", next.Version,
		"routes", len(next.Routes()), "workspaces", len(next.Workspaces()))
}

// runFleet follows the table of members.
func (k *knowledge) runFleet(ctx context.Context) error {
	first := true
	return k.follow(ctx, table{
		name: fleet.Table, wait: fleetWait, pauseAfterChange: k.fleetPause,
		take: func(u update) {
			k.takeFleet(u, first)
			if first {
				first = false
				close(k.fleetSeen)
			}
		},
	})
}

func (k *knowledge) takeFleet(u update, first bool) {
	var bad []error
	if u.all {
		bad = k.view.Replace(u.rows)
	} else {
		bad = k.view.Apply(u.rows)
	}
	for _, err := range bad {
		k.log.Warn("row names no member", "event", "fleet", "err", err)
	}
	if len(u.rows) > 0 || u.all {
		k.publishFleet(first)
	}
}

// serving returns the members that are not about to stop.
func (k *knowledge) serving() []*fleet.Member {
	var out []*fleet.Member
	for _, m := range *k.members.Load() {
		if m.Serving {
			out = append(out, m)
		}
	}
	return out
}

// fleetPause is the time for which changes of the fleet are collected.
func (k *knowledge) fleetPause() time.Duration {
	pause := time.Duration(len(*k.members.Load())) * pausePerMember
	return min(max(pause, minFleetPause), maxFleetPause)
}

// runDeaths follows the records of crashes of backend servers.
func (k *knowledge) runDeaths(ctx context.Context) error {
	return k.follow(ctx, table{name: fleet.DeathTable, wait: fleetWait, take: func(u update) {
		for _, r := range u.rows {
			if !r.Deleted {
				k.n.crashes.receive(r.Value)
			}
		}
	}})
}

func (k *knowledge) publishFleet(first bool) {
	members := k.view.Members()
	k.members.Store(&members)
	m, version := k.view.Member(k.n.settings.Node)
	k.own.Store(&ownRow{member: m, version: version})
	k.n.places.setMembers(time.Now(), members, first)
	k.n.applyLimits()
	k.n.member.changed()
	k.log.Info("fleet changed", "event", "fleet", "members", len(members))
}

// table is a table of the store that the node follows.
type table struct {
	name string
	wait time.Duration // longest wait for a change
	// pauseAfterChange is the time between a change and the next call.
	pauseAfterChange func() time.Duration // nil for none
	take             func(update)
}

// update is an answer of the store about a table.
type update struct {
	rows []platform.Row
	all  bool          // rows are all rows of the table, not only those that changed
	sent time.Duration // time since boot at which the call was sent
	took time.Duration
	wait time.Duration // that was asked for
	// version of the store up to which the answer tells all changes.
	version uint64
}

// follow reads a table and then its changes.
func (k *knowledge) follow(ctx context.Context, t table) error {
	var version uint64
	read := false
	failures := 0
	for ctx.Err() == nil {
		u := update{all: !read, sent: clock.SinceBoot(), wait: t.wait}
		changes, err := k.next(ctx, t.name, version, read, t.wait)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			failures++
			lost := errors.Is(err, platform.ErrHistoryLost)
			k.failed(t.name, failures, err)
			if read = read && !lost; !lost {
				pause(ctx, failures)
			}
			continue
		}
		if failures > 0 {
			k.log.Info("store answers again", "event", "store", "table", t.name, "failures", failures)
			failures = 0
		}
		u.rows, u.version, u.took = changes.Rows, changes.Version, clock.SinceBoot()-u.sent
		t.take(u)
		version, read = changes.Version, true
		if len(u.rows) > 0 && t.pauseAfterChange != nil {
			sleep(ctx, t.pauseAfterChange())
		}
	}
	return nil
}

func (k *knowledge) next(ctx context.Context, name string, version uint64, read bool, wait time.Duration) (platform.Changes, error) {
	timeout := readTimeout
	if read {
		timeout = wait + answerSlack
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if !read {
		return k.n.store.Read(ctx, name, "")
	}
	return k.n.store.Watch(ctx, name, version, wait)
}

func (k *knowledge) failed(table string, failures int, err error) {
	k.n.metrics.Counter("teaselseam_store_failures_total").Inc()
	if failures == 1 {
		k.log.Warn("store call failed", "event", "store", "table", table, "err", err)
	}
	if errors.Is(err, platform.ErrOutcomeUnknown) {
		k.n.store.CloseIdle()
	}
}

// pause waits before the next try, with jitter so that nodes do not return to the
// store together.
func pause(ctx context.Context, failures int) {
	d := min(minBackoff<<min(failures-1, 8), maxBackoff)
	sleep(ctx, d+time.Duration(rand.Float64()*float64(d)))
}

// sleep waits unless ctx ends.
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

// applyLimits sets the shares of workspaces after a change of the configuration
// or of the number of nodes.
func (n *Node) applyLimits() {
	c := n.knowledge.catalog.Load()
	if c == nil {
		return
	}
	limits := make([]share.Limit, 0, len(c.Workspaces()))
	for _, w := range c.Workspaces() {
		limits = append(limits, share.Limit{Workspace: w.Name, Rate: w.Rate, Burst: w.Burst})
	}
	n.tokens.set(limits, len(*n.knowledge.members.Load()))
}
