package call

import (
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/teaselseam/teaselseam/internal/request"
)

// WriteResponse writes a response to the peer that sent the call.
func WriteResponse(w http.ResponseWriter, id request.ID, attempt string, r *Response) {
	h := w.Header()
	maps.Copy(h, r.Header)
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
	if r.Rest != nil {
		defer r.Rest.Close()
	}
	if r.Length >= 0 {
		w.Header().Set("Content-Length", strconv.FormatInt(r.Length, 10))
	}
	w.WriteHeader(r.Status)
	// HTTP/2 fails even an empty write after status 204 or 304.
	if len(r.Body) > 0 {
		_, err := w.Write(r.Body)
		abortOn(err)
	}
	if r.Rest != nil {
		_, err := io.Copy(w, r.Rest)
		abortOn(err)
	}
}

func abortOn(err error) {
	if err != nil {
		panic(http.ErrAbortHandler)
	}
}

// ReadResponse reads a guard's response and checks that it belongs to the call.
// An error means that the call may have run.
func ReadResponse(c *Call, resp *http.Response) (*Response, error) {
	r := &Response{
		Status:   resp.StatusCode,
		Draining: resp.Header.Get(request.HeaderDraining) == "true",
		Load: Load{
			Encoded: resp.Header.Get(request.HeaderLoad),
			Hints:   resp.Header.Get(request.HeaderHints),
		},
	}
	if err := r.readOutcome(c, resp.Header); err != nil {
		resp.Body.Close()
		return nil, err
	}
	if r.Refusal != nil {
		resp.Body.Close()
		return r, nil
	}
	r.Header = WithoutOwn(resp.Header)
	if err := r.Fill(c.Method, resp); err != nil {
		return nil, err
	}
	return r, nil
}

// maxReason is the longest reason taken from a peer, in bytes. A reason that
// this version does not know is passed on, because nodes are upgraded one by one.
const maxReason = 40

// readOutcome reads what the headers say about the call itself.
func (r *Response) readOutcome(c *Call, h http.Header) error {
	if got := h.Get(request.HeaderAttempt); got != c.Attempt {
		return fmt.Errorf("response is for attempt %q, want %q", got, c.Attempt)
	}
	if unused, err := boundedInt(h, request.HeaderBudget, maxBudget); err == nil {
		r.BudgetUnused = min(unused, c.Budget)
	}
	outcome := request.ParseOutcome(h.Get(request.HeaderOutcome))
	if outcome == request.Completed {
		return nil
	}
	reason := h.Get(request.HeaderReason)
	if len(reason) > maxReason || strings.Trim(reason, "abcdefghijklmnopqrstuvwxyz_0123456789") != "" || reason == "" {
		return errors.New("response is a refusal without a valid reason")
	}
	r.Refusal = &request.Refusal{
		Reason:     request.Reason(reason),
		Outcome:    outcome,
		RetryAfter: ParseRetryAfter(h.Get(request.HeaderRetryMs), time.Millisecond),
	}
	return nil
}

// maxRetryAfter bounds a Retry-After from a peer or a backend server.
const maxRetryAfter = time.Hour

// ParseRetryAfter reads a number of units, limited to 0 to an hour; 0 if it is
// not a number.
func ParseRetryAfter(s string, unit time.Duration) time.Duration {
	n, err := strconv.ParseInt(s, 10, 64)
	if err != nil || n <= 0 {
		return 0
	}
	return time.Duration(min(n, int64(maxRetryAfter/unit))) * unit
}

// Fill reads the body of resp into r: the whole of it up to MaxBuffered bytes,
// and the remainder as a stream. After an error the body is closed.
func (r *Response) Fill(method string, resp *http.Response) error {
	err := r.fill(method, resp)
	if err != nil || r.Rest == nil {
		resp.Body.Close()
	}
	return err
}

func (r *Response) fill(method string, resp *http.Response) error {
	if resp.StatusCode < http.StatusOK || resp.StatusCode > maxStatus {
		return fmt.Errorf("response has status %d, want %d to %d", resp.StatusCode, http.StatusOK, maxStatus)
	}
	r.Length = -1
	if withoutBody(method, resp.StatusCode) {
		if resp.StatusCode == http.StatusNoContent {
			r.Header.Del("Content-Length")
		}
		return nil
	}
	if undelimited(resp) {
		return errors.New("response has neither length nor chunks, so its end cannot be told from a cut")
	}
	body, err := readUpTo(resp.Body, MaxBuffered+1, min(resp.ContentLength, MaxBuffered))
	if err != nil {
		return fmt.Errorf("read response body: %w", err)
	}
	r.Body = body
	if len(body) > MaxBuffered {
		r.Rest = resp.Body
		r.Length = resp.ContentLength
		return nil
	}
	r.Length = int64(len(body))
	if resp.ContentLength >= 0 && r.Length != resp.ContentLength {
		return fmt.Errorf("response body has %d bytes, want %d", r.Length, resp.ContentLength)
	}
	return nil
}

// maxStatus is the largest status that can be passed on; net/http panics above 999.
const maxStatus = 999

// withoutBody reports a response that never has a body, whatever its
// Content-Length says.
func withoutBody(method string, status int) bool {
	return method == http.MethodHead || status == http.StatusNoContent || status == http.StatusNotModified
}

// undelimited reports an HTTP/1 response that ends where the connection ends.
func undelimited(resp *http.Response) bool {
	return resp.ProtoMajor == 1 && resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}
