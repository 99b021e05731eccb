package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"

	"mothcart/io/explain"
)

func explainCommand() command {
	return command{name: "explain", summary: "tell the story of a request, job or item from logs", run: runExplain}
}

func runExplain(_ context.Context, args []string, out, errOut io.Writer) int {
	fs := flag.NewFlagSet("explain", flag.ContinueOnError)
	id := fs.String("id", "", "`ID` of the request, job or item")
	if err := fs.Parse(args); err != nil {
		return exitUsage
	}
	if *id == "" || fs.NArg() == 0 {
		fmt.Fprintln(errOut, "usage: mothcart explain -id ID LOG...")
		return exitUsage
	}
	var events []explain.Event
	for _, path := range fs.Args() {
		read, err := readLog(path)
		if err != nil {
			fmt.Fprintf(errOut, "mothcart explain: %v\n", err)
			return exitFailure
		}
		events = append(events, read...)
	}
	story := explain.Story(events, *id)
	if len(story) == 0 {
		fmt.Fprintf(errOut, "mothcart explain: no event names %s in %d events\n", *id, len(events))
		return exitFailure
	}
	for _, e := range story {
		fmt.Fprintln(out, e)
	}
	return exitOK
}

func readLog(path string) ([]explain.Event, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("open log: %w", err)
	}
	defer f.Close()
	events, _, err := explain.Read(f)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return events, nil
}
