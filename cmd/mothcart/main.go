// Command mothcart serves online and batch inference on one fleet of model engines.
//
// Usage:
//
//	mothcart COMMAND [flags] [arguments]
//	mothcart COMMAND -h
//
// Exit codes: 0 success, 1 the command failed, 2 the command line or the settings are wrong.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
)

// Exit codes.
const (
	exitOK      = 0
	exitFailure = 1
	exitUsage   = 2
)

// command is one subcommand.
type command struct {
	name    string
	summary string
	run     func(ctx context.Context, args []string, out, errOut io.Writer) int
}

// commands lists the subcommands in the order of the help text.
func commands() []command {
	return []command{
		serveCommand(),
		entryCommand(),
		homeCommand(),
		explainCommand(),
		statusCommand(),
		drainCommand(),
		checkCommand(),
		applyCommand(),
		getCommand(),
		diffCommand(),
		auditCommand(),
		jobCommand(),
		demoCommand(),
		loadCommand(),
		capacityCommand(),
		fakeCommand(),
		versionCommand(),
	}
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}

func run(ctx context.Context, args []string, out, errOut io.Writer) int {
	if len(args) == 0 || args[0] == "-h" || args[0] == "--help" || args[0] == "help" {
		printHelp(out)
		return exitOK
	}
	for _, c := range commands() {
		if c.name == args[0] {
			return c.run(ctx, args[1:], out, errOut)
		}
	}
	fmt.Fprintf(errOut, "mothcart: unknown command %q; run mothcart -h for the list\n", args[0])
	return exitUsage
}

func printHelp(w io.Writer) {
	fmt.Fprintln(w, "usage: mothcart COMMAND [flags] [arguments]")
	fmt.Fprintln(w)
	for _, c := range commands() {
		fmt.Fprintf(w, "  %-10s %s\n", c.name, c.summary)
	}
	fmt.Fprintln(w, "\nmothcart COMMAND -h lists the flags of a command.")
	fmt.Fprintln(w, "exit codes: 0 success, 1 failure, 2 wrong command line or settings")
}
