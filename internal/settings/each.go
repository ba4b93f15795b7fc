package settings

import (
	"slices"
	"strings"

	"github.com/crocusspring/crocusspring/internal/finding"
	"github.com/peterbourgon/ff/v4"
)

// rawEach collects every text a flag is given; one text may hold several words, comma-separated.
type rawEach struct{ words []string }

func (r *rawEach) Set(text string) error {
	r.words = append(r.words, splitList(text)...)
	return nil
}
func (r *rawEach) String() string { return strings.Join(r.words, ",") }

// Each declares a flag that may be given again, each time with some of the given words.
func (s *Set) Each(dst *[]string, name string, words []string, usage string) {
	r := &rawEach{}
	usage += " (" + strings.Join(words, ", ") + ")"
	s.fs.AddFlag(ff.FlagConfig{LongName: name, Value: r, Usage: usage, Placeholder: "VALUE"})
	s.check = append(s.check, func(l *finding.List) {
		for _, w := range r.words {
			if !slices.Contains(words, w) {
				l.Add(Place(name), w, "must be one of %s", strings.Join(words, ", "))
			}
		}
		*dst = r.words
	})
}
