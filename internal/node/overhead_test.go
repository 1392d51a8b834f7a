package node_test

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/google/uuid"

	"github.com/teaselseam/teaselseam/internal/changelog"
	"github.com/teaselseam/teaselseam/internal/config"
	"github.com/teaselseam/teaselseam/internal/node"
	"github.com/teaselseam/teaselseam/internal/peer"
	"github.com/teaselseam/teaselseam/internal/platform/standin"
	"github.com/teaselseam/teaselseam/internal/request"
	"github.com/teaselseam/teaselseam/internal/samplebackend"
	"github.com/teaselseam/teaselseam/internal/settings"
	"github.com/teaselseam/teaselseam/internal/store"
	"github.com/teaselseam/teaselseam/internal/workspace"
)

const (
	overheadRate     = 2000 // requests per second
	overheadDuration = 4 * time.Second
	serviceTime      = time.Millisecond
)

const overheadTree = `
[defaults]
rate = 100000
burst = 100000

[route near]
path = /near
service = near
idempotent = true

[route far]
path = /far
service = far
idempotent = true

[route once]
path = /once
service = far
idempotent = false
`

// BenchmarkOverhead measures what teaselseam adds to a call, side by side with
// the same backend servers reached directly: through the node beside the backend
// server (near), through a second node (far), and with a claim (once). The
// target is 2 ms at the 99th percentile.
func BenchmarkOverhead(b *testing.B) {
	key, nodes, backends := startPair(b)
	cases := []struct{ name, url string }{
		{"direct", "http://" + backends[1] + "/far"},
		{"near", "http://" + nodes[0] + "/near"},
		{"far", "http://" + nodes[0] + "/far"},
		{"once", "http://" + nodes[0] + "/once"},
	}
	for _, c := range cases {
		b.Run(c.name, func(b *testing.B) {
			for range b.N {
				h, failed := openLoop(c.url, key)
				b.ReportMetric(float64(h.ValueAtQuantile(50))/1000, "p50-ms")
				b.ReportMetric(float64(h.ValueAtQuantile(99))/1000, "p99-ms")
				b.ReportMetric(float64(failed), "failed")
			}
		})
	}
}

// openLoop sends at a fixed rate, whatever the latency, and returns latencies in
// microseconds from the time at which each request was due.
func openLoop(url, key string) (h *hdrhistogram.Histogram, failed int) {
	h = hdrhistogram.New(1, 60_000_000, 3)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}
	defer client.CloseIdleConnections()
	var mu sync.Mutex
	var wg sync.WaitGroup
	start := time.Now()
	for i := range int(overheadRate * overheadDuration.Seconds()) {
		due := start.Add(time.Duration(i) * time.Second / overheadRate)
		time.Sleep(time.Until(due))
		wg.Go(func() {
			ok := send(client, url, key)
			mu.Lock()
			defer mu.Unlock()
			if !ok {
				failed++
			}
			_ = h.RecordValue(time.Since(due).Microseconds()) // within the bounds of the histogram
		})
	}
	wg.Wait()
	return h, failed
}

func send(client *http.Client, url, key string) bool {
	req, err := http.NewRequest(http.MethodPost, url, strings.NewReader("overhead"))
	if err != nil {
		return false
	}
	req.Header.Set(request.HeaderKey, key)
	resp, err := client.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return err == nil && resp.StatusCode == http.StatusOK
}

// startPair starts two nodes with a backend server each: service near beside
// the first and far beside the second. It returns the key, the ingress addresses
// and the addresses of the backend servers.
func startPair(tb testing.TB) (key string, ingresses, backends []string) {
	tb.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	table := standin.NewMemory()
	key = seed(tb, store.NewLog(table))
	ca, err := peer.NewDevAuthority()
	if err != nil {
		tb.Fatal(err)
	}
	log := slog.New(slog.DiscardHandler)
	var wg sync.WaitGroup
	tb.Cleanup(func() { cancel(); wg.Wait() })
	var seeds []string
	for i, service := range []string{"near", "far"} {
		cfg := &config.Config{Node: config.Node{
			Name: fmt.Sprintf("n%d", i), DataCentre: "dc1", Region: "r1",
			Ingress: address(tb), PeerAddr: address(tb), Admin: address(tb),
		}}
		seeds = append(seeds, cfg.Node.PeerAddr)
		cfg.Peer.Seeds = seeds[:1]
		creds, err := ca.Credentials(cfg.Node.Name)
		if err != nil {
			tb.Fatal(err)
		}
		n, err := node.New(log, cfg, creds, table)
		if err != nil {
			tb.Fatal(err)
		}
		backend := address(tb)
		s := samplebackend.New(log, samplebackend.Config{
			Service: service, Address: backend, Ingress: cfg.Node.Ingress, Slots: 100, ServiceTime: serviceTime, Connections: 750,
		})
		wg.Go(func() { _ = n.Run(ctx) })
		wg.Go(func() { _ = s.Run(ctx) })
		ingresses, backends = append(ingresses, cfg.Node.Ingress), append(backends, backend)
	}
	client := &http.Client{}
	for _, path := range []string{"/near", "/far", "/once"} {
		for !send(client, "http://"+ingresses[0]+path, key) {
			time.Sleep(10 * time.Millisecond)
		}
	}
	return key, ingresses, backends
}

func seed(tb testing.TB, log *store.Log) (key string) {
	tb.Helper()
	tree, err := settings.Parse("test", []byte(overheadTree))
	if err != nil {
		tb.Fatal(err)
	}
	change := &changelog.SettingsChange{}
	for branch, values := range tree.Branches() {
		change.Branches = append(change.Branches, changelog.BranchChange{Branch: branch, New: values})
	}
	key = workspace.GenerateKey()
	issued := &changelog.KeyChange{Digest: workspace.DigestOf(key), Workspace: "guild"}
	for _, e := range []changelog.Entry{{Settings: change}, {KeyIssued: issued}} {
		head, err := log.Head(context.Background())
		if err != nil {
			tb.Fatal(err)
		}
		e.Operation = uuid.NewString()
		if _, err := log.Append(context.Background(), head, e); err != nil {
			tb.Fatal(err)
		}
	}
	return key
}

func address(tb testing.TB) string {
	tb.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}
