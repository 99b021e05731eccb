package main

import (
	"context"
	"flag"
	"fmt"
	"io"
)

func diffCommand() command {
	return command{name: "diff", summary: "compare files with the configuration in force", run: runDiff}
}

func runDiff(ctx context.Context, args []string, out, errOut io.Writer) int {
	fs := flag.NewFlagSet("diff", flag.ContinueOnError)
	var flags operatorFlags
	flags.register(fs)
	paths, code, proceed := parseArguments(fs, "diff PATH [-server URL]", 1, args, out, errOut)
	if !proceed {
		return code
	}
	set, code, proceed := readSet("diff", paths[0], errOut)
	if !proceed {
		return code
	}
	client, err := flags.client()
	if err != nil {
		return failUsage("diff", err, errOut)
	}
	ctx, cancel := callContext(ctx)
	defer cancel()
	generation, changes, problems, err := client.Diff(ctx, set)
	if err != nil {
		return failCall("diff", err, "try another VM with -server", errOut)
	}
	for _, c := range changes {
		fmt.Fprintln(out, c)
	}
	fmt.Fprintf(out, "%d changes from generation %d\n", len(changes), generation)
	if len(problems) == 0 {
		return exitOK
	}
	printProblems(problems, errOut)
	fmt.Fprintf(errOut, "mothcart diff: an apply would be refused with %d problems\n", len(problems))
	return exitFailure
}
