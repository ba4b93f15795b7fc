package main

import (
	"fmt"
	"os"
	"os/signal"
	"sync/atomic"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	unable = 2
)

// trouble says whether the case plays its disruption.
var trouble = os.Getenv("TROUBLE") != "0"

// cases are the cases by name. Each returns its exit code and why.
var cases = map[string]func() (int, string){
	"ends":      endsCase,
	"record":    recordCase,
	"cancel":    cancelCase,
	"reborn":    rebornCase,
	"gang":      gangCase,
	"latepoll":  latePollCase,
	"deadly":    deadlyCase,
	"advice":    adviceCase,
	"trial":     trialCase,
	"announced": announcedCase,
}

func main() {
	if len(os.Args) != 2 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE")
		os.Exit(unable)
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	go func() {
		why := "interrupted"
		select {
		case <-stop:
		case <-time.After(117 * time.Second):
			why = "the case took too long"
		}
		if w := world.Load(); w != nil {
			w.Down()
		}
		fmt.Println(why)
		os.Exit(unable)
	}()
	code, why := cases[os.Args[1]]()
	fmt.Println(why)
	os.Exit(code)
}

// world is the deployment that is up, so that it can be ended at any time.
var world atomic.Pointer[World]

// finish records the outcome and ends everything.
func finish(w *World, code int, why string) (int, string) {
	w.log("OUTCOME %d: %s", code, why)
	w.Down()
	return code, why
}
