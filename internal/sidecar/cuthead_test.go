package sidecar

import (
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"
)

// TestCutHeadOfBackend guards against a success with an empty or short body for a response
// whose head was cut off.
func TestCutHeadOfBackend(t *testing.T) {
	c := newCluster(t, "stock", "mill")
	head := "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Signature: x\r\nContent-Length: 2\r\n\r\nok"
	n := 0
	for _, node := range c.nodes {
		node.backend.Intercept(func(w http.ResponseWriter, r *http.Request) bool {
			con, _, err := w.(http.Hijacker).Hijack()
			if err != nil {
				return false
			}
			whole := fmt.Sprintf(head, r.Header.Get("Request-Id"))
			io.WriteString(con, whole[:min(n, len(whole))])
			con.Close()
			return true
		})
	}
	for _, to := range []string{"stock", "mill"} {
		for n = 0; n < 100; n += 7 {
			if r := c.send(c.nodes[0], http.MethodPost, "/"+to+"/order/1", "key-guild", "", newID(), 2*time.Second); r.err == nil && r.status < 300 {
				if r.body != "ok" {
					t.Errorf("%s, %d bytes of the response: %+v", to, n, r)
				}
			}
		}
	}
}
