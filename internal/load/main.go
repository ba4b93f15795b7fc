// Package load is the command line of crocus-load: one subcommand a file.
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

// tool is what the subcommands share.
type tool struct {
	stdout io.Writer
	stderr io.Writer
}

// usageError is a mistake in the command's words.
type usageError struct{ problem string }

// Error says what is wrong.
func (e *usageError) Error() string { return e.problem }

// Main is the main function of crocus-load; it returns the exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	t := &tool{stdout: stdout, stderr: stderr}
	root := &ff.Command{
		Name: "crocus-load", Usage: "crocus-load SUBCOMMAND ...", ShortHelp: "load and experiments",
		Subcommands: []*ff.Command{t.runCommand(), t.compareCommand(), t.reportCommand(), t.soakCommand(), t.slopesCommand()},
	}
	ctx, cancel := app.Signals()
	defer cancel()
	return t.exit(root, root.ParseAndRun(ctx, args, ff.WithEnvVarPrefix(settings.EnvPrefix)))
}

// exit reports an error and returns the exit code it calls for.
func (t *tool) exit(root *ff.Command, err error) int {
	var bad *usageError
	switch {
	case err == nil:
		return app.ExitOK
	case errors.Is(err, ff.ErrHelp), errors.Is(err, ff.ErrNoExec):
		fmt.Fprint(t.stdout, ffhelp.Command(root))
		return app.ExitOK
	case errors.As(err, &bad):
		fmt.Fprintln(t.stderr, err)
		return app.ExitUsage
	}
	fmt.Fprintln(t.stderr, err)
	return app.ExitError
}

// command returns a subcommand whose settings are checked before it runs.
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
