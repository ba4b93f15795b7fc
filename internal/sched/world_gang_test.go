package sched

import "github.com/crocusspring/crocusspring/internal/link"

// member reports whether two runs belong to one run of a gang.
func member(a, b link.RunRef) bool {
	return a.Run == b.Run && a.Task.Job == b.Task.Job && a.Task.Step == b.Task.Step
}

// together reports whether all members of a gang run.
func (w *world) together(ref link.RunRef) bool {
	n := 0
	for _, e := range w.execs {
		for other := range e.running {
			if e.up && member(ref, other) {
				n++
			}
		}
	}
	return n == w.stepOf(ref.Task).Count
}

// breakGang ends the remaining members of a gang after one has ended.
func (w *world) breakGang(ref link.RunRef) {
	if w.stepOf(ref.Task).Gang {
		w.endMembers(ref, link.GangBroken)
	}
}

// endMembers ends the members of a gang that still run.
func (w *world) endMembers(ref link.RunRef, o link.Outcome) {
	for _, e := range w.execs {
		for _, other := range refs(e) {
			if e.up && member(ref, other) {
				e.end(other, o)
			}
		}
	}
}
