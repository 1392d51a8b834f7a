package sidecar

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"strings"
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
	// confirmPart of the bound on withdrawn keys is how long the store may hold
	// back an answer that nothing has changed. A lost answer fits in the rest.
	confirmPart = 0.4
	// confirmSoon is the same after a change. What arrived with it was true at some
	// time since the call was sent, and a short call tells that it is the newest.
	confirmSoon = 300 * time.Millisecond
	// fleetPause collects changes of the fleet, so that the start of n nodes does
	// not make each of them call the store n times.
	fleetPause = 250 * time.Millisecond
	// fleetWait is the same for the table of members. It proves nothing, so it is
	// as long as a silent connection may go unnoticed.
	fleetWait = 10 * time.Second
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

// Keys of rows in the table of the fleet.
const (
	memberPrefix = "node/"
	deathPrefix  = "death/"
)

// knowledge is what the node knows from the store: the operator's configuration,
// with the time as of which it is known to be the newest, and the fleet.
type knowledge struct {
	n   *Node
	log *slog.Logger

	configuration *platform.Configuration // newest; owned by runConfiguration
	tree          *settings.Tree          // owned by runConfiguration; nil if there is none

	catalog   atomic.Pointer[catalog.Catalog]
	confirmed atomic.Int64 // time since boot at which the newest confirming call was sent
	view      *fleet.View  // owned by runFleet
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
	k := &knowledge{n: n, log: n.log, view: fleet.NewView(), fleetSeen: make(chan struct{})}
	k.members.Store(&[]*fleet.Member{})
	k.confirmed.Store(-int64(time.Hour))
	return k
}

// age is how old the knowledge of the configuration may be.
func (k *knowledge) age() time.Duration {
	return clock.SinceBoot() - time.Duration(k.confirmed.Load())
}

// keysHold tells whether no key can have been withdrawn for longer than users
// allow without the node knowing.
func (k *knowledge) keysHold() bool { return k.age() < k.n.settings.Bounds.Revoke-keyMargin }

// runConfiguration follows the operator's configuration.
func (k *knowledge) runConfiguration(ctx context.Context) error {
	wait := time.Duration(confirmPart * float64(k.n.settings.Bounds.Revoke))
	return k.follow(ctx, table{
		name: platform.ConfigurationTable, wait: wait, waitAfterChange: confirmSoon,
		take: func(u update) {
			for _, r := range u.rows {
				if !r.Deleted {
					k.takeRow(r)
				}
			}
			if len(u.rows) > 0 {
				k.publishCatalog()
			}
			k.confirmed.Store(int64(u.confirms()))
		},
	})
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
		name: fleet.Table, wait: fleetWait, waitAfterChange: fleetWait, pauseAfterChange: fleetPause,
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
	members, deaths := splitRows(u.rows)
	var bad []error
	if u.all {
		bad = k.view.Replace(members)
	} else {
		bad = k.view.Apply(members)
	}
	for _, err := range bad {
		k.log.Warn("row names no member", "event", "fleet", "err", err)
	}
	for _, d := range deaths {
		k.n.crashes.receive(d.Value)
	}
	if len(members) > 0 || u.all {
		k.publishFleet(first)
	}
}

// splitRows separates the rows of members, whose key becomes the node's name,
// from records of crashes.
func splitRows(rows []platform.Row) (members, deaths []platform.Row) {
	for _, r := range rows {
		if name, ok := strings.CutPrefix(r.Key, memberPrefix); ok {
			r.Key = name
			members = append(members, r)
		} else if strings.HasPrefix(r.Key, deathPrefix) && !r.Deleted {
			deaths = append(deaths, r)
		}
	}
	return members, deaths
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
	name            string
	wait            time.Duration // longest wait for a change
	waitAfterChange time.Duration // the same for the call after a change
	// pauseAfterChange is the time between a change and the next call.
	pauseAfterChange time.Duration
	take             func(update)
}

// update is an answer of the store about a table.
type update struct {
	rows []platform.Row
	all  bool          // rows are all rows of the table, not only those that changed
	sent time.Duration // time since boot at which the call was sent
	took time.Duration
	wait time.Duration // that was asked for
}

// follow reads a table and then its changes.
func (k *knowledge) follow(ctx context.Context, t table) error {
	var version uint64
	read := false
	failures := 0
	wait := t.wait
	for ctx.Err() == nil {
		u := update{all: !read, sent: clock.SinceBoot(), wait: wait}
		changes, err := k.next(ctx, t.name, version, read, wait)
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
		u.rows, u.took = changes.Rows, clock.SinceBoot()-u.sent
		t.take(u)
		version, read, wait = changes.Version, true, t.wait
		if len(u.rows) > 0 {
			wait = t.waitAfterChange
			sleep(ctx, t.pauseAfterChange)
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
	if errors.Is(err, platform.ErrUnknown) {
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
