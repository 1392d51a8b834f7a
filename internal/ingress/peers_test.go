package ingress_test

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/teaselseam/teaselseam/internal/control"
	"github.com/teaselseam/teaselseam/internal/membership"
	"github.com/teaselseam/teaselseam/internal/request"
)

// TestFailingPeers guards the outcome when another node answers wrongly or dies
// before, while and after it reads the call.
func TestFailingPeers(t *testing.T) {
	answer := func(attempt string, h ...string) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			if attempt == "" {
				attempt = r.Header.Get(request.HeaderAttempt)
			}
			w.Header().Set(request.HeaderAttempt, attempt)
			for i := 0; i < len(h); i += 2 {
				w.Header().Set(h[i], h[i+1])
			}
			_, _ = io.WriteString(w, "hello")
		}
	}
	for _, c := range []struct {
		name    string
		handler http.HandlerFunc
		want    string
	}{
		{"another attempt", answer("late", request.HeaderOutcome, "completed"), "bad_answer may_have_run"},
		{"short body", answer("", request.HeaderOutcome, "completed", "Content-Length", "9"), "bad_answer may_have_run"},
		{"absurd outcome", answer("", request.HeaderOutcome, "perhaps", request.HeaderReason, "later"), "later may_have_run"},
		{"absurd reason", answer("", request.HeaderOutcome, "not_run", request.HeaderReason, "\""), "bad_answer may_have_run"},
		{"dies with the call", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, "peer_lost may_have_run"},
		{"dies before the call", nil, "peer_lost not_run"},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t, "127.0.0.1:9", true)
			peer := httptest.NewUnstartedServer(c.handler)
			peer.EnableHTTP2 = true
			peer.StartTLS()
			defer peer.Close()
			address := peer.Listener.Addr().String()
			if c.handler == nil {
				peer.Close()
			}
			f.ctl.change(func(s *control.Snapshot) {
				s.ByService = map[string][]membership.Member{"echo": {{ID: "n3", PeerAddress: address, Incarnation: "i"}}}
			})
			a := f.send(t, "POST", "/once", "")
			if got := a.reason + " " + a.outcome; got != c.want {
				t.Errorf("got %s, want %s", got, c.want)
			}
		})
	}
}

// TestBeforeChangeLog guards against a panic at a node that has not learned the
// change log.
func TestBeforeChangeLog(t *testing.T) {
	for _, viaPeer := range []bool{false, true} {
		f := newFixture(t, "127.0.0.1:9", viaPeer)
		f.ctl.change(func(s *control.Snapshot) { s.Settings = nil })
		if a := f.send(t, "GET", "/idem", ""); a.reason != "node_stale" || a.outcome != "not_run" {
			t.Errorf("got %s %s, want node_stale not_run", a.reason, a.outcome)
		}
	}
}

// TestCancellation guards the way of a cancellation: when the caller leaves, the
// call and its nested call end at the backend server.
func TestCancellation(t *testing.T) {
	ended := make(chan string, 2)
	var f *fixture
	wait := func(r *http.Request) {
		<-r.Context().Done()
		ended <- r.URL.Path
	}
	nested := make(chan struct{})
	f = newFixture(t, handled(t, func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/idem/nested" {
			close(nested)
			wait(r)
			return
		}
		go f.send(t, "GET", "/idem/nested", "", request.HeaderKey, "", request.HeaderCall, r.Header.Get(request.HeaderCall))
		wait(r)
	}), true)
	conn, err := net.Dial("tcp", f.url[len("http://"):])
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.WriteString(conn, "GET /idem HTTP/1.1\r\nHost: h\r\nTeaselseam-Key: "+testKey+"\r\nTeaselseam-Timeout-Ms: 5000\r\n\r\n")
	<-nested
	conn.Close()
	for range 2 {
		select {
		case <-ended:
		case <-time.After(4 * time.Second): // the deadline would end them after 5 s
			t.Fatal("a call went on after its caller had left")
		}
	}
}
