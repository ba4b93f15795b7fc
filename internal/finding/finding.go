// Package finding collects problems with their place so that they can be reported together.
package finding

import (
	"fmt"
	"strings"
)

// Finding is one problem and the place it was found at.
type Finding struct {
	// Place names a flag, a file with line, or a record with JSON pointer.
	Place string `json:"place"`
	// Value is the offending value; empty when there is none to show.
	Value string `json:"value,omitempty"`
	// Problem says what is wrong in one short sentence.
	Problem string `json:"problem"`
}

// String formats the finding on one line.
func (f Finding) String() string {
	if f.Value == "" {
		return fmt.Sprintf("%s: %s", f.Place, f.Problem)
	}
	return fmt.Sprintf("%s: %q: %s", f.Place, f.Value, f.Problem)
}

// List is a set of findings in the order they were made. The zero value is ready to use.
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

// Error lists every finding, one a line.
func (e *Error) Error() string {
	lines := make([]string, len(e.Findings))
	for i, f := range e.Findings {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}
