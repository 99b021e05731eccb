package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"

	"mothcart/capacity"
)

func capacityCommand() command {
	return command{name: "capacity", summary: "compute the tables of docs/CAPACITY.md from measured slopes", run: runCapacity}
}

func runCapacity(_ context.Context, args []string, out, errOut io.Writer) int {
	fs := flag.NewFlagSet("capacity", flag.ContinueOnError)
	path := fs.String("slopes", "docs/capacity.json", "`FILE` with the slopes")
	if _, code, proceed := parseArguments(fs, "capacity [-slopes FILE]", 0, args, out, errOut); !proceed {
		return code
	}
	data, err := os.ReadFile(*path)
	if err != nil {
		fmt.Fprintf(errOut, "mothcart capacity: %v\n", err)
		return exitFailure
	}
	slopes, err := capacity.Parse(data)
	if err != nil {
		fmt.Fprintf(errOut, "mothcart capacity: %v\n", err)
		return exitFailure
	}
	fmt.Fprint(out, capacity.Page(slopes, capacity.TwoYears()), "\n", capacity.SweepPage(slopes))
	return exitOK
}
