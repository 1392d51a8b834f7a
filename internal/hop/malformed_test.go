package hop

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/teaselseam/teaselseam/internal/pressure"
)

// malformedAnswers are answers that net/http reads in spite of what is wrong with them, each with
// signed bytes that are not the body which was sent. The table of package httpcheck has the rest.
var malformedAnswers = map[string]string{
	"blank in a name":       signedHead + "X Y: z\r\nContent-Length: 1\r\n\r\na",
	"length with a blank":   signedHead + "Content-Length : 3\r\n\r\nabc",
	"encoding with a blank": signedHead + "Transfer-Encoding : chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
	"status 000":            "HTTP/1.1 000 OK\r\n\r\n" + signedHead + "Content-Length: 1\r\n\r\na",
	"status 099":            "HTTP/1.1 099 OK\r\n\r\n" + signedHead + "Content-Length: 1\r\n\r\na",
	"malformed interim":     "HTTP/1.1 103 Early\r\nX Y: z\r\n\r\n" + signedHead + "Content-Length: 1\r\n\r\na",
	"malformed trailer":     signedHead + "Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\nX Y: z\r\n\r\n",
	"length and encoding":   signedHead + "Content-Length: 9\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n",
	"bare line feeds":       strings.ReplaceAll(signedHead, "\r\n", "\n") + "Content-Length: 1\n\na",
	"not executed":          "HTTP/1.1 503 Full\r\nRequest-Id: r1\r\nNot-Executed: 1\r\nX Y: z\r\nContent-Length: 0\r\n\r\n",
}

// TestMalformedAnswer guards against taking a malformed response for an answer, wherever answers
// are read: its body may not be the one that was sent, and it tells nothing about whether the
// request has run. Its connection is closed.
func TestMalformedAnswer(t *testing.T) {
	node := func(text string) string { // the same from a node
		return strings.Replace(text, "Request-Id: r1\r\n", "Request-Id: r1\r\n"+loadHeader+": "+pressure.EncodeLoad(pressure.Load{})+"\r\n", 1)
	}
	exchanges := map[string]struct {
		text func(string) string
		do   func(ctx context.Context, p *Pool, addr string) *Error
	}{
		"call to a backend server": {strings.Clone, func(ctx context.Context, p *Pool, addr string) *Error {
			_, err := p.SendToBackend(ctx, addr, newCall("r1", "x"))
			return err
		}},
		"call to a node": {node, func(ctx context.Context, p *Pool, addr string) *Error {
			_, err := p.SendToNode(ctx, addr, newCall("r1", "x"))
			return err
		}},
		"message to a node": {strings.Clone, func(ctx context.Context, p *Pool, addr string) *Error {
			_, err := p.Post(ctx, addr, MessagePrefix+"x", nil)
			return err
		}},
		"health check": {func(text string) string {
			return strings.Replace(text, "Request-Id: r1\r\n", "Instance-Id: i-1\r\n", 1)
		}, func(ctx context.Context, p *Pool, addr string) *Error {
			if _, err := p.CheckHealth(ctx, addr, "/healthz"); err != nil {
				return err.(*Error)
			}
			return nil
		}},
	}
	for what, x := range exchanges {
		for name, answer := range malformedAnswers {
			t.Run(what+"/"+name, func(t *testing.T) {
				closed := make(chan struct{})
				s := serve(t, func(c net.Conn, _ *http.Request) bool {
					io.WriteString(c, x.text(answer))
					c.SetReadDeadline(time.Now().Add(time.Second))
					if _, err := c.Read(make([]byte, 1)); err != nil && !isTimeout(err) {
						close(closed)
					}
					return false
				})
				ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
				defer cancel()
				if err := x.do(ctx, newTestPool(), s.addr); err == nil || !err.Sent {
					t.Errorf("got %v; want an error with Sent set", err)
				}
				select {
				case <-closed:
				case <-time.After(2 * time.Second):
					t.Error("the connection is not closed")
				}
			})
		}
	}
}

func isTimeout(err error) bool {
	ne, ok := err.(net.Error)
	return ok && ne.Timeout()
}

// TestMalformedBytesBehindAnswer guards against reusing a connection on which malformed bytes
// follow an answer, and against losing the answer itself.
func TestMalformedBytesBehindAnswer(t *testing.T) {
	s := serve(t, respond(response("r1", "one")+"no answer\r\n"), respond(response("r2", "two")))
	p := newTestPool()
	if resp, err := toBackend(t, p, s.addr, newCall("r1", "x")); err != nil || string(resp.Body) != "one" {
		t.Fatalf("first request: %+v, %v", resp, err)
	}
	if resp, err := toBackend(t, p, s.addr, newCall("r2", "x")); err != nil || string(resp.Body) != "two" {
		t.Fatalf("second request: %+v, %v", resp, err)
	}
}
