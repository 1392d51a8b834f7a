package hop

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/teaselseam/teaselseam/internal/request"
)

const refusalWithoutID = "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"

// TestRefusalTwice guards against taking the second copy of a refusal as the statement that
// the next request on the connection, or the same one when it is sent again, has not run.
func TestRefusalTwice(t *testing.T) {
	withID := "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: r0\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
	for name, x := range map[string]struct{ refusal, next string }{
		"without an ID": {refusalWithoutID, "r1"},
		"with an ID":    {withID, "r1"},
		"sent again":    {withID, "r0"},
	} {
		t.Run(name, func(t *testing.T) {
			s := serve(t, func(c net.Conn, _ *http.Request) bool {
				io.WriteString(c, x.refusal)
				time.AfterFunc(30*time.Millisecond, func() { io.WriteString(c, x.refusal) })
				return true
			}, func(c net.Conn, r *http.Request) bool { // runs
				time.Sleep(100 * time.Millisecond)
				io.WriteString(c, response(r.Header.Get("Request-Id"), "ok"))
				return true
			})
			p := newTestPool()
			if resp, err := toBackend(t, p, s.addr, newCall("r0", "x")); err != nil || resp.Refusal == nil || resp.Refusal.Outcome != request.NotRun {
				t.Fatalf("first request: %+v, %v", resp, err)
			}
			resp, err := toBackend(t, p, s.addr, newCall(x.next, "x"))
			if err != nil || resp.Refusal != nil || string(resp.Body) != "ok" {
				t.Errorf("next request: %+v, %v; want the response of its run", resp, err)
			}
		})
	}
}

// TestRefusalWithoutIDOnKeptConnection guards against believing a refusal that names no
// request where one to an earlier request may arrive.
func TestRefusalWithoutIDOnKeptConnection(t *testing.T) {
	s := serve(t, respond(response("r0", "ok")), respond(refusalWithoutID))
	p := newTestPool()
	if _, err := toBackend(t, p, s.addr, newCall("r0", "x")); err != nil {
		t.Fatal(err)
	}
	if resp, err := toBackend(t, p, s.addr, newCall("r1", "x")); err == nil || !err.Sent {
		t.Errorf("got %+v, %v; want an error with Sent set", resp, err)
	}
}

// TestHealthResponseOfRequest guards against taking the late response to a request for that
// to a health check.
func TestHealthResponseOfRequest(t *testing.T) {
	s := serve(t, func(c net.Conn, _ *http.Request) bool {
		io.WriteString(c, response("r0", "ok"))
		time.AfterFunc(20*time.Millisecond, func() {
			io.WriteString(c, "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: r0\r\nInstance-Id: i-9\r\nCold-Ms: 5000\r\nContent-Length: 0\r\n\r\n")
		})
		return true
	}, func(c net.Conn, _ *http.Request) bool {
		time.Sleep(50 * time.Millisecond)
		io.WriteString(c, "HTTP/1.1 200 OK\r\nInstance-Id: i-1\r\nContent-Length: 0\r\n\r\n")
		return true
	})
	p := newTestPool()
	if _, err := toBackend(t, p, s.addr, newCall("r0", "x")); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if h, err := p.CheckHealth(ctx, s.addr, "/healthz"); err != nil || h.Instance != "i-1" {
		t.Errorf("got %+v, %v; want the response of i-1", h, err)
	}
}

// TestCutHead guards against taking a response whose head is cut off for a whole one.
func TestCutHead(t *testing.T) {
	for _, head := range []string{
		"HTTP/1.1 200 OK\r\n" + nodeLine + "Request-Id: r1\r\nResponse-Signature: x\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\n" + nodeLine + "Response-Signature: x\r\nRequest-Id: r1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\n" + nodeLine + "Request-Id: r1\r\nContent-Length: 1500\r\nResponse-Signature: x\r\n\r\n",
	} {
		for n := range len(head) {
			s := serve(t, func(c net.Conn, _ *http.Request) bool {
				io.WriteString(c, head[:n])
				return false
			})
			for _, send := range []func(*Pool, context.Context, string, *Call) (*Response, *Error){(*Pool).SendToBackend, (*Pool).SendToNode} {
				ctx, cancel := context.WithTimeout(context.Background(), time.Second)
				if resp, err := send(newTestPool(), ctx, s.addr, newCall("r1", "x")); err == nil || !err.Sent {
					t.Errorf("%d bytes of %q: %+v, %v; want an error with Sent set", n, head, resp, err)
				}
				cancel()
			}
		}
	}
}

// TestResponseOfNode guards against taking the response of another program than a node, such as
// a redirect, for that of a backend server.
func TestResponseOfNode(t *testing.T) {
	for _, status := range []string{"200 OK", "204 No Content", "307 Temporary Redirect", "400 Bad Request", "431 Request Header Fields Too Large"} {
		s := serve(t, respond("HTTP/1.1 "+status+"\r\nRequest-Id: r1\r\nResponse-Signature: x\r\nLocation: /a\r\nContent-Length: 0\r\n\r\n"))
		if resp, err := newTestPool().SendToNode(t.Context(), s.addr, newCall("r1", "x")); err == nil || !err.Sent {
			t.Errorf("%s: %+v, %v; want an error with Sent set", status, resp, err)
		}
	}
}
