// Package evacuation keeps the set of data centres whose backend servers must get nothing
// more.
//
// # Load pattern
//
// An operator empties a data centre, for work on it or because it is failing, and takes it
// back later. Both are rows of the operator's table, acknowledged by the store, and bind all
// nodes a few seconds after. The store may be away meanwhile, lose its history, or come back
// from an older copy that lacks the row, or still has one that was removed. Following such a
// copy would send the whole load of a data centre to servers that are being switched off, or
// take away the servers that have just come back.
//
// # Mechanism
//
// The existence of a row is the state. A snapshot replaces all rows, a change single ones.
// The first snapshot after the store came back from a copy only adds what was certainly
// written since, or was not known before: what is in force stays in force, and what had
// ended stays ended, until the operator writes the row again or removes it, or until Settle.
// From then on the rows of the store hold.
package evacuation

import (
	"maps"
	"slices"

	"github.com/teaselseam/teaselseam/platform"
)

// Set is the set of evacuated data centres as of the newest known rows of the operator's
// table. Names that no member has are kept like others. The zero value is empty. It is not
// safe for concurrent use.
type Set struct {
	stored map[string]bool // data centres that have a row in the store
	// kept is the state, by data centre, that takes precedence after the store has come back
	// from an older copy.
	kept map[string]bool
}

// DataCentres returns the evacuated data centres, sorted.
func (s *Set) DataCentres() []string {
	var out []string
	for dc := range s.stored {
		if kept, ok := s.kept[dc]; kept || !ok {
			out = append(out, dc)
		}
	}
	for dc, evacuated := range s.kept {
		if evacuated && !s.stored[dc] {
			out = append(out, dc)
		}
	}
	slices.Sort(out)
	return out
}

// Apply takes rows that have changed, oldest first. Rows with other keys are ignored.
func (s *Set) Apply(rows []platform.Row) {
	if s.stored == nil {
		s.stored = map[string]bool{}
	}
	for _, r := range rows {
		dc, ok := platform.EvacuatedDataCentre(r.Key)
		if !ok {
			continue
		}
		delete(s.kept, dc)
		if r.Deleted {
			delete(s.stored, dc)
		} else {
			s.stored[dc] = true
		}
	}
}

// Replace takes all rows of the table. What is kept from before the store came back stays
// kept.
func (s *Set) Replace(rows []platform.Row) {
	kept := s.kept
	s.stored, s.kept = nil, nil
	s.Apply(rows)
	s.kept = kept
}

// Copy describes the first snapshot of a store that has come back from an older copy of its
// rows.
type Copy struct {
	Rows []platform.Row
	// Known is the version up to which the rows were known before the store came back.
	Known uint64
	// Rewritten reports whether a row with this version was certainly written since.
	Rewritten func(version uint64) bool
}

// ReplaceByCopy takes the rows of a store that has come back from an older copy. It returns
// the data centres whose state differs from these rows until Settle.
func (s *Set) ReplaceByCopy(c Copy) (kept []string) {
	before := s.DataCentres()
	s.kept = map[string]bool{}
	for _, dc := range before {
		s.kept[dc] = true
	}
	for _, r := range c.Rows {
		dc, ok := platform.EvacuatedDataCentre(r.Key)
		switch {
		case !ok:
		case s.kept[dc] || c.Rewritten(r.Version):
			delete(s.kept, dc) // the store has the row
		case r.Version <= c.Known:
			s.kept[dc] = false // it had been removed before
		}
	}
	s.Replace(c.Rows)
	return slices.Sorted(maps.Keys(s.kept))
}

// Settle ends the precedence of what was known from before the store came back.
func (s *Set) Settle() { s.kept = nil }

// Change is the difference between two states of a Set.
type Change struct{ Begun, Ended []string }

// ChangeOf returns the difference between sorted lists of evacuated data centres.
func ChangeOf(before, after []string) Change {
	return Change{Begun: without(after, before), Ended: without(before, after)}
}

// without returns the elements of a that b lacks; b is sorted.
func without(a, b []string) []string {
	var out []string
	for _, x := range a {
		if _, found := slices.BinarySearch(b, x); !found {
			out = append(out, x)
		}
	}
	return out
}
