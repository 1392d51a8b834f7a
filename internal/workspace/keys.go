// Package workspace generates and checks the keys by which callers authenticate as
// a workspace. A set of keys (Keys) contains only their SHA-256 digests. Revocation is
// permanent: a revoked digest never becomes valid again, so revocations from any source
// can be merged in any order.
package workspace

import (
	"bytes"
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/base64"
	"encoding/hex"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// keyBytes is the number of random bytes in a generated key.
const keyBytes = 24

// keyPrefix makes a leaked key recognisable to secret scanners.
const keyPrefix = "tsk_"

// Digest is the SHA-256 digest of a key.
type Digest [sha256.Size]byte

// DigestOf returns the digest of a key as presented by a caller.
func DigestOf(key string) Digest { return sha256.Sum256([]byte(key)) }

// String returns the digest in hex.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// MarshalText implements encoding.TextMarshaler.
func (d Digest) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Digest) UnmarshalText(text []byte) error {
	if hex.DecodedLen(len(text)) != len(d) {
		return fmt.Errorf("key digest has %d characters, want %d", len(text), hex.EncodedLen(len(d)))
	}
	_, err := hex.Decode(d[:], text)
	return err
}

// Compare orders digests bytewise.
func (d Digest) Compare(other Digest) int { return bytes.Compare(d[:], other[:]) }

// GenerateKey returns a new random key.
func GenerateKey() string {
	var b [keyBytes]byte
	_, _ = rand.Read(b[:]) // crypto/rand.Read never fails
	return keyPrefix + base64.RawURLEncoding.EncodeToString(b[:])
}

// Verdict is the result of checking a key against the set.
type Verdict uint8

// Results of checking a key.
const (
	Unknown Verdict = iota // neither issued nor revoked
	Revoked
	Valid
)

// Keys is the set of all issued and revoked digests. Treat it as immutable; Issue
// and Revoke return modified copies.
type Keys struct {
	buckets map[prefix][]record
}

// prefix is the leading bytes of a digest, used as the lookup key. The timing of a
// lookup may reveal whether a prefix exists; full digests are compared in constant
// time.
type prefix [prefixBytes]byte

const prefixBytes = 8

func prefixOf(d Digest) prefix { return prefix(d[:prefixBytes]) }

// record is the state of one digest.
type record struct {
	digest    Digest
	workspace string
	issued    bool
	revoked   bool
}

// NewKeys returns an empty set.
func NewKeys() *Keys {
	return &Keys{buckets: map[prefix][]record{}}
}

// find returns the record of a digest. It compares the full stored digest of
// every record in the bucket in constant time.
func (k *Keys) find(d Digest) (r record, ok bool) {
	bucket := k.buckets[prefixOf(d)]
	found := -1
	for i := range bucket {
		equal := subtle.ConstantTimeCompare(bucket[i].digest[:], d[:])
		found = subtle.ConstantTimeSelect(equal, i, found)
	}
	if found < 0 {
		return record{}, false
	}
	return bucket[found], true
}

// NewKeysFrom returns a set with the given digests. issued maps each digest to its
// workspace.
func NewKeysFrom(issued map[Digest]string, revoked []Digest) *Keys {
	k := NewKeys()
	for d, workspace := range issued {
		k.put(record{digest: d, workspace: workspace, issued: true})
	}
	for _, d := range revoked {
		r, _ := k.find(d)
		r.digest, r.revoked = d, true
		k.put(r)
	}
	return k
}

// put adds or replaces a record. It writes to a copy of the bucket, because other
// Keys may share the original.
func (k *Keys) put(r record) {
	p := prefixOf(r.digest)
	bucket := slices.DeleteFunc(slices.Clone(k.buckets[p]), func(old record) bool { return old.digest == r.digest })
	k.buckets[p] = append(bucket, r)
}

// Check returns the verdict on a digest and, if it is valid, its workspace.
func (k *Keys) Check(d Digest) (workspace string, v Verdict) {
	r, ok := k.find(d)
	switch {
	case ok && r.revoked:
		return "", Revoked
	case ok && r.issued:
		return r.workspace, Valid
	default:
		return "", Unknown
	}
}

// Issue returns a copy in which the digest is issued to the workspace. A digest that
// is already issued keeps its workspace, and a revoked one stays revoked.
func (k *Keys) Issue(d Digest, workspace string) *Keys {
	r, _ := k.find(d)
	if r.issued {
		return k
	}
	r.digest, r.workspace, r.issued = d, workspace, true
	c := &Keys{buckets: maps.Clone(k.buckets)}
	c.put(r)
	return c
}

// Revoke returns a copy in which the digests are permanently revoked.
func (k *Keys) Revoke(digests ...Digest) *Keys {
	c := k
	for _, d := range digests {
		r, _ := k.find(d)
		if r.revoked {
			continue
		}
		if c == k {
			c = &Keys{buckets: maps.Clone(k.buckets)}
		}
		r.digest, r.revoked = d, true
		c.put(r)
	}
	return c
}

// Issued returns the workspace of each issued digest, revoked ones included.
func (k *Keys) Issued() map[Digest]string {
	out := map[Digest]string{}
	for _, bucket := range k.buckets {
		for _, r := range bucket {
			if r.issued {
				out[r.digest] = r.workspace
			}
		}
	}
	return out
}

// Revoked reports whether a digest is revoked.
func (k *Keys) Revoked(d Digest) bool {
	r, _ := k.find(d)
	return r.revoked
}

// RevokedDigests returns all revoked digests in ascending order.
func (k *Keys) RevokedDigests() []Digest {
	var out []Digest
	for _, bucket := range k.buckets {
		for _, r := range bucket {
			if r.revoked {
				out = append(out, r.digest)
			}
		}
	}
	slices.SortFunc(out, Digest.Compare)
	return out
}

// Resolve returns the digest given by its hex form or by a unique prefix of it with
// at least minPrefixDigits digits, so that operators need not type a full digest. A
// full digest is returned even if it is not in the set.
func (k *Keys) Resolve(hexPrefix string) (Digest, error) {
	hexPrefix = strings.ToLower(hexPrefix)
	var d Digest
	if len(hexPrefix) == hex.EncodedLen(len(d)) {
		return d, d.UnmarshalText([]byte(hexPrefix))
	}
	if len(hexPrefix) < minPrefixDigits {
		return d, fmt.Errorf("digest prefix has %d digits, want at least %d", len(hexPrefix), minPrefixDigits)
	}
	matches := 0
	for _, bucket := range k.buckets {
		for _, r := range bucket {
			if strings.HasPrefix(r.digest.String(), hexPrefix) {
				d = r.digest
				matches++
			}
		}
	}
	if matches != 1 {
		return Digest{}, fmt.Errorf("digest prefix matches %d keys, want exactly one", matches)
	}
	return d, nil
}

// minPrefixDigits keeps an accidental match on a wrong key unlikely: among
// 10,000 keys, a mistyped prefix of 8 hex digits matches one in about 400,000.
const minPrefixDigits = 8
