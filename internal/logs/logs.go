// Package logs creates the loggers of a program, with a fixed prefix for each of its parts.
package logs

import (
	"io"

	"github.com/charmbracelet/log"
)

// Options are the level and format of log lines.
type Options struct {
	// Level is one of debug, info, warn, error.
	Level string
	// JSON selects one JSON object per line instead of text.
	JSON bool
}

// timeFormat includes milliseconds, which are needed to order the lines of several processes.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

// New returns a logger that writes to w. An unknown level selects info.
func New(w io.Writer, o Options) *log.Logger {
	level, err := log.ParseLevel(o.Level)
	if err != nil {
		level = log.InfoLevel
	}
	l := log.NewWithOptions(w, log.Options{Level: level, ReportTimestamp: true, TimeFormat: timeFormat})
	if o.JSON {
		l.SetFormatter(log.JSONFormatter)
	}
	return l
}

// Part returns a logger with the prefix of one part of the program.
func Part(l *log.Logger, name string) *log.Logger { return l.WithPrefix(name) }

// Discard returns a logger that writes nothing.
func Discard() *log.Logger { return log.New(io.Discard) }
