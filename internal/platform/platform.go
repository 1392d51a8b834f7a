// Package platform defines what teaselseam needs from the operators' platform:
// a transactional table service and an object store. Everything that must last
// or be agreed on goes through these two interfaces.
//
// A call can fail although its write took effect, because the response may be
// lost. Callers must treat every error except ErrConflict and ErrNotFound as
// "unknown" and read back.
package platform

import (
	"context"
	"errors"
)

// Errors with a definite meaning; any other error leaves the outcome unknown.
var (
	ErrNotFound = errors.New("row or object does not exist")
	ErrConflict = errors.New("a checked row has another version")
	// ErrUnavailable means that the call was not sent, for example because the
	// circuit breaker is open or a queue is full.
	ErrUnavailable = errors.New("platform is unavailable")
)

// Row is one row of the table. Version is at least 1 and rises with each write.
type Row struct {
	Key     string `json:"key"`
	Version int64  `json:"version"`
	Value   []byte `json:"value"`
}

// Check demands that a row has a version; version 0 demands that it is absent.
type Check struct {
	Key     string `json:"key"`
	Version int64  `json:"version"`
}

// Put writes a row.
type Put struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
}

// Transaction is applied as a whole or not at all.
type Transaction struct {
	Checks []Check `json:"checks,omitempty"`
	Puts   []Put   `json:"puts,omitempty"`
}

// Table is the transactional table service. Keys are ordered bytewise.
type Table interface {
	// Get returns a row or ErrNotFound.
	Get(ctx context.Context, key string) (Row, error)
	// Scan returns up to limit rows with from <= key < to, in key order.
	Scan(ctx context.Context, from, to string, limit int) ([]Row, error)
	// Commit applies a transaction; ErrConflict means that a check failed and
	// nothing was written.
	Commit(ctx context.Context, tx Transaction) error
}

// Objects is the object store. A put replaces the whole object.
type Objects interface {
	GetObject(ctx context.Context, name string) ([]byte, error)
	PutObject(ctx context.Context, name string, data []byte) error
}

// Store is the whole platform.
type Store interface {
	Table
	Objects
}
