package sidecar

import (
	"bufio"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/teaselseam/teaselseam/platform"
)

// TestMalformedStoreResponse guards against reading a malformed response of the store: a commit
// would count as performed, or as refused.
func TestMalformedStoreResponse(t *testing.T) {
	c := prepareCluster(t, "stock")
	const rest = "Content-Type: application/json\r\nContent-Length: 9\r\n\r\n{\"ver\":1}"
	for name, response := range map[string]string{
		"blank in a name":  "HTTP/1.1 200 OK\r\nX Y: z\r\n" + rest,
		"empty name":       "HTTP/1.1 503 Down\r\n: z\r\n" + rest,
		"status 000":       "HTTP/1.1 000 OK\r\n\r\nHTTP/1.1 200 OK\r\n" + rest,
		"interim response": "HTTP/1.1 103 Early\r\nX\x01: z\r\n\r\nHTTP/1.1 200 OK\r\n" + rest,
	} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			closed := make(chan error, 1)
			go func() {
				c, err := l.Accept()
				if err != nil {
					return
				}
				defer c.Close()
				if req, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					io.Copy(io.Discard, req.Body)
				}
				io.WriteString(c, response)
				c.SetReadDeadline(time.Now().Add(time.Second))
				_, err = c.Read(make([]byte, 1))
				closed <- err
			}()
			node, err := New(slog.New(slog.DiscardHandler), c.newSettings(0, "stock"))
			if err != nil {
				t.Fatal(err)
			}
			defer node.kill()
			node.store.SetAddress(l.Addr().String())
			_, _, err = node.store.Commit(t.Context(), platform.Transaction{Puts: []platform.Row{{Table: "t", Key: "k"}}})
			if !errors.Is(err, platform.ErrOutcomeUnknown) {
				t.Errorf("got %v, want ErrOutcomeUnknown", err)
			}
			var timeout net.Error
			if err := <-closed; err == nil || errors.As(err, &timeout) && timeout.Timeout() {
				t.Errorf("the connection is not closed: %v", err)
			}
		})
	}
}
