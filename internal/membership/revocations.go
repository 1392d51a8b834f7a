package membership

import (
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Digest is the SHA-256 digest of a revoked key.
type Digest = [32]byte

// maxPastDigests bounds the digests of earlier sets that are remembered.
const maxPastDigests = 256

// revocations is the set of early revocations: those not in the applied log yet.
type revocations struct {
	set    map[Digest]struct{}
	digest uint64 // order-independent; zero for the empty set
	// past holds digests of sets this node has held. What was in them is known
	// for good, so a peer that reports one of them has nothing new.
	past map[uint64]struct{}
	next int // position of the round through the set
}

func newRevocations() revocations {
	return revocations{set: map[Digest]struct{}{}, past: map[uint64]struct{}{0: {}}}
}

// add merges digests, except those that the applied log revokes.
func (r *revocations) add(known func(Digest) bool, ds ...Digest) {
	for _, d := range ds {
		if _, ok := r.set[d]; ok || known(d) {
			continue
		}
		r.set[d] = struct{}{}
		r.digest ^= xxhash.Sum64(d[:])
	}
	r.remember()
}

func (r *revocations) drop(known func(Digest) bool) {
	for d := range r.set {
		if known(d) {
			delete(r.set, d)
			r.digest ^= xxhash.Sum64(d[:])
		}
	}
	r.remember()
}

func (r *revocations) remember() {
	if len(r.past) >= maxPastDigests {
		r.past = map[uint64]struct{}{0: {}}
	}
	r.past[r.digest] = struct{}{}
}

// held reports whether everything in a set with the given digest is known.
func (r *revocations) held(digest uint64) bool {
	_, ok := r.past[digest]
	return ok
}

func (r *revocations) sorted() []Digest {
	return slices.SortedFunc(maps.Keys(r.set), func(a, b Digest) int { return slices.Compare(a[:], b[:]) })
}

// sample returns the whole set if it is smaller than limit, and otherwise the next
// limit digests of a round through it.
func (r *revocations) sample(limit int) []Digest {
	all := r.sorted()
	if len(all) < limit {
		return all
	}
	out := make([]Digest, 0, limit)
	for range limit {
		out = append(out, all[r.next%len(all)])
		r.next++
	}
	return out
}

// RevokeEarly adds revocations ahead of the log. It reports whether any was new.
func (s *State) RevokeEarly(ds ...Digest) bool {
	before := s.early.digest
	s.early.add(s.known, ds...)
	return s.early.digest != before
}

// EarlyRevocations returns the revocations that are not in the applied log, sorted.
func (s *State) EarlyRevocations() []Digest { return s.early.sorted() }
