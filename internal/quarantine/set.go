package quarantine

import (
	"bytes"
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/teaselseam/teaselseam/internal/request"
)

const (
	// Expiry is how long a death counts.
	Expiry = time.Hour

	// MaxDeaths and MaxSurvivals bound a Set; the oldest entries make room. 4 VMs
	// fail on an ordinary day.
	MaxDeaths    = 256
	MaxCompletions = 4096
	maxLifts     = 1024

	// maxCandidates is the number of fingerprints that may share their deaths and
	// still count as identified: the two fingerprints of one request.
	maxCandidates = 2

	// ambiguousTime is how long a fingerprint is refused that may not be the cause.
	ambiguousTime = 30 * time.Second

	// closeTime is the distance of deaths that may have a common cause.
	closeTime = time.Second

	// refusingDeaths is the number of deaths that refuses a fingerprint.
	refusingDeaths = 2

	// clockTolerance is the difference of two VMs' clocks that the order of a
	// death and a start allows for.
	clockTolerance = 2 * time.Millisecond

	// maxAhead bounds how far in the future a received time may lie.
	maxAhead = time.Minute
)

// Evidence is what nodes exchange. Digest describes the whole Set of the sender.
type Evidence struct {
	Digest    uint64
	Deaths    []Death
	Completions []Completion
}

// Set holds the deaths known to a node. Merging the same evidence in any order
// leads to the same Set, as long as the bounds are not reached.
type Set struct {
	deaths   map[DeathID]*Death
	byPrint  map[Fingerprint][]*Death // in order of time
	survived map[Fingerprint]time.Time
	lifted   map[Fingerprint]time.Time
}

// NewSet returns an empty set.
func NewSet() *Set {
	return &Set{
		deaths:   make(map[DeathID]*Death),
		byPrint:  make(map[Fingerprint][]*Death),
		survived: make(map[Fingerprint]time.Time),
		lifted:   make(map[Fingerprint]time.Time),
	}
}

// Clone returns an independent copy, for publishing as a snapshot.
func (s *Set) Clone() *Set {
	c := &Set{
		deaths: maps.Clone(s.deaths), byPrint: maps.Clone(s.byPrint),
		survived: maps.Clone(s.survived), lifted: maps.Clone(s.lifted),
	}
	for f, ds := range c.byPrint {
		c.byPrint[f] = slices.Clone(ds)
	}
	return c
}

// Merge adds evidence and returns the part that was new, to be spread further. What
// the bounds drop at once is not new, or nodes would pass it on without end.
func (s *Set) Merge(now time.Time, e Evidence) Evidence {
	var fresh Evidence
	for _, d := range e.Deaths {
		if s.addDeath(now, d) {
			fresh.Deaths = append(fresh.Deaths, d)
		}
	}
	for _, v := range e.Completions {
		v.At = v.At.Truncate(time.Microsecond)
		if valid(now, v.At) && v.At.After(s.survived[v.Fingerprint]) {
			s.survived[v.Fingerprint] = v.At
			fresh.Completions = append(fresh.Completions, v)
		}
	}
	s.shrink()
	fresh.Deaths = slices.DeleteFunc(fresh.Deaths, func(d Death) bool { return s.deaths[d.ID] == nil })
	fresh.Completions = slices.DeleteFunc(fresh.Completions, func(v Completion) bool { return s.survived[v.Fingerprint].IsZero() })
	return fresh
}

func valid(now, at time.Time) bool {
	return now.Sub(at) < Expiry && at.Sub(now) < maxAhead
}

func (s *Set) addDeath(now time.Time, d Death) bool {
	if s.deaths[d.ID] != nil || len(d.Suspects) == 0 || len(d.Suspects) > MaxSuspects || !valid(now, d.At) {
		return false
	}
	d.At = d.At.Truncate(time.Microsecond) // as other nodes receive it
	added := &d
	s.deaths[d.ID] = added
	for _, suspect := range d.Suspects {
		ds := s.byPrint[suspect.Fingerprint]
		i, _ := slices.BinarySearchFunc(ds, added, compareDeaths)
		s.byPrint[suspect.Fingerprint] = slices.Insert(ds, i, added)
	}
	return true
}

