package trace

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/crocusspring/crocusspring/internal/event"
)

// Event is one entry of a trace: a line, or a gap.
type Event struct {
	// At is the time by the clock of the entry that accepted the job, as far as it is known.
	At time.Time `json:"at"`
	// Process wrote the line; empty for a gap.
	Process string         `json:"process,omitempty"`
	Message event.Message  `json:"message"`
	Fields  map[string]any `json:"fields,omitempty"`
	Gap     bool           `json:"gap,omitempty"`
}

// Options choose what a trace holds.
type Options struct {
	// Gap is the time without a line from which on it is named.
	Gap time.Duration
}

// Job returns the life of a job in the order of causes: its own lines, changes of the owner in between, and
// gaps by name: time without a line, lines that were left out, and stages that no line tells of. It returns
// nothing when no line is about the job.
func Job(lines []Line, id string, o Options) []Event {
	var own []Line
	for _, l := range lines {
		if l.about(id) {
			own = append(own, l)
		}
	}
	if len(own) == 0 {
		return nil
	}
	off := offsets(own)
	own = order(own, off)
	begin, end := at(off, own[0]), at(off, own[len(own)-1])
	var around []Line
	for _, l := range lines {
		t := at(off, l)
		if (l.Message == event.CellTakenOver || l.Message == event.LinesLeftOut) && !t.Before(begin) && !t.After(end) {
			around = append(around, l)
		}
	}
	var out []Event
	out = append(out, clockEvents(begin, off)...)
	last := begin
	for _, l := range order(append(own, around...), off) {
		t := at(off, l)
		if quiet := t.Sub(last); quiet >= o.Gap {
			out = append(out, gap(last, "no line for %s", quiet.Round(time.Millisecond)))
		}
		last = t
		if l.Message == event.LinesLeftOut {
			out = append(out, gap(t, "%s left out %s lines of kind %q", l.Process, l.text("count"), l.text("kind")))
			continue
		}
		out = append(out, Event{At: t, Process: l.Process, Message: l.Message, Fields: l.Fields})
	}
	return append(out, missing(own, last)...)
}

// gap returns an entry that says what is not known.
func gap(t time.Time, format string, args ...any) Event {
	return Event{At: t, Message: event.Message(fmt.Sprintf(format, args...)), Gap: true}
}

// clockEvents tells which clocks had to be put forward.
func clockEvents(t time.Time, offsets map[string]time.Duration) []Event {
	var out []Event
	for _, process := range slices.Sorted(maps.Keys(offsets)) {
		out = append(out, gap(t, "clock of %s is behind by %s or more and was put forward", process, offsets[process]))
	}
	return out
}

// missing names the stages that no line tells of.
func missing(lines []Line, end time.Time) []Event {
	seen := map[event.Message]bool{}
	open := map[string]bool{}
	for _, l := range lines {
		seen[l.Message] = true
		switch l.Message {
		case event.Place:
			open[l.key(true)] = true
		case event.End:
			delete(open, l.key(true))
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
