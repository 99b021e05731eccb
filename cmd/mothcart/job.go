package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	"mothcart/io/caller/batches"
	"mothcart/io/http1"
)

const (
	// defaultCallerURL is the callers' port of a VM on this machine.
	defaultCallerURL = "http://127.0.0.1:8080"
	// keyVariable is the environment variable with the API key.
	keyVariable = "MOTHCART_API_KEY"
	// progressPoll is the polling interval of a job whose end the command waits for.
	progressPoll = time.Second
	// progressWidth is the number of characters of the progress bar.
	progressWidth = 40
)

func jobCommand() command {
	return command{name: "job", summary: "submit, watch, read and cancel batch jobs", run: runJob}
}

// jobFlags are the flags of all job commands.
type jobFlags struct {
	server, key string
	wait        bool
}

func (f *jobFlags) register(fs *flag.FlagSet) {
	fs.StringVar(&f.server, "server", defaultCallerURL, "`URL` of the callers' port of any VM")
	fs.StringVar(&f.key, "key", os.Getenv(keyVariable), "API `KEY`, by default from "+keyVariable)
}

func (f *jobFlags) client() batches.Client {
	return batches.NewClient(f.server, f.key, &http.Client{Transport: http1.Transport(&http.Transport{Proxy: http.ProxyFromEnvironment, DisableKeepAlives: true})})
}

func runJob(ctx context.Context, args []string, out, errOut io.Writer) int {
	subcommands := map[string]func(context.Context, []string, io.Writer, io.Writer) int{
		"submit":  runJobSubmit,
		"status":  runJobStatus,
		"results": runJobResults,
		"cancel":  runJobCancel,
	}
	if len(args) > 0 {
		if run, ok := subcommands[args[0]]; ok {
			return run(ctx, args[1:], out, errOut)
		}
	}
	usage := "usage: mothcart job submit FILE | status ID | results ID | cancel ID [flags]"
	if len(args) > 0 && (args[0] == "-h" || args[0] == "--help" || args[0] == "help") {
		fmt.Fprintln(out, usage)
		return exitOK
	}
	fmt.Fprintln(errOut, usage)
	return exitUsage
}

func runJobSubmit(ctx context.Context, args []string, out, errOut io.Writer) int {
	fs := flag.NewFlagSet("job submit", flag.ContinueOnError)
	var flags jobFlags
	flags.register(fs)
	var s batches.Submission
	fs.StringVar(&s.Endpoint, "endpoint", "/v1/chat/completions", "endpoint `URL` of all lines")
	fs.StringVar(&s.Window, "window", "24h", "completion window `TIME` of a job without a class")
	fs.StringVar(&s.Class, "class", "", "batch class `NAME`")
	fs.StringVar(&s.Key, "jobKey", "", "`NAME` that identifies the job; submitting it again creates no second job (default: the content)")
	fs.BoolVar(&s.NonIdempotent, "once", false, "run each item at most once")
	fs.BoolVar(&flags.wait, "wait", false, "wait until the job has ended")
	paths, code, proceed := parseArguments(fs, "job submit FILE [flags]", 1, args, out, errOut)
	if !proceed {
		return code
	}
	input, err := os.Open(paths[0])
	if err != nil {
		return failUsage("job submit", err, errOut)
	}
	defer input.Close()
	s.Name, s.Input = filepath.Base(paths[0]), input
	p, err := flags.client().Submit(ctx, s)
	if err != nil {
		return failJob("job submit", err, "submit the same file again, which creates no second job", errOut)
	}
	fmt.Fprintln(out, p.ID)
	if !flags.wait {
		return exitOK
	}
	return awaitJob(ctx, flags.client(), p.ID, out, errOut)
}

func runJobStatus(ctx context.Context, args []string, out, errOut io.Writer) int {
	fs := flag.NewFlagSet("job status", flag.ContinueOnError)
	var flags jobFlags
	flags.register(fs)
	fs.BoolVar(&flags.wait, "wait", false, "wait until the job has ended")
	ids, code, proceed := parseArguments(fs, "job status ID [flags]", 1, args, out, errOut)
	if !proceed {
		return code
	}
	if flags.wait {
		return awaitJob(ctx, flags.client(), ids[0], out, errOut)
	}
	p, err := flags.client().Get(ctx, ids[0])
	if err != nil {
		return failJob("job status", err, "try again", errOut)
	}
	fmt.Fprintln(out, describe(p))
	return exitOK
}

