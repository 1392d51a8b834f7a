package call

import (
	"bufio"
	"bytes"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/teaselseam/teaselseam/internal/request"
)

func sampleCall() *Call {
	return &Call{
		ID: "id", Root: "root", Attempt: "attempt", Workspace: "guild", Route: "r", Service: "s",
		Method: http.MethodPost, URI: "/x?y=1", Budget: 2, Body: []byte("body"),
		Header: http.Header{"Accept": {"text/plain"}},
	}
}

// FuzzDecodeRequest guards against a peer's request that panics the guard or is
// decoded to values out of bounds, and against a decoded call that does not
// survive another hop.
func FuzzDecodeRequest(f *testing.F) {
	var seed bytes.Buffer
	req := httptest.NewRequest(http.MethodPost, PathPrefix+"/x?y=1", strings.NewReader("body"))
	sampleCall().EncodeRequest(req.Header, time.Now())
	_ = req.Write(&seed)
	f.Add(seed.Bytes())
	f.Fuzz(func(t *testing.T, raw []byte) {
		r, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(raw)))
		if err != nil {
			return
		}
		now := time.Unix(1e9, 0)
		c, err := DecodeRequest(r, now, 100)
		if err != nil {
			return
		}
		left := c.Deadline.Sub(now)
		if left < 0 || left > maxTimeout || c.Budget < 0 || c.Budget > maxBudget || c.Depth < 0 || c.Depth > MaxDepth || len(c.Body) > 100 {
			t.Fatalf("out of bounds: %+v", c)
		}
		for name := range c.Header {
			if strings.HasPrefix(strings.ToLower(name), "teaselseam-") {
				t.Fatalf("header %s of a node would reach the backend server", name)
			}
		}
		next := httptest.NewRequest(http.MethodPost, PathPrefix+"/", bytes.NewReader(c.Body))
		c.EncodeRequest(next.Header, now)
		again, err := DecodeRequest(next, now, 100)
		if err != nil || again.ID != c.ID || again.KeyDigest != c.KeyDigest || !again.Deadline.Equal(c.Deadline) || again.Budget != c.Budget {
			t.Fatalf("second hop: %+v, %v, want %+v", again, err, c)
		}
	})
}

// FuzzReadResponse guards against a peer's response that panics the ingress, is
// taken for another attempt, or yields a budget, delay or length out of bounds.
func FuzzReadResponse(f *testing.F) {
	head := "HTTP/1.1 200 OK\r\nTeaselseam-Attempt: attempt\r\nTeaselseam-Budget: 1\r\n"
	f.Add([]byte(head+"Teaselseam-Outcome: completed\r\nContent-Length: 4\r\n\r\nbody"), "POST")
	f.Add([]byte(head+"Teaselseam-Outcome: completed\r\nContent-Length: 4\r\n\r\n"), "HEAD")
	f.Add([]byte(head+"Teaselseam-Outcome: not_run\r\nTeaselseam-Reason: overload\r\nTeaselseam-Retry-Ms: 9223372036854775807\r\n\r\n"), "GET")
	f.Fuzz(func(t *testing.T, raw []byte, method string) {
		c := sampleCall()
		c.Method = method
		resp, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(raw)), &http.Request{Method: method})
		if err != nil {
			return
		}
		attempt := resp.Header.Get(request.HeaderAttempt)
		r, err := ReadResponse(c, resp)
		if err != nil {
			return
		}
		if attempt != c.Attempt || r.BudgetUnused < 0 || r.BudgetUnused > c.Budget {
			t.Fatalf("attempt %q, unused budget %d", attempt, r.BudgetUnused)
		}
		if r.Refusal != nil {
			if d := r.Refusal.RetryAfter; d < 0 || d > maxRetryAfter {
				t.Fatalf("retry after %s", d)
			}
			return
		}
		if len(r.Body) <= MaxBuffered && r.Length >= 0 && r.Length != int64(len(r.Body)) {
			t.Fatalf("length %d, body of %d bytes", r.Length, len(r.Body))
		}
		w := httptest.NewRecorder()
		WriteBody(w, r) // panics for a status that cannot be written
	})
}

// TestWithoutOwn guards the header filter: neither own headers in any spelling
// nor headers of one connection pass.
func TestWithoutOwn(t *testing.T) {
	h := http.Header{
		"Accept": {"a"}, "Teaselseam-Key": {"k"}, "Teaselseam_key": {"k"}, "TEASELSEAM_WORKSPACE": {"w"},
		"Connection": {"X-One, x-two", "close"}, "X-One": {"1"}, "X-Two": {"2"}, "Upgrade": {"h2c"}, "Expect": {"100-continue"},
	}
	if got := WithoutOwn(h); len(got) != 1 || got.Get("Accept") != "a" {
		t.Errorf("got %v, want Accept only", got)
	}
}

// TestSetBody guards against net/http repeating a request by itself and against
// an empty POST in chunks.
func TestSetBody(t *testing.T) {
	for _, c := range []struct {
		method, key, body string
		replayable        bool
	}{
		{"GET", "", "", false},
		{"POST", "", "", true}, // only with an Idempotency-Key, which it has not
		{"POST", "k", "", false},
		{"POST", "k", "x", false},
	} {
		req := httptest.NewRequest(c.method, "/", nil)
		if c.key != "" {
			req.Header.Set("Idempotency-Key", c.key)
		}
		SetBody(req, []byte(c.body))
		if got := req.Body == http.NoBody || req.GetBody != nil; got != c.replayable {
			t.Errorf("%s with key %q and body %q: body can be repeated is %v, want %v", c.method, c.key, c.body, got, c.replayable)
		}
	}
}

// TestReadBody guards the limit of a request body, announced or not.
func TestReadBody(t *testing.T) {
	for _, length := range []int64{-1, 0, 5, 1 << 40} {
		_, err := ReadBody(strings.NewReader("hello"), length, 4)
		if !errors.Is(err, ErrBodyTooLarge) {
			t.Errorf("announced length %d: got %v, want ErrBodyTooLarge", length, err)
		}
	}
	data, err := ReadBody(strings.NewReader("hello"), -1, 5)
	if err != nil || string(data) != "hello" {
		t.Errorf("got %q, %v", data, err)
	}
}
