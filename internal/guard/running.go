package guard

import (
	"context"
	"crypto/rand"
	"sync"

	"github.com/teaselseam/teaselseam/internal/call"
	"github.com/teaselseam/teaselseam/internal/pressure"
	"github.com/teaselseam/teaselseam/internal/retry"
)

// Entry is a call that the backend server runs now. Nested calls find it by its
// token and inherit from it.
type Entry struct {
	Token string
	Call  *call.Call
	// Context ends when the call ends, and with it the nested calls.
	Context context.Context
	cancel  context.CancelFunc

	mu     sync.Mutex
	budget *retry.Budget
	hints  []pressure.Hint // of nested calls
}

// Running are the calls that the backend server runs now, by token. It is safe
// for concurrent use.
type Running struct {
	mu      sync.Mutex
	entries map[string]*Entry
}

func newRunning() *Running { return &Running{entries: map[string]*Entry{}} }

func (r *Running) start(ctx context.Context, c *call.Call) *Entry {
	ctx, cancel := context.WithCancel(ctx)
	e := &Entry{Token: rand.Text(), Call: c, Context: ctx, cancel: cancel, budget: retry.Open(c.Budget)}
	r.mu.Lock()
	r.entries[e.Token] = e
	r.mu.Unlock()
	return e
}

// finish ends a call and its nested calls.
func (r *Running) finish(e *Entry) {
	r.mu.Lock()
	delete(r.entries, e.Token)
	r.mu.Unlock()
	e.cancel()
}

// Lookup returns the running call with a token.
func (r *Running) Lookup(token string) (*Entry, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e, ok := r.entries[token]
	return e, ok
}

// Count returns the number of running calls.
func (r *Running) Count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.entries)
}

// Lend takes a part of the call's retry budget for a nested call and returns it
// with a function that gives back what the nested call did not use.
func (e *Entry) Lend() (attempts int, giveBack func(unused int)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	loan := e.budget.Lend(1)
	return loan.Attempts(), func(unused int) {
		e.mu.Lock()
		defer e.mu.Unlock()
		loan.Return(unused)
	}
}

// settle ends the call's part of the retry budget and returns what is unused.
// Nested calls that start later get no retries.
func (e *Entry) settle() (unused int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.budget.Close()
}

// takeRetry takes one attempt from the call's retry budget.
func (e *Entry) takeRetry() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.budget.Take()
}
