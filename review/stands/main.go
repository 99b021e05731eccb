// Command stands plays the cases of the review that are no days: it starts a small deployment of the project's own
// processes on loopback addresses, and plays the platform, the servers and the clients around it.
//
// Usage:
//
//	stands -program target/mothcart -record record.txt memory
package main

import (
	"flag"
	"fmt"
	"os"
)

// cases are the cases by name. Each reports whether the rule was kept.
var cases = map[string]func(program string, rec *record, trouble bool) (kept bool, err error){
	"memory":   playMemory,
	"takeover": playTakeover,
	"budget":   playBudget,
}

func main() {
	program := flag.String("program", "target/mothcart", "the project's program")
	path := flag.String("record", "record.txt", "where the record goes")
	flag.Parse()
	play := cases[flag.Arg(0)]
	rec, err := newRecord(*path)
	if play == nil || err != nil {
		fmt.Fprintln(os.Stderr, "no such case, or no record:", flag.Arg(0), err)
		os.Exit(2)
	}
	kept, err := play(*program, rec, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		rec.note("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		os.Exit(2)
	case !kept:
		rec.note("the rule is broken")
		os.Exit(1)
	}
	rec.note("the rule is kept")
}
