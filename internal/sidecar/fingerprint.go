package sidecar

import (
	"strings"

	"github.com/teaselseam/teaselseam/internal/catalog"
	"github.com/teaselseam/teaselseam/internal/hop"
	"github.com/teaselseam/teaselseam/internal/memory"
	"github.com/teaselseam/teaselseam/internal/quarantine"
)

// identity tells whether a call is that of a request which was seen before. Nothing counts that
// may change while the same request comes again: its ID, the route and service that the
// configuration has for its path, the spelling of its host, the key of its workspace, the node
// through which it comes, and how its body was framed.
//
// How much of a long body is held depends on the memory that is left, and what is not held cannot
// count. So a long body has two fingerprints: one of what is held, and one of the beginning that
// always is.
type identity struct {
	content   quarantine.Fingerprint
	beginning quarantine.Fingerprint // the same as content of a body that is not long
	partial   bool                   // less of the body is held than usual
}

// identify returns the identity of a call.
func identify(c *hop.Call) identity {
	held := len(c.Body.Data)
	id := identity{
		content: fingerprintOf(c, quarantine.Whole, c.Body.Data),
		partial: c.Body.Rest != nil && held < hop.MaxBufferedBody,
	}
	id.beginning = id.content
	if held > memory.Floor || c.Body.Rest != nil {
		id.beginning = fingerprintOf(c, quarantine.Beginning, c.Body.Data[:min(held, memory.Floor)])
	}
	return id
}

func fingerprintOf(c *hop.Call, part quarantine.Part, body []byte) quarantine.Fingerprint {
	return quarantine.RequestFingerprint(quarantine.Request{
		Workspace: c.Workspace, Method: c.Method, Host: catalog.CanonicalHost(c.Host), Path: originForm(c.URI), Part: part, Body: body,
	})
}

// originForm returns the path and query of a request target, which may be an absolute URI.
func originForm(target string) string {
	if strings.HasPrefix(target, "/") {
		return target
	}
	_, rest, ok := strings.Cut(target, "://")
	if !ok {
		return target
	}
	if i := strings.IndexAny(rest, "/?"); i >= 0 {
		return "/" + strings.TrimPrefix(rest[i:], "/")
	}
	return "/"
}

// run returns the fingerprints that a run of the call is recorded with.
func (id *identity) run() []quarantine.Fingerprint {
	if id.beginning == id.content {
		return []quarantine.Fingerprint{id.content}
	}
	return []quarantine.Fingerprint{id.content, id.beginning}
}

// earlierFingerprint returns the fingerprint by which nodes of the earlier release record a call.
// It contains the route and all that is held of the body.
func earlierFingerprint(c *hop.Call) quarantine.Fingerprint {
	data := make([]byte, 0, len(c.Method)+len(c.URI)+len(c.Body.Data)+2)
	data = append(data, c.Method...)
	data = append(data, ' ')
	data = append(data, c.URI...)
	data = append(data, '\n')
	data = append(data, c.Body.Data...)
	return quarantine.BodyFingerprint(c.Route, c.Workspace, data)
}
