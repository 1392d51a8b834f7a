// Package backend is what a node believes of the backend server beside it, from
// the announcements of that backend server alone.
//
// Only the node beside a backend server can reach it, so this belief decides
// alone whether a request may start there. Announcements may be late, repeated
// or from an earlier start at the same address. Three rules keep a backend server
// that has said that it leaves from getting work again:
//
//   - an announcement of an earlier start than the known one is ignored, and one
//     of the same start counts only if its sequence is higher;
//   - a start that was draining never becomes ready again;
//   - after a notice of the end, which carries neither start nor sequence, the
//     same start is taken as ready again only if it goes on announcing itself for
//     longer than an announcement can be late. A notice may itself be late, from
//     an earlier start under the same ID.
package backend

import (
	"time"

	"github.com/teaselseam/teaselseam/platform"
)

const (
	// lateness is how late an announcement may arrive. The platform says
	// "seconds"; partitions that hold them up last up to 9 s.
	lateness = 10 * time.Second
	// revivals is how many announcements after that show that it lives.
	revivals = 2
)

// Server is the belief about the backend server of a node. The zero value knows
// none. It is not safe for concurrent use.
type Server struct {
	platform.Announcement
	ReceivedAt time.Time // arrival of the newest announcement
	ColdUntil time.Time // until then it is slow after its start

	goneAt   time.Time // arrival of a notice of the end
	heardAll int       // announcements since the notice
}

// Known tells whether there is a backend server.
func (s *Server) Known() bool { return s.ID != "" }

// Ready tells whether requests may start at the backend server.
func (s *Server) Ready() bool { return s.Known() && s.State == platform.Ready }

// Restore sets what an earlier process of the node knew.
func (s *Server) Restore(a platform.Announcement) {
	if !s.Known() {
		s.Announcement = a
	}
}

// Apply takes an announcement. It returns true if the belief changed in more than
// its age.
func (s *Server) Apply(now time.Time, a platform.Announcement) bool {
	if a.State == platform.Gone {
		return s.hearGone(now, a)
	}
	switch {
	case !s.Known() || a.Born > s.Born:
		s.accept(now, a)
		return true
	case a.Born < s.Born || a.ID != s.ID || a.Sequence <= s.Sequence:
		return false
	}
	s.Sequence, s.ReceivedAt = a.Sequence, now
	switch {
	case s.State == platform.Gone:
		return s.revive(now, a)
	case s.State == platform.Draining:
		return false
	}
	changed := a.State != s.State || a.Slots != s.Slots || a.Service != s.Service || a.Address != s.Address
	s.accept(now, a)
	return changed
}

func (s *Server) accept(now time.Time, a platform.Announcement) {
	s.Announcement, s.ReceivedAt, s.ColdUntil = a, now, now.Add(a.ColdLeft)
	s.goneAt, s.heardAll = time.Time{}, 0
}

func (s *Server) hearGone(now time.Time, a platform.Announcement) bool {
	if a.ID != s.ID || s.State == platform.Gone {
		return false
	}
	s.State, s.goneAt, s.heardAll = platform.Gone, now, 0
	return true
}

// revive undoes a late notice of the end of an earlier start.
func (s *Server) revive(now time.Time, a platform.Announcement) bool {
	if a.State != platform.Ready || s.goneAt.IsZero() || now.Sub(s.goneAt) < lateness {
		return false
	}
	s.heardAll++
	if s.heardAll < revivals {
		return false
	}
	s.accept(now, a)
	return true
}