func compareDeaths(a, b *Death) int {
	return cmp.Or(a.At.Compare(b.At), bytes.Compare(a.ID[:], b.ID[:]))
}

func (s *Set) removeDeath(d *Death) {
	delete(s.deaths, d.ID)
	for _, suspect := range d.Suspects {
		f := suspect.Fingerprint
		ds := slices.DeleteFunc(s.byPrint[f], func(other *Death) bool { return other == d })
		if len(ds) == 0 {
			delete(s.byPrint, f)
			continue
		}
		s.byPrint[f] = ds
	}
}

// shrink enforces the bounds.
func (s *Set) shrink() {
	if over := len(s.deaths) - MaxDeaths; over > 0 {
		ds := slices.SortedFunc(maps.Values(s.deaths), compareDeaths)
		for _, d := range ds[:over] {
			s.removeDeath(d)
		}
	}
	dropOldest(s.survived, MaxCompletions)
	dropOldest(s.lifted, maxLifts)
}

func dropOldest(m map[Fingerprint]time.Time, limit int) {
	over := len(m) - limit
	if over <= 0 {
		return
	}
	fs := slices.SortedFunc(maps.Keys(m), func(a, b Fingerprint) int {
		return cmp.Or(m[a].Compare(m[b]), compareFingerprints(a, b))
	})
	for _, f := range fs[:over] {
		delete(m, f)
	}
}

// Expire removes what no longer counts. The owner calls it every few seconds; an
// expired death counts for nothing before that as well.
func (s *Set) Expire(now time.Time) {
	for _, d := range s.deaths {
		if now.Sub(d.At) >= Expiry {
			s.removeDeath(d)
		}
	}
	expired := func(_ Fingerprint, at time.Time) bool { return now.Sub(at) >= Expiry }
	maps.DeleteFunc(s.survived, expired)
	maps.DeleteFunc(s.lifted, expired)
}

// Lift clears a fingerprint of all deaths up to a time. It comes from the change
// log, so it is not part of Evidence.
func (s *Set) Lift(f Fingerprint, at time.Time) {
	if at.After(s.lifted[f]) {
		s.lifted[f] = at
	}
	s.shrink()
}

// RecordCompletion records a completed run of a fingerprint. It returns evidence to spread
// if the fingerprint was a suspect; this is the case at most once for each death.
func (s *Set) RecordCompletion(now time.Time, f Fingerprint) (Evidence, bool) {
	blamed := s.blamed(now, f)
	if len(blamed) == 0 {
		return Evidence{}, false
	}
	// The run ended after the node learnt of the death, whatever its clock says.
	at := now.Truncate(time.Microsecond)
	if last := blamed[len(blamed)-1].At; last.After(at) {
		at = last
	}
	s.survived[f] = at
	s.shrink()
	return Evidence{Completions: []Completion{{f, at}}}, true
}

// Suspected tells whether the fingerprint is a suspect of a death and not cleared.
func (s *Set) Suspected(now time.Time, f Fingerprint) bool {
	return len(s.blamed(now, f)) > 0
}

// Refuses tells whether a request with these fingerprints is refused, and how.
func (s *Set) Refuses(now time.Time, fingerprints ...Fingerprint) (request.Refusal, bool) {
	var until time.Time
	for _, f := range fingerprints {
		if end := s.refusedUntil(now, f); end.After(until) {
			until = end
		}
	}
	if !until.After(now) {
		return request.Refusal{}, false
	}
	return request.Refuse(request.ReasonQuarantined, until.Sub(now)), true
}

// Entry describes a suspected fingerprint to the operator.
type Entry struct {
	Fingerprint Fingerprint
	Deaths      int       // deaths that count
	Until       time.Time // end of the refusal; zero if it is not refused
}

// Entries returns all suspected fingerprints in order.
func (s *Set) Entries(now time.Time) []Entry {
	var out []Entry
	for _, f := range slices.SortedFunc(maps.Keys(s.byPrint), compareFingerprints) {
		counted := s.counted(now, f)
		if len(counted) == 0 {
			continue
		}
		e := Entry{Fingerprint: f, Deaths: len(counted)}
		if end := s.refusedUntil(now, f); end.After(now) {
			e.Until = end
		}
		out = append(out, e)
	}
	return out
}
