package main

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/teaselseam/teaselseam/internal/obs"
	"github.com/teaselseam/teaselseam/internal/operator"
	"github.com/teaselseam/teaselseam/internal/settings"
	"github.com/teaselseam/teaselseam/internal/sidecar"
	"github.com/teaselseam/teaselseam/internal/standin"
	"github.com/teaselseam/teaselseam/platform"
)

// Addresses of the development fleet. Node i uses portsPerNode ports, starting at
// firstNodePort + i*portsPerNode.
const (
	devHost       = "127.0.0.1"
	storePort     = 8089
	operatorPort  = 8090
	firstNodePort = 8100
	portsPerNode  = 10
)

const devTree = `
[workspace demo]
rate = 50
burst = 50
[route hello]
path = /hello
service = hello
idempotent = true
`

type devCmd struct{}

// devNode is one node of the development fleet with its backend server.
type devNode struct {
	settings *platform.Settings
	node     *sidecar.Node
	backend  *standin.Backend
}

// Run runs the development fleet until ctx is cancelled.
func (d *devCmd) Run(ctx context.Context, c *cli) error {
	g, ctx := errgroup.WithContext(ctx)
	st := standin.NewStore()
	g.Go(func() error { return serveStore(ctx, st, devAddress(storePort), devAddress(operatorPort)) })
	var first *devNode
	for i := range 2 {
		n, err := newDevNode(c.LogLevel, i)
		if err != nil {
			return err
		}
		if first == nil {
			first = n
		}
		g.Go(func() error { return n.node.Run(ctx) })
		g.Go(func() error { return n.backend.Serve(ctx) })
	}
	g.Go(func() error { return setUpDev(ctx, first.settings) })
	return g.Wait()
}

func devAddress(port int) string { return net.JoinHostPort(devHost, fmt.Sprint(port)) }

func newDevNode(level slog.Level, i int) (*devNode, error) {
	port := firstNodePort + portsPerNode*i
	s := &platform.Settings{
		Node: fmt.Sprint("node-", i), IP: devHost, DataCentre: fmt.Sprint("dc-", i), Service: "hello",
		CallerAddress: devAddress(port), PeerAddress: devAddress(port + 1), ReadyAddress: devAddress(port + 2), AnnounceAddress: devAddress(port + 3),
		BackendAddress: devAddress(port + 4), FirstPort: port + 5, LastPort: port + 9,
		AnnounceInterval: time.Second, StoreAddress: devAddress(storePort),
		Bounds: platform.Bounds{
			Revoke: 5 * time.Second, StopGrace: 6 * time.Second, RetryRatio: 0.2, RetryWindow: 10 * time.Second, RetryExtra: 50,
		},
	}
	node, err := sidecar.New(obs.NewLogger(os.Stderr, level, s.Node), s)
	if err != nil {
		return nil, err
	}
	return &devNode{s, node, standin.NewBackend(standin.BackendConfig{
		ID: fmt.Sprint("hello-", i), Service: s.Service, Address: s.BackendAddress, AnnounceAddress: s.AnnounceAddress,
		Slots: 16, ServiceTime: 5 * time.Millisecond, AnnounceInterval: time.Second,
	})}, nil
}

// setUpDev writes the configuration to the store, waits until the node is ready and prints
// example commands.
func setUpDev(ctx context.Context, s *platform.Settings) error {
	tree, err := settings.ParseBranches("dev", []byte(devTree))
	if err != nil {
		return err
	}
	var key string
	client := operator.New(platform.NewStore(devAddress(operatorPort), nil), "dev")
	for {
		_, err = client.Apply(ctx, func(f *operator.FleetConfig) (string, error) {
			if err := f.Edit(tree); err != nil {
				return "", err
			}
			var err error
			key, err = f.IssueKey("demo")
			return "set up the development fleet", err
		})
		if err == nil {
			break
		}
		if !sleepBeforeRetry(ctx) {
			return nil
		}
	}
	for !isReady(ctx, s.ReadyAddress) {
		if !sleepBeforeRetry(ctx) {
			return nil
		}
	}
	fmt.Printf("Try:\n  curl -H 'Authorization: Bearer %s' -H 'Request-Id: r1' http://%s/hello/world\n"+
		"  teaselseam tree show\n  teaselseam status %s\n", key, s.CallerAddress, devAddress(s.FirstPort))
	return nil
}

// sleepBeforeRetry waits 100 ms. It returns false if ctx is cancelled meanwhile.
func sleepBeforeRetry(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(100 * time.Millisecond):
		return true
	}
}

// isReady reports whether the node's ready address responds with 200.
func isReady(ctx context.Context, address string) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+platform.ReadyPath, nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
