package sidecar

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/teaselseam/teaselseam/internal/backend"
	"github.com/teaselseam/teaselseam/internal/era"
	"github.com/teaselseam/teaselseam/internal/fleet"
	"github.com/teaselseam/teaselseam/internal/pace"
	"github.com/teaselseam/teaselseam/platform"
)

const (
	storeWriteTimeout = time.Second
	// drainPersistTimeout bounds how long the response to the announcement of a draining
	// backend server waits until the store has the new state. An acknowledgement counts
	// if it arrives within a second.
	drainPersistTimeout = 800 * time.Millisecond
)

// memberRow keeps the node's row in the fleet table up to date.
type memberRow struct {
	n    *Node
	wake chan struct{}

	mu      sync.Mutex
	stored  fleet.Member  // latest row that the store is known to have
	changed chan struct{} // closed when stored is set
}

func newMemberRow(n *Node) *memberRow {
	return &memberRow{n: n, wake: make(chan struct{}, 1), changed: make(chan struct{})}
}

// scheduleUpdate makes run compare the row with the stored one and write it if it differs.
func (m *memberRow) scheduleUpdate() { pace.Wake(m.wake) }

// desired returns the row that the store should have.
func (m *memberRow) desired() fleet.Member {
	s := m.n.settings
	b := m.n.guard.announcement()
	return fleet.Member{
		Node: s.Node, Address: s.PeerAddress, DataCentre: s.DataCentre, Incarnation: m.n.incarnation,
		Serving: !m.n.stopping.Load(), Key: *m.n.key.Load(), BodyOnDemand: true,
		Backend:    fleet.Backend{ID: b.ID, Service: b.Service, Slots: b.Slots, State: b.State, Born: b.Born},
		Departures: m.n.guard.departures(),
	}
}

// run writes the row after changes. Each write is conditional on the row's version: a
// write whose response was lost may still be performed seconds later, and must not
// overwrite a newer one.
func (m *memberRow) run(ctx context.Context) error {
	var row storedRow
	if m.n.settings.FirstStart {
		row = m.writeFirst(ctx)
	}
	if row.member == nil {
		select {
		case <-m.n.state.fleetLoaded:
		case <-ctx.Done():
			return nil
		}
		m.restoreKey()
		m.restoreBackend()
		m.awaitAnnouncement(ctx)
	}
	failures := 0
	for ctx.Err() == nil {
		if own := m.n.state.ownRow.Load(); own != nil && !own.revision.Before(row.revision) {
			row = storedRow{own.Member, own.revision, own.Deleted}
		}
		want := m.desired()
		if row.member != nil && row.member.Same(want) {
			m.publishStored(want)
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
			m.n.log.Warn("own row could not be written to the store", "event", "member", "err", err)
		}
		backoff(ctx, failures)
	}
	return nil
}

// writeFirst writes the row without having read the table, which at the first start of the
// fleet has none for this node. It returns the zero value if the row could not be written.
func (m *memberRow) writeFirst(ctx context.Context) storedRow {
	m.awaitAnnouncement(ctx)
	row, err := m.update(ctx, storedRow{}, m.desired())
	if err != nil {
		m.n.log.Warn("own row could not be written to the store at the first start", "event", "member", "err", err)
		return storedRow{}
	}
	return row
}

