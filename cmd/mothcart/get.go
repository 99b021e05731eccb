package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"

	"mothcart/core/config"
)

func getCommand() command {
	return command{name: "get", summary: "print the configuration in force", run: runGet}
}

func runGet(ctx context.Context, args []string, out, errOut io.Writer) int {
	fs := flag.NewFlagSet("get", flag.ContinueOnError)
	var flags operatorFlags
	flags.register(fs)
	asJSON := fs.Bool("json", false, "print JSON instead of INI")
	_, code, proceed := parseArguments(fs, "get [-json] [-server URL]", 0, args, out, errOut)
	if !proceed {
		return code
	}
	client, err := flags.client()
	if err != nil {
		return failUsage("get", err, errOut)
	}
	ctx, cancel := callContext(ctx)
	defer cancel()
	generation, set, err := client.Get(ctx)
	if err != nil {
		return failCall("get", err, "try another VM with -server", errOut)
	}
	if *asJSON {
		enc := json.NewEncoder(out)
		enc.SetIndent("", "  ")
		_ = enc.Encode(set)
		return exitOK
	}
	fmt.Fprintf(out, "# generation %d\n%s", generation, config.Format(set))
	return exitOK
}
