// Package finding collects problems with their locations so that they can be reported together.
package finding

import (
	"fmt"
	"strings"
)

// Finding is one problem and its location.
type Finding struct {
	// Place is a flag, a file with a line or field, or a record with a JSON pointer.
	Place string `json:"place"`
	// Value is the invalid value; empty when there is none to show.
	Value string `json:"value,omitempty"`
	// Problem describes the problem in one short sentence.
	Problem string `json:"problem"`
}

// String formats the finding on one line.
func (f Finding) String() string {
	if f.Value == "" {
		return fmt.Sprintf("%s: %s", f.Place, f.Problem)
	}
	return fmt.Sprintf("%s: %q: %s", f.Place, f.Value, f.Problem)
}

// List holds findings in the order in which they were added. The zero value is ready to use.
type List []Finding

// Add appends one finding; the problem is formatted as by fmt.Sprintf.
func (l *List) Add(place, value, format string, args ...any) {
	*l = append(*l, Finding{Place: place, Value: value, Problem: fmt.Sprintf(format, args...)})
}

// Err returns nil when the list is empty and an *Error otherwise.
func (l List) Err() error {
	if len(l) == 0 {
		return nil
	}
	return &Error{Findings: l}
}

// Error reports all findings of one check.
type Error struct{ Findings List }

// Error implements error; it lists every finding on its own line.
func (e *Error) Error() string {
	lines := make([]string, len(e.Findings))
	for i, f := range e.Findings {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}
