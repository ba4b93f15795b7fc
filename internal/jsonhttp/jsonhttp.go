// Package jsonhttp reads and writes JSON bodies over HTTP.
package jsonhttp

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"

	"github.com/crocusspring/crocusspring/internal/finding"
	"github.com/crocusspring/crocusspring/internal/ingress"
)

// Problem is the body of every response that reports an error (after RFC 9457).
type Problem struct {
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail,omitempty"`
	// Outcome is answered, not-run or unknown for requests of callers, else empty.
	Outcome  string       `json:"outcome,omitempty"`
	Findings finding.List `json:"findings,omitempty"`
}

// Write sends a response with a JSON body.
func Write(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// maxDetail bounds the detail of a problem, in bytes: it names what is wrong and doesn't repeat what was sent.
const maxDetail = 2 << 10

// WriteProblem sends a response with a problem body and the problem's status.
func WriteProblem(w http.ResponseWriter, p Problem) {
	p.Detail = finding.Brief(p.Detail, maxDetail)
	w.Header().Set("Content-Type", "application/problem+json")
	w.WriteHeader(p.Status)
	_ = json.NewEncoder(w).Encode(p)
}

// WriteError sends a problem response built from an error; it lists the findings of a finding.Error.
func WriteError(w http.ResponseWriter, status int, err error) {
	p := Problem{Title: http.StatusText(status), Status: status, Detail: err.Error()}
	var fe *finding.Error
	if errors.As(err, &fe) {
		p.Findings = fe.Findings
	}
	WriteProblem(w, p)
}

// MaxValues is the number of values in a body that no request with a reason for more needs; see CheckValues.
const MaxValues = 64 << 10

// Read decodes a JSON request body of at most limit bytes and values values; see CheckValues.
func Read(w http.ResponseWriter, r *http.Request, limit int64, values int, into any) error {
	data, err := ingress.ReadBody(w, r, limit)
	if err != nil {
		return err
	}
	if err := CheckValues(data, values); err != nil {
		return err
	}
	if err := json.Unmarshal(data, into); err != nil {
		return fmt.Errorf("decode body: %w", err)
	}
	return nil
}

// CheckValues returns an error if a JSON text holds more than limit values: elements and members, of all lists and objects
// together. The decoded form of a value may take many times the two bytes that it has at least.
func CheckValues(data []byte, limit int) error {
	values, inString := 0, false
	for i := 0; i < len(data); i++ {
		switch c := data[i]; {
		case inString && c == '\\':
			i++
		case c == '"':
			inString = !inString
		case !inString && (c == ',' || c == '[' || c == '{'):
			values++
		}
		if values > limit {
			return fmt.Errorf("decode body: more than %d values up to byte %d", limit, i)
		}
	}
	return nil
}

// ReadError sends the problem response to a request whose body Read didn't return.
func ReadError(w http.ResponseWriter, err error) {
	status := ingress.Status(err)
	if status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", "1")
	}
	WriteError(w, status, err)
}
