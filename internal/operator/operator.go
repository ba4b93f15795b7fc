// Package operator authenticates operators by bearer token and holds their rights.
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

// Right is a permission of an operator in the operator's workspaces.
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

// Operator is a person or a program that operates the system.
type Operator struct {
	Name string `yaml:"name"`
	// TokenSHA256 is the SHA-256 of the bearer token in hexadecimal.
	TokenSHA256 string   `yaml:"token_sha256"`
	Workspaces  []string `yaml:"workspaces"`
	Rights      []Right  `yaml:"rights"`

	tokenHash []byte
}

// Anyone is the operator of every request when no operators are configured: it has all rights.
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

// VisibleWorkspaces returns the workspaces whose audit records the operator may read; nil for all.
func (o Operator) VisibleWorkspaces() []string {
	if o.Has(Platform) {
		return nil
	}
	return append([]string{}, o.Workspaces...)
}

// List holds the operators of an installation. With an empty list every request has all rights.
type List []Operator

// ErrUnknown means that a request carries no valid token of an operator.
var ErrUnknown = errors.New("no operator has this token")

// document is the YAML form of the operators setting.
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
			l.Add(at+"/name", o.Name, "must be unique")
		}
		names[o.Name] = true
	}
	return d.Operators, l.Err()
}

// check adds a finding for each problem of an operator and decodes the token's SHA-256.
func (o *Operator) check(l *finding.List, at string) {
	if o.Name == "" {
		l.Add(at+"/name", "", "must not be empty")
	}
	sum, err := hex.DecodeString(o.TokenSHA256)
	if err != nil || len(sum) != sha256.Size {
		l.Add(at+"/token_sha256", o.TokenSHA256, "must be a SHA-256 in hexadecimal")
	}
	o.tokenHash = sum
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

// bearerPrefix is the prefix of the token in an Authorization header.
const bearerPrefix = "Bearer "

// Identify returns the operator of an Authorization header. It compares the token with every operator's in
// constant time, so that the response time reveals nothing about the tokens.
func (l List) Identify(authorization string) (Operator, error) {
	if len(l) == 0 {
		return Anyone, nil
	}
	token, ok := strings.CutPrefix(authorization, bearerPrefix)
	if !ok || token == "" {
		return Operator{}, ErrUnknown
	}
	sum := sha256.Sum256([]byte(token))
	var found *Operator
	for i := range l {
		if subtle.ConstantTimeCompare(sum[:], l[i].tokenHash) == 1 {
			found = &l[i]
		}
	}
	if found == nil {
		return Operator{}, ErrUnknown
	}
	return *found, nil
}
