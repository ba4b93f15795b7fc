package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strings"

	"github.com/crocusspring/crocusspring/internal/finding"
	"github.com/santhosh-tekuri/jsonschema/v6"
	"golang.org/x/text/language"
	"golang.org/x/text/message"
)

// printer formats the errors of the schema library as English text.
var printer = message.NewPrinter(language.English)

// CheckDocument validates a whole record document by the schemas and returns the proposal. The place of a
// finding is the record and the JSON pointer, such as service/enrolment: /spec/budget_ms.
func CheckDocument(doc []byte) (Proposal, finding.List) {
	var l finding.List
	var p Proposal
	if err := json.Unmarshal(doc, &p); err != nil {
		l.Add("/", "", "is not a record: %v", err)
		return p, l
	}
	validate(&l, recordSchema, doc, p.Key, "")
	l = append(l, Check(p)...)
	return p, l
}

// Check returns all problems of a proposal's spec; none for a deletion.
func Check(p Proposal) finding.List {
	var l finding.List
	if p.Deleted {
		return l
	}
	s := schemaID{p.Kind, p.Schema}
	conv := converters[s]
	if conv == nil {
		err := UnknownSchemaError{p.Key, p.Schema}
		l.Add(location(p.Key, "/schema"), fmt.Sprint(p.Schema), "%s", err.Error())
		return l
	}
	if len(p.Spec) == 0 {
		l.Add(location(p.Key, "/spec"), "", "must be given")
		return l
	}
	validate(&l, s.file(), p.Spec, p.Key, "/spec")
	if len(l) > 0 {
		return l
	}
	if err := conv(newView(), p.Name, Version{Proposal: p}); err != nil {
		l.Add(location(p.Key, "/spec"), "", "%v", err)
	}
	return l
}

// location formats a record and a JSON pointer in it for a finding.
func location(k Key, pointer string) string { return k.String() + ": " + pointer }

// validate checks JSON against a schema file; pointers in findings start with base.
func validate(l *finding.List, file string, data []byte, k Key, base string) {
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(data))
	if err != nil {
		l.Add(location(k, base), "", "is not JSON: %v", err)
		return
	}
	var ve *jsonschema.ValidationError
	if err := schemas()[file].Validate(doc); errors.As(err, &ve) {
		addLeafErrors(l, ve, k, base)
	}
}

// addLeafErrors adds one finding for each leaf in the tree of causes of a validation error.
func addLeafErrors(l *finding.List, e *jsonschema.ValidationError, k Key, base string) {
	if len(e.Causes) > 0 {
		for _, c := range e.Causes {
			addLeafErrors(l, c, k, base)
		}
		return
	}
	l.Add(location(k, base+pointer(e.InstanceLocation)), "", "%s", e.ErrorKind.LocalizedString(printer))
}

// pointer joins tokens to a JSON pointer (RFC 6901).
func pointer(tokens []string) string {
	var sb strings.Builder
	for _, t := range tokens {
		t = strings.ReplaceAll(strings.ReplaceAll(t, "~", "~0"), "/", "~1")
		sb.WriteString("/" + t)
	}
	return sb.String()
}
