package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"

	"mothcart/io/explain"
)

const explainUsage = "explain ID -logs FILE..."

func explainCommand() command {
	return command{name: "explain", summary: "print the timeline of a request, job or item from logs", run: runExplain}
}

func runExplain(_ context.Context, args []string, out, errOut io.Writer) int {
	fs := flag.NewFlagSet("explain", flag.ContinueOnError)
	first := fs.String("logs", "", "log `FILE...` of the nodes")
	positional, code, proceed := parseArguments(fs, explainUsage, anyNumber, args, out, errOut)
	if !proceed {
		return code
	}
	if len(positional) == 0 || *first == "" {
		fmt.Fprintf(errOut, "mothcart explain: usage: mothcart %s\n", explainUsage)
		return exitUsage
	}
	id, paths := positional[0], append([]string{*first}, positional[1:]...)
	var events []explain.Event
	for _, path := range paths {
		read, err := readLog(path)
		if err != nil {
			fmt.Fprintf(errOut, "mothcart explain: %v\n", err)
			return exitFailure
		}
		events = append(events, read...)
	}
	timeline := explain.Timeline(events, id)
	if len(timeline) == 0 {
		fmt.Fprintf(errOut, "mothcart explain: no event mentions %s in %d events\n", id, len(events))
		return exitFailure
	}
	for _, e := range timeline {
		fmt.Fprintln(out, e)
	}
	if story, ok := explain.JobStory(events, id); ok {
		fmt.Fprintln(out, story)
	}
	if story, ok := explain.JobEndStory(events, id); ok {
		fmt.Fprintln(out, story)
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
