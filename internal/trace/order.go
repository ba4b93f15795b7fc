package trace

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/crocusspring/crocusspring/internal/event"
)

// causalPairs are pairs of messages about the same job or run of which one is the cause of the other.
var causalPairs = []struct {
	cause, effect event.Message
	// sameRun is true if both must name the same run of the same task.
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

// subjectKey returns the key by which a cause is matched with its effect: the run of a task if sameRun is
// set, otherwise an empty key, since all lines are about one job.
func (l *Line) subjectKey(sameRun bool) string {
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

// clockOffsets returns the correction to add to the times of each process so that no effect precedes its
// cause. Processes that need no correction are not in the map.
func clockOffsets(lines []Line) map[string]time.Duration {
	out := map[string]time.Duration{}
	// A causal chain spans only a few processes, so four passes are enough.
	for range 4 {
		moved := false
		for _, p := range causalPairs {
			first := map[string]Line{}
			for _, l := range lines {
				if l.Message != p.cause {
					continue
				}
				k := l.subjectKey(p.sameRun)
				if old, ok := first[k]; !ok || timeOf(out, l).Before(timeOf(out, old)) {
					first[k] = l
				}
			}
			for _, l := range lines {
				cause, ok := first[l.subjectKey(p.sameRun)]
				if l.Message != p.effect || !ok || cause.Process == l.Process {
					continue
				}
				if behind := timeOf(out, cause).Sub(timeOf(out, l)); behind > 0 {
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

// timeOf returns the time of a line, corrected by the clock offset of its process.
func timeOf(skew map[string]time.Duration, l Line) time.Time { return l.Time.Add(skew[l.Process]) }

// mergeByTime merges the lines of all processes by corrected time. Lines of one process stay in the order
// in which they were written.
func mergeByTime(lines []Line, offsets map[string]time.Duration) []Line {
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
			if len(q) > 0 && (next == "" || timeOf(offsets, q[0]).Before(timeOf(offsets, queues[next][0]))) {
				next = name
			}
		}
		out = append(out, queues[next][0])
		queues[next] = queues[next][1:]
	}
	return out
}
