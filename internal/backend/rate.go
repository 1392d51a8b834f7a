package backend

import (
	"time"

	"github.com/teaselseam/teaselseam/platform"
)

const (
	// checkPause is the shortest time between two health checks, and maxChecks how many are
	// made of them to learn whether a backend server is cold: a faulty one may answer none.
	checkPause = 500 * time.Millisecond
	maxChecks  = 5
	// assumedLeft is how much longer a backend server that is assumed to be cold is said to
	// be: a health response or its announcement is due by then.
	assumedLeft = 500 * time.Millisecond
)

// Rate is how many requests per second a backend server bears now.
type Rate struct {
	PerSecond float64
	Cold      bool      // because it is cold; otherwise it has named the rate
	Until     time.Time // when it is another one without further news; zero if that is not known
}

// coldness is what is known of how long a backend server is cold. Announcements and health
// responses are not ordered among each other, so the later of the two times holds. Of the
// announcements the newest counts. One that was delayed overstates the time.
type coldness struct {
	rate           float64 // requests per second that it bears while cold; zero for no limit
	announcedUntil time.Time
	checkedUntil   time.Time // from a health response

	// assumed is set while it may have become cold without having told.
	assumed   bool
	assumedAt time.Time
	checkedAt time.Time // when the last health check was made
	checks    int       // since assumedAt
}

// Rate returns the rate that the backend server bears now: the lower of the one that it has
// named and that of its cold phase; false if there is neither.
func (s *Server) Rate(now time.Time) (Rate, bool) {
	var r Rate
	cold, until := s.Cold(now)
	if cold {
		r = Rate{PerSecond: s.cold.rate, Cold: true, Until: until}
	}
	if s.rateLimit != nil && (!cold || *s.rateLimit < r.PerSecond) {
		r.PerSecond, r.Cold = *s.rateLimit, false
	}
	return r, cold || s.rateLimit != nil
}

// Cold reports whether the backend server is cold, or may be, and until when; zero if that is
// not known.
func (s *Server) Cold(now time.Time) (cold bool, until time.Time) {
	switch {
	case s.cold.rate <= 0:
		return false, time.Time{}
	case s.cold.assumed:
		return true, time.Time{}
	}
	until = s.coldUntil()
	return now.Before(until), until
}

func (s *Server) coldUntil() time.Time {
	if s.cold.checkedUntil.After(s.cold.announcedUntil) {
		return s.cold.checkedUntil
	}
	return s.cold.announcedUntil
}

// ColdRemaining returns how much longer the backend server is cold, zero if it is not. If that
// is not known, it is the time by which it should be.
func (s *Server) ColdRemaining(now time.Time) time.Duration {
	cold, until := s.Cold(now)
	if cold && until.IsZero() {
		return max(assumedLeft, s.coldUntil().Sub(now))
	}
	return max(until.Sub(now), 0)
}

// StatedCold returns how much longer the backend server is cold by what it has told, whether or
// not the cold rate of its service is known.
func (s *Server) StatedCold(now time.Time) time.Duration { return max(s.coldUntil().Sub(now), 0) }

// SetColdRate sets how many requests per second the backend server bears while it is cold;
// zero if its service has no such phase.
func (s *Server) SetColdRate(perSecond float64) { s.cold.rate = perSecond }

// AssumeCold takes the backend server for cold until it has told that it is not: the node has
// just started, nothing listens at its address any more, or nobody asked for a while. Told is
// by a health response to a request since, or by the announcement of a later incarnation. The
// announcement of the same one may have been sent before, until the longest delay is over.
func (s *Server) AssumeCold(now time.Time) {
	s.cold.assumed, s.cold.assumedAt, s.cold.checks = true, now, 0
}

// Crashed records that nothing listens at the address of an incarnation any more. What starts
// there next is cold.
func (s *Server) Crashed(now time.Time, i Incarnation) {
	if i == s.Incarnation() {
		s.AssumeCold(now)
	}
}

// ExpectsHealth reports whether the backend server is to be asked for its health now, and
// counts that as done. Health checks are asked for only while it is assumed to be cold.
func (s *Server) ExpectsHealth(now time.Time) bool {
	if !s.cold.assumed || s.cold.rate <= 0 || !s.Ready() || s.cold.checks >= maxChecks || now.Sub(s.cold.checkedAt) < checkPause {
		return false
	}
	s.cold.checks++
	s.cold.checkedAt = now
	return true
}

// ApplyHealth updates the state from a health response to a request that was sent at a time.
// It returns whether that has told whether the backend server is cold.
func (s *Server) ApplyHealth(sentAt, receivedAt time.Time, i Incarnation, h platform.Health) bool {
	if i != s.Incarnation() || h.Instance != s.ID || sentAt.Before(s.cold.assumedAt) {
		return false
	}
	s.cold.assumed = false
	s.cold.checkedUntil = receivedAt.Add(h.ColdRemaining)
	return true
}

// announceCold applies the cold time that an announcement states. later is set for the first
// one of a later incarnation than the known one.
func (s *Server) announceCold(now time.Time, left time.Duration, later bool) {
	s.cold.announcedUntil = now.Add(left)
	if later {
		s.cold.checkedUntil = time.Time{}
	}
	if later || now.Sub(s.cold.assumedAt) >= maxAnnouncementDelay {
		s.cold.assumed = false
	}
}
