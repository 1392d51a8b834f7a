// Package standin is an in-memory platform for tests and for `teaselseamd dev`.
// It is never used in production. It can be told to be down, to be slow, or to
// lose the response to a write after the write took effect.
package standin

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sort"
	"sync"
	"time"

	"github.com/teaselseam/teaselseam/internal/platform"
)

// Faults says how the stand-in misbehaves. The zero value is a healthy platform.
type Faults struct {
	Down          bool          `json:"down"`           // every call fails without effect
	Delay         time.Duration `json:"delay"`          // added to every call, in nanoseconds
	LoseResponses bool          `json:"lose_responses"` // writes take effect, then fail
	// DownShare, SlowShare and LoseShare are the shares of calls that fail, take
	// SlowDelay longer, or lose their response, from 0 to 1.
	DownShare float64       `json:"down_share"`
	SlowShare float64       `json:"slow_share"`
	SlowDelay time.Duration `json:"slow_delay"` // nanoseconds
	LoseShare float64       `json:"lose_share"`
	// Seed makes the choice of calls repeatable.
	Seed uint64 `json:"seed"`
}

// Errors of an injected fault.
var (
	errDown         = errors.New("platform stand-in is down")
	errLostResponse = errors.New("platform stand-in lost the response")
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
	faults  Faults
	counts  Counts
	rnd     *rand.Rand
}

var _ platform.Store = (*Memory)(nil)

// NewMemory returns an empty, healthy platform.
func NewMemory() *Memory {
	return &Memory{rows: map[string]platform.Row{}, objects: map[string][]byte{}, rnd: newRandom(0)}
}

// SetFaults changes the injected faults.
func (m *Memory) SetFaults(f Faults) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.faults = f
	m.rnd = newRandom(f.Seed)
}

func newRandom(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 0)) }

// hit draws whether a call is among a share. The mutex must be held.
func (m *Memory) hit(share float64) bool { return share > 0 && m.rnd.Float64() < share }

// Counts returns the calls served so far.
func (m *Memory) Counts() Counts {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.counts
}

// enter applies the delay and the outage, and counts the call.
func (m *Memory) enter(ctx context.Context, write bool) error {
	m.mu.Lock()
	f := m.faults
	if write {
		m.counts.Writes++
	} else {
		m.counts.Reads++
	}
	if m.hit(f.SlowShare) {
		f.Delay += f.SlowDelay
	}
	f.Down = f.Down || m.hit(f.DownShare)
	m.mu.Unlock()
	if f.Delay > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(f.Delay):
		}
	}
	if f.Down {
		return errDown
	}
	return nil
}

// Get implements platform.Table.
func (m *Memory) Get(ctx context.Context, key string) (platform.Row, error) {
	if err := m.enter(ctx, false); err != nil {
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
	if err := m.enter(ctx, false); err != nil {
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
	if err := m.enter(ctx, true); err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, c := range tx.Checks {
		if m.rows[c.Key].Version != c.Version {
			return platform.ErrConflict
		}
	}
	for _, p := range tx.Puts {
		m.put(p)
	}
	if m.faults.LoseResponses || m.hit(m.faults.LoseShare) {
		return errLostResponse
	}
	return nil
}

func (m *Memory) put(p platform.Put) {
	row, exists := m.rows[p.Key]
	if !exists {
		i := sort.SearchStrings(m.keys, p.Key)
		m.keys = slices.Insert(m.keys, i, p.Key)
	}
	m.rows[p.Key] = platform.Row{Key: p.Key, Version: row.Version + 1, Value: slices.Clone(p.Value)}
}

// GetObject implements platform.Objects.
func (m *Memory) GetObject(ctx context.Context, name string) ([]byte, error) {
	if err := m.enter(ctx, false); err != nil {
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
	if err := m.enter(ctx, true); err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.objects[name] = slices.Clone(data)
	if m.faults.LoseResponses || m.hit(m.faults.LoseShare) {
		return errLostResponse
	}
	return nil
}
