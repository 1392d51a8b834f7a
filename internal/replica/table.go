// Package replica keeps a node's copies of tables of the store, and decides from whom a
// node learns of changes.
//
// # Load pattern
//
// All nodes of a fleet need the same few tables: the configuration, the members, and the
// crash records. If each node watches the store by itself, every change costs a call per
// node, and when n nodes start or stop, n changes cost n calls each. Calls to the store are
// limited and priced, also those that it refuses, and a fleet that restarts as a whole makes
// them all at once.
//
// # Mechanism
//
// In each data centre a few nodes watch the store (Plan.Follow). The others hold a long
// poll at one of them, which hands on what is newer than the poller's own copy
// (Table.Since). Copies are ordered by the revision of the store, so it does not matter
// from whom an update comes or whether it comes twice: an older one changes nothing. A
// node whose sources do not answer, or have lost the store themselves, watches the store
// until they do.
package replica

import (
	"maps"
	"slices"

	"github.com/teaselseam/teaselseam/platform"
)

// Update is what a source has sent about a table.
type Update struct {
	platform.Revision // up to which the update covers all changes
	Rows              []platform.Row
	Snapshot          bool // Rows are all rows of the table, not only changed ones
}

// Table is a copy of a table as of a revision of the store. The zero value is not loaded.
// It is not safe for concurrent use.
type Table struct {
	loaded   bool
	revision platform.Revision
	snapshot platform.Revision       // of the last snapshot; earlier deletions are unknown
	rows     map[string]platform.Row // by key; deleted rows are kept, for Since
	newest   uint64                  // version of the newest known change
}

// Loaded reports whether the table has been read.
func (t *Table) Loaded() bool { return t.loaded }

// Revision returns the revision up to which all changes are known.
func (t *Table) Revision() platform.Revision { return t.revision }

// newestBefore returns the version of the newest change that is known without the rows of a
// snapshot. Rows that the snapshot lacks were removed at some time up to its revision.
func (t *Table) newestBefore(u Update) uint64 {
	if u.Era != t.revision.Era {
		return 0
	}
	present := make(map[string]bool, len(u.Rows))
	for _, r := range u.Rows {
		present[r.Key] = true
	}
	for key, r := range t.rows {
		if !r.Deleted && !present[key] {
			return u.Version
		}
	}
	return t.newest
}

// Newest returns the revision of the newest change, removals included. A copy at an earlier
// revision of the era lacks it.
func (t *Table) Newest() platform.Revision {
	return platform.Revision{Era: t.revision.Era, Version: t.newest}
}

// Apply takes an update and reports whether it is usable: not older than the copy, and a
// snapshot if the copy is not loaded or is of an earlier era.
func (t *Table) Apply(u Update) bool {
	switch {
	case t.loaded && u.Revision.Before(t.revision):
		return false
	case !u.Snapshot && (!t.loaded || u.Era != t.revision.Era):
		return false
	}
	if u.Snapshot {
		t.newest = t.newestBefore(u)
		t.rows, t.snapshot = make(map[string]platform.Row, len(u.Rows)), u.Revision
	}
	for _, r := range u.Rows {
		if known, ok := t.rows[r.Key]; !ok || known.Version <= r.Version {
			t.rows[r.Key] = r
			t.newest = max(t.newest, r.Version)
		}
	}
	t.loaded, t.revision = true, u.Revision
	return true
}

// Since returns what a copy at the given revision lacks. Without a change it has no rows.
// It must be called on a loaded table only.
func (t *Table) Since(r platform.Revision) Update {
	u := Update{Revision: t.revision}
	if !r.Before(t.revision) {
		u.Revision = r // the other copy is at least as new
		return u
	}
	u.Snapshot = r == (platform.Revision{}) || r.Before(t.snapshot)
	for _, key := range slices.Sorted(maps.Keys(t.rows)) {
		row := t.rows[key]
		if u.Snapshot && !row.Deleted || !u.Snapshot && row.Version > r.Version {
			u.Rows = append(u.Rows, row)
		}
	}
	return u
}
