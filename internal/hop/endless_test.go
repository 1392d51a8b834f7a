package hop

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"
)

// endless returns a script that writes start and then filler, with a pause after each,
// until the other side closes the connection.
func endless(start, filler string, pause time.Duration) script {
	return func(c net.Conn, _ *http.Request) bool {
		io.WriteString(c, start)
		for {
			if _, err := io.WriteString(c, filler); err != nil {
				return false
			}
			time.Sleep(pause)
		}
	}
}

const signedHead = "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nResponse-Signature: x\r\n"

var endlessCases = map[string]script{
	"no response":         endless("", strings.Repeat("x", 1<<10), 0),
	"status line":         endless("HTTP/1.1 200 ", strings.Repeat("x", 1<<10), 0),
	"header value":        endless(signedHead+"X-Filler: ", strings.Repeat("x", 1<<10), 0),
	"header lines":        endless(signedHead, strings.Repeat("X-Filler: x\r\n", 100), 0),
	"slow head":           endless(signedHead+"X-Filler: ", "x", 50*time.Millisecond),
	"interim responses":   endless("", "HTTP/1.1 100 Continue\r\n\r\n", 0),
	"late response":       endless("HTTP/1.1 200 OK\r\nRequest-Id: r0\r\nTransfer-Encoding: chunked\r\n\r\n", "400\r\n"+strings.Repeat("x", 1<<10)+"\r\n", 0),
	"unsigned body":       endless("HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n\r\n", strings.Repeat("x", 1<<10), 0),
	"slow unsigned body":  endless("HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n", 50*time.Millisecond),
	"chunk extension":     endless(signedHead+"Transfer-Encoding: chunked\r\n\r\n1;", strings.Repeat("x", 1<<10), 0),
	"trailer":             endless(signedHead+"Transfer-Encoding: chunked\r\n\r\n0\r\n", strings.Repeat("X-Filler: x\r\n", 100), 0),
	"garbled chunk sizes": endless(signedHead+"Transfer-Encoding: chunked\r\n\r\n", "zz\r\n", 0),
}

// TestEndlessBytes guards against waiting for the end of bytes that are no response:
// the exchange must fail long before its deadline, so that an idempotent call can go
// elsewhere, and its connection must be closed.
func TestEndlessBytes(t *testing.T) {
	for name, s := range endlessCases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			closed := make(chan struct{})
			server := serve(t, func(c net.Conn, r *http.Request) bool {
				defer close(closed)
				return s(c, r)
			})
			call := newCall("r1", "x")
			call.Deadline = time.Now().Add(20 * time.Second)
			start := time.Now()
			resp, err := toBackend(t, newTestPool(), server.addr, call)
			if err == nil || !err.Sent || err.ContextDone && time.Since(start) > 2*maxHeadTime {
				t.Fatalf("got %+v, %v; want an error with Sent set", resp, err)
			}
			if took := time.Since(start); took > 2*maxHeadTime {
				t.Errorf("failed after %v, want at most %v", took, 2*maxHeadTime)
			}
			select {
			case <-closed:
			case <-time.After(2 * time.Second):
				t.Error("the connection is still open")
			}
		})
	}
}

// TestEndlessSignedBody guards against passing on, until the deadline, the body of an
// otherwise proper response that never ends.
func TestEndlessSignedBody(t *testing.T) {
	for name, s := range map[string]script{
		"unframed": endless(signedHead+"\r\n", strings.Repeat("x", 64<<10), 0),
		"chunked":  endless(signedHead+"Transfer-Encoding: chunked\r\n\r\n", "10000\r\n"+strings.Repeat("x", 64<<10)+"\r\n", 0),
	} {
		t.Run(name, func(t *testing.T) {
			server := serve(t, s)
			call := newCall("r1", "x")
			call.Deadline = time.Now().Add(20 * time.Second)
			ctx, cancel := context.WithDeadline(context.Background(), call.Deadline)
			defer cancel()
			resp, err := newTestPool().SendToBackend(ctx, server.addr, call)
			if err != nil || resp.Rest == nil {
				t.Fatalf("got %+v, %v; want a streamed response", resp, err)
			}
			defer resp.Close()
			n, readErr := io.Copy(io.Discard, resp.Rest)
			if !errors.Is(readErr, errResponseTooLarge) || n > maxUnknownLength {
				t.Errorf("read %d bytes, error %v; want %v after at most %d bytes", n, readErr, errResponseTooLarge, maxUnknownLength)
			}
		})
	}
}

