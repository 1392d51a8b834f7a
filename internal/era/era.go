// Package era decides what a node may believe after the platform's store has come back
// from an older copy of its rows.
//
// # Load pattern
//
// In a drill the store is away for a moment and comes back some seconds older, with its
// era one higher. What was written since the copy is gone until its writers write it
// again, within about two seconds. Versions go back and are given out again. Answers of
// both eras may be in flight at once, and peers may still speak of the earlier one.
//
// # Rules
//
//   - Versions are compared only within an era. What was learned by the versions of an
//     earlier one, such as the position of a watch, is void (Tracker.Observe).
//   - A response of an earlier era never counts once a later one is known.
//   - For Settle after the era was first seen, the rows of the store prove nothing about
//     what was written before it came back. A row counts as rewritten, and so as newest,
//     if its version exceeds the first version seen in the era (Tracker.WrittenIn).
//   - A row that holds what had already been replaced is the older copy. It does not
//     replace the newer content (Lineage).
//
// A node that starts cannot tell how long ago the store came back, so Settle counts from
// its first contact, unless the store is in its first era.
package era

import (
	"time"

	"github.com/teaselseam/teaselseam/platform"
)

// Settle is how long after the first contact in a new era the rows of the store do not
// prove what is newest. Operators and nodes have written theirs again by then.
const Settle = 2 * time.Second

// firstEra is the highest era of a store that has never come back from a copy.
const firstEra = 1

// Relation tells how a response of the store relates to the known era.
type Relation uint8

// Relations.
const (
	Current Relation = iota // of the known era
	Earlier                 // of an earlier one: the response is outdated
	Later                   // of a later one, which is the known one from now on
)

// Tracker holds the era of the store. The zero value knows none. It is not safe for
// concurrent use.
type Tracker struct {
	known        bool
	returned     bool // the store may have come back from a copy just before seenAt
	era          uint64
	firstVersion uint64        // lowest version seen in the era
	seenAt       time.Duration // when the era was first seen, since boot
}

// Era returns the known era.
func (t *Tracker) Era() uint64 { return t.era }

// Observe takes the revision of a response at the given time since boot. The first
// response that a process receives is Current.
func (t *Tracker) Observe(now time.Duration, r platform.Revision) Relation {
	switch {
	case t.known && r.Era < t.era:
		return Earlier
	case t.known && r.Era == t.era:
		t.firstVersion = min(t.firstVersion, r.Version)
		return Current
	}
	relation := Later
	if !t.known {
		relation = Current
	}
	t.returned = t.known || r.Era > firstEra
	t.known, t.era, t.firstVersion, t.seenAt = true, r.Era, r.Version, now
	return relation
}

// Settled reports whether the rows that the store had at the given time since boot were
// again the newest that were written.
func (t *Tracker) Settled(at time.Duration) bool {
	return !t.returned || at-t.seenAt >= Settle
}

// WrittenIn reports whether a row with this version was certainly written in the known
// era, and not before the store came back.
func (t *Tracker) WrittenIn(version uint64) bool {
	return !t.returned || version > t.firstVersion
}
