package sched

import (
	"fmt"
	"time"

	"github.com/crocusspring/crocusspring/charts"
	"github.com/crocusspring/crocusspring/internal/chart"
	"github.com/crocusspring/crocusspring/internal/event"
	"github.com/crocusspring/crocusspring/internal/job"
)

// States and events of charts/run.yaml.
const (
	stateWaiting  chart.State = "waiting"
	stateAssigned chart.State = "assigned"
	stateRunning  chart.State = "running"
	stateStopping chart.State = "stopping"
	stateDone     chart.State = "done"
	stateDropped  chart.State = "dropped"

	eventAssign chart.Event = "assign"
	eventAppear chart.Event = "appear"
	eventFinish chart.Event = "finish"
	eventEnd    chart.Event = "end"
	eventStop   chart.Event = "stop"
	eventDrop   chart.Event = "drop"
)

var runChart = chart.MustLoad(charts.Files, "run.yaml")

// State is how a job stands to its caller.
type State string

// States of a job.
const (
	Queued    State = "queued"
	Running   State = "running"
	Completed State = "completed"
	Failed    State = "failed"
	Cancelled State = "cancelled"
)

// Over reports whether nothing more happens to a job in this state.
func (s State) Over() bool { return s == Completed || s == Failed || s == Cancelled }

// jobState is one accepted job.
type jobState struct {
	spec        *job.Spec
	state       State
	shown       State // as last stored
	reason      string
	occurrences map[int]*occurrence
	// next is the occurrence that comes due next, finished the number that are complete.
	next, finished int
	// due is when the job misses its objective, for jobs that run at once.
	due time.Time
	// lateness is that of the newest round; see Core.lateness.
	lateness int
	// fillerWork is that of the newest round; see fillerWorkLeft.
	fillerWork int64
	// held counts the runs that may be on workers.
	held  int
	ended time.Time
}

// occurrence is one pass over the steps of a job.
type occurrence struct {
	job   *jobState
	k     int
	steps []*step
	left  int // steps that are not complete
}

// step is one step of an occurrence.
type step struct {
	occ   *occurrence
	spec  *job.Step
	num   int
	tasks []*task
	left  int // tasks that are not done
	// waiting counts the tasks that may be placed once the step is ready.
	waiting int
	// tickets are the approvals of the policy service by worker.
	tickets map[string]ticket
	// denied are the workers that it doesn't approve. asking says that a question is on its way, askAt
	// when the next may be put.
	denied map[string]bool
	asking bool
	askAt  time.Time
	// refused is since when no task could be placed; zero when the last one could.
	refused time.Time
	// again is when the step is tried again, endsSeen the core's count of ends when it was tried last.
	again    time.Time
	endsSeen int
}

// ticket is an approval to run a step on a worker.
type ticket struct {
	text  string
	until time.Time
}

// task is one task of a step.
type task struct {
	step  *step
	id    job.TaskID
	state chart.State
	// run is the number of the newest run, on worker while it may be there.
	run        int
	worker     string
	checkpoint string
	// failedRuns are the runs that ended as failed, failedOn where.
	failedRuns []int
	failedOn   []string

	// What the worker last said of the run.
	percent  float64
	figure   float64
	appeared time.Time
	progress time.Time // when percent last grew
	assigned time.Time
	stopped  time.Time
	// told says that the guard knows the run's traits, since it was started through its present link.
	told bool
	// pinned runs are not moved away for the tails of others; local control slows them down instead.
	pinned bool
	// copies are earlier runs that may go on; see copied.
	copies []copyRef
	// atWork is since when a lasting task was last seen at work.
	atWork time.Time
}

// held reports whether a worker may hold the newest run.
func (t *task) held() bool {
	return t.state == stateAssigned || t.state == stateRunning || t.state == stateStopping
}

// move takes a task along the chart and reports whether the chart has that event.
func (t *task) move(e chart.Event) bool {
	to, err := runChart.Next(t.state, e)
	if err != nil {
		return false
	}
	if t.state == stateWaiting {
		t.step.waiting--
	}
	t.state = to
	if to == stateWaiting {
		t.step.waiting++
	}
	return true
}

