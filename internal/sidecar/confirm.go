package sidecar

import (
	"context"
	"errors"
	"time"

	"github.com/teaselseam/teaselseam/internal/clock"
	"github.com/teaselseam/teaselseam/internal/fleet"
	"github.com/teaselseam/teaselseam/internal/hop"
	"github.com/teaselseam/teaselseam/internal/pace"
	"github.com/teaselseam/teaselseam/platform"
)

// How a node knows that its configuration is still the newest.
//
// A watch tells of a change at once, but its silence proves nothing until it ends.
// Calls to the store cost, so two nodes ask it often whether there was a change, and
// the others learn the age of that knowledge on answers to calls that they send
// anyway (hop.ConfigEvidence). A node that hears nothing in time asks the store
// itself, so that the bound on withdrawn keys never rests on other nodes.
//
// The age of a peer's knowledge is counted from the sending of the call that asked
// for it. The time of the way is thereby counted as well, even if the answer was held
// up.
const (
	// confirmers is the number of nodes that ask the store often. With two, one may
	// be lost.
	confirmers = 2
	// confirmOften is the age of its knowledge at which a confirmer asks the store.
	confirmOften = 700 * time.Millisecond
	// confirmSelf is the same for other nodes. It leaves time for an answer before the
	// node is no longer sure (sureAge).
	confirmSelf = 1800 * time.Millisecond
	// askAge is the age from which a node asks its peers.
	askAge = 800 * time.Millisecond
	// confirmTick is how often the age is looked at.
	confirmTick    = 100 * time.Millisecond
	confirmTimeout = 800 * time.Millisecond
	// confirmPurpose is the name by which confirmers are chosen.
	confirmPurpose = "confirm configuration"
)

// confirm notes that the configuration was the newest one at a time since boot.
func (k *knowledge) confirm(at time.Duration) {
	for {
		old := k.confirmed.Load()
		if int64(at) <= old || k.confirmed.CompareAndSwap(old, int64(at)) {
			return
		}
	}
}

// evidence is what the node tells its peers; nil if it knows no configuration.
func (k *knowledge) evidence() *hop.ConfigFreshness {
	c := k.catalog.Load()
	if c == nil {
		return nil
	}
	return &hop.ConfigFreshness{Version: c.Version, Age: max(k.age(), 0)}
}

// hearPeer takes the evidence of a peer, which was asked for at the given time since
// boot.
func (k *knowledge) hearPeer(e hop.ConfigFreshness, asked time.Duration) {
	c := k.catalog.Load()
	if c == nil {
		return
	}
	switch {
	case e.Version == c.Version:
		k.confirm(asked - e.Age)
	case e.Version > c.Version:
		pace.Wake(k.newer)
	}
}

// runConfirm asks the store whether there was a change whenever the knowledge of the
// configuration gets old, or a peer knows a newer one.
func (k *knowledge) runConfirm(ctx context.Context) error {
	t := time.NewTicker(confirmTick)
	defer t.Stop()
	failures := 0
	for {
		due := false
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
			age := k.age()
			due = age > confirmOften && age > k.confirmAge()
		case <-k.newer:
			due = true
		}
		version := k.knownVersion()
		if !due || version == 0 {
			continue // runConfiguration has not read the table yet
		}
		if err := k.ask(ctx, version); err != nil {
			if ctx.Err() != nil {
				return nil
			}
			failures++
			k.failed(platform.ConfigurationTable, failures, err)
			pause(ctx, failures)
			continue
		}
		failures = 0
	}
}

func (k *knowledge) knownVersion() uint64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.configVersion
}

// ask asks for changes without a wait. If the store has dropped the changes since the
// version, the table is read anew: the watch may not learn of that before its end.
func (k *knowledge) ask(ctx context.Context, version uint64) error {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	u := update{sent: clock.SinceBoot()}
	changes, err := k.n.store.Watch(ctx, platform.ConfigurationTable, version, 0)
	if errors.Is(err, platform.ErrHistoryLost) {
		u.all = true
		changes, err = k.n.store.Read(ctx, platform.ConfigurationTable, "")
	}
	if err != nil {
		return err
	}
	u.rows, u.version = changes.Rows, changes.Version
	k.takeConfiguration(u)
	return nil
}

// confirmAge is the age at which this node asks the store.
func (k *knowledge) confirmAge() time.Duration {
	for i, m := range fleet.RendezvousOrder(k.serving(), confirmPurpose) {
		if i >= confirmers {
			break
		}
		if m.Node == k.n.settings.Node {
			return confirmOften
		}
	}
	return confirmSelf
}
