package guard

import (
	"log/slog"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/teaselseam/teaselseam/internal/call"
	"github.com/teaselseam/teaselseam/internal/quarantine"
	"github.com/teaselseam/teaselseam/internal/request"
)

const (
	// isolationRetry is when a suspect may try again that would have run beside
	// another suspect of the same death.
	isolationRetry = 200 * time.Millisecond
	expireInterval = 5 * time.Second
)

// Crashes records what ran at the death of the node's backend server, merges
// what other nodes recorded, and refuses requests that crash backend servers.
// It is safe for concurrent use.
type Crashes struct {
	log *slog.Logger
	// spread sends evidence to all nodes at once; it must not block.
	spread func(evidence []byte)

	mu        sync.Mutex
	record    *quarantine.Record
	set       *quarantine.Set
	lifts     map[string]time.Time
	expiredAt time.Time
}

// NewCrashes returns a Crashes that knows no death.
func NewCrashes(log *slog.Logger, spread func(evidence []byte)) *Crashes {
	return &Crashes{
		log: log, spread: spread,
		record: quarantine.NewRecord(), set: quarantine.NewSet(), lifts: map[string]time.Time{},
	}
}

// fingerprints identify a call at its repetitions. The content fingerprint
// leaves out the workspace: the same content crashes whoever sends it.
func fingerprints(c *call.Call) (id, content quarantine.Fingerprint) {
	data := make([]byte, 0, len(c.Method)+len(c.URI)+len(c.Body)+2)
	data = append(data, c.Method...)
	data = append(data, ' ')
	data = append(data, c.URI...)
	data = append(data, '\n')
	data = append(data, c.Body...)
	return quarantine.IDFingerprint(c.Workspace, string(c.ID)), quarantine.BodyFingerprint(c.Route, "", data)
}

// Start implements Quarantine.
func (q *Crashes) Start(c *call.Call) (finish func(completed bool), refusal *request.Refusal) {
	id, content := fingerprints(c)
	now := time.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	q.expire(now)
	if r, refused := q.set.Refuses(now, id, content); refused {
		return nil, &r
	}
	if !q.record.MayStart(now, q.set, id, content) {
		return nil, request.Refused(request.ReasonOverload, isolationRetry)
	}
	q.record.Start(now, c.Attempt, id, content)
	return func(completed bool) { q.finish(c.Attempt, completed, id, content) }, nil
}

func (q *Crashes) finish(attempt string, completed bool, fingerprints ...quarantine.Fingerprint) {
	now := time.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	q.record.Finish(now, attempt, completed)
	if !completed {
		return
	}
	for _, f := range fingerprints {
		if e, news := q.set.Completed(now, f); news {
			q.spread(quarantine.Encode(e))
		}
	}
}

// BackendDied records the death of the node's backend server.
func (q *Crashes) BackendDied() {
	now := time.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	suspects := q.record.BackendDied(now)
	q.log.Warn("backend server died", "step", "health", "suspects", len(suspects))
	if len(suspects) == 0 {
		return
	}
	e := quarantine.Evidence{Deaths: []quarantine.Death{{ID: quarantine.DeathID(uuid.New()), At: now, Suspects: suspects}}}
	q.set.Merge(now, e)
	q.spread(quarantine.Encode(e))
}

// Summary returns what a regular exchange with a peer carries.
func (q *Crashes) Summary() []byte {
	q.mu.Lock()
	defer q.mu.Unlock()
	return quarantine.Encode(q.set.Summary())
}

// Receive merges a peer's evidence and returns what the peer should get back.
func (q *Crashes) Receive(data []byte) []byte {
	e, err := quarantine.Decode(data)
	if err != nil {
		q.log.Warn("quarantine evidence rejected", "step", "quarantine", "error", err)
		return nil
	}
	now := time.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, d := range q.set.Merge(now, e).Deaths {
		if survivals := q.record.Survivals(d); len(survivals) > 0 {
			q.spread(quarantine.Encode(q.set.Merge(now, quarantine.Evidence{Survivals: survivals})))
		}
	}
	for f, at := range q.lifts {
		q.lift(f, at)
	}
	return quarantine.Encode(q.set.Reply(e))
}

// Lift applies the lifts of the change log.
func (q *Crashes) Lift(lifts map[string]time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.lifts = lifts
	for f, at := range lifts {
		q.lift(f, at)
	}
}

func (q *Crashes) lift(text string, at time.Time) {
	f, err := quarantine.ParseFingerprint(text)
	if err != nil {
		return // the administration API accepts only valid fingerprints
	}
	q.set.Lift(f, at)
}

// Entries lists the suspected requests.
func (q *Crashes) Entries() []quarantine.Entry {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.set.Entries(time.Now())
}

func (q *Crashes) expire(now time.Time) {
	if now.Sub(q.expiredAt) > expireInterval {
		q.expiredAt = now
		q.set.Expire(now)
	}
}
