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

// printer words the problems of the schema library.
var printer = message.NewPrinter(language.English)

// CheckDocument checks a whole record document by the schemas and returns the proposal. The places of
// its findings are the record and the JSON pointer, such as service/enrolment: /spec/budget_ms.
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

// Check reports everything that is wrong with a proposal's spec.
func Check(p Proposal) finding.List {
	var l finding.List
	if p.Deleted {
		return l
	}
	s := shape{p.Kind, p.Schema}
	conv := converters[s]
	if conv == nil {
		err := UnknownShapeError{p.Key, p.Schema}
		l.Add(place(p.Key, "/schema"), fmt.Sprint(p.Schema), "%s", err.Error())
		return l
	}
	if len(p.Spec) == 0 {
		l.Add(place(p.Key, "/spec"), "", "must be given")
		return l
	}
	validate(&l, s.file(), p.Spec, p.Key, "/spec")
	if len(l) > 0 {
		return l
	}
	if err := conv(newView(), p.Name, Version{Proposal: p}); err != nil {
		l.Add(place(p.Key, "/spec"), "", "%v", err)
	}
	return l
}

// place names a record and a JSON pointer in it.
func place(k Key, pointer string) string { return k.String() + ": " + pointer }

// validate checks JSON by a schema file; pointers in findings start with base.
func validate(l *finding.List, file string, data []byte, k Key, base string) {
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(data))
	if err != nil {
		l.Add(place(k, base), "", "is not JSON: %v", err)
		return
	}
	var ve *jsonschema.ValidationError
	if err := schemas()[file].Validate(doc); errors.As(err, &ve) {
		leaves(l, ve, k, base)
	}
}

// leaves adds one finding for each cause of a validation error that has no further cause.
func leaves(l *finding.List, e *jsonschema.ValidationError, k Key, base string) {
	if len(e.Causes) > 0 {
		for _, c := range e.Causes {
			leaves(l, c, k, base)
		}
		return
	}
	l.Add(place(k, base+pointer(e.InstanceLocation)), "", "%s", e.ErrorKind.LocalizedString(printer))
}

// pointer returns a JSON pointer (RFC 6901).
func pointer(tokens []string) string {
	var sb strings.Builder
	for _, t := range tokens {
		t = strings.ReplaceAll(strings.ReplaceAll(t, "~", "~0"), "/", "~1")
		sb.WriteString("/" + t)
	}
	return sb.String()
}
