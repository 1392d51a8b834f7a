package backend

import (
	"slices"
	"time"

	"github.com/teaselseam/teaselseam/platform"
)

// MaxDepartures is how many departures are remembered. One VM has one backend server at a time,
// and announcements of earlier ones are late by seconds only.
const MaxDepartures = 4

// maxIDLength bounds the IDs in departures, in bytes: no backend server has a longer one.
const maxIDLength = 256

// Departure records an announcement of the state gone. It may be from an incarnation that is
// not the known one, or that the process has never heard of. The announcement carries no start
// time, so it concerns all incarnations with its ID that started before it arrived.
type Departure struct {
	ID string `json:"id"`
	At int64  `json:"at"` // when the announcement arrived, in Unix milliseconds of this VM
}

// Departures returns the departures to remember beyond the process, oldest first.
func (s *Server) Departures() []Departure { return slices.Clone(s.departures) }

// depart records a departure and reports whether it is new.
func (s *Server) depart(d Departure) bool {
	if len(d.ID) > maxIDLength || s.hasDeparted(d.ID, d.At) {
		return false
	}
	s.departures = slices.DeleteFunc(s.departures, func(o Departure) bool { return o.ID == d.ID })
	s.departures = append(s.departures, d)
	if extra := len(s.departures) - MaxDepartures; extra > 0 {
		s.departures = slices.Delete(s.departures, 0, extra)
	}
	return true
}

// hasDeparted reports whether the incarnation with an ID and a start time has departed.
func (s *Server) hasDeparted(id string, born int64) bool {
	return slices.ContainsFunc(s.departures, func(d Departure) bool { return d.ID == id && born <= d.At })
}

// applyDeparture sets the state of the known backend server to gone if it has departed.
func (s *Server) applyDeparture(now time.Time) {
	if s.hasDeparted(s.ID, s.Born) {
		s.State, s.goneReceivedAt, s.readyAfterGone = platform.Gone, now, 0
	}
}

// Restore takes what an earlier process of the node has stored. What this process has heard
// since it started may be older: an announcement that was late. So the later incarnation holds,
// and of one incarnation the state that it leaves, whichever is known first. A backend server
// that claims to have started in the future is ignored.
func (s *Server) Restore(now time.Time, a platform.Announcement, departures []Departure) {
	for _, d := range departures {
		s.depart(d)
	}
	switch {
	case a.ID == "" || a.Born > now.Add(maxClockStep).UnixMilli():
	case !s.Known() || a.Born > s.Born:
		s.rival = rival{claim: s.claim}
		s.claim = claim{Announcement: a, knownAt: now}
		if s.State == platform.Gone {
			s.goneReceivedAt, s.readyAfterGone = now, 0
		}
	case a.ID == s.ID && a.Born == s.Born && a.State == platform.Gone && s.State != platform.Gone:
		s.State, s.goneReceivedAt, s.readyAfterGone = platform.Gone, now, 0
	case a.ID == s.ID && a.Born == s.Born && a.State == platform.Draining && s.State == platform.Ready:
		s.State = platform.Draining
	}
	if s.State != platform.Gone {
		s.applyDeparture(now)
	}
}
