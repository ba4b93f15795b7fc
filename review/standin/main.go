package main

import (
	"fmt"
	"os"
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
	"advice":    adviceCase,
	"trial":     trialCase,
	"announced": announcedCase,
}

func main() {
	if len(os.Args) != 2 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE")
		os.Exit(unable)
	}
	time.AfterFunc(118*time.Second, func() {
		fmt.Println("the case took too long")
		os.Exit(unable)
	})
	code, why := cases[os.Args[1]]()
	fmt.Println(why)
	os.Exit(code)
}

// finish records the outcome and ends everything.
func finish(w *World, code int, why string) (int, string) {
	w.log("OUTCOME %d: %s", code, why)
	w.Down()
	return code, why
}
