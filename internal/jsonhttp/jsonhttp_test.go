package jsonhttp

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// TestErrorIsBounded checks that the response to a request names its fault and doesn't repeat what was sent.
func TestErrorIsBounded(t *testing.T) {
	rec := httptest.NewRecorder()
	WriteError(rec, http.StatusBadRequest, errors.New(strings.Repeat("x", 1<<20)))
	if rec.Code != http.StatusBadRequest || rec.Body.Len() > 2*maxDetail {
		t.Errorf("status %d with %d bytes", rec.Code, rec.Body.Len())
	}
}

// TestCheckValues checks what counts as a value, and that text in strings doesn't.
func TestCheckValues(t *testing.T) {
	for _, c := range []struct {
		text   string
		values int
	}{
		{`7`, 0},
		{`{}`, 1},
		{`{"a":1,"b":[1,2,3]}`, 5},
		{`[{},{},{}]`, 6},
		{`{"a":"[,{\"[,{"}`, 1},
		{`["\\",1]`, 2},
		{`["` + strings.Repeat("[", 100), 1},
	} {
		if err := CheckValues([]byte(c.text), c.values); err != nil {
			t.Errorf("%s: %v", c.text, err)
		}
		if c.values > 0 && CheckValues([]byte(c.text), c.values-1) == nil {
			t.Errorf("%s counts as fewer than %d values", c.text, c.values)
		}
	}
}
