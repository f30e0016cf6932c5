// Command portstall is the one binary of this project: the load-balancing node, the control process that distributes
// configuration to nodes, and the lab that tests both at scale and under faults. `portstall --help` lists the
// subcommands.
package main

import (
	"errors"
	"fmt"
	"log/slog"
	"os"

	"github.com/alecthomas/kong"
)

// Exit codes other than 0, which is success.
const (
	exitFailure = 1 // a rule or a bound was broken, or the command failed
	exitUsage   = 2 // a mistake on the command line or in a file that it names
)

// usageError marks an error as a mistake of the caller, which ends the process with exitUsage.
type usageError struct{ error }

// Unwrap returns the error itself, without the mark.
func (e usageError) Unwrap() error { return e.error }

// cli is the command line. Kong derives commands and flags from the names of its fields.
type cli struct {
	Log string `enum:"text,json" default:"text" help:"Format of the log on standard error: text or json."`

	Node    nodeCmd    `cmd:"" help:"Run a load-balancing node, configured by the GW_* environment variables and the file that GW_CONFIG names."`
	Control controlCmd `cmd:"" help:"Run a control process, which distributes configuration to nodes: the writer, or a follower of it."`
	Demo    demoCmd    `cmd:"" help:"Run a short scenario on loopback with real nodes and stub servers, and show its progress."`
	Lab     labCmd     `cmd:"" help:"Run scenarios: on the fleet model in virtual time, or on real sockets and processes."`
	Config  configCmd  `cmd:"" help:"Check configuration files."`
	Keys    keysCmd    `cmd:"" help:"Create, show and rotate the keys by which instances authenticate each other."`
	State   stateCmd   `cmd:"" help:"Show and check the state that a node stores on disk for its next start."`
	Members membersCmd `cmd:"" help:"Show the members that a node knows, their states and the reasons."`
	Version versionCmd `cmd:"" help:"Print the version."`
}

// logger returns a logger to standard error in the format of the --log flag.
func (c *cli) logger() *slog.Logger {
	if c.Log == "json" {
		return slog.New(slog.NewJSONHandler(os.Stderr, nil))
	}
	return slog.New(slog.NewTextHandler(os.Stderr, nil))
}

func main() { os.Exit(run(os.Args[1:])) }

// run executes one command line and returns its exit code. An error is printed as one line on standard error.
func run(args []string) int {
	var c cli
	parser, err := kong.New(&c, kong.Name("portstall"), kong.UsageOnError(),
		kong.Description("A load-balancing node, its control process and the lab that tests them."))
	if err != nil {
		fmt.Fprintln(os.Stderr, "portstall:", err)
		return exitFailure
	}
	call, err := parser.Parse(args)
	if err != nil {
		fmt.Fprintln(os.Stderr, "portstall:", err)
		return exitUsage
	}
	if err := call.Run(&c); err != nil {
		fmt.Fprintln(os.Stderr, "portstall:", err)
		if errors.As(err, &usageError{}) {
			return exitUsage
		}
		return exitFailure
	}
	return 0
}
