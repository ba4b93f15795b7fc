package soak

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/crocusspring/crocusspring/internal/guard"
	"github.com/crocusspring/crocusspring/internal/job"
	"github.com/crocusspring/crocusspring/internal/link"
	"github.com/crocusspring/crocusspring/internal/resource"
	"github.com/crocusspring/crocusspring/internal/standin/execstand"
)

// shownGrace is how long after a client was shown a job as completed a start of it may still come: it was
// ordered before.
const shownGrace = time.Second

// cancelGrace is how long after an acknowledged cancellation tasks of a job may start: the longest fault and
// the lease of what ran through it.
const cancelGrace = 10 * time.Second

// known is what the judge knows of one job.
type known struct {
	steps []step
	// accepted and cancelled are when a client was told so, completed when it was shown; zero for not.
	accepted, cancelled, completed time.Time
	// refused says that every attempt so far was surely refused.
	refused bool
	done    map[job.TaskID]time.Time
	starts  []start
	noted   map[job.TaskID]time.Time
}

// start is one start of a run.
type start struct {
	ref link.RunRef
	at  time.Time
}

// judge watches what clients and workers see and collects broken promises.
type judge struct {
	mu      sync.Mutex // orders starts over all workers
	workers []*worker

	state  sync.Mutex
	jobs   map[string]*known
	broken []string
}

// newJudge returns a judge who has seen nothing.
func newJudge() *judge { return &judge{jobs: map[string]*known{}} }

// breaks notes a broken promise.
func (j *judge) breaks(format string, args ...any) {
	j.state.Lock()
	defer j.state.Unlock()
	j.broken = append(j.broken, fmt.Sprintf(format, args...))
}

// report returns the promises that were broken.
func (j *judge) report() []string {
	j.state.Lock()
	defer j.state.Unlock()
	return append([]string(nil), j.broken...)
}

// offer notes a job before it is handed in for the first time.
func (j *judge) offer(id string, steps []step) {
	j.state.Lock()
	defer j.state.Unlock()
	j.jobs[id] = &known{steps: steps, refused: true, done: map[job.TaskID]time.Time{}, noted: map[job.TaskID]time.Time{}}
}

// change changes what is known of a job.
func (j *judge) change(id string, f func(*known)) {
	j.state.Lock()
	defer j.state.Unlock()
	f(j.jobs[id])
}

// look returns a copy of what is known of a job.
func (j *judge) look(id string) known {
	j.state.Lock()
	defer j.state.Unlock()
	return *j.jobs[id]
}

// missing names a task of a job that has not ended as done; empty when there is none.
func (j *judge) missing(id string) string {
	j.state.Lock()
	defer j.state.Unlock()
	k := j.jobs[id]
	for s, st := range k.steps {
		for n := range st.count {
			if t := (job.TaskID{Job: id, Step: s, Index: n}); k.done[t].IsZero() {
				return t.String()
			}
		}
	}
	return ""
}

// ended takes the end of a run.
func (j *judge) ended(e execstand.End) {
	j.state.Lock()
	defer j.state.Unlock()
	k := j.jobs[e.Task.Job]
	if k == nil || e.Outcome != link.Done {
		return
	}
	if e.Noted && !e.Lapsed {
		k.noted[e.Task] = e.At
	}
	if k.done[e.Task].IsZero() {
		k.done[e.Task] = e.At
	}
}

// started judges a start on a worker, once it is there.
func (j *judge) started(w *worker, ref link.RunRef) {
	now := time.Now()
	for _, other := range j.workers {
		for _, r := range other.Running() {
			if r.Task == ref.Task && (other != w || r.Run != ref.Run) {
				j.breaks("%s runs twice: run %d on %s and run %d on %s", ref.Task, ref.Run, w.name, r.Run, other.name)
			}
		}
	}
	j.state.Lock()
	defer j.state.Unlock()
	k := j.jobs[ref.Task.Job]
	if k == nil || ref.Task.Step >= len(k.steps) {
		j.broken = append(j.broken, fmt.Sprintf("%s starts, which nobody submitted", ref.Task))
		return
	}
	k.starts = append(k.starts, start{ref, now})
	for _, d := range k.steps[ref.Task.Step].dependsOn {
		for n := range k.steps[d].count {
			if k.done[job.TaskID{Job: ref.Task.Job, Step: d, Index: n}].IsZero() {
				j.broken = append(j.broken, fmt.Sprintf("%s starts before step %d is done", ref.Task, d))
				return
			}
		}
	}
	if !k.completed.IsZero() && now.Sub(k.completed) > shownGrace {
		j.broken = append(j.broken, fmt.Sprintf("%s starts after its job was shown as completed", ref.Task))
	}
	if !k.cancelled.IsZero() && now.Sub(k.cancelled) > cancelGrace {
		j.broken = append(j.broken, fmt.Sprintf("%s starts %s after its job was cancelled", ref.Task, now.Sub(k.cancelled)))
	}
}

// close judges what can only be told at the end.
func (j *judge) close() {
	j.state.Lock()
	defer j.state.Unlock()
	for id, k := range j.jobs {
		if k.refused && len(k.starts) > 0 {
			j.broken = append(j.broken, fmt.Sprintf("job %s started, and every attempt to submit it was refused", id))
		}
		for _, s := range k.starts {
			noted := k.noted[s.ref.Task]
			if !k.steps[s.ref.Task.Step].lasts && !noted.IsZero() && s.at.After(noted) {
				j.broken = append(j.broken, fmt.Sprintf("%s run %d starts after a run of it ended as done", s.ref.Task, s.ref.Run))
			}
		}
	}
}

// worker is an executor that the judge watches.
type worker struct {
	*execstand.Executor
	name     string
	capacity resource.Vector
	judge    *judge
	// life names the life that runs, lives counts the reboots; under the judge's state lock.
	life  string
	lives int
}

// Start implements guard.Executor. Starts are judged one at a time.
func (w *worker) Start(ctx context.Context, o guard.Command) error {
	w.judge.mu.Lock()
	defer w.judge.mu.Unlock()
	before := len(w.Starts())
	err := w.Executor.Start(ctx, o)
	if len(w.Starts()) == before {
		return err
	}
	w.judge.started(w, o.Start.RunRef)
	if over := w.over(); over != "" {
		w.judge.breaks("%s has no room for %s: %s", w.name, o.Start.Task, over)
	}
	return err
}

// over returns by what the worker is over its capacity, or an empty string.
func (w *worker) over() string {
	var used resource.Vector
	for _, r := range w.Running() {
		used = used.Add(w.judge.demand(r.Task))
	}
	return used.Lacking(w.capacity)
}

// demand returns what a task reserves.
func (j *judge) demand(t job.TaskID) resource.Vector {
	j.state.Lock()
	defer j.state.Unlock()
	if k := j.jobs[t.Job]; k != nil && t.Step < len(k.steps) {
		return k.steps[t.Step].demand
	}
	return resource.Vector{}
}
