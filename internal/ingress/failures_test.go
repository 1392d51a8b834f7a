package ingress_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/teaselseam/teaselseam/internal/control"
	"github.com/teaselseam/teaselseam/internal/request"
	"github.com/teaselseam/teaselseam/internal/workspace"
)

// TestChangesInQueue guards against running a call on what was true when it
// arrived: its key revoked, the node stale, or the deadline passed meanwhile.
func TestChangesInQueue(t *testing.T) {
	for _, c := range []struct {
		name, want, timeout string
		change              func(*fixture)
	}{
		{"revoked", "key_revoked", "1000", func(f *fixture) {
			f.ctl.change(func(s *control.Snapshot) { s.Keys = s.Keys.Revoke(workspace.DigestOf(testKey)) })
		}},
		{"stale", "node_stale", "1000", func(f *fixture) { f.ctl.stale.Store(true) }},
		{"deadline", "deadline", "50", func(*fixture) { time.Sleep(100 * time.Millisecond) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			var runs atomic.Int64
			f := newFixture(t, handled(t, func(http.ResponseWriter, *http.Request) { runs.Add(1) }), false)
			f.limiter.admit = make(chan struct{})
			go func() {
				<-f.limiter.waiting
				c.change(f)
				close(f.limiter.admit)
			}()
			a := f.send(t, "POST", "/once", "", request.HeaderTimeout, c.timeout)
			if a.reason != c.want || a.outcome != "not_run" || runs.Load() != 0 {
				t.Errorf("got %s %s after %d runs, want %s not_run after 0", a.reason, a.outcome, runs.Load(), c.want)
			}
		})
	}
}

// TestNestedCalls guards the life of a call token: it lends the workspace while
// its call runs and is refused afterwards.
func TestNestedCalls(t *testing.T) {
	tokens := make(chan string, 1)
	var f *fixture
	f = newFixture(t, handled(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/idem/nested" {
			_, _ = io.WriteString(w, r.Header.Get(request.HeaderWorkspace))
			return
		}
		token := r.Header.Get(request.HeaderCall)
		a := f.send(t, "GET", "/idem/nested", "", request.HeaderKey, "", request.HeaderCall, token)
		_, _ = io.WriteString(w, a.body)
		tokens <- token
	}), false)
	if a := f.send(t, "POST", "/once", ""); a.body != "guild" {
		t.Errorf("nested call ran for workspace %q (status %d), want guild", a.body, a.status)
	}
	late := f.send(t, "GET", "/idem/nested", "", request.HeaderKey, "", request.HeaderCall, <-tokens)
	if late.reason != "unknown_key" || late.outcome != "not_run" {
		t.Errorf("call with a token whose call has ended: got %s %s, want unknown_key not_run", late.reason, late.outcome)
	}
}

// TestTwoCopies guards G9: of two copies of one request one runs, and the other
// does not say that it did not run elsewhere.
func TestTwoCopies(t *testing.T) {
	var runs atomic.Int64
	f := newFixture(t, handled(t, func(http.ResponseWriter, *http.Request) { runs.Add(1) }), false)
	id := string(request.NewID())
	first := f.send(t, "POST", "/once", "", request.HeaderID, id)
	second := f.send(t, "POST", "/once", "", request.HeaderID, id)
	if first.status != http.StatusOK || second.reason != "duplicate" || second.outcome != "may_have_run" || runs.Load() != 1 {
		t.Errorf("got status %d, then %s %s, after %d runs", first.status, second.reason, second.outcome, runs.Load())
	}
}

// relay passes bytes on, until silent is set; then connections that are open
// swallow all bytes, while new ones work.
func relay(t *testing.T, to string) (address string, silence func()) {
	var generation atomic.Int64
	address = listen(t, func(in net.Conn) {
		born := generation.Load()
		out, err := net.Dial("tcp", to)
		if err != nil {
			return
		}
		pass := func(dst, src net.Conn) {
			defer dst.Close()
			buf := make([]byte, 4096)
			for {
				n, err := src.Read(buf)
				if err != nil {
					return
				}
				if generation.Load() == born {
					_, _ = dst.Write(buf[:n])
				}
			}
		}
		go pass(out, in)
		pass(in, out)
	})
	return address, func() { generation.Add(1) }
}

// TestSilentConnection guards F7: an idempotent call goes on over a new
// connection within its retry budget; one that may not be repeated ends as may
// have run at its deadline and is not sent again.
func TestSilentConnection(t *testing.T) {
	var runs atomic.Int64
	address, silence := relay(t, handled(t, func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			runs.Add(1)
		}
		_, _ = io.WriteString(w, "done")
	}))
	f := newFixture(t, address, false)
	f.send(t, "POST", "/idem", "")
	silence()
	if a := f.send(t, "POST", "/idem", ""); a.body != "done" || runs.Load() != 2 {
		t.Errorf("idempotent call: got %d %s after %d runs, want done after 2", a.status, a.reason, runs.Load())
	}
	silence()
	a := f.send(t, "POST", "/once", "", request.HeaderTimeout, "300")
	if a.reason != "deadline" || a.outcome != "may_have_run" || runs.Load() != 2 {
		t.Errorf("call not to be repeated: got %s %s after %d runs, want deadline may_have_run after 2", a.reason, a.outcome, runs.Load())
	}
}

// TestSlowBody guards against callers that announce a body and do not send it:
// the refusal comes at once or at the deadline, and the connection ends.
func TestSlowBody(t *testing.T) {
	f := newFixture(t, handled(t, func(http.ResponseWriter, *http.Request) { t.Error("call ran without its body") }), false)
	for key, want := range map[string]string{"unknown": "unknown_key", testKey: "deadline"} {
		conn, err := net.Dial("tcp", strings.TrimPrefix(f.url, "http://"))
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		_ = conn.SetDeadline(time.Now().Add(10 * time.Second)) // fails the reads below if the node hangs
		fmt.Fprintf(conn, "POST /once HTTP/1.1\r\nHost: h\r\nTeaselseam-Key: %s\r\nTeaselseam-Timeout-Ms: 100\r\nContent-Length: 9\r\n\r\nhalf", key)
		reader := bufio.NewReader(conn)
		resp, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		if got := resp.Header.Get(request.HeaderReason); got != want {
			t.Errorf("got reason %s, want %s", got, want)
		}
		if _, err := reader.ReadByte(); err != io.EOF {
			t.Errorf("after the refusal: got %v, want the connection closed", err)
		}
	}
}

// TestBackendGone guards the outcomes when the backend server is gone: a refused
// connection is not run, and the death is noticed.
func TestBackendGone(t *testing.T) {
	gone := listen(t, func(net.Conn) {})
	f := newFixture(t, "127.0.0.1:1", false)
	for range 2 {
		if a := f.send(t, "POST", "/once", ""); a.outcome != "not_run" {
			t.Errorf("got %s %s, want not_run", a.reason, a.outcome)
		}
	}
	if f.backend.Serves("echo") {
		t.Error("backend server counts as serving after a refused connection")
	}
	f.backend.Announce(control.Announcement{Service: "echo", Address: gone, Instance: "i2"}, time.Now())
	if a := f.send(t, "POST", "/once", "", request.HeaderTimeout, "100"); a.outcome != "may_have_run" {
		t.Errorf("a call that was written: got %s %s, want may_have_run", a.reason, a.outcome)
	}
}
