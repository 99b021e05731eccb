package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"mothcart/demo"
)

func demoCommand() command {
	return command{name: "demo", summary: "run a small site in this process, load it and check it", run: runDemo}
}

func runDemo(ctx context.Context, args []string, out, errOut io.Writer) int {
	fs := flag.NewFlagSet("demo", flag.ContinueOnError)
	seconds := fs.Float64("seconds", 10, "duration of the load, in seconds")
	seed := fs.Uint64("seed", 1, "seed of the load")
	asJSON := fs.Bool("json", false, "print the result as one JSON object on the last line")
	fault := fs.String("fault", "", "fault to inject in the middle of the load: "+strings.Join(demo.Faults(), ", "))
	if _, code, proceed := parseArguments(fs, "demo [-seconds N] [-seed N] [-fault NAME] [-json]", 0, args, out, errOut); !proceed {
		return code
	}
	if *fault != "" && !slices.Contains(demo.Faults(), *fault) {
		fmt.Fprintf(errOut, "mothcart demo: unknown fault %q; give one of %s\n", *fault, strings.Join(demo.Faults(), ", "))
		return exitUsage
	}
	opts := demo.NewOptions().WithSeed(*seed).WithDuration(time.Duration(*seconds * float64(time.Second))).WithFault(*fault)
	report, err := demo.Run(ctx, opts, out)
	if err != nil {
		fmt.Fprintf(errOut, "mothcart demo: %v\n", err)
		return exitFailure
	}
	if err := report.WriteTable(out); err != nil {
		fmt.Fprintf(errOut, "mothcart demo: write table: %v\n", err)
		return exitFailure
	}
	if *asJSON {
		if err := json.NewEncoder(out).Encode(report); err != nil {
			fmt.Fprintf(errOut, "mothcart demo: write result: %v\n", err)
			return exitFailure
		}
	}
	if !report.OK() {
		return exitFailure
	}
	return exitOK
}
