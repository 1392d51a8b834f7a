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
	// Expiry is how long deaths and completions are kept.
	Expiry = time.Hour

	// MaxDeaths and MaxCompletions bound a Set, which evicts the oldest entries. On an ordinary day 4 VMs fail.
	MaxDeaths      = 256
	MaxCompletions = 4096

	// maxCandidates is the largest number of fingerprints with the same deaths for which
	// the cause counts as identified: the two fingerprints of one request.
	maxCandidates = 2

	// ambiguousRefusalTime is how long a fingerprint is refused if it may not be the
	// cause of the deaths.
	ambiguousRefusalTime = 30 * time.Second

	// commonCauseWindow is the largest time between deaths that may have a common
	// cause.
	commonCauseWindow = time.Second

	// minRefusalDeaths is the number of counted deaths from which a fingerprint is
	// refused.
	minRefusalDeaths = 2

	// clockTolerance is the clock difference between two VMs that is tolerated when
	// the start of a run is compared with the time of a death.
	clockTolerance = 2 * time.Millisecond

	// maxFuture is how far in the future the time of a received entry may be.
	maxFuture = time.Minute
)

// Evidence is the message with which nodes exchange deaths and completions. Digest
// covers the whole Set of the sender.
type Evidence struct {
	Digest      uint64
	Deaths      []Death
	Completions []Completion
}

// Set holds the deaths and completions that a node knows. Merging the same
// evidence in any order leads to the same Set, as long as its bounds are not reached.
type Set struct {
	deaths        map[DeathID]*Death
	byFingerprint map[Fingerprint][]*Death // in order of time
	completedAt   map[Fingerprint]time.Time
	storedAt      map[Fingerprint]time.Time // latest completion that is stored
	trials        map[Trial]bool            // held by a node, or used
}

// NewSet returns an empty set.
func NewSet() *Set {
	return &Set{
		deaths:        make(map[DeathID]*Death),
		byFingerprint: make(map[Fingerprint][]*Death),
		completedAt:   make(map[Fingerprint]time.Time),
		storedAt:      make(map[Fingerprint]time.Time),
		trials:        make(map[Trial]bool),
	}
}

// Clone returns an independent copy, to be used as a snapshot.
func (s *Set) Clone() *Set {
	c := &Set{
		deaths: maps.Clone(s.deaths), byFingerprint: maps.Clone(s.byFingerprint),
		completedAt: maps.Clone(s.completedAt), storedAt: maps.Clone(s.storedAt), trials: maps.Clone(s.trials),
	}
	for f, ds := range c.byFingerprint {
		c.byFingerprint[f] = slices.Clone(ds)
	}
	return c
}

// Merge adds evidence and returns the part that was new, which the caller forwards.
// Entries that the bounds evict at once are left out, or nodes would forward them to
// each other endlessly.
func (s *Set) Merge(now time.Time, e Evidence) Evidence {
	var fresh Evidence
	for _, d := range e.Deaths {
		if s.addDeath(now, d) {
			fresh.Deaths = append(fresh.Deaths, d)
		}
	}
	for _, c := range e.Completions {
		c.At = c.At.Truncate(time.Microsecond)
		if validTime(now, c.At) && c.At.After(s.completedAt[c.Fingerprint]) {
			s.completedAt[c.Fingerprint] = c.At
			fresh.Completions = append(fresh.Completions, c)
		}
	}
	s.enforceBounds()
	fresh.Deaths = slices.DeleteFunc(fresh.Deaths, func(d Death) bool { return s.deaths[d.ID] == nil })
	fresh.Completions = slices.DeleteFunc(fresh.Completions, func(c Completion) bool { return s.completedAt[c.Fingerprint].IsZero() })
	return fresh
}

// validTime reports whether an entry of this time is neither expired nor too far in the
// future.
func validTime(now, at time.Time) bool {
	return now.Sub(at) < Expiry && at.Sub(now) < maxFuture
}

