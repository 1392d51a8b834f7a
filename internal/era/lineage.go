package era

import "crypto/sha256"

// maxLineage bounds the contents that a Lineage remembers. A copy of the store is some
// seconds old, and operators make a few changes a minute.
const maxLineage = 64

// Lineage remembers the contents that a row had before its current one, so that an older
// copy of the row is recognised. The zero value is empty. It is not safe for concurrent
// use.
type Lineage struct {
	current  digest
	replaced []digest // oldest first
}

type digest = [sha256.Size]byte

// Replace records the content that is in force from now on.
func (l *Lineage) Replace(content []byte) {
	d := sha256.Sum256(content)
	if d == l.current {
		return
	}
	if l.current != (digest{}) {
		l.replaced = append(l.replaced, l.current)
	}
	l.current = d
	// What is in force again is no longer a replaced content.
	kept := l.replaced[:0]
	for _, r := range l.replaced {
		if r != d {
			kept = append(kept, r)
		}
	}
	l.replaced = kept[max(len(kept)-maxLineage, 0):]
}

// Replaced reports whether the row had this content before its current one.
func (l *Lineage) Replaced(content []byte) bool {
	d := sha256.Sum256(content)
	for _, r := range l.replaced {
		if r == d {
			return true
		}
	}
	return false
}
