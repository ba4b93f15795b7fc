package trace

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/crocusspring/crocusspring/internal/event"
)

// Event is one element of a trace: a line or a gap.
type Event struct {
	// At is the time by the clock of the entry that accepted the job, as far as clock differences are known.
	At time.Time `json:"at"`
	// Process is the process that wrote the line; empty for a gap.
	Process string         `json:"process,omitempty"`
	Message event.Message  `json:"message"`
	Fields  map[string]any `json:"fields,omitempty"`
	Gap     bool           `json:"gap,omitempty"`
}

// Options are the settings of a trace.
type Options struct {
	// Gap is the shortest time without a line that is reported as a gap.
	Gap time.Duration
}

// Job returns the lifecycle of a job in causal order: the lines about it, changes of owner in between, and
// gaps. A gap is a time without lines, a number of dropped lines, or a stage without a line; clock
// corrections are reported as gaps too. Job returns nil if no line is about the job.
func Job(lines []Line, id string, o Options) []Event {
	var jobLines []Line
	for _, l := range lines {
		if l.about(id) {
			jobLines = append(jobLines, l)
		}
	}
	if len(jobLines) == 0 {
		return nil
	}
	offsets := clockOffsets(jobLines)
	jobLines = mergeByTime(jobLines, offsets)
	begin, end := timeOf(offsets, jobLines[0]), timeOf(offsets, jobLines[len(jobLines)-1])
	var contextLines []Line
	for _, l := range lines {
		t := timeOf(offsets, l)
		if (l.Message == event.CellTakenOver || l.Message == event.LinesDropped) && !t.Before(begin) && !t.After(end) {
			contextLines = append(contextLines, l)
		}
	}
	var out []Event
	out = append(out, clockEvents(begin, offsets)...)
	last := begin
	for _, l := range mergeByTime(append(jobLines, contextLines...), offsets) {
		t := timeOf(offsets, l)
		if quiet := t.Sub(last); quiet >= o.Gap {
			out = append(out, gap(last, "no line for %s", quiet.Round(time.Millisecond)))
		}
		last = t
		if l.Message == event.LinesDropped {
			out = append(out, gap(t, "%s left out %s lines of kind %q", l.Process, l.text("count"), l.text("kind")))
			continue
		}
		out = append(out, Event{At: t, Process: l.Process, Message: l.Message, Fields: l.Fields})
	}
	return append(out, missingStages(jobLines, last)...)
}

// gap returns a gap event with a formatted message.
func gap(t time.Time, format string, args ...any) Event {
	return Event{At: t, Message: event.Message(fmt.Sprintf(format, args...)), Gap: true}
}

// clockEvents returns one event for each process whose times were corrected.
func clockEvents(t time.Time, offsets map[string]time.Duration) []Event {
	var out []Event
	for _, process := range slices.Sorted(maps.Keys(offsets)) {
		out = append(out, gap(t, "clock of %s is behind by %s or more and was put forward", process, offsets[process]))
	}
	return out
}

// missingStages returns one event for each stage of the job that has no line.
func missingStages(lines []Line, end time.Time) []Event {
	seen := map[event.Message]bool{}
	open := map[string]bool{}
	for _, l := range lines {
		seen[l.Message] = true
		switch l.Message {
		case event.Place:
			open[l.subjectKey(true)] = true
		case event.End:
			delete(open, l.subjectKey(true))
		}
	}
	var out []Event
	for _, stage := range []struct {
		message event.Message
		text    string
	}{
		{event.JobSubmitted, "no entry tells of its submission"},
		{event.Accept, "no owner tells that it learned of it"},
	} {
		if !seen[stage.message] {
			out = append(out, gap(end, "%s", stage.text))
		}
	}
	for _, key := range slices.Sorted(maps.Keys(open)) {
		out = append(out, gap(end, "no end of run %s", key))
	}
	if !seen[event.Complete] && !seen[event.Fail] && !seen[event.Cancel] {
		out = append(out, gap(end, "no line tells how it ended"))
	}
	return out
}