func (s *Set) addDeath(now time.Time, d Death) bool {
	if s.deaths[d.ID] != nil || len(d.Suspects) == 0 || len(d.Suspects) > MaxSuspects || !validTime(now, d.At) {
		return false
	}
	d.At = d.At.Truncate(time.Microsecond) // the precision of the encoding
	added := &d
	s.deaths[d.ID] = added
	for _, suspect := range d.Suspects {
		ds := s.byFingerprint[suspect.Fingerprint]
		i, _ := slices.BinarySearchFunc(ds, added, compareDeaths)
		s.byFingerprint[suspect.Fingerprint] = slices.Insert(ds, i, added)
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
		ds := slices.DeleteFunc(s.byFingerprint[f], func(other *Death) bool { return other == d })
		if len(ds) == 0 {
			delete(s.byFingerprint, f)
			continue
		}
		s.byFingerprint[f] = ds
	}
}

// enforceBounds evicts the oldest entries beyond the bounds.
func (s *Set) enforceBounds() {
	if excess := len(s.deaths) - MaxDeaths; excess > 0 {
		ds := slices.SortedFunc(maps.Values(s.deaths), compareDeaths)
		for _, d := range ds[:excess] {
			s.removeDeath(d)
		}
	}
	s.evictCompletions()
}

// evictCompletions evicts the oldest completions beyond MaxCompletions, and with each the
// suspicions that it refutes, which would otherwise come back.
func (s *Set) evictCompletions() {
	excess := len(s.completedAt) - MaxCompletions
	if excess <= 0 {
		return
	}
	fs := slices.SortedFunc(maps.Keys(s.completedAt), func(a, b Fingerprint) int {
		return cmp.Or(s.completedAt[a].Compare(s.completedAt[b]), compareFingerprints(a, b))
	})
	for _, f := range fs[:excess] {
		at := s.completedAt[f]
		s.byFingerprint[f] = slices.DeleteFunc(s.byFingerprint[f], func(d *Death) bool { return !d.At.After(at) })
		if len(s.byFingerprint[f]) == 0 {
			delete(s.byFingerprint, f)
		}
		delete(s.completedAt, f)
		delete(s.storedAt, f)
	}
}

// Expire removes expired entries to free memory. It is to be called every few seconds.
// Expired deaths have no effect even before they are removed.
func (s *Set) Expire(now time.Time) {
	for _, d := range s.deaths {
		if now.Sub(d.At) >= Expiry {
			s.removeDeath(d)
		}
	}
	expired := func(_ Fingerprint, at time.Time) bool { return now.Sub(at) >= Expiry }
	maps.DeleteFunc(s.completedAt, expired)
	s.expireStored(now)
	s.expireTrials()
}

// RecordCompletion records that a run of a request with this fingerprint has completed.
// If the fingerprint was a suspect, it is cleared, and the function returns true and the
// evidence to publish. That happens at most once per death.
func (s *Set) RecordCompletion(now time.Time, f Fingerprint) (Evidence, bool) {
	uncleared := s.uncleared(now, f)
	if len(uncleared) == 0 {
		return Evidence{}, false
	}
	// The run ended after the node learned of the death, even if the clock of the node
	// that recorded the death is ahead.
	at := now.Truncate(time.Microsecond)
	if last := uncleared[len(uncleared)-1].At; last.After(at) {
		at = last
	}
	s.completedAt[f] = at
	s.enforceBounds()
	return Evidence{Completions: []Completion{{f, at}}}, true
}

// HasDeaths reports whether a death is known.
func (s *Set) HasDeaths() bool { return len(s.deaths) > 0 }

// Suspected reports whether the fingerprint is a suspect of a death that it is not
// cleared of.
func (s *Set) Suspected(now time.Time, f Fingerprint) bool {
	return len(s.uncleared(now, f)) > 0
}

// Refuses reports whether a request with these fingerprints is refused, and returns the
// refusal.
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

// Deaths returns all deaths that have not been evicted, in order of time. They must not be
// changed.
func (s *Set) Deaths() []Death {
	out := make([]Death, 0, len(s.deaths))
	for _, d := range slices.SortedFunc(maps.Values(s.deaths), compareDeaths) {
		out = append(out, *d)
	}
	return out
}

// Entry is a suspected fingerprint in the status output for operators.
type Entry struct {
	Fingerprint Fingerprint
	Deaths      int       // deaths that count against it
	Until       time.Time // end of the refusal; zero if it is not refused
}

// Entries returns all suspected fingerprints, sorted.
func (s *Set) Entries(now time.Time) []Entry {
	var out []Entry
	for _, f := range slices.SortedFunc(maps.Keys(s.byFingerprint), compareFingerprints) {
		counted := s.countedDeaths(now, f)
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
