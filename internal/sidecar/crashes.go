package sidecar

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"github.com/teaselseam/teaselseam/internal/fleet"
	"github.com/teaselseam/teaselseam/internal/hop"
	"github.com/teaselseam/teaselseam/internal/quarantine"
	"github.com/teaselseam/teaselseam/internal/request"
	"github.com/teaselseam/teaselseam/platform"
)

// crashTracker records which calls were running when the node's backend server crashed,
// merges the records of other nodes, and refuses requests that crash backend servers.
// It is safe for concurrent use.
type crashTracker struct {
	log         *slog.Logger
	publish     func(id string, evidence []byte)
	nextAttempt atomic.Uint64
	changed     chan struct{} // signals work for Node.runQuarantine

	mu      sync.Mutex
	runs    *quarantine.RunTracker
	set     *quarantine.Set
	trials  trials
	urgent  bool                   // a trial has completed, for which calls are being refused
	records map[string]crashRecord // rows of the table of crashes, by key
}

func newCrashTracker(log *slog.Logger, publish func(string, []byte)) *crashTracker {
	return &crashTracker{
		log: log, publish: publish, changed: make(chan struct{}, 1),
		runs: quarantine.NewRunTracker(), set: quarantine.NewSet(), trials: newTrials(), records: map[string]crashRecord{},
	}
}

// signal wakes Node.runQuarantine.
func (t *crashTracker) signal() {
	select {
	case t.changed <- struct{}{}:
	default:
	}
}

// start records that a call is about to run, or refuses it if it has crashed backend
// servers and this node holds no trial for it. finish must be called when the call has ended.
func (t *crashTracker) start(c *hop.Call) (finish func(request.Outcome), refusal *request.Refusal) {
	id := identify(c)
	attempt := strconv.FormatUint(t.nextAttempt.Add(1), 36)
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	known := id.run()
	if t.set.HasDeaths() { // otherwise there is no record of an earlier release either
		known = append(known, earlierFingerprint(c))
	}
	f, r, refused := t.refuses(now, &id, known)
	var held *heldTrial
	if refused {
		if held = t.trials.use(now, f); held == nil {
			t.want(now, f)
			return nil, &r
		}
		t.log.Info("refused request runs as a trial", "event", "quarantine", "id", c.ID, "route", c.Route, "fingerprint", f.String())
	}
	t.runs.Start(now, attempt, id.run()...)
	return func(o request.Outcome) { t.finish(attempt, o, known, held) }, nil
}

// refuses reports whether a call is refused, by which of its known fingerprints. Others may begin as
// a long body does: it is refused by its beginning only if less than usual is known of it, or if it
// was itself running at a crash. The caller holds mu.
func (t *crashTracker) refuses(now time.Time, id *identity, known []quarantine.Fingerprint) (quarantine.Fingerprint, request.Refusal, bool) {
	for _, f := range known {
		if f == id.beginning && f != id.content && !id.partial && !t.set.Suspected(now, id.content) {
			continue
		}
		if r, refused := t.set.Refuses(now, f); refused {
			return f, r, true
		}
	}
	return quarantine.Fingerprint{}, request.Refusal{}, false
}

// want records that a refused request was sent, so that a trial of it is claimed when the
// next one is due.
func (t *crashTracker) want(now time.Time, f quarantine.Fingerprint) {
	if _, _, ok := t.set.NextTrial(now, f); ok && t.trials.want(now, f) {
		t.signal()
	}
}

// finish records the end of a call with its known fingerprints. held is its trial, nil if it was
// none.
func (t *crashTracker) finish(attempt string, o request.Outcome, known []quarantine.Fingerprint, held *heldTrial) {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.runs.Finish(now, attempt, o == request.Completed)
	switch {
	case o == request.Completed:
		for _, f := range known {
			if _, cleared := t.set.RecordCompletion(now, f); cleared {
				t.urgent = t.urgent || held != nil
				t.signal()
			}
		}
	case o == request.NotRun && held != nil:
		t.trials.giveBack(*held)
	}
}

