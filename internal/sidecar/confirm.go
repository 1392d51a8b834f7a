package sidecar

import (
	"context"
	"errors"
	"math"
	"math/rand/v2"
	"time"

	"github.com/teaselseam/teaselseam/internal/clock"
	"github.com/teaselseam/teaselseam/internal/era"
	"github.com/teaselseam/teaselseam/internal/hop"
	"github.com/teaselseam/teaselseam/internal/pace"
	"github.com/teaselseam/teaselseam/platform"
)

// How a node verifies that its configuration is still the newest.
//
// A watch reports a change at once, but proves that there was none only when it ends.
// Polling the store has a cost, so only two nodes (the pollers) poll it often. The
// others learn the age of the pollers' configuration from the responses to messages that
// they send anyway (hop.ConfigFreshness): exchanges with the token bank, which a poller
// holds, calls, and requests for changes. A node that learns nothing in time polls the
// store itself, so the bound on revoked keys never depends on other nodes.
//
// The age that a peer reports is counted from the time at which the call that asked for
// it was sent. The result includes any network delay, so a late response cannot make the
// configuration seem more recent than it is.
const (
	// pollerCount is the number of pollers. With two, one may fail.
	pollerCount = 2
	// pollerAge is the configuration age at which a poller asks the store.
	pollerAge = 700 * time.Millisecond
	// fallbackPollAge is the configuration age at which the other nodes ask the store. It
	// leaves time for a response before maxDefinitiveAge.
	fallbackPollAge = 1800 * time.Millisecond
	// askPeersAge is the configuration age from which a node asks its peers for theirs.
	askPeersAge = 800 * time.Millisecond
	// pollCheckInterval is how often the configuration age is checked.
	pollCheckInterval = 100 * time.Millisecond
	pollTimeout       = 800 * time.Millisecond
	// pollFailurePause is how much longer a node that is no poller waits after a failed
	// poll: it hears from the pollers when the store answers again.
	pollFailurePause = time.Second
	// unsettledPollPause is the time between polls shortly after the store has come back
	// from a copy, when they may not confirm anything yet.
	unsettledPollPause = 400 * time.Millisecond
	// pollerPurpose is the key of the rendezvous hash that selects the pollers. They are
	// those that hold the token bank, with which all nodes exchange messages.
	pollerPurpose = bankPurpose
	// feedGrace is half of the longest time for which a node waits for its source after it
	// has heard of a newer configuration.
	feedGrace = 150 * time.Millisecond
)

// confirmAsOf records that the configuration was the newest one at the given time
// since boot.
func (s *storeState) confirmAsOf(at time.Duration) {
	for {
		old := s.confirmedAsOf.Load()
		if int64(at) <= old || s.confirmedAsOf.CompareAndSwap(old, int64(at)) {
			return
		}
	}
}

// configFreshness returns the version and age of the configuration, to be sent to a peer;
// nil if there is no configuration.
func (s *storeState) configFreshness() *hop.ConfigFreshness {
	c := s.catalog.Load()
	if c == nil {
		return nil
	}
	f := &hop.ConfigFreshness{Version: c.Version, Age: max(s.configAge(), 0), Era: s.currentEra()}
	if newest := s.configTable.newest(); newest.Era == f.Era {
		f.Newest = newest.Version
	}
	return f
}

// applyPeerFreshness applies the configuration version and age in a peer's response to a
// call that was sent at the given time since boot. Versions of the operator's
// configuration only rise, whatever the era of the store.
func (s *storeState) applyPeerFreshness(e hop.ConfigFreshness, sentAt time.Duration) {
	c := s.catalog.Load()
	if c == nil {
		return
	}
	if e.Version == c.Version {
		s.confirmAsOf(sentAt - e.Age)
	}
	position, _ := s.configTable.position()
	if e.Version > c.Version || e.Era > s.currentEra() || e.Era == position.Era && e.Newest > position.Version {
		s.heardOf(e)
	}
}

// runConfigurationPolling polls the store when the configuration age reaches its limit,
// and when a peer has a newer configuration.
func (s *storeState) runConfigurationPolling(ctx context.Context) error {
	t := time.NewTicker(pollCheckInterval)
	defer t.Stop()
	failures := 0
	for {
		due := false
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
			age := s.configAge()
			due = age > pollerAge && age > s.pollAge()
		case <-s.newerVersion:
			due = s.stillBehind(ctx)
		}
		cursor, loaded := s.configTable.position()
		if !due || !loaded {
			continue
		}
		if err := s.pollStore(ctx, cursor); err != nil {
			if ctx.Err() != nil {
				return nil
			}
			failures++
			s.recordFailure(platform.ConfigurationTable, failures, err)
			backoff(ctx, failures)
			if !s.n.isChosen(pollerPurpose, pollerCount) {
				sleep(ctx, pollFailurePause)
			}
			continue
		}
		failures = 0
		if !s.settled() || s.isBehind() {
			s.learnFromPeers(ctx) // the store may have lost what peers still know
			sleep(ctx, unsettledPollPause)
		}
	}
}

// heardOf records what a peer knows and this node does not.
func (s *storeState) heardOf(e hop.ConfigFreshness) {
	s.mu.Lock()
	if e.Era > s.heard.Era {
		s.heard.Newest = 0 // of an earlier era
	}
	if e.Era >= s.heard.Era {
		s.heard.Newest = max(s.heard.Newest, e.Newest)
	}
	s.heard.Version, s.heard.Era = max(s.heard.Version, e.Version), max(s.heard.Era, e.Era)
	s.mu.Unlock()
	pace.Wake(s.newerVersion)
}

// stillBehind reports whether the node still lacks what it has heard of after the time in
// which its source usually hands on a change.
func (s *storeState) stillBehind(ctx context.Context) bool {
	sleep(ctx, feedGrace+time.Duration(rand.Float64()*float64(feedGrace)))
	return s.isBehind()
}

// isBehind reports whether the node lacks a configuration, an era or a row of the operator's
// table that it has heard of.
func (s *storeState) isBehind() bool {
	position, _ := s.configTable.position()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.configuration == nil || s.heard.Version > s.configuration.Version || s.heard.Era > s.era.Era() ||
		s.heard.Era == position.Era && s.heard.Newest > position.Version
}

// pollStore asks the store for changes without waiting. If the store has dropped the
// history after the cursor or come back from an older copy, the whole table is read: the
// pending watch may not learn of that before its end.
func (s *storeState) pollStore(ctx context.Context, cursor platform.Revision) error {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	u := update{sentAt: clock.SinceBoot()}
	changes, err := s.n.store.Watch(ctx, platform.ConfigurationTable, cursor.Version, 0)
	if errors.Is(err, platform.ErrHistoryLost) || err == nil && changes.Era != cursor.Era {
		u.snapshot = true
		changes, err = s.n.store.Read(ctx, platform.ConfigurationTable, "")
	}
	if err != nil {
		return err
	}
	if s.observe(changes.Revision) == era.Earlier {
		return errEarlierEra
	}
	u.rows, u.revision = changes.Rows, changes.Revision
	s.update(s.configTable, u)
	return nil
}

// pollAge returns the configuration age at which this node polls the store. One that knows
// no configuration yet has nothing to confirm: its source brings the first.
func (s *storeState) pollAge() time.Duration {
	if s.catalog.Load() == nil && !s.watching.isOpen() {
		return math.MaxInt64
	}
	if s.n.isChosen(pollerPurpose, pollerCount) {
		return pollerAge
	}
	return fallbackPollAge
}
