// Package load implements the command line of crocus-load, with one file for each subcommand.
package load

import (
	"context"
	"errors"
	"fmt"
	"io"

	"github.com/crocusspring/crocusspring/internal/app"
	"github.com/crocusspring/crocusspring/internal/settings"
	"github.com/peterbourgon/ff/v4"
	"github.com/peterbourgon/ff/v4/ffhelp"
)

// tool holds the output streams that the subcommands share.
type tool struct {
	stdout io.Writer
	stderr io.Writer
}

// usageError is an error in the command line.
type usageError struct{ problem string }

// Error returns the problem.
func (e *usageError) Error() string { return e.problem }

// Main is the main function of crocus-load; it returns the exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	t := &tool{stdout: stdout, stderr: stderr}
	root := &ff.Command{
		Name: "crocus-load", Usage: "crocus-load SUBCOMMAND ...", ShortHelp: "generate load and run experiments",
		Subcommands: []*ff.Command{t.runCommand(), t.compareCommand(), t.reportCommand(), t.soakCommand(), t.slopesCommand()},
	}
	ctx, cancel := app.SignalContext()
	defer cancel()
	return t.exit(root, root.ParseAndRun(ctx, args, ff.WithEnvVarPrefix(settings.EnvPrefix)))
}

// exit prints an error or the requested help and returns the matching exit code.
func (t *tool) exit(root *ff.Command, err error) int {
	var usage *usageError
	switch {
	case err == nil:
		return app.ExitOK
	case errors.Is(err, ff.ErrHelp), errors.Is(err, ff.ErrNoExec):
		fmt.Fprint(t.stdout, ffhelp.Command(root))
		return app.ExitOK
	case errors.As(err, &usage):
		fmt.Fprintln(t.stderr, err)
		return app.ExitUsage
	}
	fmt.Fprintln(t.stderr, err)
	return app.ExitError
}

// command returns a subcommand that validates its settings before it runs; invalid settings are a usage error.
func command(name, usage, help string, set *settings.Set, run func(context.Context, []string) error) *ff.Command {
	return &ff.Command{
		Name: name, Usage: "crocus-load " + name + " " + usage, ShortHelp: help, Flags: set.Flags(),
		Exec: func(ctx context.Context, args []string) error {
			if err := set.Check(); err != nil {
				return &usageError{err.Error()}
			}
			return run(ctx, args)
		},
	}
}