// awaitAnnouncement waits a little for the first announcement of the backend server, unless
// it is known already, so that the row is not written twice at the start. It does not wait if a
// departure is to be stored, whose announcement is acknowledged only then.
func (m *memberRow) awaitAnnouncement(ctx context.Context) {
	var stored []backend.Departure
	if own := m.n.state.ownRow.Load(); own != nil && own.Member != nil {
		stored = own.Member.Departures
	}
	t := time.NewTimer(m.n.settings.AnnounceInterval + m.n.settings.AnnounceInterval/2)
	defer t.Stop()
	for m.n.guard.announcement().ID == "" && slices.Equal(m.n.guard.departures(), stored) {
		select {
		case <-m.wake:
		case <-t.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// storedRow is the row as last known to be in the store.
type storedRow struct {
	member   *fleet.Member // nil if there is none or its content is unknown
	revision platform.Revision
	deleted  bool // the latest change has removed it
}

// update writes the row and returns what the store has afterwards.
func (m *memberRow) update(ctx context.Context, row storedRow, want fleet.Member) (storedRow, error) {
	expected := row.revision.Version
	if row.deleted {
		expected = 0
	}
	revision, err := m.write(ctx, want, expected)
	switch {
	case err == nil:
		return storedRow{member: &want, revision: revision}, nil
	case errors.Is(err, platform.ErrConflict):
		return storedRow{revision: revision}, err
	}
	return row, err
}

// restoreKey restores the key that an earlier process of the node has stored, which the other
// nodes know, or sets a new one.
func (m *memberRow) restoreKey() {
	if *m.n.key.Load() != "" {
		return // of the first start
	}
	key := newKey()
	if own := m.n.state.ownRow.Load(); own != nil && own.Member != nil && own.Member.Key != "" {
		key = own.Member.Key
	}
	m.n.setKey(key)
}

// restoreBackend restores what an earlier process of the node has stored: which backend server
// it is until its next announcement, that it leaves, and which others have left. A backend
// server that is ready in a row from before the store came back from an older copy may have
// left since, so it is not used before its next announcement.
func (m *memberRow) restoreBackend() {
	var a platform.Announcement
	var departures []backend.Departure
	if own := m.n.state.ownRow.Load(); own != nil && own.Member != nil {
		departures = own.Member.Departures
		b := own.Member.Backend
		if b.ID != "" && b.Service == m.n.settings.Service && (b.State != platform.Ready || m.n.state.writtenInEra(own.revision)) {
			a = platform.Announcement{
				ID: b.ID, Service: b.Service, Address: m.n.settings.BackendAddress, Slots: b.Slots,
				State: b.State, Born: b.Born,
			}
		}
	}
	m.n.guard.restore(a, departures)
}

// write returns the new revision of the row, or its current one with ErrConflict.
func (m *memberRow) write(ctx context.Context, row fleet.Member, version uint64) (platform.Revision, error) {
	row.Backend.ColdMS = m.n.guard.statedCold().Milliseconds()
	value, err := row.Encode()
	if err != nil {
		return platform.Revision{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, storeWriteTimeout)
	defer cancel()
	key := row.Node
	revision, current, err := m.n.store.Commit(ctx, platform.Transaction{
		Preconditions: []platform.Precondition{{Table: fleet.Table, Key: key, Version: version}},
		Puts:          []platform.Row{{Table: fleet.Table, Key: key, Value: value}},
	})
	conflict := errors.Is(err, platform.ErrConflict)
	if (err == nil || conflict) && m.n.state.observe(revision) == era.Earlier {
		return platform.Revision{}, errEarlierEra // the write is lost
	}
	if conflict {
		revision.Version = 0
		for _, r := range current {
			if r.Key == key && !r.Deleted {
				revision.Version = r.Version
			}
		}
	}
	return revision, err
}

func (m *memberRow) publishStored(row fleet.Member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stored = row
	close(m.changed)
	m.changed = make(chan struct{})
}

func (m *memberRow) storedRow() (row fleet.Member, changed <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.stored, m.changed
}

// waitUntilStored waits until the store has the state of the backend server and the departures,
// for at most drainPersistTimeout, and reports whether it has.
func (m *memberRow) waitUntilStored() bool {
	m.scheduleUpdate()
	t := time.NewTimer(drainPersistTimeout)
	defer t.Stop()
	for {
		row, changed := m.storedRow()
		if row.SameBackend(m.desired()) {
			return true
		}
		select {
		case <-changed:
		case <-t.C:
			m.n.log.Warn("store did not confirm in time that the backend server leaves; not acknowledged", "event", "member")
			return false
		}
	}
}
