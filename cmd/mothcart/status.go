package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"mothcart/io/operator"
	"mothcart/io/serve"
)

func statusCommand() command {
	return command{name: "status", summary: "show a VM, its engines and on how many VMs the configuration is in force", run: runStatus}
}

func runStatus(ctx context.Context, args []string, out, errOut io.Writer) int {
	fs := flag.NewFlagSet("status", flag.ContinueOnError)
	var flags operatorFlags
	flags.register(fs)
	if _, code, proceed := parseArguments(fs, "status [-server URL]", 0, args, out, errOut); !proceed {
		return code
	}
	client, err := flags.client()
	if err != nil {
		return failUsage("status", err, errOut)
	}
	callCtx, cancel := callContext(ctx)
	defer cancel()
	configuration, err := client.Status(callCtx)
	if err != nil {
		return failCall("status", err, "check -server and whether the VM runs", errOut)
	}
	vm, err := operator.GetJSON[serve.Status](callCtx, client, serve.PathVM)
	if err != nil {
		return failCall("status", err, "check -server and whether the VM runs", errOut)
	}
	printStatus(out, configuration, vm)
	return exitOK
}

func printStatus(out io.Writer, c operator.Status, s serve.Status) {
	ready := "ready"
	if !s.Ready {
		ready = "not ready: " + s.Reason
	}
	fmt.Fprintf(out, "vm %s: %s, %d requests in progress, %d waiting\n", s.VM, ready, s.InFlight, s.Waiting)
	fmt.Fprintf(out, "members: %s\n", strings.Join(s.Members, " "))
	fmt.Fprintf(out, "configuration: generation %d in force here, confirmed %s ago\n", c.Generation, c.Confirmed.Round(1e6))
	n, of := c.InForce(c.Generation)
	fmt.Fprintf(out, "configuration: generation %d in force on %d of %d VMs\n", c.Generation, n, of)
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "upstream\tservice\tonline\tbatch\tcapacity\tleaving\treport age ms\tloaded")
	for _, e := range s.Engines {
		fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%d\t%t\t%d\t%s\n", e.ID, e.Service, e.Online, e.Batch, e.Capacity, e.Leaving, e.ReportAgeMillis, strings.Join(e.Loaded, " "))
	}
	_ = t.Flush()
}
