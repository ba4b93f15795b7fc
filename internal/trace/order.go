package trace

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/crocusspring/crocusspring/internal/event"
)

// pairs are messages that follow from others about the same job or run.
var pairs = []struct {
	cause, effect event.Message
	// sameRun says that both must name the same run of the same task.
	sameRun bool
}{
	{event.JobSubmitted, event.Accept, false},
	{event.Accept, event.Place, false},
	{event.JobCancelled, event.Cancel, false},
	{event.Place, event.StartNotDone, true},
	{event.Place, event.End, true},
	{event.Accept, event.Complete, false},
	{event.Accept, event.Fail, false},
}

// key names what a line is about: the run of a task, or the job.
func (l *Line) key(sameRun bool) string {
	if !sameRun {
		return ""
	}
	task := cmp.Or(l.text("task"), l.text("subject"))
	run := l.text("run")
	for _, word := range strings.Fields(l.text("inputs")) {
		if v, ok := strings.CutPrefix(word, "run="); ok {
			run = v
		}
	}
	return task + "#" + run
}

// offsets returns by how much each process's clock must be put forward so that no effect comes before
// its cause. The clocks are as they are in the log where that isn't needed.
func offsets(lines []Line) map[string]time.Duration {
	out := map[string]time.Duration{}
	// A chain of causes passes a few processes at most.
	for range 4 {
		moved := false
		for _, p := range pairs {
			first := map[string]Line{}
			for _, l := range lines {
				if l.Message != p.cause {
					continue
				}
				k := l.key(p.sameRun)
				if old, ok := first[k]; !ok || at(out, l).Before(at(out, old)) {
					first[k] = l
				}
			}
			for _, l := range lines {
				cause, ok := first[l.key(p.sameRun)]
				if l.Message != p.effect || !ok || cause.Process == l.Process {
					continue
				}
				if behind := at(out, cause).Sub(at(out, l)); behind > 0 {
					out[l.Process] += behind
					moved = true
				}
			}
		}
		if !moved {
			break
		}
	}
	return out
}

// at returns when a line was written, with its process's clock put right.
func at(offsets map[string]time.Duration, l Line) time.Time { return l.Time.Add(offsets[l.Process]) }

// order sorts lines by their time. Lines of one process stay in the order in which they were written.
func order(lines []Line, offsets map[string]time.Duration) []Line {
	queues := map[string][]Line{}
	for _, l := range lines {
		queues[l.Process] = append(queues[l.Process], l)
	}
	var names []string
	for name, q := range queues {
		names = append(names, name)
		slices.SortStableFunc(q, func(a, b Line) int { return cmp.Compare(a.Number, b.Number) })
	}
	slices.Sort(names)
	out := make([]Line, 0, len(lines))
	for len(out) < len(lines) {
		next := ""
		for _, name := range names {
			q := queues[name]
			if len(q) > 0 && (next == "" || at(offsets, q[0]).Before(at(offsets, queues[next][0]))) {
				next = name
			}
		}
		out = append(out, queues[next][0])
		queues[next] = queues[next][1:]
	}
	return out
}
