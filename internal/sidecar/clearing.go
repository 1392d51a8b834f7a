package sidecar

import (
	"context"
	"errors"
	"math/bits"
	"time"

	"github.com/google/uuid"

	"github.com/teaselseam/teaselseam/internal/fleet"
	"github.com/teaselseam/teaselseam/internal/quarantine"
	"github.com/teaselseam/teaselseam/platform"
)

// A crash record is kept in the store for as long as the nodes refuse requests by it, and so
// is what refutes it: the completions of suspects after the crash, and the claims of trials,
// with which the refused ones among them get to run at all. Every node that starts or was cut
// off finds both in the same table.
//
// A popular request completes at all nodes of its service at the same moment. Each waits by its
// rank among them before it writes (writeDelay), and does not write what it has read meanwhile.

const (
	// writeDelayStep is added to the delay of a write with each doubling of the rank. It
	// exceeds the time in which nodes usually learn of a change.
	writeDelayStep = 500 * time.Millisecond
	// undelayedWriters is how many nodes of a service write without delay: some may have
	// failed, or have nothing to write.
	undelayedWriters = 4
	// maxStoredCompletions bounds the completions in one row, which takes 24 bytes for each.
	maxStoredCompletions = 1000
	// cleanupInterval is how often expired rows are removed, and maxCleanup how many at once.
	cleanupInterval = time.Minute
	maxCleanup      = 100
	// recordMargin is how long rows are kept beyond quarantine.Expiry, since clocks differ.
	recordMargin = 10 * time.Minute
)

// writeDelay returns how long the node with a rank in an order of all nodes waits before it
// writes what each of them could write.
func writeDelay(rank int) time.Duration {
	return time.Duration(bits.Len(uint(rank/undelayedWriters))) * writeDelayStep
}

// serviceRank returns the rank of this node for a purpose among the nodes of its service.
func (n *Node) serviceRank(purpose string) int {
	var members []*fleet.Member
	for _, m := range n.state.servingMembers() {
		if m.Backend.Service == n.settings.Service {
			members = append(members, m)
		}
	}
	for i, m := range fleet.RendezvousOrder(members, purpose) {
		if m.Node == n.settings.Node {
			return i
		}
	}
	return len(members)
}

// runQuarantine stores the completions that refute suspicions and claims the trials of refused
// requests until ctx ends.
func (n *Node) runQuarantine(ctx context.Context) error {
	cleanup := time.NewTicker(cleanupInterval)
	defer cleanup.Stop()
	failures := 0
	var unstoredSince time.Time
	for ctx.Err() == nil {
		next, err := n.writeQuarantine(ctx, &unstoredSince)
		if err != nil {
			failures++
			n.log.Warn("quarantine could not be written to the store", "event", "quarantine", "failures", failures, "err", err)
			// The ranks keep the nodes apart when the store is back.
			sleep(ctx, writeDelay(n.serviceRank("completions")))
			backoff(ctx, failures)
			continue
		}
		failures = 0
		timer := time.NewTimer(next)
		select {
		case <-ctx.Done():
		case <-timer.C:
		case <-n.crashes.changed:
		case <-cleanup.C:
			n.removeExpiredRecords(ctx)
		}
		timer.Stop()
	}
	return nil
}

// writeQuarantine writes what is due and returns the time until more may be. unstoredSince is
// when this node first had completions to store, zero if it has none.
func (n *Node) writeQuarantine(ctx context.Context, unstoredSince *time.Time) (next time.Duration, err error) {
	now := time.Now()
	next = time.Hour
	completions, urgent := n.crashes.unstored(now)
	switch {
	case len(completions) == 0:
		*unstoredSince = time.Time{}
	case unstoredSince.IsZero():
		*unstoredSince = now
	}
	if len(completions) > 0 {
		next = unstoredSince.Add(writeDelay(n.serviceRank("completions"))).Sub(now)
		if urgent || next <= 0 {
			if err := n.storeCompletions(ctx, completions); err != nil {
				return 0, err
			}
			*unstoredSince = time.Time{}
			return 0, nil
		}
	}
	for _, x := range n.crashes.wantedTrials(now) {
		wait := x.from.Add(writeDelay(n.serviceRank(x.trial.Key()))).Sub(now)
		if wait > 0 {
			next = min(next, wait)
			continue
		}
		if err := n.claimTrial(ctx, x.trial); err != nil {
			return 0, err
		}
	}
	return next, nil
}

// storeCompletions writes completions to the store.
func (n *Node) storeCompletions(ctx context.Context, completions []quarantine.Completion) error {
	completions = completions[:min(len(completions), maxStoredCompletions)]
	id := uuid.Must(uuid.NewV7()).String()
	e := quarantine.Evidence{Completions: completions}
	if err := n.writeRecord(ctx, id, e); err != nil {
		return err
	}
	n.log.Info("completed suspects stored", "event", "quarantine", "record", id, "suspects", len(completions))
	n.crashes.stored(id, e)
	return nil
}

