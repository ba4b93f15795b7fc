package dev

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/crocusspring/crocusspring/internal/history"
)

// Report is the result of a run; with --json, crocus-dev prints it as its last line.
type Report struct {
	Deployment string   `json:"deployment"`
	Seed       uint64   `json:"seed"`
	Faults     []string `json:"faults"`
	history.Report
	// FaultEvents is the number of events of each fault.
	FaultEvents map[string]int `json:"fault_events,omitempty"`
}

// maxShown limits the violations of one invariant, and the operations of one violation, in the summary.
const maxShown = 3

// Summary writes the report as text.
func (r Report) Summary(w io.Writer) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	line := func(name, format string, args ...any) {
		fmt.Fprintf(t, "%s\t"+format+"\n", append([]any{name}, args...)...)
	}
	line("deployment", "%s, seed %d, faults: %s", r.Deployment, r.Seed, orNone(r.Faults))
	line("requests", "%d sent, %d answered, %d not run, %d unknown, %d lost",
		r.RequestsSent, r.RequestsAnswered, r.RequestsNotRun, r.RequestsUnknown, r.RequestsLost)
	line("latency", "p50 %.1f ms, p99 %.1f ms, p99.9 %.1f ms", r.LatencyMS.P50, r.LatencyMS.P99, r.LatencyMS.P999)
	line("jobs", "%d accepted, %d finished, %d failed, %d cancelled, %d open, %d lost; %d evictions, Jain's index %.3f",
		r.JobsAccepted, r.JobsFinished, r.JobsFailed, r.JobsCancelled, r.JobsOpen, r.JobsLost, r.Evictions, r.JainIndex)
	line("records", "%d applied, slowest in force everywhere after %d ms", r.RecordsApplied, r.ConfigSlowestMS)
	line("log", "%d appends in the busiest second", r.LogAppendsPeak)
	for _, name := range r.Faults {
		if r.FaultEvents[name] == 0 {
			line("fault", "%s did not take place; the run proves nothing about it", name)
			continue
		}
		line("fault", "%s took place %d times", name, r.FaultEvents[name])
	}
	_ = t.Flush()
	r.writeViolations(w)
}

// writeViolations writes which invariants were violated.
func (r Report) writeViolations(w io.Writer) {
	if len(r.Violations) == 0 {
		fmt.Fprintln(w, "no promise was broken")
		return
	}
	fmt.Fprintf(w, "%d violations\n", len(r.Violations))
	byInvariant := map[history.Invariant][]history.Violation{}
	var order []history.Invariant
	for _, v := range r.Violations {
		if !slices.Contains(order, v.Invariant) {
			order = append(order, v.Invariant)
		}
		byInvariant[v.Invariant] = append(byInvariant[v.Invariant], v)
	}
	for _, p := range order {
		all := byInvariant[p]
		fmt.Fprintf(w, "  %s: %d\n", p, len(all))
		for _, v := range all[:min(maxShown, len(all))] {
			fmt.Fprintf(w, "    %s\n", v.Detail)
			for _, o := range v.Operations[:min(maxShown, len(v.Operations))] {
				fmt.Fprintf(w, "      %s\n", o)
			}
		}
	}
}

// orNone joins words with commas; no words give "none".
func orNone(words []string) string {
	if len(words) == 0 {
		return "none"
	}
	return strings.Join(words, ", ")
}
