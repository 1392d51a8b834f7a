package adminapi

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/teaselseam/teaselseam/internal/workspace"
)

const (
	// maxWaiting bounds the revocations that wait for the platform on one node.
	maxWaiting = 1000
	// firstRetry and maxRetry bound the wait between tries.
	firstRetry = 250 * time.Millisecond
	maxRetry   = 15 * time.Second
)

// revocation is one that is in force on some nodes and has yet to be committed.
type revocation struct {
	operation string
	operator  string
	digest    workspace.Digest
	workspace string
	at        time.Time
}

// revocations commits revocations in the background, oldest first, for as long
// as the platform does not take them. Its goroutine runs only while any wait.
type revocations struct {
	log    *slog.Logger
	commit func(context.Context, revocation) (ChangeResponse, error)
	ctx    context.Context
	cancel context.CancelFunc
	done   sync.WaitGroup

	mu      sync.Mutex
	waiting []revocation
	closed  bool
}

func newRevocations(log *slog.Logger, commit func(context.Context, revocation) (ChangeResponse, error)) *revocations {
	ctx, cancel := context.WithCancel(context.Background())
	return &revocations{log: log, commit: commit, ctx: ctx, cancel: cancel}
}

func (q *revocations) close() {
	q.mu.Lock()
	q.closed = true // no goroutine starts after this
	q.mu.Unlock()
	q.cancel()
	q.done.Wait()
}

// add queues a revocation; false if the queue is full or closed. One that waits
// already is not added twice.
func (q *revocations) add(v revocation) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	switch {
	case q.closed:
		return false
	case slices.ContainsFunc(q.waiting, func(w revocation) bool { return w.operation == v.operation }):
		return true
	case len(q.waiting) >= maxWaiting:
		return false
	}
	q.waiting = append(q.waiting, v)
	if len(q.waiting) == 1 {
		q.done.Go(q.run)
	}
	return true
}

// len returns the number of waiting revocations.
func (q *revocations) len() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.waiting)
}

// waits reports whether an operation is waiting.
func (q *revocations) waits(operation string) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return slices.ContainsFunc(q.waiting, func(w revocation) bool { return w.operation == operation })
}

// first returns the oldest waiting revocation.
func (q *revocations) first() revocation {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.waiting[0]
}

// drop removes the oldest; false if none is left.
func (q *revocations) drop() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.waiting = slices.Delete(q.waiting, 0, 1)
	return len(q.waiting) > 0
}

func (q *revocations) run() {
	wait := firstRetry
	for {
		if !q.sleep(wait/2 + rand.N(wait/2)) {
			return
		}
		v := q.first()
		ctx, cancel := context.WithTimeout(q.ctx, commitTimeout)
		_, err := q.commit(ctx, v)
		cancel()
		switch {
		case err == nil:
			wait = firstRetry
		case isUncertain(err):
			wait = min(2*wait, maxRetry)
			continue
		default:
			q.log.Error("revocation was given up", "step", "revoke", "operation", v.operation, "digest", v.digest.String(), "error", err)
		}
		if !q.drop() {
			return
		}
	}
}

func (q *revocations) sleep(d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-q.ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
