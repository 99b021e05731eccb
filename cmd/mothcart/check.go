package main

import (
	"context"
	"flag"
	"fmt"
	"io"

	"mothcart/core/config"
)

func checkCommand() command {
	return command{name: "check", summary: "check a configuration offline and list every problem", run: runCheck}
}

func runCheck(_ context.Context, args []string, out, errOut io.Writer) int {
	fs := flag.NewFlagSet("check", flag.ContinueOnError)
	paths, code, proceed := parseArguments(fs, "check PATH", 1, args, out, errOut)
	if !proceed {
		return code
	}
	set, code, proceed := readSet("check", paths[0], errOut)
	if !proceed {
		return code
	}
	fmt.Fprintf(out, "%s: no problems, %d objects\n", paths[0], config.Count(set))
	return exitOK
}
