package ctl

import (
	"context"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v4"

	"github.com/crocusspring/crocusspring/internal/settings"
	"github.com/crocusspring/crocusspring/internal/trace"
)

// defaultTraceGap is the shortest time between two lines that a trace reports as a gap. A running task logs
// nothing for longer than that only when it runs for longer itself.
const defaultTraceGap = time.Second

// traceCommand returns the command that shows the lifecycle of a job from collected logs.
func (t *tool) traceCommand() *ff.Command {
	o := trace.Options{}
	flags := settings.New("trace")
	flags.Duration(&o.Gap, "gap", defaultTraceGap, time.Millisecond, time.Hour, "report gaps between two lines of at least this length")
	return t.subcommand("trace", "trace [--gap D] ID FILE...", "show the lifecycle of a job from the collected logs of all processes", flags,
		func(_ context.Context, args []string) error { return t.trace(o, args) })
}

// trace prints the lifecycle of a job.
func (t *tool) trace(o trace.Options, args []string) error {
	if len(args) < 2 {
		return &usageError{"trace: say ID FILE..."}
	}
	var lines []trace.Line
	for _, name := range args[1:] {
		got, err := t.readLog(name)
		if err != nil {
			return err
		}
		lines = append(lines, got...)
	}
	events := trace.Job(lines, args[0], o)
	if events == nil {
		return fail(ExitNotFound, "no line of %d files is about %s", len(args)-1, args[0])
	}
	rows := make([][]string, 0, len(events))
	for _, e := range events {
		who := e.Process
		if e.Gap {
			who = "-"
		}
		rows = append(rows, []string{e.At.UTC().Format("15:04:05.000"), who, string(e.Message), fieldsText(e.Fields)})
	}
	return t.print(events, []string{"TIME", "PROCESS", "MESSAGE", "FIELDS"}, rows)
}

// readLog reads the lines of one file. The base name of the file without its extension names the process of
// lines that name none.
func (t *tool) readLog(name string) ([]trace.Line, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, &usageError{fmt.Sprintf("trace: %v", err)}
	}
	defer f.Close()
	process := strings.TrimSuffix(filepath.Base(name), filepath.Ext(name))
	lines, skipped, err := trace.Read(f, process)
	if err != nil {
		return nil, err
	}
	if skipped > 0 {
		fmt.Fprintf(t.stderr, "%s: %d lines are not log lines and were left out\n", name, skipped)
	}
	return lines, nil
}

// fieldsText lists fields sorted by name; the inputs of a decision come last.
func fieldsText(fields map[string]any) string {
	var out []string
	for _, k := range slices.Sorted(maps.Keys(fields)) {
		if fields[k] != nil && k != "inputs" {
			out = append(out, fmt.Sprintf("%s=%v", k, fields[k]))
		}
	}
	if v, ok := fields["inputs"]; ok {
		out = append(out, fmt.Sprint(v))
	}
	return strings.Join(out, " ")
}
