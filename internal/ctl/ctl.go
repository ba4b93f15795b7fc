// Package ctl is the operator's command line: one subcommand a file.
package ctl

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/crocusspring/crocusspring/internal/app"
	"github.com/crocusspring/crocusspring/internal/build"
	"github.com/crocusspring/crocusspring/internal/settings"
	"github.com/peterbourgon/ff/v4"
	"github.com/peterbourgon/ff/v4/ffhelp"
)

// Exit codes of crocusctl besides those of package app.
const (
	// ExitBeaten says that a record was refused since another version is in force.
	ExitBeaten = 3
	// ExitInvalid says that a record has findings.
	ExitInvalid = 4
	// ExitLagging says that a record is accepted but not in force everywhere in time.
	ExitLagging = 5
	// ExitNotAllowed says that the operator is unknown or lacks the right.
	ExitNotAllowed = 6
	// ExitNotFound says that what was asked for is not there.
	ExitNotFound = 7
	// ExitDiffers says that a file and the record in force differ.
	ExitDiffers = 8
)

// exitHelp lists the exit codes below the help.
const exitHelp = `
EXIT CODES
  0  done
  1  the node can't be reached or can't do it now
  2  the command or a setting is wrong
  3  another version of the record is in force
  4  a record is not valid
  5  accepted, but not in force everywhere in time
  6  the operator is unknown or lacks the right
  7  not found
  8  the file and the record in force differ
`

// tool is what the subcommands share.
type tool struct {
	set     *settings.Set
	node    string
	by      string
	token   string
	ca      string
	output  string
	timeout time.Duration
	version bool
	client  *http.Client
	scheme  string
	stdout  io.Writer
	stderr  io.Writer
}

// Words of the output flag.
const (
	outputTable = "table"
	outputJSON  = "json"
)

// usageError is a mistake in the command's words.
type usageError struct{ problem string }

// Error says what is wrong.
func (e *usageError) Error() string { return e.problem }

// exitError is an error that calls for an exit code of its own.
type exitError struct {
	code int
	err  error
}

// Error says what is wrong.
func (e *exitError) Error() string { return e.err.Error() }

// Unwrap returns the cause.
func (e *exitError) Unwrap() error { return e.err }

// fail returns an error with an exit code.
func fail(code int, format string, args ...any) error {
	return &exitError{code, fmt.Errorf(format, args...)}
}

// Main is the main function of crocusctl; it returns the exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	t := &tool{set: settings.New("crocusctl"), stdout: stdout, stderr: stderr}
	t.set.Addr(&t.node, "node", "127.0.0.1:8400", "IP address and port of an entry")
	t.set.String(&t.by, "by", "operator", true, "who makes the change, where the installation has no list of operators")
	t.set.String(&t.token, "token", "", false, "bearer token of the operator; better given in the environment")
	t.set.String(&t.ca, "tls-ca", "", false, "PEM file of the authority of the nodes; given, nodes are called over TLS")
	t.set.Choice(&t.output, "output", outputTable, []string{outputTable, outputJSON}, "form of the output")
	t.set.Duration(&t.timeout, "timeout", 10*time.Second, 100*time.Millisecond, time.Hour, "how long one command may take; watch has no bound")
	t.set.Bool(&t.version, "version", false, "print the version and exit")
	root := t.root()
	err := root.Parse(args, ff.WithEnvVarPrefix(settings.EnvPrefix))
	if err == nil && t.set.Check() == nil && t.version {
		fmt.Fprintln(stdout, build.String())
		return app.ExitOK
	}
	if err == nil {
		err = t.open()
	}
	if err == nil {
		err = root.Run(context.Background())
	}
	return t.exit(root, err)
}

// root returns the command with its subcommands.
func (t *tool) root() *ff.Command {
	return &ff.Command{
		Name: "crocusctl", Usage: "crocusctl [flags] SUBCOMMAND ...", Flags: t.set.Flags(),
		Subcommands: []*ff.Command{
			t.validateCommand(), t.applyCommand(), t.getCommand(), t.listCommand(), t.diffCommand(),
			t.deleteCommand(), t.watchCommand(), t.auditCommand(), t.explainCommand(), t.jobCommand(), t.traceCommand(), t.drainCommand(), t.statusCommand(),
		},
	}
}

// subcommand returns a command that checks the settings before it runs.
func (t *tool) subcommand(name, usage, help string, flags *settings.Set, exec func(context.Context, []string) error) *ff.Command {
	if flags == nil {
		flags = settings.New(name)
	}
	flags.Flags().SetParent(t.set.Flags())
	return &ff.Command{
		Name: name, Usage: "crocusctl [flags] " + usage, ShortHelp: help, Flags: flags.Flags(),
		Exec: func(ctx context.Context, args []string) error {
			if err := flags.Check(); err != nil {
				return &usageError{err.Error()}
			}
			return exec(ctx, args)
		},
	}
}

// bounded returns ctx with the bound of one command.
func (t *tool) bounded(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, t.timeout)
}

// exit reports an error and returns the exit code it calls for.
func (t *tool) exit(root *ff.Command, err error) int {
	var bad *usageError
	var own *exitError
	switch {
	case err == nil:
		return app.ExitOK
	case errors.Is(err, ff.ErrHelp), errors.Is(err, ff.ErrNoExec):
		fmt.Fprint(t.stdout, ffhelp.Command(root), exitHelp)
		return app.ExitOK
	case errors.As(err, &own):
		fmt.Fprintln(t.stderr, err)
		return own.code
	case errors.As(err, &bad), errors.Is(err, ff.ErrUnknownFlag), errors.Is(err, ff.ErrDuplicateFlag):
		fmt.Fprintln(t.stderr, err)
		return app.ExitUsage
	}
	fmt.Fprintln(t.stderr, err)
	return app.ExitError
}
