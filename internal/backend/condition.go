package backend

import (
	"time"

	"github.com/teaselseam/teaselseam/platform"
)

// Incarnation identifies one run of a backend server, from its start to its end. The ID
// alone does not: a backend server may start again under the same one.
type Incarnation struct {
	ID   string
	Born int64 // start time in Unix milliseconds
}

// Response describes a response of the backend server.
type Response struct {
	Incarnation        // to which the request was sent
	SentAt             time.Time
	ReceivedAt         time.Time
	Run                bool // the backend server has run the request
	platform.Condition      // what it states about itself
}

// Change tells what a response has changed.
type Change struct {
	RateLimit bool // the rate limit has changed
	Leaving   bool // the backend server is known to leave from now on
}

// Incarnation returns the known incarnation of the backend server.
func (s *Server) Incarnation() Incarnation { return Incarnation{s.ID, s.Born} }

// RateLimit returns the limit in requests per second that the backend server has named;
// nil if there is none.
func (s *Server) RateLimit() *float64 { return s.rateLimit }

// RateLimitKnown reports whether RateLimit is known: from a response, or from another node.
func (s *Server) RateLimitKnown() bool { return s.responded || s.rateLimit != nil }

// Leaving reports whether this incarnation is leaving and will not be ready again.
func (s *Server) Leaving() bool {
	return s.Known() && (s.State == platform.Draining || s.statedLeaving)
}

// AdoptRateLimit sets the limit that another node has heard of, as long as no response has
// told: after a restart of this node, other nodes may know a limit that it does not. It
// reports whether the limit has changed. Of several limits the lowest holds, since it is
// not known which one was named last.
func (s *Server) AdoptRateLimit(now time.Time, i Incarnation, rate float64) bool {
	if i != s.Incarnation() || s.responded || s.rateLimit != nil && *s.rateLimit <= rate {
		return false
	}
	s.rateLimit, s.rateLimitAt = &rate, now
	return true
}

// ApplyResponse updates the state from what the backend server states in a response. A
// limit ends with a response to a request that was sent after the limit was last named:
// an earlier response may only have been on its way for longer. A refusal does not end it,
// because it need not come from the part of the backend server that names limits.
//
// A backend server that states that it leaves counts as draining, since its announcement may
// be late, lost, or made only when it has gone.
func (s *Server) ApplyResponse(r Response) Change {
	if r.Incarnation != s.Incarnation() {
		return Change{}
	}
	var c Change
	if r.Leaving {
		s.statedLeaving = true
		if c.Leaving = s.State == platform.Ready; c.Leaving {
			s.State = platform.Draining
		}
	}
	s.responded = s.responded || r.Run && r.RateLimitErr == nil || r.RateLimit != nil
	switch {
	case r.RateLimit != nil:
		c.RateLimit = s.rateLimit == nil || *s.rateLimit != *r.RateLimit
		s.rateLimit, s.rateLimitAt = r.RateLimit, r.ReceivedAt
	case r.Run && r.RateLimitErr == nil && s.rateLimit != nil && r.SentAt.After(s.rateLimitAt):
		c.RateLimit = true
		s.rateLimit = nil
	}
	return c
}
