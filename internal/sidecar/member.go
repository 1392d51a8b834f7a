package sidecar

import (
	"context"
	"errors"
	"time"

	"github.com/teaselseam/teaselseam/internal/fleet"
	"github.com/teaselseam/teaselseam/internal/pace"
	"github.com/teaselseam/teaselseam/platform"
)

const (
	writeTimeout = time.Second
	// noticeWait is how long the acknowledgement that a backend server leaves
	// waits for the store, so that a node that is restarted right after it knows.
	noticeWait = 400 * time.Millisecond
)

// memberRow keeps the node's row in the store in line with what the node
// believes.
type memberRow struct {
	n       *Node
	wake    chan struct{}
	written chan fleet.Member // newest row that the store has acknowledged
}

func newMemberRow(n *Node) *memberRow {
	return &memberRow{n: n, wake: make(chan struct{}, 1), written: make(chan fleet.Member, 1)}
}

// changed makes the row be compared and written if it differs.
func (m *memberRow) changed() { pace.Wake(m.wake) }

// wanted is the row as it should be.
func (m *memberRow) wanted() fleet.Member {
	s := m.n.settings
	b := m.n.guard.announcement()
	return fleet.Member{
		Node: s.Node, Address: s.PeerAddress, DataCentre: s.DataCentre, Incarnation: m.n.incarnation,
		Serving: !m.n.stopping.Load(),
		Backend: fleet.Backend{ID: b.ID, Service: b.Service, Slots: b.Slots, State: b.State, Born: b.Born},
	}
}

// run writes the row after changes. The version of the row is a condition of the
// write: a write whose answer was lost may be performed seconds later, and must
// not undo a newer one.
func (m *memberRow) run(ctx context.Context) error {
	select {
	case <-m.n.knowledge.fleetSeen:
	case <-ctx.Done():
		return nil
	}
	m.restore()
	var row known
	failures := 0
	for ctx.Err() == nil {
		if own := m.n.knowledge.own.Load(); own != nil && own.version >= row.version {
			row = known{own.member, own.version}
		}
		want := m.wanted()
		if row.member != nil && *row.member == want {
			m.publish(want)
			select {
			case <-m.wake:
			case <-ctx.Done():
			}
			continue
		}
		var err error
		if row, err = m.update(ctx, row, want); err == nil {
			failures = 0
			continue
		}
		failures++
		if failures == 1 {
			m.n.log.Warn("own row was not written", "event", "member", "err", err)
		}
		pause(ctx, failures)
	}
	return nil
}

// known is the row as the store is known to have it.
type known struct {
	member  *fleet.Member // nil if there is none, or what it says is not known
	version uint64
}

// update writes the row and returns what the store has then.
func (m *memberRow) update(ctx context.Context, row known, want fleet.Member) (known, error) {
	version, err := m.write(ctx, want, row.version)
	switch {
	case err == nil:
		return known{&want, version}, nil
	case errors.Is(err, platform.ErrConflict):
		return known{nil, version}, err
	}
	return row, err
}

// restore takes over what an earlier process of the node knew of the backend
// server: that it leaves, or which one it is until it announces itself again.
func (m *memberRow) restore() {
	own := m.n.knowledge.own.Load()
	if own == nil || own.member == nil {
		return
	}
	b := own.member.Backend
	if b.ID == "" || b.Service != m.n.settings.Service {
		return
	}
	m.n.guard.restore(platform.Announcement{
		ID: b.ID, Service: b.Service, Address: m.n.settings.BackendAddress, Slots: b.Slots,
		State: b.State, Born: b.Born,
	})
}

// write returns the new version of the row, or with ErrConflict its present one.
func (m *memberRow) write(ctx context.Context, row fleet.Member, version uint64) (uint64, error) {
	value, err := row.Encode()
	if err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	key := row.Node
	v, current, err := m.n.store.Commit(ctx, platform.Transaction{
		Expected: []platform.Expect{{Table: fleet.Table, Key: key, Version: version}},
		Puts:     []platform.Row{{Table: fleet.Table, Key: key, Value: value}},
	})
	if errors.Is(err, platform.ErrConflict) {
		v = 0
		for _, r := range current {
			if r.Key == key && !r.Deleted {
				v = r.Version
			}
		}
	}
	return v, err
}

func (m *memberRow) publish(row fleet.Member) {
	select {
	case <-m.written:
	default:
	}
	m.written <- row
}

// settle waits until the row says what the node believes, for a bounded time.
func (m *memberRow) settle() {
	m.changed()
	t := time.NewTimer(noticeWait)
	defer t.Stop()
	for {
		select {
		case row := <-m.written:
			if row == m.wanted() {
				return
			}
		case <-t.C:
			m.n.log.Warn("store has not confirmed that the backend server leaves", "event", "member")
			return
		}
	}
}
