package settings

import (
	"slices"
	"strings"

	"github.com/crocusspring/crocusspring/internal/finding"
	"github.com/peterbourgon/ff/v4"
)

// rawList collects the values of a repeatable flag; each value may be a comma-separated list of words.
type rawList struct{ words []string }

func (r *rawList) Set(text string) error {
	r.words = append(r.words, splitList(text)...)
	return nil
}
func (r *rawList) String() string { return strings.Join(r.words, ",") }

// Repeatable declares a repeatable flag; each value is a comma-separated list of some of words.
func (s *Set) Repeatable(dst *[]string, name string, words []string, usage string) {
	r := &rawList{}
	usage += " (" + strings.Join(words, ", ") + ")"
	s.fs.AddFlag(ff.FlagConfig{LongName: name, Value: r, Usage: usage, Placeholder: "VALUE"})
	s.checks = append(s.checks, func(l *finding.List) {
		for _, w := range r.words {
			if !slices.Contains(words, w) {
				l.Add(Place(name), w, "must be one of %s", strings.Join(words, ", "))
			}
		}
		*dst = r.words
	})
}
