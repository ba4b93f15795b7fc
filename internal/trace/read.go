// Package trace reconstructs the history of one job from log files collected from several processes,
// whose clocks may differ.
package trace

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"strings"
	"time"

	"github.com/crocusspring/crocusspring/internal/event"
)

// Line is one log line.
type Line struct {
	// Process is the process that wrote the line; Number is the line's position in its output, from 1.
	Process string
	Number  int
	// Time is the time of the line by the clock of the process.
	Time time.Time
	// Message is the kind of the line; Fields holds its fields except msg, time and level.
	Message event.Message
	Fields  map[string]any
}

// maxLine is the length of the longest line that can be read, in bytes; processes write far shorter ones.
const maxLine = 1 << 20

// Read returns the JSON lines of a log file of the given process. If there is text before the JSON object,
// its last word is the name of the process instead, as log collectors add it. Lines that can't be parsed
// are skipped and counted.
func Read(r io.Reader, process string) (lines []Line, skipped int, err error) {
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLine)
	count := map[string]int{}
	for s.Scan() {
		before, object, ok := strings.Cut(s.Text(), "{")
		if !ok {
			skipped++
			continue
		}
		l, err := parseLine("{" + object)
		if err != nil {
			skipped++
			continue
		}
		l.Process = process
		if words := strings.Fields(before); len(words) > 0 {
			l.Process = words[len(words)-1]
		}
		count[l.Process]++
		l.Number = count[l.Process]
		lines = append(lines, l.split()...)
	}
	if err := s.Err(); err != nil {
		return nil, skipped, fmt.Errorf("read log of %s: %w", process, err)
	}
	return lines, skipped, nil
}

// parseLine parses one JSON object as a line.
func parseLine(text string) (Line, error) {
	fields := map[string]any{}
	if err := json.Unmarshal([]byte(text), &fields); err != nil {
		return Line{}, fmt.Errorf("parse log line: %w", err)
	}
	l := Line{Fields: fields}
	message, _ := fields["msg"].(string)
	l.Message = event.Message(message)
	stamp, _ := fields["time"].(string)
	at, err := time.Parse(time.RFC3339Nano, stamp)
	if err != nil {
		return Line{}, fmt.Errorf("parse log line: %w", err)
	}
	l.Time = at
	for _, k := range []string{"msg", "time", "level"} {
		delete(fields, k)
	}
	return l, nil
}

// split returns one line for each decision of a line that reports several, otherwise the line itself.
func (l *Line) split() []Line {
	joined := l.text(event.FieldDecisions)
	if joined == "" {
		return []Line{*l}
	}
	var out []Line
	for _, d := range event.SplitDecisions(joined) {
		one := *l
		one.Fields = maps.Clone(l.Fields)
		delete(one.Fields, event.FieldDecisions)
		delete(one.Fields, "count")
		one.Fields["subject"], one.Fields["inputs"] = d.Subject, d.Inputs
		out = append(out, one)
	}
	return out
}

// text returns a field as text, or an empty string if it is missing.
func (l *Line) text(field string) string {
	switch v := l.Fields[field].(type) {
	case nil:
		return ""
	case string:
		return v
	default:
		return fmt.Sprint(v)
	}
}

// about reports whether a line is about a job or one of its tasks: a field or the end of the request path
// names it.
func (l *Line) about(job string) bool {
	for _, field := range []string{"job", "subject", "task"} {
		if v := l.text(field); v == job || strings.HasPrefix(v, job+".") {
			return true
		}
	}
	return strings.HasSuffix(l.text("path"), "/"+job)
}
