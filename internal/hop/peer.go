package hop

import (
	"crypto/subtle"
	"errors"
	"net/http"
	"net/url"
	"path"
	"strings"
)

// A node tells the requests of other nodes from all others by a key that only nodes know:
// each has one of its own, which the others learn from its row in the store. It tells calls
// from messages by CallHeader. Neither depends on anything that the caller of a request has
// chosen, since its headers under the names of those between nodes are removed.

const (
	// keyHeader holds the key of the node to which a request is sent.
	keyHeader = headerPrefix + "Key"
	// MessagePrefix begins the paths of messages between nodes.
	MessagePrefix = "/teaselseam/"
)

// errNotFromNode is returned if a response to a call has no header of a node.
var errNotFromNode = errors.New("response to a call is not from a node")

// HasKey reports whether a request has the given key, which must not be empty.
func HasKey(r *http.Request, key string) bool {
	return key != "" && subtle.ConstantTimeCompare([]byte(r.Header.Get(keyHeader)), []byte(key)) == 1
}

// IsCall reports whether a request of another node is a call. Any other is a message.
func IsCall(r *http.Request) bool { return len(r.Header[CallHeader]) > 0 }

// UseKeys makes the pool send the key of the node at an address with all requests to it. keyOf
// returns an empty string for a node of an earlier release, which has none. It must be safe
// for concurrent use.
func (p *Pool) UseKeys(keyOf func(addr string) string) { p.keyOf = keyOf }

// UseBodyOnDemand makes the pool hold back the rest of request bodies to the nodes for which asks
// returns true, until they ask for it. Nodes of earlier releases do not. asks must be safe for
// concurrent use.
func (p *Pool) UseBodyOnDemand(asks func(addr string) bool) { p.asks = asks }

// asksForBody reports whether the node at an address asks for the rest of request bodies.
func (p *Pool) asksForBody(addr string) bool { return p.asks != nil && p.asks(addr) }

// setKey adds the key of the node at an address to a request and returns whether it has one.
func (p *Pool) setKey(h http.Header, addr string) bool {
	if p.keyOf == nil {
		return false
	}
	key := p.keyOf(addr)
	if key != "" {
		h[keyHeader] = []string{key}
	}
	return key != ""
}

// readableByPath reports whether a node of an earlier release takes a call with this URI for
// what it is. It takes the paths of messages for messages, whoever has chosen them, and
// redirects paths with empty or dot segments.
func readableByPath(uri string) bool {
	u, err := url.ParseRequestURI(uri)
	if err != nil || !strings.HasPrefix(u.Path, "/") {
		return false
	}
	clean := path.Clean(u.Path)
	if clean != "/" && strings.HasSuffix(u.Path, "/") {
		clean += "/"
	}
	return clean == u.Path && !strings.HasPrefix(u.Path, MessagePrefix)
}

// isFromNode reports whether a response to a call bears the headers of a node. Those that a
// backend server has set are removed by the node beside it.
func isFromNode(h http.Header) bool { return len(h[loadHeader]) > 0 || len(h[RefusalHeader]) > 0 }
