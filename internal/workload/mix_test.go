package workload

import (
	"strings"
	"testing"
)

// TestParseMixReportsEverything checks that one error lists every problem of a mix with its location.
func TestParseMixReportsEverything(t *testing.T) {
	_, err := ParseMix("bad.yaml", []byte(`
requests_per_second: -1
jobs_per_second: 2
requests: [{class: seat-check, weight: 1}]
`))
	if err == nil {
		t.Fatal("invalid mix was accepted")
	}
	for _, place := range []string{"/service", "/workspaces", "/requests_per_second", "/jobs", "/requests/0"} {
		if !strings.Contains(err.Error(), "bad.yaml "+place) {
			t.Errorf("%s is not in %v", place, err)
		}
	}
	if _, err := ParseMix("bad.yaml", []byte("servce: typo")); err == nil || !strings.Contains(err.Error(), "servce") {
		t.Errorf("unknown field: %v", err)
	}
}
