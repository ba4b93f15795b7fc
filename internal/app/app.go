// Package app contains the code that the main functions of the binaries share: exit codes, common flags and
// signal handling.
package app

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/crocusspring/crocusspring/internal/build"
	"github.com/crocusspring/crocusspring/internal/logs"
	"github.com/crocusspring/crocusspring/internal/settings"
	"github.com/crocusspring/crocusspring/internal/signals"
)

// Exit codes of every binary.
const (
	ExitOK    = 0
	ExitError = 1
	ExitUsage = 2
)

// CommonFlags holds the settings of every long-running binary.
type CommonFlags struct {
	Log     logs.Options
	Version bool
}

// Add declares the common flags.
func (c *CommonFlags) Add(s *settings.Set) {
	s.Choice(&c.Log.Level, "log-level", "info", []string{"debug", "info", "warn", "error"}, "minimum level of log lines")
	s.Bool(&c.Log.JSON, "log-json", false, "write log lines as JSON")
	s.Bool(&c.Version, "version", false, "print the version and exit")
}

// Parse reads the settings and handles help, version and errors. When done is true, the program must exit
// with code.
func Parse(s *settings.Set, c *CommonFlags, args []string, stdout, stderr io.Writer) (code int, done bool) {
	err := s.Parse(args)
	switch {
	case errors.Is(err, settings.ErrHelp):
		fmt.Fprint(stdout, s.Help())
		return ExitOK, true
	case c.Version:
		fmt.Fprintln(stdout, build.String())
		return ExitOK, true
	case err != nil:
		fmt.Fprintln(stderr, err)
		return ExitUsage, true
	}
	return ExitOK, false
}

// SignalContext returns a context that is cancelled at the first SIGTERM, SIGINT or SIGHUP, also one that has come before; the
// second one ends the process immediately with ExitError.
func SignalContext() (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(context.Background())
	signals.Receive()
	go func() {
		awaitSignal()
		cancel()
		awaitSignal()
		os.Exit(ExitError)
	}()
	return ctx, cancel
}

// awaitSignal waits for the next signal. A program that has no settings to reload ends at SIGHUP.
func awaitSignal() {
	select {
	case <-signals.Stops():
	case <-signals.Reloads():
	}
}
