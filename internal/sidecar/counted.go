package sidecar

import (
	"slices"
	"time"

	"github.com/teaselseam/teaselseam/internal/fleet"
)

// Bounds that hold for the whole fleet are divided by the number of members, by each node for
// itself. A node has a part of them only once the others count it; before that, the parts of the
// others add up to the whole.

// countedDelay is how long after its row is in the store the others count a node: that is when a node
// notices at the latest that its way to the store has gone silent.
const countedDelay = fleetWatchWait + watchTimeoutMargin

// countSelf records from when on the other nodes count this one. first is set for the first view of
// the table. A row that is there then has been written by an earlier process and was counted all the
// time. Nobody counts anything while the whole fleet starts, or in a table that has no rows. The caller
// holds fleetMu.
func (s *storeState) countSelf(members []*fleet.Member, first bool) {
	now := time.Now()
	s.founder = s.founder || first && (len(members) == 0 || s.n.settings.FirstStart && now.Sub(s.n.startedAt) < countedDelay)
	isMember := slices.ContainsFunc(members, func(m *fleet.Member) bool { return m.Node == s.n.settings.Node })
	switch {
	case !isMember:
		s.countedFrom.Store(nil)
	case s.countedFrom.Load() != nil:
	case first || s.founder:
		s.founder = false
		s.countedFrom.Store(&now)
		s.returned.Store(true)
	default:
		from := now.Add(countedDelay)
		s.countedFrom.Store(&from)
		time.AfterFunc(countedDelay, s.n.applyLimits)
		s.log.Info("node has joined and gets its part of the fleet's bounds once others count it", "event", "fleet",
			"members", len(members), "from", countedDelay)
	}
}

// isCounted reports whether the other nodes count this one, so that it has a part of what all
// share.
func (s *storeState) isCounted() bool {
	from := s.countedFrom.Load()
	return from != nil && !time.Now().Before(*from)
}
