// Command teaselseamd is the teaselseam node. One runs beside each backend
// server.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"github.com/teaselseam/teaselseam/internal/config"
	"github.com/teaselseam/teaselseam/internal/node"
	"github.com/teaselseam/teaselseam/internal/obs"
	"github.com/teaselseam/teaselseam/internal/peer"
	"github.com/teaselseam/teaselseam/internal/platform/standin"
	"github.com/teaselseam/teaselseam/internal/samplebackend"
)

type cli struct {
	LogLevel slog.Level `help:"Lowest level that is logged (debug, info, warn, error)." default:"info"`

	Run             runCmd             `cmd:"" help:"Run a node."`
	Sidecar         sidecarCmd         `cmd:"" help:"Run the node beside a backend server on the users' platform."`
	Check           checkCmd           `cmd:"" help:"Check a node's settings file, or a settings tree with --tree, without starting."`
	Dev             devCmd             `cmd:"" help:"Run one node with a sample backend server and an embedded platform stand-in."`
	PlatformStandin platformStandinCmd `cmd:"" help:"Run the platform stand-in. For tests only."`
	SampleBackend   sampleBackendCmd   `cmd:"" help:"Run a sample backend server. For tests only."`
}

func main() {
	var c cli
	k := kong.Parse(&c, kong.Name("teaselseamd"), kong.Description("Overload control node for service call graphs."))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	k.BindTo(ctx, (*context.Context)(nil))
	k.FatalIfErrorf(k.Run(&c))
}

type runCmd struct {
	Config string `help:"Settings file of the node (INI)." required:"" type:"existingfile"`
}

// Run starts a node and serves until a signal.
func (r *runCmd) Run(ctx context.Context, c *cli) error {
	cfg, err := config.Load(r.Config)
	if err != nil {
		return err
	}
	creds, err := peer.LoadCredentials(cfg.Peer)
	if err != nil {
		return err
	}
	log := obs.NewLogger(os.Stderr, c.LogLevel, cfg.Node.Name)
	n, err := node.New(log, cfg, creds, standin.NewClient(cfg.Platform.Address))
	if err != nil {
		return err
	}
	return n.Run(ctx)
}

type platformStandinCmd struct {
	Address string `help:"IP:port to listen on." required:""`
}

// Run serves an in-memory platform until a signal.
func (p *platformStandinCmd) Run(ctx context.Context) error {
	s := &http.Server{Addr: p.Address, Handler: standin.Handler(standin.NewMemory()), ReadHeaderTimeout: time.Second}
	context.AfterFunc(ctx, func() { s.Close() })
	if err := s.ListenAndServe(); err != http.ErrServerClosed {
		return err
	}
	return nil
}

type sampleBackendCmd struct {
	Service     string        `help:"Name of the service." required:""`
	Address     string        `help:"IP:port to listen on." required:""`
	Ingress     string        `help:"IP:port of the node beside it." required:""`
	Slots       int           `help:"Calls run at the same time." default:"16"`
	ServiceTime time.Duration `help:"Time that a call holds its slot." default:"1ms"`
	Connections int           `help:"Connections accepted." default:"200"`
}

// Run serves sample calls until a signal.
func (s *sampleBackendCmd) Run(ctx context.Context, c *cli) error {
	log := obs.NewLogger(os.Stderr, c.LogLevel, "sample-"+s.Service)
	return samplebackend.New(log, samplebackend.Config{
		Service:     s.Service,
		Address:     s.Address,
		Ingress:     s.Ingress,
		Slots:       s.Slots,
		ServiceTime: s.ServiceTime,
		Connections: s.Connections,
	}).Run(ctx)
}

type checkCmd struct {
	Tree bool   `help:"The file is a settings tree."`
	File string `arg:"" type:"existingfile"`
}

// Run validates a file and prints the first problem.
func (c *checkCmd) Run() error {
	if c.Tree {
		return checkTree(c.File)
	}
	if _, err := config.Load(c.File); err != nil {
		return err
	}
	fmt.Println("ok")
	return nil
}
