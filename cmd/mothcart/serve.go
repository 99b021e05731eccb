package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"strings"

	"github.com/rcrowley/go-metrics"

	"mothcart/io/serve"
	"mothcart/io/settings"
)

func serveCommand() command {
	return command{name: "serve", summary: "run the process of an entry VM", run: runServe}
}

func runServe(ctx context.Context, args []string, out, errOut io.Writer) int {
	fs := flag.NewFlagSet("serve", flag.ContinueOnError)
	path := fs.String("settings", "mothcart.ini", "settings `FILE` of the process")
	checkOnly := fs.Bool("check", false, "check the settings and exit")
	reference := fs.Bool("reference", false, "print all settings as a Markdown table and exit")
	if _, code, proceed := parseArguments(fs, "serve [-settings FILE] [-check] [-reference]", 0, args, out, errOut); !proceed {
		return code
	}
	if *reference {
		fmt.Fprint(out, settings.Reference())
		return exitOK
	}
	cfg, err := settings.Load(*path)
	if err != nil {
		for line := range strings.SplitSeq(err.Error(), "\n") {
			fmt.Fprintf(errOut, "mothcart serve: %s\n", line)
		}
		return exitUsage
	}
	if *checkOnly {
		fmt.Fprintln(out, "settings are valid")
		return exitOK
	}
	registry := metrics.NewRegistry()
	log, flush, err := newLog(out, cfg.LogLevel, registry)
	if err != nil {
		fmt.Fprintf(errOut, "mothcart serve: %v\n", err)
		return exitUsage
	}
	defer flush()
	log = log.With().Str("node", cfg.VMID).Logger()
	s, err := serve.New(serve.NewOptions(cfg, log).WithRegistry(registry))
	if err != nil {
		fmt.Fprintf(errOut, "mothcart serve: %v\n", err)
		return exitFailure
	}
	log.Info().Str("callers", s.CallerAddress()).Str("operators", s.OperatorAddress()).Str("peers", s.VM().Address).Msg("started")
	// The server handles signals itself: the first one starts a drain, the second ends the drain early.
	if err := s.Run(context.WithoutCancel(ctx)); err != nil {
		fmt.Fprintf(errOut, "mothcart serve: %v\n", err)
		return exitFailure
	}
	return exitOK
}
