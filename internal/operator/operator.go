// Package operator tells who an operator is by a bearer token and what the operator may do.
package operator

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/crocusspring/crocusspring/internal/finding"
	"github.com/goccy/go-yaml"
)

// Right is what an operator may do in the workspaces that are named.
type Right string

// Rights of an operator.
const (
	// Read allows to see records, jobs and the audit trail.
	Read Right = "read"
	// Change allows to publish records and to submit and cancel jobs.
	Change Right = "change"
	// Platform extends the other rights to all workspaces and to the records of the platform.
	Platform Right = "platform"
)

// Operator is one person or program that drives the system.
type Operator struct {
	Name string `yaml:"name"`
	// TokenSHA256 is the SHA-256 of the bearer token in hexadecimal.
	TokenSHA256 string   `yaml:"token_sha256"`
	Workspaces  []string `yaml:"workspaces"`
	Rights      []Right  `yaml:"rights"`

	sum []byte
}

// Anyone is the operator of an installation that names none: it may do everything.
var Anyone = Operator{Name: "operator", Rights: []Right{Read, Change, Platform}}

// Has reports whether the operator holds a right.
func (o Operator) Has(r Right) bool { return slices.Contains(o.Rights, r) }

// May reports whether the operator holds a right in a workspace. The empty workspace is the platform:
// every operator may read its records, only one with the Platform right may change them.
func (o Operator) May(r Right, workspace string) bool {
	switch {
	case !o.Has(r):
		return false
	case o.Has(Platform):
		return true
	case workspace == "":
		return r == Read
	}
	return slices.Contains(o.Workspaces, workspace)
}

// Visible returns the workspaces whose audit lines the operator may read; nil for all.
func (o Operator) Visible() []string {
	if o.Has(Platform) {
		return nil
	}
	return append([]string{}, o.Workspaces...)
}

// List is the operators of an installation. An empty one lets anyone do everything.
type List []Operator

// ErrUnknown says that a request carries no token of an operator.
var ErrUnknown = errors.New("no operator has this token")

// document is the settings text.
type document struct {
	Operators List `yaml:"operators"`
}

// Parse reads operators from YAML or JSON and reports all findings together.
func Parse(text []byte) (List, error) {
	var d document
	if err := yaml.UnmarshalWithOptions(text, &d, yaml.Strict()); err != nil {
		return nil, fmt.Errorf("operators: %w", err)
	}
	var l finding.List
	if len(d.Operators) == 0 {
		l.Add("/operators", "", "must name at least one operator")
	}
	names := map[string]bool{}
	for i := range d.Operators {
		o := &d.Operators[i]
		at := fmt.Sprintf("/operators/%d", i)
		o.check(&l, at)
		if names[o.Name] {
			l.Add(at+"/name", o.Name, "stands twice")
		}
		names[o.Name] = true
	}
	return d.Operators, l.Err()
}

// check adds what is wrong with an operator and decodes the token's sum.
func (o *Operator) check(l *finding.List, at string) {
	if o.Name == "" {
		l.Add(at+"/name", "", "must not be empty")
	}
	sum, err := hex.DecodeString(o.TokenSHA256)
	if err != nil || len(sum) != sha256.Size {
		l.Add(at+"/token_sha256", o.TokenSHA256, "must be a SHA-256 in hexadecimal")
	}
	o.sum = sum
	if len(o.Rights) == 0 {
		l.Add(at+"/rights", "", "must name at least one right")
	}
	for _, r := range o.Rights {
		if r != Read && r != Change && r != Platform {
			l.Add(at+"/rights", string(r), "must be %s, %s or %s", Read, Change, Platform)
		}
	}
	if len(o.Workspaces) == 0 && !o.Has(Platform) {
		l.Add(at+"/workspaces", "", "must name at least one workspace")
	}
}

// bearer starts the value of an Authorization header.
const bearer = "Bearer "

// Identify returns the operator of an Authorization header. Every operator is compared, so the time
// taken tells nothing about the tokens.
func (l List) Identify(authorization string) (Operator, error) {
	if len(l) == 0 {
		return Anyone, nil
	}
	token, ok := strings.CutPrefix(authorization, bearer)
	if !ok || token == "" {
		return Operator{}, ErrUnknown
	}
	sum := sha256.Sum256([]byte(token))
	var found *Operator
	for i := range l {
		if subtle.ConstantTimeCompare(sum[:], l[i].sum) == 1 {
			found = &l[i]
		}
	}
	if found == nil {
		return Operator{}, ErrUnknown
	}
	return *found, nil
}
