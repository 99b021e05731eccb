package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"strconv"
	"time"

	"mothcart/core/publication"
	"mothcart/io/operator"
	"mothcart/io/published"
)

// spreadPoll is the polling interval of awaitSpread.
const spreadPoll = 200 * time.Millisecond

func applyCommand() command {
	return command{name: "apply", summary: "publish a configuration", run: runApply}
}

func runApply(ctx context.Context, args []string, out, errOut io.Writer) int {
	fs := flag.NewFlagSet("apply", flag.ContinueOnError)
	var flags operatorFlags
	flags.register(fs)
	var expect *uint64
	fs.Func("expect", "`GENERATION` that the change is based on", func(text string) error {
		n, err := strconv.ParseUint(text, 10, 64)
		expect = &n
		return err
	})
	wait := fs.Duration("wait", 0, "maximum `TIME` to wait until the configuration is in force everywhere")
	paths, code, proceed := parseArguments(fs, "apply PATH [-expect GENERATION] [-server URL]", 1, args, out, errOut)
	if !proceed {
		return code
	}
	set, code, proceed := readSet("apply", paths[0], errOut)
	if !proceed {
		return code
	}
	client, err := flags.client()
	if err != nil {
		return failUsage("apply", err, errOut)
	}
	callCtx, cancel := callContext(ctx)
	defer cancel()
	result, err := client.Apply(callCtx, set, expect)
	if err != nil {
		return failCall("apply", err, "apply the same files again, which publishes them at most once", errOut)
	}
	if code := printResult(result, out, errOut); code != exitOK || *wait == 0 {
		return code
	}
	return awaitSpread(ctx, client, result.Generation, *wait, out, errOut)
}

func printResult(r published.Result, out, errOut io.Writer) int {
	switch r.Outcome {
	case publication.OutcomeAccepted:
		merged := ""
		if r.Rebased {
			merged = fmt.Sprintf(", merged with changes since generation %d", r.From)
		}
		fmt.Fprintf(out, "accepted: generation %d, %d changes%s\n", r.Generation, len(r.Changes), merged)
		return exitOK
	case publication.OutcomeUnchanged:
		fmt.Fprintf(out, "unchanged: generation %d already has this content\n", r.Generation)
		return exitOK
	case publication.OutcomeRefused:
		printProblems(r.Problems, errOut)
		fmt.Fprintf(errOut, "mothcart apply: refused: %d problems against generation %d; fix them and apply again\n",
			len(r.Problems), r.Generation)
		return exitFailure
	default:
		for _, c := range r.Conflicts {
			fmt.Fprintln(errOut, c)
		}
		fmt.Fprintf(errOut, "mothcart apply: conflict: based on generation %d, but generation %d is published; "+
			"run mothcart diff, update the files and apply with -expect %d\n", r.From, r.Generation, r.Generation)
		return exitFailure
	}
}

// awaitSpread waits until every live VM has the generation in force, and fails after wait.
func awaitSpread(ctx context.Context, client operator.Client, generation uint64, wait time.Duration, out, errOut io.Writer) int {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for {
		status, err := client.Status(ctx)
		if err == nil {
			n, of := status.InForce(generation)
			if n == of {
				fmt.Fprintf(out, "in force: %d of %d VMs\n", n, of)
				return exitOK
			}
			err = fmt.Errorf("in force on %d of %d VMs", n, of)
		}
		select {
		case <-ctx.Done():
			return failCall("apply", fmt.Errorf("accepted, but not confirmed to be in force everywhere: %w", err), "run mothcart status", errOut)
		case <-time.After(spreadPoll):
		}
	}
}
