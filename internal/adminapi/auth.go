package adminapi

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"slices"
	"strings"

	"github.com/teaselseam/teaselseam/internal/config"
)

// operator may use the API.
type operator struct {
	name   string
	digest [sha256.Size]byte
	rights []string
}

// knownOperators leaves out an operator without a valid digest, so that no token
// matches it. Package config refuses such an operator at start.
func knownOperators(in []config.Operator) []operator {
	var out []operator
	for _, o := range in {
		digest, err := hex.DecodeString(o.TokenDigest)
		if err != nil || len(digest) != sha256.Size {
			continue
		}
		out = append(out, operator{name: o.Name, digest: [sha256.Size]byte(digest), rights: o.Rights})
	}
	return out
}

// authorize returns the operator of a call, who must have a right.
func (a *API) authorize(r *http.Request, right string) (name string, err error) {
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || token == "" {
		return "", &Error{Code: CodeUnauthenticated, Message: "call has no bearer token"}
	}
	digest := sha256.Sum256([]byte(token))
	found := -1
	for i := range a.operators { // all of them, so that the time tells nothing
		equal := subtle.ConstantTimeCompare(a.operators[i].digest[:], digest[:])
		found = subtle.ConstantTimeSelect(equal, i, found)
	}
	if found < 0 {
		return "", &Error{Code: CodeUnauthenticated, Message: "token is not known"}
	}
	o := a.operators[found]
	if !slices.Contains(o.rights, right) {
		return o.name, &Error{Code: CodeForbidden, Message: "operator " + o.name + " lacks the right " + right}
	}
	return o.name, nil
}
