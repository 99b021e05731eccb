package main

import (
	"context"
	"flag"
	"fmt"
	"io"

	"mothcart/io/operator"
	"mothcart/io/serve"
)

func drainCommand() command {
	return command{name: "drain", summary: "drain a VM: let it finish its requests, then exit", run: runDrain}
}

func runDrain(ctx context.Context, args []string, out, errOut io.Writer) int {
	fs := flag.NewFlagSet("drain", flag.ContinueOnError)
	var flags operatorFlags
	flags.register(fs)
	if _, code, proceed := parseArguments(fs, "drain [-server URL]", 0, args, out, errOut); !proceed {
		return code
	}
	client, err := flags.client()
	if err != nil {
		return failUsage("drain", err, errOut)
	}
	callCtx, cancel := callContext(ctx)
	defer cancel()
	if err := operator.Post(callCtx, client, serve.PathDrain); err != nil {
		return failCall("drain", err, "check -server and whether the VM runs", errOut)
	}
	fmt.Fprintln(out, "drain started; the process exits when its requests have finished")
	return exitOK
}
