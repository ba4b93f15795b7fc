// Package ctl implements crocusctl, the operators' command line. Most subcommands have a file of their own.
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
	// ExitConflict means that a record was refused, as when another version is in effect.
	ExitConflict = 3
	// ExitInvalid means that a record, a job or a request is not valid.
	ExitInvalid = 4
	// ExitLagging means that a record is accepted but did not take effect everywhere before the timeout.
	ExitLagging = 5
	// ExitNotAllowed means that the operator is unknown or lacks the right.
	ExitNotAllowed = 6
	// ExitNotFound means that the requested record, job or log line does not exist.
	ExitNotFound = 7
	// ExitDiffers means that a file and the record in effect differ.
	ExitDiffers = 8
)

// exitHelp lists the exit codes; it is printed below the help.
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

// tool holds the settings, client and output streams that the subcommands share.
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

// Values of the output flag.
const (
	outputTable = "table"
	outputJSON  = "json"
)

// usageError is an error in the arguments or settings of a command.
type usageError struct{ problem string }

// Error implements error.
func (e *usageError) Error() string { return e.problem }

// exitError is an error with an exit code of its own.
type exitError struct {
	code int
	err  error
}

// Error implements error.
func (e *exitError) Error() string { return e.err.Error() }

// Unwrap returns the cause.
func (e *exitError) Unwrap() error { return e.err }

// fail returns an error with an exit code.
func fail(code int, format string, args ...any) error {
	return &exitError{code, fmt.Errorf(format, args...)}
}

// Main runs crocusctl and returns its exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	t := &tool{set: settings.New("crocusctl"), stdout: stdout, stderr: stderr}
	t.set.Addr(&t.node, "node", "127.0.0.1:8400", "IP address and port of an entry")
	t.set.String(&t.by, "by", "operator", true, "who makes the change, where the installation has no list of operators")
	t.set.String(&t.token, "token", "", false, "bearer token of the operator; prefer the environment variable")
	t.set.String(&t.ca, "tls-ca", "", false, "PEM file of the nodes' certificate authority; if set, nodes are called over TLS")
	t.set.Choice(&t.output, "output", outputTable, []string{outputTable, outputJSON}, "form of the output")
	t.set.Duration(&t.timeout, "timeout", 10*time.Second, 100*time.Millisecond, time.Hour, "timeout of one command; watch has none")
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

// subcommand returns a command that checks its flags before it runs.
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

// withTimeout returns ctx with the timeout of one command.
func (t *tool) withTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, t.timeout)
}

// exit prints an error or the help and returns the exit code.
func (t *tool) exit(root *ff.Command, err error) int {
	var usage *usageError
	var coded *exitError
	switch {
	case err == nil:
		return app.ExitOK
	case errors.Is(err, ff.ErrHelp), errors.Is(err, ff.ErrNoExec):
		fmt.Fprint(t.stdout, ffhelp.Command(root), exitHelp)
		return app.ExitOK
	case errors.As(err, &coded):
		fmt.Fprintln(t.stderr, err)
		return coded.code
	case errors.As(err, &usage), errors.Is(err, ff.ErrUnknownFlag), errors.Is(err, ff.ErrDuplicateFlag):
		fmt.Fprintln(t.stderr, err)
		return app.ExitUsage
	}
	fmt.Fprintln(t.stderr, err)
	return app.ExitError
}
