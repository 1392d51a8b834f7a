// Package learned holds what a node learns of its traffic by key, for example the run times of
// the requests of each route.
//
// The operator may add and remove routes without end, so a table is bounded: the entry that has
// not been used for the longest time makes room for a new one. A name may also come to stand for
// something else. So an entry that a new configuration no longer describes is dropped at once
// (Keep), and does not come back with the name.
package learned

import "github.com/hashicorp/golang-lru/v2/simplelru"

// maxEntries bounds the entries of a table.
const maxEntries = 1024

// Table maps keys to what is known of them. The zero value is empty. It is not safe for
// concurrent use.
type Table[K comparable, V any] struct {
	entries *simplelru.LRU[K, V]
}

// Get returns the entry of a key, and false if there is none.
func (t *Table[K, V]) Get(key K) (V, bool) {
	if t.entries == nil {
		var none V
		return none, false
	}
	return t.entries.Get(key)
}

// Set replaces the entry of a key.
func (t *Table[K, V]) Set(key K, value V) {
	if t.entries == nil {
		t.entries, _ = simplelru.NewLRU[K, V](maxEntries, nil) // fails only for a size below one
	}
	t.entries.Add(key, value)
}

// Keep drops the entries whose keys are not to be kept.
func (t *Table[K, V]) Keep(keep func(K) bool) {
	if t.entries == nil {
		return
	}
	for _, key := range t.entries.Keys() {
		if !keep(key) {
			t.entries.Remove(key)
		}
	}
}

// Len returns the number of entries.
func (t *Table[K, V]) Len() int {
	if t.entries == nil {
		return 0
	}
	return t.entries.Len()
}
