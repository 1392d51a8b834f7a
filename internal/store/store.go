// Package store keeps the change log on the platform.
//
// Rows: "head" holds the newest sequence number, "log/SEQ" one entry each, and
// "op/OPERATION" the sequence number of an operation. A commit checks the
// version of head and writes all three in one transaction, so entries have no
// gaps and an operation is applied at most once.
package store

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"

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
	table platform.Table
}

// NewLog returns the change log held in a table.
func NewLog(t platform.Table) *Log { return &Log{table: t} }

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
		var e changelog.Entry
		if err := json.Unmarshal(row.Value, &e); err != nil {
			return nil, oops.In("store").With("step", "decode entry", "row", row.Key).Wrap(err)
		}
		entries = append(entries, e)
	}
	return entries, nil
}

// Append commits an entry at the position after head and returns it with its
// sequence number. platform.ErrConflict means that another entry was committed
// first. Any other error leaves the outcome unknown; Operation tells it.
func (l *Log) Append(ctx context.Context, head Head, e changelog.Entry) (changelog.Entry, error) {
	e.Seq = head.Seq + 1
	value, err := json.Marshal(e)
	if err != nil {
		return e, err
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

// Operation returns the sequence number that an operation was committed at, or
// platform.ErrNotFound.
func (l *Log) Operation(ctx context.Context, op string) (int64, error) {
	row, err := l.table.Get(ctx, operationKey(op))
	if err != nil {
		return 0, err
	}
	return strconv.ParseInt(string(row.Value), 10, 64)
}