// claimTrial tries to get a trial for this node.
func (n *Node) claimTrial(ctx context.Context, trial quarantine.Trial) error {
	key := trial.Key()
	nonce := n.crashes.claim(trial)
	// The nonce stands in a field that nodes of earlier releases ignore.
	err := n.writeRecord(ctx, key, quarantine.Evidence{Digest: nonce}, platform.Precondition{Table: fleet.DeathTable, Key: key})
	if errors.Is(err, platform.ErrConflict) {
		n.crashes.lost(trial)
		return nil
	}
	if err != nil {
		return err
	}
	n.log.Info("trial of a refused request claimed", "event", "quarantine", "fingerprint", trial.Fingerprint.String(), "number", trial.Number)
	n.crashes.claimed(trial, nonce)
	return nil
}

func (n *Node) writeRecord(ctx context.Context, key string, e quarantine.Evidence, conditions ...platform.Precondition) error {
	ctx, cancel := context.WithTimeout(ctx, storeWriteTimeout)
	defer cancel()
	_, _, err := n.store.Commit(ctx, platform.Transaction{
		Preconditions: conditions,
		Puts:          []platform.Row{{Table: fleet.DeathTable, Key: key, Value: quarantine.Encode(e)}},
	})
	return err
}

// removeExpiredRecords removes expired rows from the table of crashes, if this node is the one
// to do so.
func (n *Node) removeExpiredRecords(ctx context.Context) {
	keys := n.crashes.expiredRecords(time.Now())
	if len(keys) == 0 || !n.isChosen("removal of crash records", 1) {
		return
	}
	var t platform.Transaction
	for _, key := range keys {
		t.Removes = append(t.Removes, platform.Row{Table: fleet.DeathTable, Key: key})
	}
	ctx, cancel := context.WithTimeout(ctx, storeWriteTimeout)
	defer cancel()
	if _, _, err := n.store.Commit(ctx, t); err != nil {
		n.log.Warn("expired crash records could not be removed", "event", "quarantine", "records", len(keys), "err", err)
	}
}

// unstored returns the completions that are to be stored, and whether that is urgent.
func (t *crashTracker) unstored(now time.Time) (completions []quarantine.Completion, urgent bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.set.Unstored(now), t.urgent
}

// stored records that this node has stored completions under a key.
func (t *crashTracker) stored(key string, e quarantine.Evidence) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.noteRecord(key, quarantine.Encode(e), e)
	t.set.MarkStored(e.Completions)
	t.urgent = false
}

// dueTrial is a trial that is wanted.
type dueTrial struct {
	trial quarantine.Trial
	from  time.Time // when it may be claimed
}

// wantedTrials returns the next trials of the requests that were refused lately.
func (t *crashTracker) wantedTrials(now time.Time) []dueTrial {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []dueTrial
	for f := range t.trials.wanted {
		if trial, from, ok := t.set.NextTrial(now, f); ok {
			out = append(out, dueTrial{trial, from})
		}
	}
	return out
}

func (t *crashTracker) claim(trial quarantine.Trial) (nonce uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.trials.claim(trial)
}

// claimed records that the store has accepted this node's claim.
func (t *crashTracker) claimed(trial quarantine.Trial, nonce uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.set.RecordTrial(trial)
	t.trials.claimed(time.Now(), trial, nonce)
}

// lost records that another node holds a trial.
func (t *crashTracker) lost(trial quarantine.Trial) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.set.RecordTrial(trial)
}

// crashRecord is a row of the table of crashes.
type crashRecord struct {
	noted time.Time
	value []byte // nil for crashes, which the set holds
}

// noteRecord records a row of the table of crashes, to remove it once it has expired and to
// write it again if the store loses it. The caller holds mu.
func (t *crashTracker) noteRecord(key string, value []byte, e quarantine.Evidence) {
	if len(e.Deaths) > 0 {
		value = nil
	}
	t.records[key] = crashRecord{noted: time.Now(), value: value}
}

// forgetRecord records that a row was removed.
func (t *crashTracker) forgetRecord(key string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.records, key)
}

// expiredRecords returns the keys of rows that have expired, maxCleanup at most.
func (t *crashTracker) expiredRecords(now time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []string
	for key, r := range t.records {
		if now.Sub(recordTime(key, r.noted)) > quarantine.Expiry+recordMargin {
			if out = append(out, key); len(out) == maxCleanup {
				break
			}
		}
	}
	return out
}

// recordTime returns when a row was written, by its key, or when it was first read if the key
// does not tell.
func recordTime(key string, noted time.Time) time.Time {
	id, err := uuid.Parse(key)
	if trial, ok := quarantine.ParseTrial(key); ok {
		id, err = uuid.UUID(trial.Death), nil // no earlier than this death
	}
	if err != nil || id.Version() != 7 {
		return noted
	}
	return time.Unix(id.Time().UnixTime())
}