// ready reports whether the steps that a step depends on are complete.
func (s *step) ready() bool {
	for _, d := range s.spec.DependsOn {
		if s.occ.steps[d].left > 0 {
			return false
		}
	}
	return true
}

// place names a step in notes.
func (s *step) place() string {
	return fmt.Sprintf("%s.%d.%d", s.occ.job.spec.ID, s.occ.k, s.num)
}

// Submit takes an accepted job; one that is known already is left as it is.
func (c *Core) Submit(now time.Time, spec *job.Spec) {
	if c.jobs[spec.ID] != nil {
		return
	}
	j := &jobState{spec: spec, state: Queued, shown: Queued, occurrences: map[int]*occurrence{}}
	age := time.Duration(now.UnixMilli()-spec.AcceptedMS) * time.Millisecond
	j.due = now.Add(spec.Objective() - max(0, age))
	c.jobs[spec.ID] = j
	c.open = append(c.open, j)
	c.note(event.Accept, spec.ID, fmt.Sprintf("queue=%s steps=%d age=%s", spec.Policy.Queue, len(spec.Steps), age))
	c.ripen(now, j)
}

// ripen opens the occurrences of a job that are due.
func (c *Core) ripen(now time.Time, j *jobState) {
	for j.next < j.spec.Occurrences() && now.UnixMilli() >= j.spec.Due(j.next) {
		j.occurrences[j.next] = newOccurrence(j, j.next)
		j.next++
	}
}

// newOccurrence returns an occurrence with all tasks waiting.
func newOccurrence(j *jobState, k int) *occurrence {
	o := &occurrence{job: j, k: k, left: len(j.spec.Steps)}
	for i := range j.spec.Steps {
		s := &step{occ: o, spec: &j.spec.Steps[i], num: i}
		s.left, s.waiting = s.spec.Count, s.spec.Count
		for n := range s.spec.Count {
			id := job.TaskID{Job: j.spec.ID, Occurrence: k, Step: i, Index: n}
			s.tasks = append(s.tasks, &task{step: s, id: id, state: runChart.Initial})
		}
		o.steps = append(o.steps, s)
	}
	return o
}

// Cancel takes the cancellation of a job.
func (c *Core) Cancel(now time.Time, id string) {
	j := c.jobs[id]
	if j == nil || j.state.Over() {
		return
	}
	c.note(event.Cancel, id, fmt.Sprintf("state=%s held=%d", j.state, j.held))
	c.finish(now, j, Cancelled, "cancelled by its caller")
}

// finish ends a job: what still runs is stopped and what waits is dropped.
func (c *Core) finish(now time.Time, j *jobState, s State, reason string) {
	j.state, j.reason, j.ended = s, reason, now
	for _, o := range j.inOrder() {
		for _, st := range o.steps {
			for _, t := range st.tasks {
				if t.held() {
					c.stop(now, t, reason)
				} else {
					t.move(eventDrop)
				}
			}
		}
	}
	c.close(j)
	c.touch(j)
}

// stop orders the end of a run. The order needs no record: the task's next run waits for the end.
func (c *Core) stop(now time.Time, t *task, reason string) {
	if t.state == stateStopping || !t.move(eventStop) {
		return
	}
	c.orderStop(now, t)
	c.note(event.Stop, t.id.String(), fmt.Sprintf("run=%d worker=%s reason=%q", t.run, t.worker, reason))
}

// stopRepeat is how long after an order to stop it is given again, if the run's end isn't known.
const stopRepeat = 600 * time.Millisecond

// repeatStops orders the end of runs again that should have ended. An order is lost when its link is.
func (c *Core) repeatStops(now time.Time) {
	for _, w := range c.order {
		if !w.attached {
			continue
		}
		for _, t := range w.tasks {
			if t.state == stateStopping && now.Sub(t.stopped) >= stopRepeat {
				c.orderStop(now, t)
			}
		}
	}
}

// orderStop tells a run's guard to stop it.
func (c *Core) orderStop(now time.Time, t *task) {
	t.stopped = now
	d := c.ordersFor(c.ready, t.worker)
	d.Stop = append(d.Stop, t.ref())
}
