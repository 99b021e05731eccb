// Command harness runs one case of the review: it starts the system's own processes on loopback addresses, with stand-ins
// of clients, engines and the platform's store, and checks one rule by what these see.
//
// Usage:
//
//	harness -case 1 -record review/1/record.txt
//
// Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run. With TROUBLE=0 in the environment the case runs
// without its disruption; with KEEP=1 the logs of the processes are kept.
package main

import (
	"flag"
	"fmt"
	"os"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
	// caseTime bounds a case.
	caseTime = 115 * time.Second
)

// reviewCase runs a case and returns whether the rule was broken; an error means that it could not run.
type reviewCase func(rec *record, trouble bool) (broken bool, err error)

var cases = map[int]reviewCase{1: burstOfReads, 2: oversizeChunk, 3: plainConflict, 4: slowReader, 6: failingItem}

func main() {
	number := flag.Int("case", 0, "`NUMBER` of the case")
	path := flag.String("record", "record.txt", "`FILE` for the record")
	flag.Parse()
	os.Exit(runCase(*number, *path))
}

func runCase(number int, path string) int {
	run, ok := cases[number]
	if !ok {
		fmt.Fprintf(os.Stderr, "harness: no case %d\n", number)
		return exitNotRun
	}
	f, err := os.Create(path)
	if err != nil {
		fmt.Fprintf(os.Stderr, "harness: %v\n", err)
		return exitNotRun
	}
	defer f.Close()
	time.AfterFunc(caseTime, func() {
		fmt.Fprintln(os.Stderr, "harness: the case takes too long")
		os.Exit(exitNotRun) // the processes end with this one
	})
	trouble := os.Getenv("TROUBLE") != "0"
	rec := &record{file: f, start: time.Now()}
	rec.printf("case %d, trouble %v", number, trouble)
	broken, err := run(rec, trouble)
	switch {
	case err != nil:
		rec.printf("not run: %v", err)
		fmt.Fprintf(os.Stderr, "case %d, trouble %v: not run: %v\n", number, trouble, err)
		return exitNotRun
	case broken:
		rec.printf("the rule was broken")
		fmt.Printf("case %d, trouble %v: the rule was broken\n", number, trouble)
		return exitBroken
	default:
		rec.printf("the rule held")
		fmt.Printf("case %d, trouble %v: the rule held\n", number, trouble)
		return exitHeld
	}
}
