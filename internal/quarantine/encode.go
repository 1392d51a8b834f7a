package quarantine

import (
	"bytes"
	"cmp"
	"encoding/binary"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	encodingVersion = 1

	// maxAge bounds the age of a suspect's run.
	maxAge = Expiry
)

// Summary returns evidence that carries only the digest. It is what a node sends
// in regular exchanges, because a death with 200 suspects takes 4 KB.
func (s *Set) Summary() Evidence {
	return Evidence{Digest: s.digest()}
}

// Reply returns the answer to a peer's evidence: everything if the peer's set is
// different, otherwise a summary.
func (s *Set) Reply(e Evidence) Evidence {
	own := s.Summary()
	if own.Digest == e.Digest {
		return own
	}
	own.Deaths = slices.Collect(func(yield func(Death) bool) {
		for _, d := range s.deaths {
			if !yield(*d) {
				return
			}
		}
	})
	for f, at := range s.survived {
		own.Completions = append(own.Completions, Completion{f, at})
	}
	return own
}

// digest is independent of the order in which entries arrived.
func (s *Set) digest() uint64 {
	var sum uint64
	for id := range maps.Keys(s.deaths) {
		sum += xxhash.Sum64(id[:])
	}
	var b []byte
	for f, at := range s.survived {
		b = binary.BigEndian.AppendUint64(append(b[:0], f[:]...), uint64(at.UnixMicro()))
		sum += xxhash.Sum64(b)
	}
	return sum
}

// Encode returns the canonical binary form: entries are sorted, times and ages are
// in microseconds.
func Encode(e Evidence) []byte {
	deaths := slices.Clone(e.Deaths)
	slices.SortFunc(deaths, func(a, b Death) int { return bytes.Compare(a.ID[:], b.ID[:]) })
	survivals := slices.Clone(e.Completions)
	slices.SortFunc(survivals, func(a, b Completion) int { return compareFingerprints(a.Fingerprint, b.Fingerprint) })
	b := []byte{encodingVersion}
	b = binary.BigEndian.AppendUint64(b, e.Digest)
	b = binary.AppendUvarint(b, uint64(len(deaths)))
	for _, d := range deaths {
		b = append(b, d.ID[:]...)
		b = binary.BigEndian.AppendUint64(b, uint64(d.At.UnixMicro()))
		b = binary.AppendUvarint(b, uint64(len(d.Suspects)))
		for _, s := range d.Suspects {
			b = append(b, s.Fingerprint[:]...)
			b = binary.AppendUvarint(b, uint64(s.Age.Microseconds()))
		}
	}
	b = binary.AppendUvarint(b, uint64(len(survivals)))
	for _, v := range survivals {
		b = append(b, v.Fingerprint[:]...)
		b = binary.BigEndian.AppendUint64(b, uint64(v.At.UnixMicro()))
	}
	return b
}

// Decode reads what Encode returns, and nothing else: it rejects unsorted or
// duplicate entries, counts over the bounds, trailing bytes and longer forms of
// numbers. Memory is reserved only for entries that are present.
func Decode(b []byte) (Evidence, error) {
	r := reader{rest: b}
	if v := r.take(1); r.err == nil && v[0] != encodingVersion {
		return Evidence{}, fmt.Errorf("quarantine evidence has version %d, want %d", v[0], encodingVersion)
	}
	e := Evidence{Digest: r.uint64()}
	for n := r.count(MaxDeaths); n > 0 && r.err == nil; n-- {
		e.Deaths = append(e.Deaths, r.death())
	}
	for n := r.count(MaxCompletions); n > 0 && r.err == nil; n-- {
		e.Completions = append(e.Completions, Completion{Fingerprint(r.id()), r.time()})
	}
	if r.err == nil && len(r.rest) > 0 {
		r.err = fmt.Errorf("quarantine evidence has %d trailing bytes", len(r.rest))
	}
	if r.err == nil && !canonical(e, b) {
		r.err = errors.New("quarantine evidence is not in canonical form")
	}
	if r.err != nil {
		return Evidence{}, r.err
	}
	return e, nil
}

// canonical tells whether e has strictly ascending entries and encodes to b.
func canonical(e Evidence, b []byte) bool {
	ascending := ascends(e.Deaths, func(a, b Death) int { return bytes.Compare(a.ID[:], b.ID[:]) }) &&
		ascends(e.Completions, func(a, b Completion) int { return compareFingerprints(a.Fingerprint, b.Fingerprint) })
	for _, d := range e.Deaths {
		ascending = ascending && ascends(d.Suspects, func(a, b Suspect) int {
			return compareFingerprints(a.Fingerprint, b.Fingerprint)
		})
	}
	return ascending && bytes.Equal(Encode(e), b)
}

func ascends[T any](list []T, compare func(a, b T) int) bool {
	for i := 1; i < len(list); i++ {
		if compare(list[i-1], list[i]) >= 0 {
			return false
		}
	}
	return true
}

// reader reads fields until the first error.
type reader struct {
	rest []byte
	err  error
}

// take returns the next n bytes, or zeros after an error.
func (r *reader) take(n int) []byte {
	if r.err == nil && len(r.rest) < n {
		r.err = errors.New("quarantine evidence is truncated")
	}
	if r.err != nil {
		r.rest = nil
		return make([]byte, n)
	}
	out := r.rest[:n]
	r.rest = r.rest[n:]
	return out
}

func (r *reader) id() [16]byte {
	return [16]byte(r.take(16))
}

func (r *reader) uint64() uint64 {
	return binary.BigEndian.Uint64(r.take(8))
}

func (r *reader) time() time.Time {
	return time.UnixMicro(int64(r.uint64()))
}

func (r *reader) uvarint(limit uint64) uint64 {
	v, n := binary.Uvarint(r.rest)
	if r.err == nil && (n <= 0 || v > limit) {
		r.err = cmp.Or(r.err, fmt.Errorf("quarantine evidence has a number over its bound %d or truncated", limit))
	}
	if r.err != nil {
		return 0
	}
	r.rest = r.rest[n:]
	return v
}

// count returns the number of entries that follow.
func (r *reader) count(limit int) int {
	return int(r.uvarint(uint64(limit)))
}

func (r *reader) death() Death {
	d := Death{ID: DeathID(r.id()), At: r.time()}
	for n := r.count(MaxSuspects); n > 0 && r.err == nil; n-- {
		s := Suspect{Fingerprint: Fingerprint(r.id())}
		s.Age = time.Duration(r.uvarint(uint64(maxAge.Microseconds()))) * time.Microsecond
		d.Suspects = append(d.Suspects, s)
	}
	return d
}
