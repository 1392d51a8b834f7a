// Package request defines the types that every step of a call shares: its
// identity, importance, outcome and refusal, and the header names that carry
// them. The package does no I/O.
package request

import (
	"errors"
	"fmt"
	"time"

	"github.com/google/uuid"
)

// MaxIDLength is the longest request ID accepted, in bytes.
const MaxIDLength = 128

// ID identifies a request from its first ingress to its last nested call.
type ID string

// NewID returns a UUIDv7, whose leading bits are the creation time.
func NewID() ID {
	return ID(uuid.Must(uuid.NewV7()).String())
}

// ParseID validates an ID received from outside. It accepts 1 to MaxIDLength
// printable ASCII characters without spaces.
func ParseID(s string) (ID, error) {
	if s == "" {
		return "", errors.New("request id is empty")
	}
	if len(s) > MaxIDLength {
		return "", fmt.Errorf("request id has %d bytes, the limit is %d", len(s), MaxIDLength)
	}
	for i := range len(s) {
		if s[i] <= ' ' || s[i] > '~' {
			return "", fmt.Errorf("request id has an invalid byte at offset %d", i)
		}
	}
	return ID(s), nil
}

// CreatedAt returns the creation time embedded in a UUIDv7 ID. It returns false
// for any other ID.
func (id ID) CreatedAt() (time.Time, bool) {
	u, err := uuid.Parse(string(id))
	if err != nil || u.Version() != 7 {
		return time.Time{}, false
	}
	sec, nsec := u.Time().UnixTime()
	return time.Unix(sec, nsec), true
}
