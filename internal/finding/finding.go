// Package finding collects problems with their locations so that they can be reported together.
package finding

import (
	"fmt"
	"strings"
	"unicode/utf8"
)

const (
	// MaxListed is how many findings a List holds; one more stands for all further ones.
	MaxListed = 16
	// MaxText bounds each text of a finding, in bytes.
	MaxText = 200
)

// Finding is one problem and its location.
type Finding struct {
	// Place is a flag, a file with a line or field, or a record with a JSON pointer.
	Place string `json:"place"`
	// Value is the invalid value; empty when there is none to show.
	Value string `json:"value,omitempty"`
	// Problem describes the problem in one short sentence.
	Problem string `json:"problem"`
	// more is the number of findings that this one stands for; 0 for one of its own.
	more int
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

// Add appends one finding; the problem is formatted as by fmt.Sprintf. A list that holds MaxListed findings counts it in
// one more, which has the place of the first that is counted.
func (l *List) Add(place, value, format string, args ...any) {
	switch last := len(*l) - 1; {
	case last >= 0 && (*l)[last].more > 0:
		f := &(*l)[last]
		f.more++
		f.Problem = fmt.Sprintf("%d more problems from here on", f.more)
	case last >= MaxListed-1:
		*l = append(*l, Finding{Place: Brief(place, MaxText), Problem: "1 more problem", more: 1})
	default:
		*l = append(*l, Finding{Place: Brief(place, MaxText), Value: Brief(value, MaxText), Problem: Brief(fmt.Sprintf(format, args...), MaxText)})
	}
}

// Brief returns a text of at most limit bytes, or its beginning and how much it lacks. It is for texts that repeat what
// others have sent.
func Brief(text string, limit int) string {
	if len(text) <= limit {
		return text
	}
	cut := limit
	for cut > 0 && !utf8.RuneStart(text[cut]) {
		cut--
	}
	return fmt.Sprintf("%s... (%d bytes more)", text[:cut], len(text)-cut)
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
