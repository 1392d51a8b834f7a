package fleet

import "encoding/base64"

// KeyBytes is the length of a key (Member.Key) before its encoding.
const KeyBytes = 16

// validKey reports whether a string may be the key of a node.
func validKey(key string) bool {
	b, err := base64.RawURLEncoding.DecodeString(key)
	return err == nil && len(b) == KeyBytes
}

// EncodeKey returns the text of a key.
func EncodeKey(key [KeyBytes]byte) string { return base64.RawURLEncoding.EncodeToString(key[:]) }
