package workspace

import (
	"regexp"
	"strings"
)

// keyPattern matches generated keys anywhere in a text.
var keyPattern = regexp.MustCompile(keyPrefix + `[A-Za-z0-9_-]*`)

// redacted is the placeholder for a key in messages.
const redacted = "(key removed)"

// Redact replaces the keys in a text by a placeholder. It is applied to messages
// that quote an operator's input, because a key may have been pasted into the wrong
// field.
func Redact(s string) string {
	if !strings.Contains(s, keyPrefix) {
		return s
	}
	return keyPattern.ReplaceAllString(s, redacted)
}

// ContainsKey reports whether a text contains what looks like a generated key.
func ContainsKey(s string) bool { return strings.Contains(s, keyPrefix) }
