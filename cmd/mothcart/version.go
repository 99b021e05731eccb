package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"runtime"
)

// version is the release that this program was built from.
const version = "0.1.0"

func versionCommand() command {
	return command{name: "version", summary: "print the version", run: runVersion}
}

func runVersion(_ context.Context, args []string, out, errOut io.Writer) int {
	fs := flag.NewFlagSet("version", flag.ContinueOnError)
	if _, code, proceed := parseArguments(fs, "version", 0, args, out, errOut); !proceed {
		return code
	}
	fmt.Fprintf(out, "mothcart %s %s\n", version, runtime.Version())
	return exitOK
}
