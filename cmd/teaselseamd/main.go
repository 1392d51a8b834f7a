// Command teaselseamd runs a teaselseam node, one beside each backend server. It also
// has commands to check settings and to run a fleet for development and tests.
package main

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
)

type cli struct {
	LogLevel slog.Level `help:"Log level (debug, info, warn, error)." default:"info"`

	Sidecar sidecarCmd `cmd:"" help:"Run the node beside a backend server, with the settings file that TEASELSEAM_NODE_FILE names."`
	Check   checkCmd   `cmd:"" help:"Report all problems in the platform's settings file and in the deploy file."`
	Dev     devCmd     `cmd:"" help:"Run two nodes with sample backend servers and an in-memory store in place of the platform's."`
	Store   storeCmd   `cmd:"" help:"Run an in-memory store in place of the platform's. For tests only."`
	Backend backendCmd `cmd:"" help:"Run a sample backend server. For tests only."`
}

func main() {
	var c cli
	k := kong.Parse(&c, kong.Name("teaselseamd"), kong.Description("Overload control node for service call graphs."))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	k.BindTo(ctx, (*context.Context)(nil))
	k.FatalIfErrorf(k.Run(&c))
}