func runJobResults(ctx context.Context, args []string, out, errOut io.Writer) int {
	fs := flag.NewFlagSet("job results", flag.ContinueOnError)
	var flags jobFlags
	flags.register(fs)
	failed := fs.Bool("failed", false, "print the items without an answer instead of the answers")
	ids, code, proceed := parseArguments(fs, "job results ID [flags]", 1, args, out, errOut)
	if !proceed {
		return code
	}
	if err := flags.client().Results(ctx, ids[0], *failed, out); err != nil {
		return failJob("job results", err, "read again; items may be missing from the output", errOut)
	}
	return exitOK
}

func runJobCancel(ctx context.Context, args []string, out, errOut io.Writer) int {
	fs := flag.NewFlagSet("job cancel", flag.ContinueOnError)
	var flags jobFlags
	flags.register(fs)
	ids, code, proceed := parseArguments(fs, "job cancel ID [flags]", 1, args, out, errOut)
	if !proceed {
		return code
	}
	p, err := flags.client().Cancel(ctx, ids[0])
	if err != nil {
		return failJob("job cancel", err, "cancel again", errOut)
	}
	fmt.Fprintln(out, describe(p))
	return exitOK
}

// failJob prints why a call failed, with one line for each invalid line of the input file.
func failJob(name string, err error, remedy string, errOut io.Writer) int {
	var refused *batches.RefusedError
	if !errors.As(err, &refused) {
		fmt.Fprintf(errOut, "mothcart %s: %v; %s\n", name, err, remedy)
		return exitFailure
	}
	for _, l := range refused.Lines {
		fmt.Fprintf(errOut, "line %d: %s\n", l.Line, l.Message)
	}
	if refused.Status < http.StatusInternalServerError {
		fmt.Fprintf(errOut, "mothcart %s: refused: %s\n", name, refused.Message)
		return exitFailure
	}
	fmt.Fprintf(errOut, "mothcart %s: %s (had effect: %s); %s\n", name, refused.Message, refused.Ran, remedy)
	return exitFailure
}

// describe returns one line on the state of a job.
func describe(p batches.Progress) string {
	line := fmt.Sprintf("%s %s: %d of %d answered, %d failed", p.ID, p.Status, p.Completed, p.Total, p.Failed)
	if p.Unknown > 0 {
		line += fmt.Sprintf(" (%d may have run)", p.Unknown)
	}
	if p.Ended() {
		return line
	}
	line += ", due " + p.Due.UTC().Format(time.RFC3339)
	switch {
	case p.Late:
		line += ", LATE"
	case p.AtRisk:
		line += ", AT RISK of missing its window"
	}
	return line
}

// awaitJob waits for the end of a job. On a terminal it draws a progress bar.
func awaitJob(ctx context.Context, c batches.Client, id string, out, errOut io.Writer) int {
	drawBar := isTerminal(errOut)
	t := time.NewTicker(progressPoll)
	defer t.Stop()
	for {
		p, err := c.Get(ctx, id)
		var refused *batches.RefusedError
		if errors.As(err, &refused) && refused.Status < http.StatusInternalServerError {
			return failJob("job status", err, "", errOut)
		}
		if err == nil && drawBar {
			fmt.Fprintf(errOut, "\r%s", progressBar(p))
		}
		if err == nil && p.Ended() {
			if drawBar {
				fmt.Fprintln(errOut)
			}
			fmt.Fprintln(out, describe(p))
			return exitOK
		}
		select {
		case <-ctx.Done():
			fmt.Fprintf(errOut, "\nmothcart: the job continues; mothcart job status %s shows its progress\n", id)
			return exitFailure
		case <-t.C:
		}
	}
}

// progressBar draws the progress of a job on one line.
func progressBar(p batches.Progress) string {
	done := p.Completed + p.Failed
	full := progressWidth * done / max(p.Total, 1)
	return fmt.Sprintf("[%s%s] %d/%d %-12s", strings.Repeat("#", full), strings.Repeat(".", progressWidth-full), done, p.Total, p.Status)
}

// isTerminal reports whether w is a character device.
func isTerminal(w io.Writer) bool {
	f, ok := w.(*os.File)
	if !ok {
		return false
	}
	info, err := f.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}
