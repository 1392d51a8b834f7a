// Command teaselseam is the operators' command-line tool. It talks to the
// administration API of any node.
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

	"github.com/teaselseam/teaselseam/internal/adminapi"
	"github.com/teaselseam/teaselseam/internal/workspace"
)

// Exit codes.
const (
	exitOK       = 0
	exitError    = 1
	exitUsage    = 2
	exitConflict = 3 // another edit came first
	exitUnknown  = 4 // the change may or may not have taken effect
	exitRefused  = 5 // token is not known or lacks the right
)

const description = `Edit settings and keys of a teaselseam fleet, and look at its state.

Exit codes: 0 ok, 1 error, 2 usage, 3 conflict, 4 unknown outcome, 5 refused for lack of rights.`

type cli struct {
	Address string        `help:"IP:port of the administration listener of any node." env:"TEASELSEAM_ADDRESS" default:"127.0.0.1:8082"`
	Token   string        `help:"Operator's token. The environment variable keeps it out of process lists." env:"TEASELSEAM_TOKEN" placeholder:"TOKEN"`
	Output  string        `help:"Form of the output (text or json)." enum:"text,json" default:"text"`
	Timeout time.Duration `help:"Longest wait for an answer." default:"30s"`

	Tree       treeCmd       `cmd:"" help:"Show and change the settings tree."`
	Effective  effectiveCmd  `cmd:"" help:"Show the values in force for a workspace, route or service, and where each comes from."`
	Key        keyCmd        `cmd:"" help:"Issue, list and revoke workspace keys."`
	Status     statusCmd     `cmd:"" help:"Show the fleet and the oldest revision in force."`
	Audit      auditCmd      `cmd:"" help:"Show who changed what, and when."`
	Quarantine quarantineCmd `cmd:"" help:"List and lift quarantined requests."`
	Operation  operationCmd  `cmd:"" help:"Show whether a change took effect, by its operation ID."`
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	os.Exit(run(ctx, os.Args[1:], streams{os.Stdin, os.Stdout, os.Stderr}))
}

// streams are the standard streams of one run.
type streams struct {
	in  io.Reader
	out io.Writer
	err io.Writer
}

// helpShown ends the parser after it printed help.
type helpShown struct{}

// run runs one command and returns the exit code.
func run(ctx context.Context, args []string, s streams) (code int) {
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
		kong.Writers(s.out, s.err), kong.Exit(func(int) { panic(helpShown{}) }))
	if err != nil {
		fmt.Fprintln(s.err, "teaselseam:", err)
		return exitError
	}
	k, err := parser.Parse(args)
	if err != nil {
		fmt.Fprintf(s.err, "teaselseam: %s\nTry teaselseam --help.\n", workspace.Redact(err.Error()))
		return exitUsage
	}
	k.BindTo(ctx, (*context.Context)(nil))
	err = k.Run(newClient(&c), &printer{out: s.out, json: c.Output == "json"}, s)
	if err != nil {
		(&printer{out: s.err, json: c.Output == "json"}).failure(err)
	}
	return exitCode(err)
}

// usageError is a wrong use that the parser cannot see.
type usageError struct{ error }

// exitCode returns the exit code of an error.
func exitCode(err error) int {
	var usage usageError
	var e *adminapi.Error
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &usage):
		return exitUsage
	case !errors.As(err, &e):
		return exitError
	}
	switch e.Code {
	case adminapi.CodeConflict:
		return exitConflict
	case adminapi.CodeUnknownOutcome:
		return exitUnknown
	case adminapi.CodeUnauthenticated, adminapi.CodeForbidden:
		return exitRefused
	default:
		return exitError
	}
}
