package backend

import (
	"time"

	"github.com/teaselseam/teaselseam/platform"
)

const (
	// contestAnnouncements is how often a rival has to announce itself, without the known
	// incarnation doing so, before it takes its place.
	contestAnnouncements = 2
	// silentIntervals is for how many intervals between announcements the known incarnation has
	// to be silent meanwhile. While it leaves, it has to be for maxAnnouncementDelay: what makes it
	// ready again must not be late announcements of an earlier incarnation.
	silentIntervals = 2
)

// rival is the incarnation that was known before, or announces itself beside the known one
// although it has started earlier. Only one of the two can be there.
type rival struct {
	claim
	heard  int  // announcements since the last one of the known incarnation
	absent bool // the backend server has answered that it is not this one
}

// refuted reports whether an announcement cannot be that of the next incarnation: it is a late one
// of the rival, or of a rival that was found not to be there.
func (r *rival) refuted(a platform.Announcement) bool {
	return incarnationOf(a) == (Incarnation{r.ID, r.Born}) && (r.absent || a.Sequence <= r.Sequence)
}

func incarnationOf(a platform.Announcement) Incarnation { return Incarnation{a.ID, a.Born} }

// contest applies an announcement of another incarnation than the known one. It returns true if
// that takes its place: it goes on announcing itself, and the known one is silent.
func (s *Server) contest(now time.Time, a platform.Announcement) bool {
	r := &s.rival
	if incarnationOf(a) != (Incarnation{r.ID, r.Born}) {
		*r = rival{claim: claim{Announcement: a, ReceivedAt: now, knownAt: now}, heard: 1}
		return false
	}
	if a.Sequence <= r.Sequence {
		return false
	}
	leaves := r.State == platform.Draining || r.State == platform.Gone
	state := r.State
	r.Announcement, r.ReceivedAt, r.knownAt = a, now, now
	if leaves {
		r.State = state // final
	}
	r.heard++
	silence := silentIntervals * s.interval
	if !s.Ready() {
		silence = maxAnnouncementDelay
	}
	if r.heard < contestAnnouncements || now.Sub(s.knownAt) < silence {
		return false
	}
	s.yield(now, false)
	return true
}

// Misdirected records that the backend server has refused a request for an incarnation because
// it has another ID. It returns true if that was the known incarnation and the rival takes its
// place, which has announced itself lately.
func (s *Server) Misdirected(now time.Time, i Incarnation) bool {
	if i != s.Incarnation() || s.rival.ID == "" || s.rival.ID == s.ID || s.rival.State != platform.Ready ||
		now.Sub(s.rival.ReceivedAt) > maxAnnouncementDelay {
		return false
	}
	s.yield(now, true)
	return true
}

// Identified records the ID with which the backend server has answered a health check that was
// made for an incarnation. It returns true if that makes the rival take its place.
func (s *Server) Identified(now time.Time, i Incarnation, id string) bool {
	return id != "" && id == s.rival.ID && s.Misdirected(now, i)
}

// Contested reports whether the backend server is to be asked who it is: an incarnation with
// another ID than the known one announces itself.
func (s *Server) Contested() bool {
	return s.rival.heard > 0 && s.rival.ID != s.ID && s.rival.State == platform.Ready
}

// yield gives the place of the known incarnation to the rival. absent tells that the backend
// server has answered that it is not the known one.
func (s *Server) yield(now time.Time, absent bool) {
	s.claim, s.rival = s.rival.claim, rival{claim: s.claim, absent: absent}
	s.AssumeCold(now)
	s.applyDeparture(now)
}

// Heeds reports whether an announcement that the backend server leaves was applied, so that it
// may be acknowledged.
func (s *Server) Heeds(a platform.Announcement) bool {
	if a.State == platform.Gone {
		return true
	}
	return incarnationOf(a) == s.Incarnation() && s.State != platform.Ready
}
