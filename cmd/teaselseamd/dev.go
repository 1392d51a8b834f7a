package main

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/google/uuid"
	"golang.org/x/sync/errgroup"

	"github.com/teaselseam/teaselseam/internal/changelog"
	"github.com/teaselseam/teaselseam/internal/config"
	"github.com/teaselseam/teaselseam/internal/node"
	"github.com/teaselseam/teaselseam/internal/obs"
	"github.com/teaselseam/teaselseam/internal/peer"
	"github.com/teaselseam/teaselseam/internal/platform/standin"
	"github.com/teaselseam/teaselseam/internal/request"
	"github.com/teaselseam/teaselseam/internal/samplebackend"
	"github.com/teaselseam/teaselseam/internal/settings"
	"github.com/teaselseam/teaselseam/internal/store"
	"github.com/teaselseam/teaselseam/internal/workspace"
)

// Addresses and names of the development node.
const (
	devIngress = "127.0.0.1:8080"
	devPeer    = "127.0.0.1:8081"
	devAdmin   = "127.0.0.1:8082"
	devBackend = "127.0.0.1:8083"
	devToken   = "dev-operator"
	devPoll    = 50 * time.Millisecond
)

const devTree = `
[defaults]
rate = 1000
burst = 1000

[workspace demo]

[route echo]
path = /echo
service = sample
idempotent = true
`

type devCmd struct{}

// Run starts a node with everything it needs in this process.
func (devCmd) Run(ctx context.Context, c *cli) error {
	log := obs.NewLogger(os.Stderr, c.LogLevel, "dev")
	authority, err := peer.NewDevAuthority()
	if err != nil {
		return err
	}
	creds, err := authority.Credentials("dev")
	if err != nil {
		return err
	}
	table := standin.NewMemory()
	key, err := seed(ctx, store.NewLog(table))
	if err != nil {
		return err
	}
	n, err := node.New(log, devConfig(), creds, table)
	if err != nil {
		return err
	}
	backend := samplebackend.New(log, samplebackend.Config{
		Service: "sample", Address: devBackend, Ingress: devIngress, Slots: 16, ServiceTime: time.Millisecond, Connections: 100,
	})
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return announceReady(ctx, key) })
	g.Go(func() error { return n.Run(ctx) })
	g.Go(func() error { return backend.Run(ctx) })
	return g.Wait()
}

// announceReady prints how to send a request once one is served. That takes about
// two seconds, because the first ring is committed by then.
func announceReady(ctx context.Context, key string) error {
	for !served(ctx, key) {
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(devPoll):
		}
	}
	fmt.Printf("\ntry:\n\n    curl -i -H '%s: %s' -d hello http://%s/echo\n\noperator token for teaselseam: %s\n\n",
		request.HeaderKey, key, devIngress, devToken)
	return nil
}

func served(ctx context.Context, key string) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+devIngress+"/echo", nil)
	if err != nil {
		return false
	}
	req.Header.Set(request.HeaderKey, key)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func devConfig() *config.Config {
	digest := sha256.Sum256([]byte(devToken))
	return &config.Config{
		Node: config.Node{
			Name: "dev", DataCentre: "dc1", Region: "region1",
			Ingress: devIngress, PeerAddr: devPeer, Admin: devAdmin,
		},
		Operators: []config.Operator{{Name: "dev", TokenDigest: hex.EncodeToString(digest[:]), Rights: config.Rights}},
	}
}

// seed writes the demonstration tree and issues a key.
func seed(ctx context.Context, log *store.Log) (key string, err error) {
	tree, err := settings.Parse("dev", []byte(devTree))
	if err != nil {
		return "", err
	}
	change := &changelog.SettingsChange{}
	for b, v := range tree.Branches() {
		change.Branches = append(change.Branches, changelog.BranchChange{Branch: b, New: v})
	}
	key = workspace.GenerateKey()
	for _, e := range []changelog.Entry{
		{Settings: change},
		{KeyIssued: &changelog.KeyChange{Digest: workspace.DigestOf(key), Workspace: "demo"}},
	} {
		head, err := log.Head(ctx)
		if err != nil {
			return "", err
		}
		e.Operation, e.Actor, e.Time = uuid.NewString(), "dev", time.Now()
		if _, err := log.Append(ctx, head, e); err != nil {
			return "", err
		}
	}
	return key, nil
}

func checkTree(file string) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	if _, err := settings.Parse(file, data); err != nil {
		return err
	}
	fmt.Println("ok")
	return nil
}
