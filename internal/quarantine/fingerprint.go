package quarantine

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"time"
)

// Fingerprint identifies a request at its repetitions. It is the first half of a
// SHA-256 digest, so that nobody can construct a request with the fingerprint of
// another.
type Fingerprint [16]byte

// IDFingerprint returns the fingerprint of a request ID that a caller of the
// workspace gave.
func IDFingerprint(workspace, id string) Fingerprint {
	return digest("id", workspace, []byte(id))
}

// BodyFingerprint returns the fingerprint of a request's content.
func BodyFingerprint(route, workspace string, body []byte) Fingerprint {
	return digest("body", workspace, []byte(route), body)
}

// digest hashes parts with their lengths, so that no two lists of parts are equal.
func digest(kind, workspace string, parts ...[]byte) Fingerprint {
	h := sha256.New()
	for _, p := range append([][]byte{[]byte(kind), []byte(workspace)}, parts...) {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(p)))
		h.Write(length[:])
		h.Write(p)
	}
	return Fingerprint(h.Sum(nil)[:len(Fingerprint{})])
}

// String returns the fingerprint in hexadecimal.
func (f Fingerprint) String() string {
	return hex.EncodeToString(f[:])
}

// ParseFingerprint reads the form that String returns.
func ParseFingerprint(s string) (Fingerprint, error) {
	var f Fingerprint
	if len(s) != hex.EncodedLen(len(f)) {
		return f, fmt.Errorf("fingerprint has %d characters, want %d", len(s), hex.EncodedLen(len(f)))
	}
	_, err := hex.Decode(f[:], []byte(s))
	return f, err
}

func compareFingerprints(a, b Fingerprint) int {
	return bytes.Compare(a[:], b[:])
}

// DeathID is unique to each death of a backend server, for example a UUID.
type DeathID [16]byte

// Suspect is a fingerprint that was running at a death.
type Suspect struct {
	Fingerprint Fingerprint
	Age         time.Duration // how long it had been running; whole microseconds
}

// Death is one death of a backend server. It is not changed after it was recorded.
type Death struct {
	ID       DeathID
	At       time.Time // on the clock of the guard that recorded it
	Suspects []Suspect // in order of fingerprints, each once
}

// suspect returns the entry of a fingerprint.
func (d *Death) suspect(f Fingerprint) (Suspect, bool) {
	i, ok := d.find(f)
	if !ok {
		return Suspect{}, false
	}
	return d.Suspects[i], true
}

// Completion is a completed run of a suspect after a death.
type Completion struct {
	Fingerprint Fingerprint
	At          time.Time
}
