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
}

// Incarnation returns the known incarnation of the backend server.
func (s *Server) Incarnation() Incarnation { return Incarnation{s.ID, s.Born} }

// RateLimit returns the limit in requests per second that the backend server has named;
// nil if there is none.
func (s *Server) RateLimit() *float64 { return s.rateLimit }

// ApplyResponse updates the state from what the backend server states in a response. A
// limit ends with a response to a request that was sent after the limit was last named:
// an earlier response may only have been on its way for longer. A refusal does not end it,
// because it need not come from the part of the backend server that names limits.
func (s *Server) ApplyResponse(r Response) Change {
	if r.Incarnation != s.Incarnation() {
		return Change{}
	}
	var c Change
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
