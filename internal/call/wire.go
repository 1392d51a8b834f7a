package call

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/teaselseam/teaselseam/internal/request"
)

// MaxDepth is the deepest call tree that is served, in hops from the root.
const MaxDepth = 64

// PathPrefix is where a node serves calls on its peer address.
const PathPrefix = "/call"

// EncodeRequest writes a call's fields as headers of the peer request h.
func (c *Call) EncodeRequest(h http.Header, now time.Time) {
	c.CopyHeader(h)
	h.Set(request.HeaderID, string(c.ID))
	h.Set(request.HeaderRoot, string(c.Root))
	h.Set(request.HeaderAttempt, c.Attempt)
	h.Set(request.HeaderWorkspace, c.Workspace)
	h.Set(request.HeaderKeyDigest, c.KeyDigest.String())
	h.Set(request.HeaderRoute, c.Route)
	h.Set(request.HeaderService, c.Service)
	h.Set(request.HeaderImportance, c.Importance.String())
	h.Set(request.HeaderIdempotent, strconv.FormatBool(c.Idempotent))
	h.Set(request.HeaderTimeout, FormatTimeout(c.Deadline.Sub(now)))
	h.Set(request.HeaderDepth, strconv.Itoa(c.Depth))
	h.Set(request.HeaderBudget, strconv.Itoa(c.Budget))
	h.Set(request.HeaderIncarnation, c.Guard)
}

// DecodeRequest reads a call from a peer's request. The body is read up to
// maxBody bytes.
func DecodeRequest(r *http.Request, now time.Time, maxBody int64) (*Call, error) {
	c := &Call{
		Attempt:    r.Header.Get(request.HeaderAttempt),
		Workspace:  r.Header.Get(request.HeaderWorkspace),
		Route:      r.Header.Get(request.HeaderRoute),
		Service:    r.Header.Get(request.HeaderService),
		Idempotent: r.Header.Get(request.HeaderIdempotent) == "true",
		Guard:      r.Header.Get(request.HeaderIncarnation),
		Method:     r.Method,
		URI:        strings.TrimPrefix(r.URL.RequestURI(), PathPrefix),
		Header:     WithoutOwn(r.Header),
	}
	var err error
	if c.ID, err = request.ParseID(r.Header.Get(request.HeaderID)); err != nil {
		return nil, err
	}
	if c.Root, err = request.ParseID(r.Header.Get(request.HeaderRoot)); err != nil {
		return nil, err
	}
	if err = c.KeyDigest.UnmarshalText([]byte(r.Header.Get(request.HeaderKeyDigest))); err != nil {
		return nil, err
	}
	if c.Importance, err = request.ParseImportance(r.Header.Get(request.HeaderImportance)); err != nil {
		return nil, err
	}
	timeout, err := ParseTimeout(r.Header.Get(request.HeaderTimeout))
	if err != nil {
		return nil, err
	}
	c.Deadline = now.Add(timeout)
	if c.Depth, err = boundedInt(r.Header, request.HeaderDepth, MaxDepth); err != nil {
		return nil, err
	}
	if c.Budget, err = boundedInt(r.Header, request.HeaderBudget, maxBudget); err != nil {
		return nil, err
	}
	if c.Body, err = ReadBody(r.Body, r.ContentLength, maxBody); err != nil {
		return nil, err
	}
	return c, nil
}

// maxBudget bounds the retry budget read from a peer.
const maxBudget = 1000

func boundedInt(h http.Header, name string, limit int) (int, error) {
	v, err := strconv.Atoi(h.Get(name))
	if err != nil || v < 0 || v > limit {
		return 0, fmt.Errorf("header %s is not a number from 0 to %d", name, limit)
	}
	return v, nil
}

// maxTimeout is the longest timeout accepted, from a caller or a peer.
const maxTimeout = 10 * time.Minute

// ParseTimeout reads a timeout in milliseconds.
func ParseTimeout(s string) (time.Duration, error) {
	ms, err := strconv.ParseInt(s, 10, 64)
	if err != nil || ms < 0 || ms > maxTimeout.Milliseconds() {
		return 0, fmt.Errorf("header %s is not a number of milliseconds from 0 to %d", request.HeaderTimeout, maxTimeout.Milliseconds())
	}
	return time.Duration(ms) * time.Millisecond, nil
}

// FormatTimeout writes the time left as milliseconds; 0 if none is left.
func FormatTimeout(left time.Duration) string {
	return strconv.FormatInt(max(left, 0).Milliseconds(), 10)
}
