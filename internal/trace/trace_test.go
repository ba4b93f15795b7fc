package trace

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// log returns the lines of a process; each row is a time in seconds followed by JSON fields.
func log(t *testing.T, process string, rows ...string) []Line {
	t.Helper()
	var text strings.Builder
	for _, r := range rows {
		second, rest, _ := strings.Cut(r, " ")
		fmt.Fprintf(&text, `{"time":"2026-01-31T08:00:%sZ","level":"info",%s}`+"\n", second, rest)
	}
	lines, skipped, err := Read(strings.NewReader(text.String()), process)
	if err != nil || skipped != 0 {
		t.Fatalf("read: %v, %d lines skipped", err, skipped)
	}
	return lines
}

// render formats events as one short line each.
func render(events []Event) string {
	var out []string
	for _, e := range events {
		name := e.Process
		if e.Gap {
			name = "gap"
		}
		out = append(out, name+": "+string(e.Message))
	}
	return strings.Join(out, "\n")
}

// TestTakeover checks the trace of a job whose owner was replaced: its lines from three processes, a gap
// for the time between the owners, and a gap for the run without an end.
func TestTakeover(t *testing.T) {
	lines := log(t, "entry", `01.000 "msg":"job submitted","job":"j1"`)
	lines = append(lines, log(t, "owner1",
		`01.010 "msg":"accept","subject":"j1","epoch":1,"inputs":"queue=q"`,
		`01.020 "msg":"place","subject":"j1.0.0.0","epoch":1,"inputs":"run=1 worker=a"`,
		`01.020 "msg":"place","subject":"j1.0.0.1","epoch":1,"inputs":"run=1 worker=b"`,
		`01.500 "msg":"end","subject":"j1.0.0.0","epoch":1,"inputs":"run=1 worker=a outcome=done"`,
		`01.500 "msg":"place","subject":"other.0.0.0","epoch":1,"inputs":"run=1 worker=a"`)...)
	lines = append(lines, log(t, "owner2",
		`05.000 "msg":"cell taken over","epoch":2`,
		`05.010 "msg":"place","subject":"j1.0.0.1","epoch":2,"inputs":"run=2 worker=a"`,
		`05.600 "msg":"end","subject":"j1.0.0.1","epoch":2,"inputs":"run=2 worker=a outcome=done"`,
		`05.600 "msg":"complete","subject":"j1","epoch":2,"inputs":"slack=-1s"`)...)
	want := strings.Join([]string{
		"entry: job submitted", "owner1: accept", "owner1: place", "owner1: place", "owner1: end",
		"gap: no line for 3.5s", "owner2: cell taken over", "owner2: place", "owner2: end", "owner2: complete",
		"gap: no end of run j1.0.0.1#1",
	}, "\n")
	if got := render(Job(lines, "j1", Options{Gap: time.Second})); got != want {
		t.Errorf("trace is\n%s\nwant\n%s", got, want)
	}
}

// TestUnequalClocks checks that lines of an owner whose clock is behind that of the entry are ordered after
// the submission that caused them, and that the trace reports the correction.
func TestUnequalClocks(t *testing.T) {
	lines := log(t, "owner",
		`03.000 "msg":"accept","subject":"j1"`,
		`03.900 "msg":"complete","subject":"j1"`)
	lines = append(lines, log(t, "entry", `05.000 "msg":"job submitted","job":"j1"`)...)
	want := "gap: clock of owner is behind by 2s or more and was put forward\n" +
		"entry: job submitted\nowner: accept\nowner: complete"
	if got := render(Job(lines, "j1", Options{Gap: time.Second})); got != want {
		t.Errorf("trace is\n%s\nwant\n%s", got, want)
	}
}

// TestMissingStages checks that a trace reports dropped lines and missing stages as gaps.
func TestMissingStages(t *testing.T) {
	lines := log(t, "owner",
		`01.000 "msg":"place","subject":"j1.0.0.0","inputs":"run=3 worker=a"`,
		`01.500 "prefix":"logs","msg":"lines left out","kind":"end","count":7`,
		`01.600 "msg":"stop","subject":"j1.0.0.0","inputs":"run=3"`)
	got := render(Job(lines, "j1", Options{Gap: time.Second}))
	for _, want := range []string{
		`gap: owner left out 7 lines of kind "end"`, "gap: no entry tells of its submission",
		"gap: no owner tells that it learned of it", "gap: no end of run j1.0.0.0#3", "gap: no line tells how it ended",
	} {
		if !strings.Contains(got, want) {
			t.Errorf("trace lacks %q:\n%s", want, got)
		}
	}
	if got := Job(lines, "j2", Options{Gap: time.Second}); got != nil {
		t.Errorf("trace of a job without lines: %v", got)
	}
}

// TestCollected checks that Read accepts a file with the lines of several processes, each with the name of
// its process before the object, and counts the lines it skips.
func TestCollected(t *testing.T) {
	text := "  1.5 front-1 {\"time\":\"2026-01-31T08:00:01Z\",\"msg\":\"a\"}\nno object\n" +
		"  1.6 side-2 {\"time\":\"2026-01-31T08:00:01Z\",\"msg\":\"b\"}\n{\"msg\":\"no time\"}\n"
	lines, skipped, err := Read(strings.NewReader(text), "file")
	if err != nil || skipped != 2 || len(lines) != 2 {
		t.Fatalf("read %v, %d skipped, %v", lines, skipped, err)
	}
	if lines[0].Process != "front-1" || lines[1].Process != "side-2" {
		t.Errorf("processes %s and %s", lines[0].Process, lines[1].Process)
	}
}
