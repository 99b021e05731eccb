package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"time"

	"mothcart/core/publication"
)

// auditEntries is the default number of audit entries that are printed.
const auditEntries = 20

func auditCommand() command {
	return command{name: "audit", summary: "print who changed the configuration, newest first", run: runAudit}
}

func runAudit(ctx context.Context, args []string, out, errOut io.Writer) int {
	fs := flag.NewFlagSet("audit", flag.ContinueOnError)
	var flags operatorFlags
	flags.register(fs)
	limit := fs.Int("limit", auditEntries, "`NUMBER` of entries")
	all := fs.Bool("all", false, "print all changes of each entry")
	_, code, proceed := parseArguments(fs, "audit [-limit NUMBER] [-all] [-server URL]", 0, args, out, errOut)
	if !proceed {
		return code
	}
	client, err := flags.client()
	if err != nil {
		return failUsage("audit", err, errOut)
	}
	ctx, cancel := callContext(ctx)
	defer cancel()
	entries, partial, err := client.Audit(ctx, *limit, *all)
	if err != nil {
		return failCall("audit", err, "try another VM with -server", errOut)
	}
	for _, e := range entries {
		printEntry(e, out)
	}
	if partial != "" {
		return failCall("audit", fmt.Errorf("older entries are missing: %s", partial), "run it again later", errOut)
	}
	return exitOK
}

func printEntry(e publication.Entry, out io.Writer) {
	fmt.Fprintf(out, "%s operator=%s outcome=%s from=%d generation=%d rebased=%t changes=%d writer=%s sequence=%d",
		e.At.UTC().Format(time.RFC3339), e.Operator, e.Outcome, e.From, e.Generation, e.Rebased, e.ChangeCount, e.ID.Writer, e.ID.Sequence)
	if e.Dropped > 0 {
		fmt.Fprintf(out, " droppedRefusals=%d", e.Dropped)
	}
	fmt.Fprintln(out)
	for _, c := range e.Changes {
		fmt.Fprintf(out, "  %s\n", c)
	}
	if more := e.ChangeCount - len(e.Changes); more > 0 && len(e.Changes) > 0 {
		fmt.Fprintf(out, "  and %d more; mothcart audit -all prints them\n", more)
	}
	for _, reason := range e.Reasons {
		fmt.Fprintf(out, "  %s\n", reason)
	}
}
