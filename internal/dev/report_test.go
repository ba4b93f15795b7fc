package dev

import (
	"bytes"
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"testing"

	"github.com/crocusspring/crocusspring/internal/history"
	"github.com/google/go-cmp/cmp"
)

// TestReportFields checks the field names of the report, which other programs read.
func TestReportFields(t *testing.T) {
	r := Report{Report: history.Check(&history.History{}), FaultEvents: map[string]int{"entry-kill": 2}}
	data, err := json.Marshal(r)
	if err != nil {
		t.Fatal(err)
	}
	var got map[string]any
	if err := json.Unmarshal(data, &got); err != nil {
		t.Fatal(err)
	}
	want := strings.Fields(`deployment seed faults requests_sent requests_answered requests_not_run requests_unknown
		requests_lost wrong_answers double_runs false_not_run cut_requests over_slots late_to_leaving jobs_accepted
		jobs_finished jobs_failed jobs_cancelled jobs_open jobs_lost double_resumes evictions over_capacity
		records_applied config_reverts config_slowest_ms log_appends_peak_per_second latency_ms jain_index violations
		fault_events`)
	slices.Sort(want)
	if d := cmp.Diff(want, slices.Sorted(maps.Keys(got))); d != "" {
		t.Errorf("fields (-want +got): %s", d)
	}
	if v, ok := got["violations"].([]any); !ok || len(v) != 0 {
		t.Errorf("violations of an empty history: %v", got["violations"])
	}
}

// TestSummaryListsViolations checks that the summary lists each violated invariant, its operations and
// faults that did not take place.
func TestSummaryListsViolations(t *testing.T) {
	r := Report{Faults: []string{"entry-kill"}}
	r.Violations = []history.Violation{{Invariant: history.AtMostOnce, Detail: "ran 2 times", Operations: []string{"run 1", "run 2"}}}
	var out bytes.Buffer
	r.Summary(&out)
	for _, want := range []string{"1 violations", "at most once: 1", "ran 2 times", "run 1", "run 2", "entry-kill did not take place"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("summary lacks %q:\n%s", want, out.String())
		}
	}
}
