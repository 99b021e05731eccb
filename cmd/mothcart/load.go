package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"

	"mothcart/experiment/filling"
	"mothcart/experiment/overload"
	"mothcart/experiment/pattern"
	"mothcart/experiment/relay"
	"mothcart/experiment/routing"
	"mothcart/load"
)

// experiments lists the values of the flag -experiment.
var experiments = []string{"relay", "overload", "routing", "filling", "pattern"}

func loadCommand() command {
	return command{name: "load", summary: "send open-loop load and measure it, or run an experiment", run: runLoad}
}

// loadFlags are the flags of the load command.
type loadFlags struct {
	urls        string
	key         string
	model       string
	rate        float64
	seconds     float64
	burstEvery  time.Duration
	burstSize   int
	tokens      int
	seed        uint64
	nonStreamed bool
	asJSON      bool
	report      string
	experiment  string
}

func (f *loadFlags) register(fs *flag.FlagSet) {
	fs.StringVar(&f.urls, "url", "http://127.0.0.1:8080", "`URLS` of callers' ports or engines, separated by commas")
	fs.StringVar(&f.key, "key", os.Getenv("MOTHCART_API_KEY"), "API `KEY`; the environment's MOTHCART_API_KEY by default")
	fs.StringVar(&f.model, "model", "scribe", "`MODEL` to ask for")
	fs.Float64Var(&f.rate, "rate", 50, "mean rate of the Poisson arrivals, in requests per second")
	fs.Float64Var(&f.seconds, "seconds", 10, "duration of the load, in seconds; routing and filling have their own defaults, pattern a fixed length")
	fs.DurationVar(&f.burstEvery, "burstEvery", 0, "`TIME` between bursts; 0 means none")
	fs.IntVar(&f.burstSize, "burstSize", 20, "requests in a burst")
	fs.IntVar(&f.tokens, "tokens", 16, "tokens per answer")
	fs.Uint64Var(&f.seed, "seed", 1, "seed of the arrivals")
	fs.BoolVar(&f.nonStreamed, "whole", false, "request complete answers instead of streams")
	fs.BoolVar(&f.asJSON, "json", false, "print the result as one JSON value on the last line")
	fs.StringVar(&f.report, "report", "", "`FILE` for a report with plots: HTML, or SVG for filling")
	fs.StringVar(&f.experiment, "experiment", "", "run an experiment instead: "+strings.Join(experiments, ", "))
}

func runLoad(ctx context.Context, args []string, out, errOut io.Writer) int {
	fs := flag.NewFlagSet("load", flag.ContinueOnError)
	var f loadFlags
	f.register(fs)
	if _, code, proceed := parseArguments(fs, "load [-url URLS -key KEY -rate N | -experiment NAME] [flags]", 0, args, out, errOut); !proceed {
		return code
	}
	secondsGiven := false
	fs.Visit(func(g *flag.Flag) { secondsGiven = secondsGiven || g.Name == "seconds" })
	var err error
	switch f.experiment {
	case "":
		err = f.runSite(ctx, out)
	case "relay":
		err = f.runRelay(ctx, out)
	case "overload":
		err = f.runOverload(ctx, out)
	case "routing":
		err = f.runRouting(out, secondsGiven)
	case "filling":
		err = f.runFilling(out, secondsGiven)
	case "pattern":
		opts := pattern.NewOptions().WithSeed(f.seed)
		if err = pattern.Run(opts).Write(out); err == nil {
			err = pattern.RunAccounts(opts).Write(out)
		}
	default:
		fmt.Fprintf(errOut, "mothcart load: unknown experiment %q; give one of %s\n", f.experiment, strings.Join(experiments, ", "))
		return exitUsage
	}
	if err != nil {
		fmt.Fprintf(errOut, "mothcart load: %v\n", err)
		return exitFailure
	}
	return exitOK
}

func (f *loadFlags) duration() time.Duration {
	return time.Duration(f.seconds * float64(time.Second))
}

func (f *loadFlags) runSite(ctx context.Context, out io.Writer) error {
	opts := load.NewOptions(strings.Split(f.urls, ",")...).WithTarget(f.key, f.model).WithSeed(f.seed).
		WithRate(f.rate, f.duration()).WithBursts(f.burstEvery, f.burstSize)
	opts.Tokens = f.tokens
	opts.Stream = !f.nonStreamed
	result, err := load.Run(ctx, opts)
	if err != nil {
		return err
	}
	return f.print(out, []load.Named{{Name: "site", Result: result}})
}

func (f *loadFlags) runRelay(ctx context.Context, out io.Writer) error {
	results, err := relay.Run(ctx, relay.NewOptions().WithSeed(f.seed).WithRate(f.rate, f.duration()))
	if err != nil {
		return err
	}
	return f.print(out, results)
}

func (f *loadFlags) runOverload(ctx context.Context, out io.Writer) error {
	report, err := overload.Run(ctx, overload.NewOptions().WithSeed(f.seed).WithDuration(f.duration()))
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "goodput: %.0f%% of the engines' capacity\n", 100*report.Goodput)
	return f.print(out, report.Runs)
}

// print writes the results as a table and, if the flags ask for them, as a report and as JSON.
func (f *loadFlags) print(out io.Writer, results []load.Named) error {
	if err := load.WriteTable(out, results); err != nil {
		return err
	}
	if f.report != "" {
		file, err := os.Create(f.report)
		if err != nil {
			return merry.Errorf("write report: %w", err)
		}
		defer file.Close()
		if err := load.WriteReport(file, results); err != nil {
			return err
		}
	}
	return f.printJSON(out, results)
}

func (f *loadFlags) printJSON(out io.Writer, v any) error {
	if !f.asJSON {
		return nil
	}
	if err := json.NewEncoder(out).Encode(v); err != nil {
		return merry.Errorf("write result: %w", err)
	}
	return nil
}

func (f *loadFlags) runRouting(out io.Writer, secondsGiven bool) error {
	opts := routing.NewOptions().WithSeed(f.seed)
	if secondsGiven {
		opts = opts.WithDuration(f.duration())
	}
	report, err := routing.Run(opts)
	if err != nil {
		return err
	}
	fmt.Fprint(out, report.Markdown())
	withLoss, err := routing.Run(opts.WithLoseEngine(true))
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "\nOne engine lost in the middle:\n\n%s", withLoss.Markdown())
	return f.printJSON(out, []routing.Report{report, withLoss})
}

func (f *loadFlags) runFilling(out io.Writer, secondsGiven bool) error {
	opts := filling.NewOptions().WithSeed(f.seed)
	if secondsGiven {
		opts = opts.WithDuration(f.duration())
	}
	report, err := filling.Run(opts)
	if err != nil {
		return err
	}
	fmt.Fprint(out, report.Markdown())
	if f.report != "" {
		svg, err := report.SVG()
		if err != nil {
			return err
		}
		if err := os.WriteFile(f.report, svg, 0o644); err != nil {
			return merry.Errorf("write report: %w", err)
		}
	}
	return f.printJSON(out, report)
}
