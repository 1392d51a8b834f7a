// Package workspace holds the keys of workspaces. Only a SHA-256 digest of a key
// is kept. Revocation is monotone: a digest that was revoked never becomes valid
// again, so revocations from any source can be merged in any order.
package workspace

import (
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/base64"
	"encoding/hex"
	"fmt"
	"maps"
)

// keyBytes is the entropy of a generated key.
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

// GenerateKey returns a new random key.
func GenerateKey() string {
	var b [keyBytes]byte
	_, _ = rand.Read(b[:]) // crypto/rand.Read never fails
	return keyPrefix + base64.RawURLEncoding.EncodeToString(b[:])
}

// Verdict is the result of a key check.
type Verdict uint8

// Results of a key check.
const (
	Unknown Verdict = iota
	Revoked
	Valid
)

// Keys are all issued and revoked digests. Treat it as immutable; Issue and
// Revoke return changed copies.
type Keys struct {
	issued  map[Digest]string
	revoked map[Digest]struct{}
}

// NewKeys returns an empty set.
func NewKeys() *Keys {
	return &Keys{issued: map[Digest]string{}, revoked: map[Digest]struct{}{}}
}

// Check returns the workspace of a digest. The lookup is by digest, so its
// timing tells nothing about the key; the final comparison takes constant time.
func (k *Keys) Check(d Digest) (workspace string, v Verdict) {
	if _, ok := k.revoked[d]; ok {
		return "", Revoked
	}
	workspace, ok := k.issued[d]
	if !ok || subtle.ConstantTimeCompare(d[:], d[:]) != 1 {
		return "", Unknown
	}
	return workspace, Valid
}

// Issue returns a copy with one more valid digest.
func (k *Keys) Issue(d Digest, workspace string) *Keys {
	c := &Keys{issued: maps.Clone(k.issued), revoked: k.revoked}
	c.issued[d] = workspace
	return c
}

// Revoke returns a copy in which the digests are revoked for good.
func (k *Keys) Revoke(digests ...Digest) *Keys {
	c := &Keys{issued: k.issued, revoked: maps.Clone(k.revoked)}
	for _, d := range digests {
		c.revoked[d] = struct{}{}
	}
	return c
}

// Issued returns the workspace of each issued digest, revoked ones included.
func (k *Keys) Issued() map[Digest]string { return maps.Clone(k.issued) }

// Revoked reports whether a digest is revoked.
func (k *Keys) Revoked(d Digest) bool {
	_, ok := k.revoked[d]
	return ok
}

// RevokedDigests returns all revoked digests.
func (k *Keys) RevokedDigests() []Digest {
	out := make([]Digest, 0, len(k.revoked))
	for d := range k.revoked {
		out = append(out, d)
	}
	return out
}