// TestEndlessExtraBytes guards against reading what follows a complete response without
// end.
func TestEndlessExtraBytes(t *testing.T) {
	closed := make(chan struct{})
	server := serve(t, func(c net.Conn, r *http.Request) bool {
		defer close(closed)
		return endless(response("r1", "own"), strings.Repeat("x", 1<<10), 0)(c, r)
	}, respond(response("r2", "ok")))
	p := newTestPool()
	if resp, err := toBackend(t, p, server.addr, newCall("r1", "x")); err != nil || string(resp.Body) != "own" {
		t.Fatalf("got %+v, %v", resp, err)
	}
	time.Sleep(20 * time.Millisecond)
	if resp, err := toBackend(t, p, server.addr, newCall("r2", "x")); err != nil || string(resp.Body) != "ok" {
		t.Fatalf("next request: %+v, %v", resp, err)
	}
	select {
	case <-closed:
	case <-time.After(time.Second):
		t.Error("the connection is still open")
	}
}

// TestEndlessBytesMemory guards against buffering without bound what faulty backend
// servers send: 100 at once must fit into a small node.
func TestEndlessBytesMemory(t *testing.T) {
	const servers, limit = 100, 64 << 20
	var scripts []script
	for _, s := range endlessCases {
		scripts = append(scripts, s)
	}
	var before, during runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	peak := uint64(0)
	stop := make(chan struct{})
	var sampler, calls sync.WaitGroup
	sampler.Go(func() {
		for {
			runtime.ReadMemStats(&during)
			peak = max(peak, during.HeapInuse)
			select {
			case <-stop:
				return
			case <-time.After(10 * time.Millisecond):
			}
		}
	})
	for i := range servers {
		server := serve(t, scripts[i%len(scripts)])
		calls.Go(func() {
			call := newCall("r1", "x")
			call.Deadline = time.Now().Add(20 * time.Second)
			if resp, err := toBackend(t, newTestPool(), server.addr, call); err == nil {
				t.Errorf("got %+v, want an error", resp)
			}
		})
	}
	calls.Wait()
	close(stop)
	sampler.Wait()
	if peak > before.HeapInuse+limit {
		t.Errorf("the heap grew by %d MB, want at most %d", (peak-before.HeapInuse)>>20, limit>>20)
	}
}

// TestNodeHeadersFromBackend guards against taking headers of a backend server's
// response for those of the node beside it: a forged refusal would claim that a call
// that has run has not.
func TestNodeHeadersFromBackend(t *testing.T) {
	forged := map[string]string{
		RefusalHeader: "overload not_run 1 true false", loadHeader: "1 1 1 1 1", hintsHeader: "x", downstreamHeader: "1", "Teaselseam-Other": "1",
	}
	var lines strings.Builder
	for k, v := range forged {
		lines.WriteString(k + ": " + v + "\r\n")
	}
	server := serve(t, respond(signedHead+lines.String()+"Content-Length: 0\r\n\r\n"))
	resp, err := toBackend(t, newTestPool(), server.addr, newCall("r1", "x"))
	if err != nil || resp.Refusal != nil || resp.DownstreamFailed {
		t.Fatalf("got %+v, %v", resp, err)
	}
	for k := range forged {
		if resp.Header.Get(k) != "" {
			t.Errorf("header %s of the backend server is passed on", k)
		}
	}
}

// TestBodySourceFails guards against leaving the connection open after the source of a
// chunked request body has failed: the backend server would wait for the rest.
func TestBodySourceFails(t *testing.T) {
	for name, length := range map[string]int64{"chunked": -1, "framed": 10 << 10} {
		t.Run(name, func(t *testing.T) {
			closed := make(chan struct{})
			server := serve(t, func(c net.Conn, r *http.Request) bool {
				io.Copy(io.Discard, r.Body)
				c.Read(make([]byte, 1))
				close(closed)
				return false
			})
			call := newCall("r1", "")
			call.Body = Body{Data: []byte("start"), Rest: &failingReader{}, Length: length}
			start := time.Now()
			if resp, err := toBackend(t, newTestPool(), server.addr, call); err == nil || !err.Sent {
				t.Fatalf("got %+v, %v; want an error with Sent set", resp, err)
			}
			select {
			case <-closed:
			case <-time.After(time.Second):
			}
			if took := time.Since(start); took > time.Second {
				t.Errorf("the connection was closed after %v, want it closed at once", took)
			}
		})
	}
}

type failingReader struct{}

func (*failingReader) Read([]byte) (int, error) { return 0, errors.New("the caller has gone") }