// recordCrash records a crash of the backend server. It returns false if no call was
// running, as when the same crash is detected again.
func (t *crashTracker) recordCrash() bool {
	now := time.Now()
	t.mu.Lock()
	suspects := t.runs.BackendDied(now)
	if len(suspects) == 0 {
		t.mu.Unlock()
		return false
	}
	id := quarantine.DeathID(uuid.Must(uuid.NewV7()))
	added := t.set.Merge(now, quarantine.Evidence{Deaths: []quarantine.Death{{ID: id, At: now, Suspects: suspects}}})
	t.mu.Unlock()
	go t.publish(uuid.UUID(id).String(), quarantine.Encode(added))
	return true
}

// applyRecord merges a row of the table of crashes: crashes, completions, or the claim of a
// trial.
func (t *crashTracker) applyRecord(row platform.Row) {
	e, err := quarantine.Decode(row.Value)
	if err != nil {
		t.log.Warn("crash record cannot be decoded", "event", "quarantine", "err", err)
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	t.noteRecord(row.Key, row.Value, e)
	if trial, ok := quarantine.ParseTrial(row.Key); ok {
		t.set.RecordTrial(trial)
		t.trials.claimed(now, trial, e.Digest)
		return
	}
	t.set.Merge(now, e)
	t.set.MarkStored(e.Completions)
	for _, d := range e.Deaths {
		t.set.Merge(now, quarantine.Evidence{Completions: t.runs.CompletedAfter(d)})
	}
	t.signal()
}

// storedRecords returns the known rows of the table of crashes by key.
func (t *crashTracker) storedRecords() map[string][]byte {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := map[string][]byte{}
	for _, d := range t.set.Deaths() {
		out[uuid.UUID(d.ID).String()] = quarantine.Encode(quarantine.Evidence{Deaths: []quarantine.Death{d}})
	}
	for key, r := range t.records {
		if r.value != nil {
			out[key] = r.value
		}
	}
	return out
}

func (t *crashTracker) expire() {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.set.Expire(now)
	t.trials.expire(now)
}

const (
	// crashRecordWriters is how many nodes write a crash record again that a store which
	// came back from a copy lacks. With two, one may fail.
	crashRecordWriters = 2
	// maxRepublishDelay bounds the random delay before such a record is written.
	maxRepublishDelay = time.Second
)

// republishCrashes writes the crash records that are missing among the rows of a store
// that has come back from a copy, if this node is one of those chosen to do so.
func (n *Node) republishCrashes(rows []platform.Row) {
	stored := make(map[string]bool, len(rows))
	for _, r := range rows {
		stored[r.Key] = true
	}
	for key, value := range n.crashes.storedRecords() {
		if stored[key] || !n.isChosen("crash record "+key, crashRecordWriters) {
			continue
		}
		time.Sleep(time.Duration(rand.Float64() * float64(maxRepublishDelay)))
		n.publishCrash(key, value)
	}
}

// isChosen reports whether this node is among the first count nodes of the rendezvous
// order for a purpose.
func (n *Node) isChosen(purpose string, count int) bool {
	for i, m := range fleet.RendezvousOrder(n.state.servingMembers(), purpose) {
		if i >= count {
			return false
		}
		if m.Node == n.settings.Node {
			return true
		}
	}
	return false
}

// publishCrash writes a crash record to the store, from which all nodes read it.
func (n *Node) publishCrash(id string, evidence []byte) {
	for failures := 1; failures <= maxPublishAttempts; failures++ {
		ctx, cancel := context.WithTimeout(context.Background(), storeWriteTimeout)
		_, _, err := n.store.Commit(ctx, platform.Transaction{
			Puts: []platform.Row{{Table: fleet.DeathTable, Key: id, Value: evidence}},
		})
		cancel()
		if err == nil {
			return
		}
		n.log.Warn("crash record could not be written to the store", "event", "quarantine", "death", id, "err", err)
		backoff(context.Background(), failures)
	}
}

// maxPublishAttempts bounds the attempts to write a crash record. With the backoff they
// cover a store outage of 9 s, the longest that the design allows for.
const maxPublishAttempts = 15
