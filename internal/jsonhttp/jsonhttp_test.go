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
