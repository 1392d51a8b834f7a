// Package store keeps the change log on the platform.
//
// Rows: "head" holds the newest sequence number, "log/SEQ" one entry each, and
// "op/OPERATION" the sequence number of an operation. A commit checks the
// version of head and writes all three in one transaction, so entries have no
// gaps and an operation is applied at most once.
//
// The object "snapshot" holds the state folded from the log up to some entry, for
// nodes that start. It only saves reading: the log decides. A snapshot that does
// not match the log is ignored. Whoever shortens the log must keep the last entry
// of the snapshot and all later ones.
package store

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"sync"
	"time"

	"github.com/samber/oops"

	"github.com/teaselseam/teaselseam/internal/changelog"
	"github.com/teaselseam/teaselseam/internal/platform"
)

const (
	headKey = "head"
	// scanLimit is the number of entries read by one scan.
	scanLimit = 500
)

func logKey(seq int64) string       { return fmt.Sprintf("log/%016d", seq) }
func operationKey(op string) string { return "op/" + op }

// Log is the change log on the platform. It is safe for concurrent use.
type Log struct {
	table   platform.Table
	objects platform.Objects // nil: no snapshots
	every   int64            // entries from one snapshot to the next
	pause   func(ctx context.Context, d time.Duration) bool

	mu    sync.Mutex
	state *changelog.State // newest state folded here; nil before the first Load
}

// Option changes how a Log works.
type Option func(*Log)

// DefaultSnapshotEvery is a sensible distance between snapshots: a node that
// starts reads at most one scan of entries after the snapshot.
const DefaultSnapshotEvery = scanLimit

// WithSnapshots makes the Log read a snapshot at start and write one each time
// the log has grown by a number of entries.
func WithSnapshots(o platform.Objects, every int64) Option {
	return func(l *Log) { l.objects, l.every = o, every }
}

// NewLog returns the change log held in a table.
func NewLog(t platform.Table, options ...Option) *Log {
	l := &Log{table: t, pause: pause}
	for _, o := range options {
		o(l)
	}
	return l
}

// Head is the position of the log: the newest sequence number and the version
// of the row that holds it.
type Head struct {
	Seq     int64
	version int64
}

// Head reads the position of the log.
func (l *Log) Head(ctx context.Context) (Head, error) {
	row, err := l.table.Get(ctx, headKey)
	if errors.Is(err, platform.ErrNotFound) {
		return Head{}, nil
	}
	if err != nil {
		return Head{}, oops.In("store").With("step", "read head", "peer", "platform").Wrap(err)
	}
	seq, err := strconv.ParseInt(string(row.Value), 10, 64)
	if err != nil {
		return Head{}, oops.In("store").With("step", "parse head").Wrap(err)
	}
	return Head{Seq: seq, version: row.Version}, nil
}

// Read returns entries after a sequence number, at most scanLimit of them.
func (l *Log) Read(ctx context.Context, after int64) ([]changelog.Entry, error) {
	rows, err := l.table.Scan(ctx, logKey(after+1), "log0", scanLimit) // "log0" follows "log/..." bytewise
	if err != nil {
		return nil, oops.In("store").With("step", "read log", "peer", "platform").Wrap(err)
	}
	entries := make([]changelog.Entry, 0, len(rows))
	for _, row := range rows {
		e, err := changelog.DecodeEntry(row.Value)
		if err != nil {
			return nil, oops.In("store").With("step", "decode entry", "row", row.Key).Wrap(err)
		}
		entries = append(entries, e)
	}
	return entries, nil
}

// Entry returns one entry, or platform.ErrNotFound.
func (l *Log) Entry(ctx context.Context, seq int64) (changelog.Entry, error) {
	row, err := l.table.Get(ctx, logKey(seq))
	if err != nil {
		return changelog.Entry{}, oops.In("store").With("step", "read entry", "peer", "platform").Wrap(err)
	}
	return changelog.DecodeEntry(row.Value)
}

// Append commits an entry at the position after head and returns it with its
// sequence number. platform.ErrConflict means that another entry was committed
// first, or this operation before. Any other error but platform.ErrUnavailable
// leaves the outcome unknown; Operation tells it. Commit does all of this.
func (l *Log) Append(ctx context.Context, head Head, e changelog.Entry) (changelog.Entry, error) {
	e.Seq = head.Seq + 1
	value, err := changelog.EncodeEntry(e)
	if err != nil {
		return e, &InvalidEntry{err}
	}
	seq := []byte(strconv.FormatInt(e.Seq, 10))
	err = l.table.Commit(ctx, platform.Transaction{
		Checks: []platform.Check{
			{Key: headKey, Version: head.version},
			{Key: operationKey(e.Operation)},
		},
		Puts: []platform.Put{
			{Key: headKey, Value: seq},
			{Key: logKey(e.Seq), Value: value},
			{Key: operationKey(e.Operation), Value: seq},
		},
	})
	if err != nil {
		return e, oops.In("store").With("step", "commit entry", "peer", "platform", "operation", e.Operation).Wrap(err)
	}
	return e, nil
}

// InvalidEntry is an entry that cannot be stored. Nothing was sent.
type InvalidEntry struct{ error }

// Unwrap returns the reason.
func (e *InvalidEntry) Unwrap() error { return e.error }

// Operation returns the sequence number that an operation was committed at, or
// platform.ErrNotFound.
func (l *Log) Operation(ctx context.Context, op string) (int64, error) {
	row, err := l.table.Get(ctx, operationKey(op))
	if err != nil {
		return 0, oops.In("store").With("step", "read operation", "peer", "platform").Wrap(err)
	}
	return strconv.ParseInt(string(row.Value), 10, 64)
}
