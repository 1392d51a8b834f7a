package workspace

import (
	"regexp"
	"strings"
)

// keyPattern matches a generated key anywhere in a text.
var keyPattern = regexp.MustCompile(keyPrefix + `[A-Za-z0-9_-]*`)

// redacted replaces a key in messages.
const redacted = "(key removed)"

// Redact returns a text without the keys in it. Messages that quote what an
// operator typed go through it, because a key may have been pasted into the
// wrong field.
func Redact(s string) string {
	if !strings.Contains(s, keyPrefix) {
		return s
	}
	return keyPattern.ReplaceAllString(s, redacted)
}

// ContainsKey reports whether a text contains what looks like a generated key.
func ContainsKey(s string) bool { return strings.Contains(s, keyPrefix) }
