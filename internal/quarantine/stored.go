package quarantine

import (
	"maps"
	"slices"
	"time"
)

// MarkStored records which completions are kept where nodes that start later find them.
func (s *Set) MarkStored(completions []Completion) {
	for _, c := range completions {
		if c.At.After(s.storedAt[c.Fingerprint]) {
			s.storedAt[c.Fingerprint] = c.At
		}
	}
}

// Unstored returns the completions that clear a fingerprint of deaths of which the stored
// completions do not clear it, sorted by fingerprint. A node that knows only what is stored
// would still suspect the fingerprint.
func (s *Set) Unstored(now time.Time) []Completion {
	var out []Completion
	for f, at := range s.completedAt {
		if s.clearsMore(now, f, at) {
			out = append(out, Completion{f, at})
		}
	}
	slices.SortFunc(out, func(a, b Completion) int { return compareFingerprints(a.Fingerprint, b.Fingerprint) })
	return out
}

// clearsMore reports whether a completion clears a fingerprint of a death that is later than
// its stored completion.
func (s *Set) clearsMore(now time.Time, f Fingerprint, at time.Time) bool {
	return slices.ContainsFunc(s.byFingerprint[f], func(d *Death) bool {
		return now.Sub(d.At) < Expiry && d.At.After(s.storedAt[f]) && !d.At.After(at)
	})
}

// expireStored removes what is known of expired completions.
func (s *Set) expireStored(now time.Time) {
	maps.DeleteFunc(s.storedAt, func(_ Fingerprint, at time.Time) bool { return now.Sub(at) >= Expiry })
}
