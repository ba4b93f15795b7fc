// Package ctl is the operator's command line: one subcommand a file.
package ctl

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
	set    *settings.Set
	node   string
	by     string
	stdout io.Writer
	stderr io.Writer
}

// usageError is a mistake in the command's words.
type usageError struct{ problem string }

// Error says what is wrong.
func (e *usageError) Error() string { return e.problem }

// Main is the main function of crocusctl; it returns the exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	t := &tool{set: settings.New("crocusctl"), stdout: stdout, stderr: stderr}
	t.set.Addr(&t.node, "node", "127.0.0.1:8400", "IP address and port of an entry")
	t.set.String(&t.by, "by", "operator", true, "who makes the change")
	root := &ff.Command{
		Name: "crocusctl", Usage: "crocusctl [flags] SUBCOMMAND ...", Flags: t.set.Flags(),
		Subcommands: []*ff.Command{t.applyCommand(), t.listCommand(), t.statusCommand()},
	}
	err := root.ParseAndRun(context.Background(), args, ff.WithEnvVarPrefix(settings.EnvPrefix))
	return t.exit(root, err)
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
