package node

import (
	"cmp"
	"encoding/json"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/teaselseam/teaselseam/internal/changelog"
	"github.com/teaselseam/teaselseam/internal/control"
	"github.com/teaselseam/teaselseam/internal/membership"
	"github.com/teaselseam/teaselseam/internal/ring"
)

// rings holds the ring epochs in force, as read from the change log. The ring of
// an entry is the JSON list of all epochs in force, oldest first, so that a node
// that skips an entry misses none. It is safe for concurrent use.
type rings struct {
	log     *slog.Logger
	control *control.Control

	mu      sync.Mutex
	seq     int64 // change log entry that history was read from
	history ring.History
	// settlements are used by the control goroutine only.
	settlements ring.Settlements
}

// Ring returns the epochs in force.
func (r *rings) Ring() ring.History {
	s := r.control.Snapshot().State
	if s == nil {
		return ring.History{}
	}
	return r.of(s)
}

// Snapshot, FreshUntil and SettledSeq are those of the control state.
func (r *rings) Snapshot() *control.Snapshot { return r.control.Snapshot() }

// FreshUntil returns until when the node is fresh.
func (r *rings) FreshUntil() time.Time { return r.control.FreshUntil() }

// SettledSeq returns the newest change log entry known to be settled.
func (r *rings) SettledSeq() int64 { return r.control.SettledSeq() }

func (r *rings) of(s *changelog.State) ring.History {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s.RingSeq <= r.seq {
		return r.history
	}
	history, err := decodeRing(s.Ring)
	if err != nil {
		// Without a ring the node claims and lends nothing, which is safe.
		r.log.Error("ring cannot be read", "step", "ring", "seq", s.RingSeq, "error", err)
	}
	r.seq, r.history = s.RingSeq, history
	return history
}

func decodeRing(data []byte) (ring.History, error) {
	var epochs []*ring.Epoch
	if err := json.Unmarshal(data, &epochs); err != nil {
		return ring.History{}, err
	}
	return ring.NewHistory(epochs)
}

// next returns the ring for the live members if it differs from the one in force
// or if older epochs may end. It runs on the control goroutine.
func (r *rings) next(now time.Time, s *changelog.State, live []membership.Member) (json.RawMessage, bool) {
	history := r.of(s)
	newest := history.Newest()
	if newest != nil && r.control.SettledSeq() >= s.RingSeq {
		r.settlements.Settled(now, newest.Number())
	}
	members := ringMembers(live)
	if len(members) == 0 {
		return nil, false
	}
	number, oldest := int64(1), int64(1)
	if newest != nil {
		number, oldest = newest.Number()+1, r.settlements.Oldest(now, history)
		if sameMembers(newest.Members(), members) && oldest <= newest.Oldest() {
			return nil, false
		}
	}
	epoch, err := ring.NewEpoch(number, oldest, members)
	if err != nil {
		r.log.Error("ring epoch is not valid", "step", "ring", "error", err)
		return nil, false
	}
	epochs := slices.DeleteFunc(slices.Clone(history.InForce()), func(e *ring.Epoch) bool { return e.Number() < oldest })
	data, err := json.Marshal(append(epochs, epoch))
	return data, err == nil
}

// ringMembers returns the members that stay. A draining node keeps its claims
// until the epochs that name it have ended, but gets no new ones.
func ringMembers(live []membership.Member) []ring.Member {
	var out []ring.Member
	for _, m := range live {
		if !m.Draining {
			out = append(out, ring.Member{
				Node: m.ID, Incarnation: m.Incarnation, DataCentre: m.DataCentre, PeerAddress: m.PeerAddress,
			})
		}
	}
	return out
}

func sameMembers(a, b []ring.Member) bool {
	byName := func(x, y ring.Member) int { return cmp.Compare(x.Node, y.Node) }
	a, b = slices.Clone(a), slices.Clone(b)
	slices.SortFunc(a, byName)
	slices.SortFunc(b, byName)
	return slices.Equal(a, b)
}
