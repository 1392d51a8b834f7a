package ingress

import (
	"net/http"
	"strings"
	"time"

	"github.com/teaselseam/teaselseam/internal/call"
	"github.com/teaselseam/teaselseam/internal/control"
	"github.com/teaselseam/teaselseam/internal/guard"
	"github.com/teaselseam/teaselseam/internal/request"
	"github.com/teaselseam/teaselseam/internal/workspace"
)

// staleRetry is when a caller may try again at a node that is not fresh.
const staleRetry = time.Second

// newCall validates a request and builds its call, without the body. For a nested call it also
// returns the running call that it belongs to.
func (in *Ingress) newCall(r *http.Request, now time.Time) (*call.Call, *guard.Entry, *request.Refusal) {
	snap := in.control.Snapshot()
	if !in.control.Fresh(now) || snap.Settings == nil {
		return nil, nil, request.Refused(request.ReasonNodeStale, staleRetry)
	}
	c, refusal := newIdentity(r)
	if refusal != nil {
		return nil, nil, refusal
	}
	// The target of CONNECT is a host; it would be sent on as one.
	if hasDotSegment(r.URL.Path) || r.Method == http.MethodConnect {
		return c, nil, request.Refused(request.ReasonBadRequest, 0)
	}
	var parent *guard.Entry
	if token := r.Header.Get(request.HeaderCall); token != "" {
		parent, refusal = in.inherit(r, c, token)
	} else {
		refusal = authenticate(r, c, snap)
	}
	if refusal != nil {
		return c, nil, refusal
	}
	if refusal := in.applyRoute(r, c, parent, snap, now); refusal != nil {
		return c, nil, refusal
	}
	if _, dated := c.ID.CreatedAt(); !c.Idempotent && !dated {
		return c, nil, request.Refused(request.ReasonIDNotV7, 0)
	}
	c.Header = call.WithoutOwn(r.Header)
	c.Method = r.Method
	c.URI = r.URL.RequestURI()
	return c, parent, nil
}

// hasDotSegment reports a path that a backend server could resolve to another
// path than the one that the route was chosen by.
func hasDotSegment(path string) bool {
	for segment := range strings.SplitSeq(path, "/") {
		if segment == "." || segment == ".." {
			return true
		}
	}
	return false
}

// newIdentity takes the request ID from the caller or makes one.
func newIdentity(r *http.Request) (*call.Call, *request.Refusal) {
	given := r.Header.Get(request.HeaderID)
	if given == "" {
		id := request.NewID()
		return &call.Call{ID: id, Root: id}, nil
	}
	id, err := request.ParseID(given)
	if err != nil {
		return nil, request.Refused(request.ReasonBadRequest, 0)
	}
	return &call.Call{ID: id, Root: id}, nil
}

// inherit makes c a nested call of the running call with the token. Only the
// backend server beside the node may present a token.
func (in *Ingress) inherit(r *http.Request, c *call.Call, token string) (*guard.Entry, *request.Refusal) {
	entry, ok := in.guard.Running().Lookup(token)
	if !ok || !fromThisVM(r) {
		return nil, request.Refused(request.ReasonUnknownKey, 0)
	}
	parent := entry.Call
	if parent.Depth+1 > call.MaxDepth {
		return nil, request.Refused(request.ReasonBadRequest, 0)
	}
	c.Root = parent.Root
	c.Workspace = parent.Workspace
	c.KeyDigest = parent.KeyDigest
	c.Depth = parent.Depth + 1
	if r.Header.Get(request.HeaderID) == string(parent.ID) {
		c.ID = request.NewID() // a backend server that copies all headers must not claim its parent's ID again
	}
	return entry, nil
}

// authenticate finds the workspace of a root request by its key.
func authenticate(r *http.Request, c *call.Call, snap *control.Snapshot) *request.Refusal {
	key := r.Header.Get(request.HeaderKey)
	if key == "" {
		return request.Refused(request.ReasonUnknownKey, 0)
	}
	c.KeyDigest = workspace.DigestOf(key)
	return checkKey(c, snap)
}

func checkKey(c *call.Call, snap *control.Snapshot) *request.Refusal {
	ws, verdict := snap.Keys.Check(c.KeyDigest)
	switch verdict {
	case workspace.Valid:
		c.Workspace = ws
		return nil
	case workspace.Revoked:
		return request.Refused(request.ReasonKeyRevoked, 0)
	default:
		return request.Refused(request.ReasonUnknownKey, 0)
	}
}

// applyRoute fills in what the route and the headers say about the call.
func (in *Ingress) applyRoute(r *http.Request, c *call.Call, parent *guard.Entry, snap *control.Snapshot, now time.Time) *request.Refusal {
	route, refusal := routeFor(snap.Settings, r.URL.Path, c.Workspace)
	if refusal != nil {
		return refusal
	}
	c.Route = route.Name
	c.Service = route.Service
	c.Idempotent = route.Idempotent
	if v := r.Header.Get(request.HeaderIdempotent); v != "" {
		c.Idempotent = v == "true"
	}
	ceiling := snap.Settings.Workspace(c.Workspace).MaxImportance
	wanted := route.Importance
	if parent != nil {
		ceiling, wanted = parent.Call.Importance, parent.Call.Importance
	} else {
		c.Budget = route.RetryBudget
	}
	if v := r.Header.Get(request.HeaderImportance); v != "" {
		var err error
		if wanted, err = request.ParseImportance(v); err != nil {
			return request.Refused(request.ReasonBadRequest, 0)
		}
	}
	c.Importance = request.Inherit(ceiling, wanted)
	c.Deadline = now.Add(route.Timeout)
	if v := r.Header.Get(request.HeaderTimeout); v != "" {
		timeout, err := call.ParseTimeout(v)
		if err != nil {
			return request.Refused(request.ReasonBadRequest, 0)
		}
		c.Deadline = now.Add(min(timeout, route.Timeout))
	}
	if parent != nil && parent.Call.Deadline.Before(c.Deadline) {
		c.Deadline = parent.Call.Deadline
	}
	return nil
}
