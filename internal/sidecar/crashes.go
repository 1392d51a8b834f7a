package sidecar

import (
	"context"
	"log/slog"
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

// crashes records what ran at the death of the node's backend server, takes what
// other nodes recorded, and refuses requests that crash backend servers. It is
// safe for concurrent use.
type crashes struct {
	log    *slog.Logger
	spread func(id string, evidence []byte)
	next   atomic.Uint64

	mu     sync.Mutex
	record *quarantine.RunTracker
	set    *quarantine.Set
}

func newCrashes(log *slog.Logger, spread func(string, []byte)) *crashes {
	return &crashes{log: log, spread: spread, record: quarantine.NewRunTracker(), set: quarantine.NewSet()}
}

// fingerprint identifies a call at its repetitions: they come under new IDs and
// at any node, with the same path, caller and body.
func fingerprint(c *hop.Call) quarantine.Fingerprint {
	data := make([]byte, 0, len(c.Method)+len(c.URI)+len(c.Body.Data)+2)
	data = append(data, c.Method...)
	data = append(data, ' ')
	data = append(data, c.URI...)
	data = append(data, '\n')
	data = append(data, c.Body.Data...)
	return quarantine.BodyFingerprint(c.Host, c.Caller, data)
}

// start notes that a call is about to run. The call is refused if it has crashed
// backend servers.
func (q *crashes) start(c *hop.Call) (finish func(completed bool), refusal *request.Refusal) {
	f := fingerprint(c)
	attempt := strconv.FormatUint(q.next.Add(1), 36)
	now := time.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	if r, refused := q.set.Refuses(now, f); refused {
		return nil, &r
	}
	q.record.Start(now, attempt, f)
	return func(completed bool) { q.finish(attempt, completed, f) }, nil
}

func (q *crashes) finish(attempt string, completed bool, f quarantine.Fingerprint) {
	now := time.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	q.record.Finish(now, attempt, completed)
	if completed {
		q.set.RecordCompletion(now, f)
	}
}

// died records a death of the backend server. It returns false if nothing ran,
// as at the second sign of the same death.
func (q *crashes) died() bool {
	now := time.Now()
	q.mu.Lock()
	suspects := q.record.BackendDied(now)
	if len(suspects) == 0 {
		q.mu.Unlock()
		return false
	}
	id := quarantine.DeathID(uuid.Must(uuid.NewV7()))
	fresh := q.set.Merge(now, quarantine.Evidence{Deaths: []quarantine.Death{{ID: id, At: now, Suspects: suspects}}})
	q.mu.Unlock()
	go q.spread(uuid.UUID(id).String(), quarantine.Encode(fresh))
	return true
}

// receive takes evidence of another node.
func (q *crashes) receive(data []byte) {
	e, err := quarantine.Decode(data)
	if err != nil {
		q.log.Warn("record of a crash cannot be read", "event", "quarantine", "err", err)
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	q.set.Merge(now, e)
	for _, d := range e.Deaths {
		q.set.Merge(now, quarantine.Evidence{Completions: q.record.CompletedAfter(d)})
	}
}

func (q *crashes) expire() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.set.Expire(time.Now())
}

// spreadCrash writes a record of a crash to the store, where all nodes watch for
// it.
func (n *Node) spreadCrash(id string, evidence []byte) {
	for failures := 1; failures <= spreadTries; failures++ {
		ctx, cancel := context.WithTimeout(context.Background(), writeTimeout)
		_, _, err := n.store.Commit(ctx, platform.Transaction{
			Puts: []platform.Row{{Table: fleet.DeathTable, Key: id, Value: evidence}},
		})
		cancel()
		if err == nil {
			return
		}
		n.log.Warn("record of a crash was not written", "event", "quarantine", "death", id, "err", err)
		pause(context.Background(), failures)
	}
}

// spreadTries bounds the tries to write a record. With the pauses they cover an
// outage of 9 s, the longest that is planned for.
const spreadTries = 15
