package call

import (
	"errors"
	"fmt"
	"io"
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
	for name, values := range c.Header {
		h[name] = values
	}
	h.Set(request.HeaderID, string(c.ID))
	h.Set(request.HeaderRoot, string(c.Root))
	h.Set(request.HeaderAttempt, c.Attempt)
	h.Set(request.HeaderWorkspace, c.Workspace)
	h.Set(request.HeaderKeyDigest, c.KeyDigest.String())
	h.Set(request.HeaderRoute, c.Route)
	h.Set(request.HeaderService, c.Service)
	h.Set(request.HeaderImportance, c.Importance.String())
	h.Set(request.HeaderIdempotent, strconv.FormatBool(c.Idempotent))
	h.Set(request.HeaderTimeout, strconv.FormatInt(c.Deadline.Sub(now).Milliseconds(), 10))
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
	c.Body, err = ReadBody(r.Body, maxBody)
	return c, err
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

// ErrBodyTooLarge means that a body exceeds its limit.
var ErrBodyTooLarge = errors.New("body exceeds the limit")

// ReadBody reads a body of at most limit bytes.
func ReadBody(body io.Reader, limit int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(body, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(data)) > limit {
		return nil, ErrBodyTooLarge
	}
	return data, nil
}

// hopByHop are headers that concern one connection only (RFC 9110, section 7.6.1).
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// WithoutOwn returns a copy of h without teaselseam's headers and without
// hop-by-hop headers.
func WithoutOwn(h http.Header) http.Header {
	out := make(http.Header, len(h))
	for name, values := range h {
		if !strings.HasPrefix(name, request.Prefix) {
			out[name] = values
		}
	}
	for _, named := range h.Values("Connection") {
		for _, name := range strings.Split(named, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		out.Del(name)
	}
	return out
}

// WriteResponse writes a response to the peer that sent the call.
func WriteResponse(w http.ResponseWriter, id request.ID, attempt string, r *Response) {
	h := w.Header()
	for name, values := range r.Header {
		h[name] = values
	}
	h.Set(request.HeaderID, string(id))
	h.Set(request.HeaderAttempt, attempt)
	h.Set(request.HeaderBudget, strconv.Itoa(r.BudgetUnused))
	if r.Load.Encoded != "" {
		h.Set(request.HeaderLoad, r.Load.Encoded)
	}
	if r.Load.Hints != "" {
		h.Set(request.HeaderHints, r.Load.Hints)
	}
	if r.Draining {
		h.Set(request.HeaderDraining, "true")
	}
	if r.Refusal != nil {
		h.Set(request.HeaderOutcome, r.Refusal.Outcome.String())
		h.Set(request.HeaderReason, string(r.Refusal.Reason))
		h.Set(request.HeaderRetryMs, strconv.FormatInt(r.Refusal.RetryAfter.Milliseconds(), 10))
		w.WriteHeader(r.Refusal.Reason.Status())
		return
	}
	h.Set(request.HeaderOutcome, request.Completed.String())
	WriteBody(w, r)
}

// WriteBody writes status and body. A streamed body that fails part-way aborts
// the connection, so that the receiver notices.
func WriteBody(w http.ResponseWriter, r *Response) {
	if r.Length >= 0 {
		w.Header().Set("Content-Length", strconv.FormatInt(r.Length, 10))
	}
	w.WriteHeader(r.Status)
	if _, err := w.Write(r.Body); err != nil {
		abort(r)
	}
	if r.Rest == nil {
		return
	}
	if _, err := io.Copy(w, r.Rest); err != nil {
		abort(r)
	}
	r.Rest.Close()
}

func abort(r *Response) {
	if r.Rest != nil {
		r.Rest.Close()
	}
	panic(http.ErrAbortHandler)
}

// ReadResponse reads a guard's response and checks that it belongs to the call.
// An error means that the call may have run.
func ReadResponse(c *Call, resp *http.Response) (*Response, error) {
	if got := resp.Header.Get(request.HeaderAttempt); got != c.Attempt {
		resp.Body.Close()
		return nil, fmt.Errorf("response is for attempt %q, want %q", got, c.Attempt)
	}
	r := &Response{
		Status:   resp.StatusCode,
		Draining: resp.Header.Get(request.HeaderDraining) == "true",
		Load: Load{
			Encoded: resp.Header.Get(request.HeaderLoad),
			Hints:   resp.Header.Get(request.HeaderHints),
		},
	}
	unused, err := boundedInt(resp.Header, request.HeaderBudget, maxBudget)
	if err == nil {
		r.BudgetUnused = min(unused, c.Budget)
	}
	if outcome := request.ParseOutcome(resp.Header.Get(request.HeaderOutcome)); outcome != request.Completed {
		defer resp.Body.Close()
		retryMs, _ := strconv.ParseInt(resp.Header.Get(request.HeaderRetryMs), 10, 64)
		r.Refusal = &request.Refusal{
			Reason:     request.Reason(resp.Header.Get(request.HeaderReason)),
			Outcome:    outcome,
			RetryAfter: time.Duration(retryMs) * time.Millisecond,
		}
		return r, nil
	}
	r.Header = WithoutOwn(resp.Header)
	return r, r.Fill(resp)
}

// Fill reads the body of resp into r: the whole of it up to MaxBuffered bytes,
// and the remainder as a stream.
func (r *Response) Fill(resp *http.Response) error {
	r.Length = resp.ContentLength
	body, err := io.ReadAll(io.LimitReader(resp.Body, MaxBuffered+1))
	if err != nil {
		resp.Body.Close()
		return fmt.Errorf("read response body: %w", err)
	}
	r.Body = body
	if len(body) > MaxBuffered {
		r.Rest = resp.Body
		return nil
	}
	resp.Body.Close()
	if r.Length >= 0 && int64(len(body)) != r.Length {
		return fmt.Errorf("response body has %d bytes, want %d", len(body), r.Length)
	}
	r.Length = int64(len(body))
	return nil
}
