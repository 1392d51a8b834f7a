// Command teaselseam is the operators' command-line tool. It changes the settings
// tree and the workspace keys of a fleet through the platform's store, shows the
// status of a node, and follows a request through the logs of several nodes.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"github.com/teaselseam/teaselseam/internal/httpcheck"
	"github.com/teaselseam/teaselseam/internal/operator"
	"github.com/teaselseam/teaselseam/internal/workspace"
	"github.com/teaselseam/teaselseam/platform"
)

// Exit codes.
const (
	exitOK             = 0
	exitError          = 1
	exitUsage          = 2
	exitConflict       = 3 // the configuration was changed concurrently
	exitOutcomeUnknown = 4 // the change may or may not have taken effect
)

const description = `Manage the settings and keys of a teaselseam fleet and inspect its state.

Exit codes: 0 ok, 1 error, 2 usage error, invalid change or failed check, 3 conflict with another change, 4 unknown outcome.`

type cli struct {
	Store   string        `help:"IP:port at which the platform's store serves operators." env:"TEASELSEAM_STORE" default:"127.0.0.1:8090"`
	Actor   string        `help:"Name recorded for changes in the audit trail." env:"TEASELSEAM_ACTOR" default:"operator"`
	Output  string        `help:"Output format (text or json)." enum:"text,json" default:"text"`
	Timeout time.Duration `help:"Time limit of the command." default:"10s"`

	Tree      treeCmd      `cmd:"" help:"Show and change the settings tree."`
	Config    configCmd    `cmd:"" help:"Check a configuration before it is sent."`
	Effective effectiveCmd `cmd:"" help:"Show the effective values of a branch and where each comes from."`
	Key       keyCmd       `cmd:"" help:"Issue, list and revoke workspace keys."`
	Evacuate  evacuateCmd  `cmd:"" help:"Begin, end and list evacuations of data centres."`
	Audit     auditCmd     `cmd:"" help:"Show who changed what, and when."`
	Backup    backupCmd    `cmd:"" help:"Write the settings tree, keys and audit trail to a file."`
	Restore   restoreCmd   `cmd:"" help:"Write what the store lacks of a backup, after it came back from an older copy."`
	Status    statusCmd    `cmd:"" help:"Show the status of a node."`
	Follow    followCmd    `cmd:"" help:"Follow a request through the logs of several nodes."`
}

// session is what a command gets to run: the client of the store and its input and output.
type session struct {
	ctx    context.Context
	client *operator.Client
	output *printer
	in     io.Reader
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	os.Exit(run(ctx, os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
}

// helpShown is the value with which the parser panics after it has printed the help. Kong
// would end the process there, but run has to return the exit code.
type helpShown struct{}

// run parses the arguments, runs the command and returns the exit code.
func run(ctx context.Context, args []string, in io.Reader, out, errOut io.Writer) (code int) {
	defer func() {
		if r := recover(); r != nil {
			if _, ok := r.(helpShown); !ok {
				panic(r)
			}
			code = exitOK
		}
	}()
	var c cli
	parser, err := kong.New(&c, kong.Name("teaselseam"), kong.Description(description),
		kong.Writers(out, errOut), kong.Exit(func(int) { panic(helpShown{}) }))
	if err != nil {
		fmt.Fprintln(errOut, "teaselseam:", err)
		return exitError
	}
	k, err := parser.Parse(args)
	if err != nil {
		fmt.Fprintf(errOut, "teaselseam: %s\nTry teaselseam --help.\n", workspace.Redact(err.Error()))
		return exitUsage
	}
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	store := platform.NewStore(c.Store, nil)
	store.WrapConn = httpcheck.WrapConn
	s := &session{
		ctx: ctx, in: in, output: &printer{out: out, asJSON: c.Output == "json"},
		client: operator.New(store, c.Actor),
	}
	if err = k.Run(s); err != nil {
		fmt.Fprintln(errOut, "teaselseam:", workspace.Redact(err.Error()))
	}
	return exitCode(err)
}

// exitCode returns the exit code of an error.
func exitCode(err error) int {
	switch {
	case err == nil:
		return exitOK
	case errors.Is(err, operator.ErrInvalid):
		return exitUsage
	case errors.Is(err, operator.ErrConflict), errors.Is(err, operator.ErrDiverged):
		return exitConflict
	case errors.Is(err, operator.ErrOutcomeUnknown):
		return exitOutcomeUnknown
	}
	return exitError
}
