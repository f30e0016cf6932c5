// Command portstall is the product's one binary: the node, and the lab that shows what the node does at size and
// through failures. `portstall --help` lists the subcommands; each has a file here.
package main

import (
	"errors"
	"fmt"
	"log/slog"
	"os"

	"github.com/alecthomas/kong"
)

// Exit codes. A subcommand that ends well exits with 0.
const (
	exitBroken = 1 // a rule or a bound was broken, or the program failed
	exitUsage  = 2 // a mistake in the call or in a file that it names
)

// usageError is a mistake of the caller.
type usageError struct{ error }

func (e usageError) Unwrap() error { return e.error }

// cli is the command line.
type cli struct {
	Log string `enum:"text,json" default:"text" help:"Form of the log on standard error: text or json."`

	Node    nodeCmd    `cmd:"" help:"Run one load-balancing node, configured by GW_* variables and the file that GW_CONFIG names."`
	Control controlCmd `cmd:"" help:"Run a control process, which tells nodes their configuration: the writer, or one that follows it."`
	Demo    demoCmd    `cmd:"" help:"Play a short day on loopback, with real nodes and stand-ins, and show it as it happens."`
	Lab     labCmd     `cmd:"" help:"Play scenarios: the fleet model in virtual time, or the rig on real sockets."`
	Config  configCmd  `cmd:"" help:"Look at configuration files."`
	Keys    keysCmd    `cmd:"" help:"Make, show and roll the keys by which instances know each other."`
	State   stateCmd   `cmd:"" help:"Look at what a node keeps on a disk for its next start."`
	Members membersCmd `cmd:"" help:"Show whom a node holds for a member, how they stand and why."`
	Version versionCmd `cmd:"" help:"Print the version."`
}

// logger writes to standard error in the form that the flag names.
func (c *cli) logger() *slog.Logger {
	if c.Log == "json" {
		return slog.New(slog.NewJSONHandler(os.Stderr, nil))
	}
	return slog.New(slog.NewTextHandler(os.Stderr, nil))
}

func main() { os.Exit(run(os.Args[1:])) }

// run carries out one call and returns its exit code. An error is one line on standard error.
func run(args []string) int {
	var c cli
	parser, err := kong.New(&c, kong.Name("portstall"), kong.UsageOnError(),
		kong.Description("A load-balancing node and the lab that tries it."))
	if err != nil {
		fmt.Fprintln(os.Stderr, "portstall:", err)
		return exitBroken
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
		return exitBroken
	}
	return 0
}
