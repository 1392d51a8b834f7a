// Command teaselseamd is the teaselseam node. One runs beside each backend
// server.
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
	LogLevel slog.Level `help:"Lowest level that is logged (debug, info, warn, error)." default:"info"`

	Sidecar sidecarCmd `cmd:"" help:"Run the node beside a backend server, with the settings file that the platform names."`
	Check   checkCmd   `cmd:"" help:"Say all that is wrong with a settings file of the platform and the deploy file."`
	Dev     devCmd     `cmd:"" help:"Run two nodes with sample backend servers and a stand-in of the platform's store."`
	Store   storeCmd   `cmd:"" help:"Run a stand-in of the platform's store. For tests only."`
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
