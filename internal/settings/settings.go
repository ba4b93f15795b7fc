// Package settings declares the flags of a program, reads them from the command line and from
// CROCUS_ environment variables, and reports every bad value together.
package settings

import (
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/crocusspring/crocusspring/internal/finding"
	"github.com/peterbourgon/ff/v4"
	"github.com/peterbourgon/ff/v4/ffhelp"
)

// EnvPrefix is the prefix of the environment variables that set flags.
const EnvPrefix = "CROCUS"

// ErrHelp is returned by Parse when help was requested.
var ErrHelp = ff.ErrHelp

// Set is the set of flags of one program. Use New to make one.
type Set struct {
	fs     *ff.FlagSet
	checks []func(*finding.List)
}

// New returns an empty set of flags for a program.
func New(program string) *Set {
	return &Set{fs: ff.NewFlagSet(program)}
}

// Flags returns the underlying flag set for use in an ff.Command.
func (s *Set) Flags() *ff.FlagSet { return s.fs }

// Env returns the name of the environment variable that sets a flag.
func Env(flag string) string {
	return EnvPrefix + "_" + strings.ToUpper(strings.ReplaceAll(flag, "-", "_"))
}

// Place returns a flag with its environment variable, for use as the place of a finding.
func Place(flag string) string { return fmt.Sprintf("--%s (%s)", flag, Env(flag)) }

// rawValue holds the text of a flag, so that all flags can be parsed and checked together.
type rawValue struct{ text string }

func (r *rawValue) Set(text string) error { r.text = text; return nil }
func (r *rawValue) String() string        { return r.text }

// rawBool is a rawValue for a boolean flag, whose value may be left out on the command line.
type rawBool struct{ rawValue }

// IsBoolFlag tells the flag library that the value may be left out.
func (*rawBool) IsBoolFlag() bool { return true }

// define declares a flag whose text is parsed into dst by Check.
func define[T any](s *Set, dst *T, name, def, usage string, parse func(string) (T, error)) {
	r := &rawValue{text: def}
	s.fs.AddFlag(ff.FlagConfig{LongName: name, Value: r, Usage: usage, Placeholder: "VALUE"})
	s.checks = append(s.checks, func(l *finding.List) {
		v, err := parse(r.text)
		if err != nil {
			l.Add(Place(name), r.text, "%v", err)
			return
		}
		*dst = v
	})
}

// String declares a string flag; a required one must not be empty or blank.
func (s *Set) String(dst *string, name, def string, required bool, usage string) {
	define(s, dst, name, def, usage, func(t string) (string, error) {
		if required && strings.TrimSpace(t) == "" {
			return "", errors.New("must not be empty")
		}
		return t, nil
	})
}

// Choice declares a flag whose value is one of words.
func (s *Set) Choice(dst *string, name, def string, words []string, usage string) {
	usage += " (" + strings.Join(words, ", ") + ")"
	define(s, dst, name, def, usage, func(t string) (string, error) {
		if !slices.Contains(words, t) {
			return "", fmt.Errorf("must be one of %s", strings.Join(words, ", "))
		}
		return t, nil
	})
}

// Int declares an integer flag with a value from low to high, inclusive.
func (s *Set) Int(dst *int64, name string, def, low, high int64, usage string) {
	define(s, dst, name, strconv.FormatInt(def, 10), usage, func(t string) (int64, error) {
		v, err := strconv.ParseInt(t, 10, 64)
		if err != nil {
			return 0, errors.New("is not a whole number")
		}
		if v < low || v > high {
			return 0, fmt.Errorf("must be from %d to %d", low, high)
		}
		return v, nil
	})
}

// Duration declares a duration flag, such as 500ms or 2s, with a value from low to high, inclusive.
func (s *Set) Duration(dst *time.Duration, name string, def, low, high time.Duration, usage string) {
	define(s, dst, name, def.String(), usage, func(t string) (time.Duration, error) {
		v, err := time.ParseDuration(t)
		if err != nil {
			return 0, errors.New("is not a time such as 500ms or 2s")
		}
		if v < low || v > high {
			return 0, fmt.Errorf("must be from %v to %v", low, high)
		}
		return v, nil
	})
}

// Bool declares a boolean flag.
func (s *Set) Bool(dst *bool, name string, def bool, usage string) {
	r := &rawBool{rawValue{text: strconv.FormatBool(def)}}
	s.fs.AddFlag(ff.FlagConfig{LongName: name, Value: r, Usage: usage, NoPlaceholder: true})
	s.checks = append(s.checks, func(l *finding.List) {
		v, err := strconv.ParseBool(r.text)
		if err != nil {
			l.Add(Place(name), r.text, "must be true or false")
			return
		}
		*dst = v
	})
}

// parseAddr parses an IP address with port. Host names are refused, since no resolver is available.
func parseAddr(t string) (string, error) {
	a, err := netip.ParseAddrPort(t)
	if err != nil {
		return "", errors.New("must be an IP address with port, such as 127.0.0.1:8080")
	}
	return a.String(), nil
}

// Addr declares a flag for an IP address with port.
func (s *Set) Addr(dst *string, name, def string, usage string) {
	define(s, dst, name, def, usage, parseAddr)
}

// Addrs declares a flag for a comma-separated list of IP addresses with port.
func (s *Set) Addrs(dst *[]string, name, def string, required bool, usage string) {
	define(s, dst, name, def, usage, func(t string) ([]string, error) {
		words := splitList(t)
		if required && len(words) == 0 {
			return nil, errors.New("must name at least one address")
		}
		for i, w := range words {
			a, err := parseAddr(w)
			if err != nil {
				return nil, fmt.Errorf("entry %d: %w", i+1, err)
			}
			words[i] = a
		}
		return words, nil
	})
}

// List declares a flag for a comma-separated list of words.
func (s *Set) List(dst *[]string, name, def string, usage string) {
	define(s, dst, name, def, usage, func(t string) ([]string, error) { return splitList(t), nil })
}

// splitList splits a comma-separated list, trims its words and drops empty ones.
func splitList(t string) []string {
	var out []string
	for w := range strings.SplitSeq(t, ",") {
		if w = strings.TrimSpace(w); w != "" {
			out = append(out, w)
		}
	}
	return out
}

// Parse reads the arguments and the environment and reports all findings together.
// It returns ErrHelp when help was requested and a *finding.Error for bad values.
func (s *Set) Parse(args []string) error {
	if err := ff.Parse(s.fs, args, ff.WithEnvVarPrefix(EnvPrefix)); err != nil {
		return err
	}
	return s.Check()
}

// Check parses all values that were read and reports all findings together.
func (s *Set) Check() error {
	var l finding.List
	for _, c := range s.checks {
		c(&l)
	}
	return l.Err()
}

// Help returns the text that --help prints.
func (s *Set) Help() string {
	return ffhelp.Flags(s.fs).String() + "\nEvery flag is also an environment variable: --data-centre is " + Env("data-centre") + ".\n"
}
