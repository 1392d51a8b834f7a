package store

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/samber/oops"

	"github.com/teaselseam/teaselseam/internal/changelog"
	"github.com/teaselseam/teaselseam/internal/platform"
)

const (
	// maxTries bounds the tries of one commit. Each lost race is one try; with
	// all waits at their limits, 12 tries take 2.7 s.
	maxTries = 12
	// firstBackoff and maxBackoff bound the wait before the next try.
	firstBackoff = 5 * time.Millisecond
	maxBackoff   = 500 * time.Millisecond
)

// Unknown means that a commit may or may not have taken effect. Asking again
// with the same operation ID is safe and tells the outcome.
type Unknown struct {
	Operation string
	Cause     error
}

// Error implements error.
func (u *Unknown) Error() string {
	return fmt.Sprintf("outcome is unknown, ask again with operation ID %q: %v", u.Operation, u.Cause)
}

// Unwrap returns the error of the last try.
func (u *Unknown) Unwrap() error { return u.Cause }

// Build makes an entry from the state it will follow. It may be called several
// times with newer states; its error ends the commit. Sequence number and
// operation ID are filled in.
type Build func(*changelog.State) (changelog.Entry, error)

// Result is a committed operation.
type Result struct {
	Entry changelog.Entry
	// Repeated means that the entry was found in the log, either from an earlier
	// call with this operation ID or from a try whose response was lost.
	Repeated bool
}

// Commit appends the entry that build makes. It tries again when another entry
// was committed first, and reads the operation ID back when a response was lost.
// An operation ID that was committed before gives the first result.
//
// An error is the one of build, *Unknown, or a platform failure; only *Unknown
// leaves the outcome open.
func (l *Log) Commit(ctx context.Context, operation string, build Build) (Result, error) {
	c := &commit{log: l, operation: operation, build: build}
	var err error
	for try := range maxTries {
		if try > 0 && !l.pause(ctx, backoff(try)) {
			err = errors.Join(err, ctx.Err())
			break
		}
		var done bool
		if done, err = c.try(ctx); done {
			break
		}
	}
	if err == nil {
		return c.result, nil
	}
	if c.pending {
		return Result{}, &Unknown{Operation: operation, Cause: err}
	}
	return Result{}, err
}

// commit is one running Commit.
type commit struct {
	log       *Log
	operation string
	build     Build
	result    Result
	// pending means that a try with the given version of head may still take
	// effect. It cannot once head has another version.
	pending        bool
	pendingVersion int64
}

// try makes one try; done means that there is no point in another.
func (c *commit) try(ctx context.Context) (done bool, err error) {
	head, state, err := c.log.load(ctx)
	if err != nil {
		return !c.pending, err
	}
	// The operation is looked up after head was read: if head has moved on and
	// the operation is absent, no earlier try can take effect any more.
	found, err := c.lookUp(ctx)
	if found || err != nil {
		return found || !c.pending, err
	}
	if c.pending && head.version != c.pendingVersion {
		c.pending = false
	}
	entry, err := c.build(state)
	if err != nil {
		return true, err
	}
	entry.Operation = c.operation
	entry, err = c.log.Append(ctx, head, entry)
	var invalid *InvalidEntry
	switch {
	case err == nil:
		c.pending = false
		c.result = Result{Entry: entry}
		c.keep(ctx, state)
		return true, nil
	case errors.As(err, &invalid):
		return true, err
	case errors.Is(err, platform.ErrConflict), errors.Is(err, platform.ErrUnavailable):
		return false, err
	default:
		c.pending, c.pendingVersion = true, head.version
		return false, err
	}
}

// lookUp finds the operation in the log.
func (c *commit) lookUp(ctx context.Context) (found bool, err error) {
	seq, err := c.log.Operation(ctx, c.operation)
	if errors.Is(err, platform.ErrNotFound) {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	entry, err := c.log.Entry(ctx, seq)
	if err != nil {
		c.pending = true // it took effect, but the caller cannot be told what
		return false, oops.In("store").With("step", "read back", "operation", c.operation).Wrap(err)
	}
	c.pending = false
	c.result = Result{Entry: entry, Repeated: true}
	return true, nil
}

// keep stores the state after a successful try.
func (c *commit) keep(ctx context.Context, before *changelog.State) {
	next, err := before.Apply(c.result.Entry)
	if err != nil {
		return // the next load reads the entry again and reports the error
	}
	c.log.newest(next)
	c.log.writeSnapshot(ctx, next)
}

// backoff returns the wait before a try, between half and all of a limit that
// doubles with each try.
func backoff(try int) time.Duration {
	limit := min(firstBackoff<<(try-1), maxBackoff)
	return limit/2 + rand.N(limit/2+1)
}

// pause sleeps; false when ctx ends.
func pause(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
