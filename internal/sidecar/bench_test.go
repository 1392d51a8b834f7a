package sidecar

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"
)

// BenchmarkCall measures one request of a caller, to the backend server on the same VM
// and to one on another VM. The figures include the caller and the backend server, which
// run in the same process.
func BenchmarkCall(b *testing.B) {
	c := newCluster(b, "stock", "mill")
	for _, n := range c.nodes {
		n.backend.Intercept(func(w http.ResponseWriter, _ *http.Request) bool {
			w.Header().Set("Response-Signature", "signed")
			_, _ = io.WriteString(w, strings.Repeat("x", 1000))
			return true
		})
	}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}}
	for name, service := range map[string]string{"local": "stock", "peer": "mill"} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for i := range b.N {
				req, err := http.NewRequest(http.MethodGet, "http://"+c.nodes[0].settings.CallerAddress+"/"+service+"/view/1", nil)
				if err != nil {
					b.Fatal(err)
				}
				req.Host = "shop.example"
				req.Header.Set("Request-Id", fmt.Sprint(service, i, time.Now().UnixNano()))
				req.Header.Set("Deadline-Ms", "2000")
				req.Header.Set("Authorization", "Bearer key-guild")
				resp, err := client.Do(req)
				if err != nil {
					b.Fatal(err)
				}
				if _, err := io.Copy(io.Discard, resp.Body); err != nil || resp.StatusCode != http.StatusOK {
					b.Fatalf("status %d, %v", resp.StatusCode, err)
				}
				resp.Body.Close()
			}
		})
	}
}
