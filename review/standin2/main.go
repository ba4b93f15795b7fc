// Command standin2 runs one case of the review: it starts the programs of the system as separate processes on loopback
// addresses, with stand-ins for the platform's store, the executors and the clients.
package main

import (
	"flag"
	"fmt"
	"os"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

func main() {
	name := flag.String("case", "", "name of the case")
	record := flag.String("record", "", "file for what was sent, answered and run")
	root := flag.String("root", ".", "root of the repository, with target/ built")
	flag.Parse()
	do := cases[*name]
	if do == nil {
		fmt.Fprintf(os.Stderr, "no case %q\n", *name)
		os.Exit(exitFailed)
	}
	rec, err := newRecorder(*record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitFailed)
	}
	code, err := do(*root, rec, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case couldn't run:", err)
		rec.note("the case couldn't run: %v", err)
		code = exitFailed
	}
	rec.note("exit %d", code)
	rec.close()
	os.Exit(code)
}
