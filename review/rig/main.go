// Command rig runs one case of the review: a small site of real processes on loopback addresses, with stand-ins for
// clients, engines and the platform's object service.
//
// Usage:
//
//	rig -case manyBytes -record review/11/record.txt -trouble=true
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

const (
	held   = 0
	broken = 1
	failed = 2
	// limit ends a case that takes too long.
	limit = 115 * time.Second
)

// cases holds the cases by name; each returns the exit status.
var cases = map[string]func(ctx context.Context, r *record, trouble bool) (int, error){
	"manyBytes": manyBytes,
	"expired":   expired,
}

func main() { os.Exit(run()) }

func run() int {
	name := flag.String("case", "", "`NAME` of the case")
	path := flag.String("record", "record.txt", "`FILE` for what was sent, answered and run")
	trouble := flag.Bool("trouble", true, "with the disruption")
	flag.Parse()
	play, ok := cases[*name]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case")
		return failed
	}
	r, err := newRecord(*path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	status, err := play(ctx, r, *trouble)
	if err != nil {
		r.add("the case couldn't run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	text := map[int]string{held: "the rule held", broken: "the rule was broken"}[status]
	r.add("%s", text)
	fmt.Println(text)
	return status
}
