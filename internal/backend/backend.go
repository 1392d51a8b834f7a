// Package backend tracks the state of a node's backend server, as known from its
// announcements and from what it states about itself in its responses (condition.go), the
// rate that it bears now (rate.go), and what a node has heard of the backend servers beside
// other nodes (conditions.go).
//
// Only the node beside a backend server can reach it, so this state alone decides whether
// a request may start there. Announcements may be late, repeated, or from an earlier
// incarnation at the same address. (An incarnation is the time from one start of a backend
// server to its end; Born is the start time.) Four rules prevent a backend server that
// has announced draining or gone from getting requests again:
//
//   - An announcement of an earlier incarnation than the known one is ignored. One of the
//     same incarnation is accepted only if its sequence number is higher.
//   - An incarnation that was draining, or has stated in a response that it leaves, never
//     becomes ready again.
//   - After an announcement of the state gone, the same incarnation is accepted as ready
//     again only if it still announces ready after the longest time that an announcement
//     can be delayed. The announcement of gone may itself be a late one from an earlier
//     incarnation with the same ID: it carries neither start time nor sequence number.
//   - An announcement of the state gone counts for all incarnations with its ID that started
//     before it, known or not, and is stored with the state (Departure).
//
// Announcements are not authenticated: another program may have sent one, and the clock by which
// Born was taken may have been set back since. So what is believed can be refuted by the backend
// server that is really there (rival.go).
package backend

import (
	"slices"
	"time"

	"github.com/teaselseam/teaselseam/platform"
)

const (
	// maxAnnouncementDelay is the longest delay of an announcement. The platform specifies
	// "seconds"; network partitions that delay announcements last up to 9 s.
	maxAnnouncementDelay = 10 * time.Second
	// reviveAnnouncements is the number of ready announcements after that delay that show
	// that a backend server in the state gone is still running.
	reviveAnnouncements = 2
)

// Server is the last known state of the backend server of a node. The zero value means
// that no backend server is known. It is not safe for concurrent use.
type Server struct {
	claim
	rival rival

	interval   time.Duration // between announcements
	cold       coldness
	departures []Departure // oldest first
}

// claim is what is known of one incarnation.
type claim struct {
	platform.Announcement
	ReceivedAt time.Time // when the newest announcement was received
	knownAt    time.Time // the same, or when it was restored

	goneReceivedAt time.Time // when the announcement of gone was received
	readyAfterGone int       // ready announcements later than maxAnnouncementDelay after it

	rateLimit   *float64  // requests per second, nil for none
	rateLimitAt time.Time // when rateLimit was last named
	responded   bool      // a response has told whether there is a limit

	statedLeaving bool // a response has stated that this incarnation leaves
}

// SetInterval sets the interval between the announcements of a backend server.
func (s *Server) SetInterval(d time.Duration) { s.interval = d }

// Known reports whether a backend server is known.
func (s *Server) Known() bool { return s.ID != "" }

// Ready reports whether requests may be sent to the backend server.
func (s *Server) Ready() bool { return s.Known() && s.State == platform.Ready }

// maxClockStep is how far in the future the start of a backend server may lie, whose VM has
// the same clock: that may have been set back since. One that claims to start later would
// hide the announcements of the real one.
const maxClockStep = time.Minute

// Apply updates the state from an announcement. It returns true if anything changed other
// than the receipt time and the sequence number.
func (s *Server) Apply(now time.Time, a platform.Announcement) bool {
	if a.State == platform.Gone {
		return s.applyGone(now, a)
	}
	if a.Born > now.Add(maxClockStep).UnixMilli() {
		return false
	}
	switch {
	case !s.Known() || a.Born > s.Born && !s.rival.refuted(a):
		s.announceCold(now, a.ColdRemaining, s.Known())
		s.rival = rival{claim: s.claim}
		s.claim = claim{Announcement: a, ReceivedAt: now, knownAt: now}
		s.applyDeparture(now)
		return true
	case incarnationOf(a) != s.Incarnation():
		return s.contest(now, a)
	}
	switch {
	case a.State == platform.Draining && s.State == platform.Ready: // final, whatever arrived before
		s.Sequence = max(a.Sequence, s.Sequence)
		s.State, s.ReceivedAt, s.knownAt = platform.Draining, now, now
		return true
	case a.Sequence <= s.Sequence:
		return false
	}
	s.rival.heard = 0
	s.Sequence, s.ReceivedAt, s.knownAt = a.Sequence, now, now
	s.announceCold(now, a.ColdRemaining, false)
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
	s.Announcement, s.ReceivedAt, s.knownAt = a, now, now
	s.goneReceivedAt, s.readyAfterGone = time.Time{}, 0
}

func (s *Server) applyGone(now time.Time, a platform.Announcement) bool {
	d := Departure{ID: a.ID, At: now.UnixMilli()}
	if a.ID != s.ID {
		return s.depart(d)
	}
	d.At = max(d.At, s.Born) // the clock may have been set back
	departed := s.depart(d)
	if s.State == platform.Gone {
		return departed
	}
	s.State, s.goneReceivedAt, s.readyAfterGone = platform.Gone, now, 0
	return true
}

// revive makes the backend server ready again if the announcement of gone turns out to
// have been a late one from an earlier incarnation.
func (s *Server) revive(now time.Time, a platform.Announcement) bool {
	if s.statedLeaving || a.State != platform.Ready || s.goneReceivedAt.IsZero() || now.Sub(s.goneReceivedAt) < maxAnnouncementDelay {
		return false
	}
	s.readyAfterGone++
	if s.readyAfterGone < reviveAnnouncements {
		return false
	}
	s.departures = slices.DeleteFunc(s.departures, func(d Departure) bool { return d.ID == s.ID })
	s.accept(now, a)
	return true
}
