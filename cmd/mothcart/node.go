package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"runtime/debug"

	"flag"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"mothcart/core/zone"
	"mothcart/io/logs"
	"mothcart/io/node"
	"mothcart/platform"
)

const (
	// memoryShare is the fraction of the VM's memory that the Go runtime's soft limit is set to.
	memoryShare = 0.7
)

func entryCommand() command {
	return command{name: "entry", summary: "run an entry node, which serves callers, on a VM of the platform", run: func(ctx context.Context, args []string, out, errOut io.Writer) int {
		return runNode(ctx, "entry", node.RunEntry, args, out, errOut)
	}}
}

func homeCommand() command {
	return command{name: "home", summary: "run a home node, a candidate for the home of slots and jobs, on a VM of the platform", run: func(ctx context.Context, args []string, out, errOut io.Writer) int {
		return runNode(ctx, "home", node.RunHome, args, out, errOut)
	}}
}

// newLog returns the log of a process, which counts the lines that are dropped.
func newLog(out io.Writer, level string, registry metrics.Registry) (log zerolog.Logger, flush func(), err error) {
	missed := metrics.GetOrRegisterCounter("log.missedLines", registry)
	return logs.New(out, level, logs.QueuedLines, func(n int) { missed.Inc(int64(n)) })
}

func runNode(ctx context.Context, name string, run func(context.Context, node.Options) error, args []string, out, errOut io.Writer) int {
	fs := flag.NewFlagSet(name, flag.ContinueOnError)
	path := fs.String("settings", os.Getenv(platform.SettingsVariable), "settings `FILE` of the platform; "+platform.SettingsVariable+" by default")
	level := fs.String("log", "info", "lowest `LEVEL` of events that are logged")
	checkOnly := fs.Bool("check", false, "check the settings and exit")
	megabyte := fs.Duration("zone-megabyte", 0, "`TIME` of callers that one megabyte between availability zones is worth; if set, zones are weighed also for services whose upstreams name no pace")
	if _, code, proceed := parseArguments(fs, name+" [-settings FILE] [-log LEVEL] [-zone-megabyte TIME] [-check]", 0, args, out, errOut); !proceed {
		return code
	}
	settings, err := platform.ReadSettings(*path)
	if err != nil {
		fmt.Fprintf(errOut, "mothcart %s: %v\n", name, err)
		return exitUsage
	}
	if *checkOnly {
		fmt.Fprintln(out, "settings are valid")
		return exitOK
	}
	registry := metrics.NewRegistry()
	log, flush, err := newLog(out, *level, registry)
	if err != nil {
		fmt.Fprintf(errOut, "mothcart %s: %v\n", name, err)
		return exitUsage
	}
	defer flush()
	if settings.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(float64(settings.MemoryBytes) * memoryShare))
	}
	log = log.With().Str("node", settings.VMID).Logger()
	opts := node.NewOptions(settings, *path, log, registry)
	if *megabyte > 0 {
		opts.Zones = zone.NewCosts().WithPerMegabyte(*megabyte)
	}
	if err := run(ctx, opts); err != nil {
		log.WithLevel(zerolog.ErrorLevel).Err(err).Msg("nodeFailed")
		fmt.Fprintf(errOut, "mothcart %s: %v\n", name, err)
		return exitFailure
	}
	return exitOK
}
