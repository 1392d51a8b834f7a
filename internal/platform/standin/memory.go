// Package standin is an in-memory platform for tests and for `teaselseamd dev`.
// It is never used in production. It can be told to be down, to be slow, to lose
// the response to a write after the write took effect, or to apply a write after
// it has failed. See Faults.
package standin

import (
	"context"
	"slices"
	"sort"
	"sync"
	"time"

	"github.com/teaselseam/teaselseam/internal/platform"
)

// Counts are the calls served since start.
type Counts struct {
	Reads  int64 `json:"reads"`
	Writes int64 `json:"writes"`
}

// Memory implements platform.Store. It is safe for concurrent use.
type Memory struct {
	mu      sync.Mutex
	rows    map[string]platform.Row
	keys    []string // sorted
	objects map[string][]byte
	reads   *source
	writes  *source
	counts  Counts
}

var _ platform.Store = (*Memory)(nil)

// NewMemory returns an empty, healthy platform.
func NewMemory() *Memory {
	m := &Memory{rows: map[string]platform.Row{}, objects: map[string][]byte{}}
	m.SetFaults(Faults{})
	return m
}

// SetFaults changes the injected faults and starts their random numbers again.
func (m *Memory) SetFaults(f Faults) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reads, m.writes = newSource(f, readStream), newSource(f, writeStream)
}

// Counts returns the calls served so far.
func (m *Memory) Counts() Counts {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.counts
}

// enter counts a call, applies its delay and its outage, and returns its faults.
func (m *Memory) enter(ctx context.Context, write bool) (verdict, error) {
	v := m.draw(write)
	late := write && v.late && !v.down
	if v.delay > 0 && !late {
		t := time.NewTimer(v.delay)
		defer t.Stop()
		select {
		case <-ctx.Done():
			return v, ctx.Err()
		case <-t.C:
		}
	}
	if v.down {
		return v, errDown
	}
	return v, nil
}

// draw counts a call and draws its faults.
func (m *Memory) draw(write bool) verdict {
	m.mu.Lock()
	defer m.mu.Unlock()
	if write {
		m.counts.Writes++
		return m.writes.next()
	}
	m.counts.Reads++
	return m.reads.next()
}

// write runs apply, which is called with the lock held, as the faults of the call
// demand.
func (m *Memory) write(ctx context.Context, apply func() error) error {
	v, err := m.enter(ctx, true)
	if err != nil {
		return err
	}
	if v.late {
		time.AfterFunc(v.lateDelay, func() {
			m.mu.Lock()
			defer m.mu.Unlock()
			_ = apply() // nobody waits for the answer
		})
		return errLate
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := apply(); err != nil {
		return err
	}
	if v.lose || m.writes.faults.LoseResponses {
		return errLostResponse
	}
	return nil
}

// Get implements platform.Table.
func (m *Memory) Get(ctx context.Context, key string) (platform.Row, error) {
	if _, err := m.enter(ctx, false); err != nil {
		return platform.Row{}, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	row, ok := m.rows[key]
	if !ok {
		return platform.Row{}, platform.ErrNotFound
	}
	return row, nil
}

// Scan implements platform.Table.
func (m *Memory) Scan(ctx context.Context, from, to string, limit int) ([]platform.Row, error) {
	if _, err := m.enter(ctx, false); err != nil {
		return nil, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	var rows []platform.Row
	for i := sort.SearchStrings(m.keys, from); i < len(m.keys) && m.keys[i] < to && len(rows) < limit; i++ {
		rows = append(rows, m.rows[m.keys[i]])
	}
	return rows, nil
}

// Commit implements platform.Table.
func (m *Memory) Commit(ctx context.Context, tx platform.Transaction) error {
	tx = clone(tx)
	return m.write(ctx, func() error {
		for _, c := range tx.Checks {
			if m.rows[c.Key].Version != c.Version {
				return platform.ErrConflict
			}
		}
		for _, p := range tx.Puts {
			m.put(p)
		}
		return nil
	})
}

// clone copies a transaction, because a late write outlives the call.
func clone(tx platform.Transaction) platform.Transaction {
	tx.Checks, tx.Puts = slices.Clone(tx.Checks), slices.Clone(tx.Puts)
	for i, p := range tx.Puts {
		tx.Puts[i].Value = slices.Clone(p.Value)
	}
	return tx
}

func (m *Memory) put(p platform.Put) {
	row, exists := m.rows[p.Key]
	if !exists {
		i := sort.SearchStrings(m.keys, p.Key)
		m.keys = slices.Insert(m.keys, i, p.Key)
	}
	m.rows[p.Key] = platform.Row{Key: p.Key, Version: row.Version + 1, Value: p.Value}
}

// GetObject implements platform.Objects.
func (m *Memory) GetObject(ctx context.Context, name string) ([]byte, error) {
	if _, err := m.enter(ctx, false); err != nil {
		return nil, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	data, ok := m.objects[name]
	if !ok {
		return nil, platform.ErrNotFound
	}
	return slices.Clone(data), nil
}

// PutObject implements platform.Objects.
func (m *Memory) PutObject(ctx context.Context, name string, data []byte) error {
	data = slices.Clone(data)
	return m.write(ctx, func() error {
		m.objects[name] = data
		return nil
	})
}
