package ingress_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
)

// TestAnswers guards what a caller sees of a backend server's answer, beside the
// node and through a peer: complete answers pass, and all others are refused
// with an outcome that is true.
func TestAnswers(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	for _, c := range []struct{ name, method, answer, want string }{
		{"complete", "POST", ok + "Content-Length: 5\r\n\r\nhello", `200  "hello"`},
		{"chunked", "POST", ok + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n", `200  "hello"`},
		{"early hints", "POST", "HTTP/1.1 103 Early Hints\r\n\r\n" + ok + "Content-Length: 5\r\n\r\nhello", `200  "hello"`},
		{"short", "POST", ok + "Content-Length: 9\r\n\r\nhello", "502 may_have_run bad_answer"},
		{"short chunks", "POST", ok + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n", "502 may_have_run bad_answer"},
		{"longer than its length", "POST", ok + "Content-Length: 5\r\n\r\nhello more", `200  "hello"`},
		{"no length", "POST", ok + "\r\nhello", "502 may_have_run bad_answer"},
		{"HEAD", "HEAD", ok + "Content-Length: 5\r\n\r\n", `200  ""`},
		{"204", "POST", "HTTP/1.1 204 No Content\r\n\r\n", `204  ""`},
		{"304", "GET", "HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n\r\n", `304  ""`},
		{"redirect", "GET", "HTTP/1.1 302 Found\r\nLocation: /idem/other\r\nContent-Length: 0\r\n\r\n", `302  ""`},
		{"bad location", "GET", "HTTP/1.1 302 Found\r\nLocation: :%\r\nContent-Length: 0\r\n\r\n", `302  ""`},
		{"switching protocols", "POST", "HTTP/1.1 101 Switching Protocols\r\n\r\n", "502 may_have_run bad_answer"},
		{"absurd status", "POST", "HTTP/1.1 099 Low\r\nContent-Length: 0\r\n\r\n", "502 may_have_run bad_answer"},
		{"not HTTP", "POST", "hello", "502 may_have_run backend_server_lost"},
		{"nothing", "POST", "", "502 may_have_run backend_server_lost"},
		{"503", "POST", "HTTP/1.1 503 Busy\r\nContent-Length: 4\r\n\r\nbusy", `503  "busy"`},
		{
			"503 not run", "POST", "HTTP/1.1 503 Busy\r\nTeaselseam-Outcome: not_run\r\nRetry-After: 99999999999\r\nContent-Length: 0\r\n\r\n",
			"503 not_run overload",
		},
		{
			"copied nested refusal", "POST", "HTTP/1.1 503 Busy\r\nTeaselseam-Outcome: not_run\r\n" +
				"Teaselseam-Request-Id: nested\r\nContent-Length: 0\r\n\r\n", `503  ""`,
		},
	} {
		for _, viaPeer := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/peer=%v", c.name, viaPeer), func(t *testing.T) {
				var runs atomic.Int64
				address := listen(t, func(conn net.Conn) {
					defer conn.Close()
					req, err := http.ReadRequest(bufio.NewReader(conn))
					if err != nil {
						return // the connection that looks whether the process has ended
					}
					if req.Method != http.MethodOptions { // the probe of a slow connection
						runs.Add(1)
					}
					_, _ = io.Copy(io.Discard, req.Body)
					_, _ = io.WriteString(conn, c.answer)
				})
				a := newFixture(t, address, viaPeer).send(t, c.method, "/once", "", "Idempotency-Key", "k")
				got := fmt.Sprintf("%d %s %q", a.status, a.outcome, a.body)
				if a.outcome != "" {
					got = fmt.Sprintf("%d %s %s", a.status, a.outcome, a.reason)
				}
				if got != c.want || runs.Load() != 1 || a.err != nil {
					t.Errorf("got %s after %d runs (%v), want %s after 1", got, runs.Load(), a.err, c.want)
				}
			})
		}
	}
}

// TestCutStream guards a long answer that is cut: the caller must notice, and
// its slot and its token must be free again.
func TestCutStream(t *testing.T) {
	for _, viaPeer := range []bool{false, true} {
		address := handled(t, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", fmt.Sprint(3<<20))
			_, _ = io.WriteString(w, strings.Repeat("x", 2<<20))
			panic(http.ErrAbortHandler)
		})
		f := newFixture(t, address, viaPeer)
		a := f.send(t, "POST", "/once", "")
		if a.err == nil || a.status != http.StatusOK {
			t.Errorf("peer=%v: got status %d and a complete body of %d bytes, want a cut one", viaPeer, a.status, len(a.body))
		}
		if err := f.guard.Drain(t.Context()); err != nil || f.limiter.running.Load() != 0 || f.guard.Running().Count() != 0 {
			t.Errorf("peer=%v: after the cut: drain %v, %d slots held", viaPeer, err, f.limiter.running.Load())
		}
	}
}

// TestClosedIdleConnections guards G8 and G9 against a backend server that
// closes each connection after its answer, so that calls cross the close: none
// runs twice, and none that ran says that it did not.
func TestClosedIdleConnections(t *testing.T) {
	var runs sync.Map
	address := listen(t, func(conn net.Conn) {
		defer conn.Close()
		req, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}
		if req.Method == http.MethodOptions {
			return // the probe of a slow connection
		}
		if _, again := runs.LoadOrStore(req.Header.Get("X-Call"), true); again {
			t.Errorf("call %s ran twice", req.Header.Get("X-Call"))
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone")
	})
	f := newFixture(t, address, false)
	for i := range 200 {
		name := fmt.Sprint(i)
		a := f.send(t, "GET", "/once", "", "X-Call", name)
		if _, ran := runs.Load(name); ran && a.outcome == "not_run" || a.status != http.StatusOK && a.outcome == "" {
			t.Errorf("call %s: status %d, outcome %q, ran %v", name, a.status, a.outcome, ran)
		}
	}
}
