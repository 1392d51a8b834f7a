package quarantine

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"time"
)

// Fingerprint identifies a request across all attempts. It is the first half of a SHA-256
// digest, so that nobody can construct a request with the fingerprint of another one.
type Fingerprint [16]byte

// Request is what identifies a request, whichever route leads to its service.
type Request struct {
	Workspace string
	Method    string
	Host      string // in one spelling
	Path      string // with query
	Part      Part
	Body      []byte // the part of it
}

// Part tells which part of a body a fingerprint is of.
type Part string

// Parts.
const (
	Whole     Part = "whole" // as far as nodes hold bodies
	Beginning Part = "beginning"
)

// RequestFingerprint returns the fingerprint of a request.
func RequestFingerprint(r Request) Fingerprint {
	return digest("request", r.Workspace, []byte(r.Method), []byte(r.Host), []byte(r.Path), []byte(r.Part), r.Body)
}

// BodyFingerprint returns the fingerprint of a request in records of earlier releases.
func BodyFingerprint(route, workspace string, body []byte) Fingerprint {
	return digest("body", workspace, []byte(route), body)
}

// digest hashes each part with its length as a prefix, so that different lists of parts
// never yield the same input to the hash.
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

// ParseFingerprint parses the output of String.
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

// Suspect is the fingerprint of a request that was running when a backend server died.
type Suspect struct {
	Fingerprint Fingerprint
	Age         time.Duration // time since the start of its latest run; whole microseconds
}

// Death describes the death of a backend server. It is immutable once recorded.
type Death struct {
	ID       DeathID
	At       time.Time // on the clock of the guard that recorded it
	Suspects []Suspect // sorted by fingerprint, without duplicates
}

// suspect returns the suspect with a fingerprint.
func (d *Death) suspect(f Fingerprint) (Suspect, bool) {
	i, ok := d.suspectIndex(f)
	if !ok {
		return Suspect{}, false
	}
	return d.Suspects[i], true
}

// Completion is the time of a completed run of a suspect after a death.
type Completion struct {
	Fingerprint Fingerprint
	At          time.Time
}
