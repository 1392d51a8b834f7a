package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/teaselseam/teaselseam/internal/obs"
	"github.com/teaselseam/teaselseam/internal/standin"
)

type storeCmd struct {
	Address  string `help:"IP:port for nodes." required:""`
	Operator string `help:"IP:port for operators, who may write the configuration." required:""`
}

// Run serves an empty store until ctx is cancelled.
func (s *storeCmd) Run(ctx context.Context) error {
	return serveStore(ctx, standin.NewStore(), s.Address, s.Operator)
}

// serveStore serves a store at one address for nodes and at another for operators,
// until ctx is cancelled or one of the servers fails.
func serveStore(ctx context.Context, st *standin.Store, nodes, operators string) error {
	errs := make(chan error, 2)
	for address, handler := range map[string]http.Handler{nodes: st, operators: st.OperatorHandler()} {
		server := &http.Server{Addr: address, Handler: handler, ReadHeaderTimeout: time.Second}
		context.AfterFunc(ctx, func() { server.Close() })
		go func() { errs <- server.ListenAndServe() }()
	}
	if err := <-errs; err != http.ErrServerClosed {
		return fmt.Errorf("in-memory store: %w", err)
	}
	return nil
}

type backendCmd struct {
	ID       string        `help:"ID of the backend server." required:""`
	Service  string        `help:"Name of the service." required:""`
	Address  string        `help:"IP:port to listen on." required:""`
	Announce string        `help:"IP:port at which the node beside it receives announcements." required:""`
	Slots    int           `help:"Number of requests that run concurrently." default:"16"`
	Work     time.Duration `help:"Time for which a request occupies a slot." default:"5ms"`
}

// Run runs the sample backend server until ctx is cancelled.
func (b *backendCmd) Run(ctx context.Context, c *cli) error {
	log := obs.NewLogger(os.Stdout, c.LogLevel, b.ID)
	return standin.NewBackend(standin.BackendConfig{
		ID: b.ID, Service: b.Service, Address: b.Address, AnnounceAddress: b.Announce, Slots: b.Slots, ServiceTime: b.Work,
		AnnounceInterval: time.Second,
		Log:      func(format string, args ...any) { log.Warn(fmt.Sprintf(format, args...)) },
	}).Serve(ctx)
}
