// Package trace puts the log lines about one job in order, from files that were collected from many
// processes with unequal clocks.
package trace

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/crocusspring/crocusspring/internal/event"
)

// Line is one log line.
type Line struct {
	// Process is the one that wrote it, Number its place in that process's output, from 1.
	Process string
	Number  int
	// Time is by the clock of the process.
	Time time.Time
	// Message is the kind of the line, Fields all but its time and level.
	Message event.Message
	Fields  map[string]any
}

// maxLine is the longest line that is read, in bytes; processes write far shorter ones.
const maxLine = 1 << 20

// Read returns the JSON lines of a file that was written by a process. What stands before the object in a
// line may name another process, as its last word: collectors put it there. Lines without an object are
// counted and left out.
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
		l, err := parse("{" + object)
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
		lines = append(lines, l)
	}
	if err := s.Err(); err != nil {
		return nil, skipped, fmt.Errorf("read log of %s: %w", process, err)
	}
	return lines, skipped, nil
}

// parse reads one object.
func parse(text string) (Line, error) {
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

// text returns a field as text; empty when it isn't there.
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

// about reports whether the line concerns a job: it is its subject, or one of its tasks is.
func (l *Line) about(job string) bool {
	for _, field := range []string{"job", "subject", "task"} {
		if v := l.text(field); v == job || strings.HasPrefix(v, job+".") {
			return true
		}
	}
	return strings.HasSuffix(l.text("path"), "/"+job)
}
