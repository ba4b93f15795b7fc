// Package logs makes the loggers of a program: short sentences with a fixed prefix per part.
package logs

import (
	"io"

	"github.com/charmbracelet/log"
)

// Options choose the form of the log lines.
type Options struct {
	// Level is one of debug, info, warn, error.
	Level string
	// JSON selects one JSON object a line instead of text.
	JSON bool
}

// timeFormat has the milliseconds that it takes to put lines of several processes in order.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

// New returns a logger that writes to w.
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

// Part returns a logger with the fixed prefix of one part of the program.
func Part(l *log.Logger, name string) *log.Logger { return l.WithPrefix(name) }

// Discard returns a logger that writes nothing.
func Discard() *log.Logger { return log.New(io.Discard) }
