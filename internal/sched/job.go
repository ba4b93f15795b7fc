package sched

import (
	"fmt"
	"time"

	"github.com/crocusspring/crocusspring/charts"
	"github.com/crocusspring/crocusspring/internal/chart"
	"github.com/crocusspring/crocusspring/internal/event"
	"github.com/crocusspring/crocusspring/internal/job"
	"github.com/crocusspring/crocusspring/internal/stall"
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

// State is the state of a job as its caller sees it.
type State string

// States of a job.
const (
	Queued    State = "queued"
	Running   State = "running"
	Completed State = "completed"
	Failed    State = "failed"
	Cancelled State = "cancelled"
)

// Terminal reports whether the state is final.
func (s State) Terminal() bool { return s == Completed || s == Failed || s == Cancelled }

// jobState is one accepted job.
type jobState struct {
	spec        *job.Spec
	state       State
	storedState State // as last stored
	reason      string
	occurrences map[int]*occurrence
	// next is the next occurrence to come due, finished the number of complete ones.
	next, finished int
	// acceptedAt is when the job was accepted, due when it misses its objective, for jobs that run at once.
	acceptedAt, due time.Time
	// isolatedAt is when a task of the job was last started in isolation.
	isolatedAt time.Time
	// placedAt is when a task of the job that doesn't last was last placed.
	placedAt time.Time
	// lateness is that of the latest round; see Core.lateness.
	lateness int
	// fillerWork is that of the latest round; see remainingFillerWork.
	fillerWork int64
	// held counts the runs that may be on workers.
	held    int
	endedAt time.Time
	// idle is that of its tasks that don't last.
	idle idleness
	// inParts means that the progress is stored in parts; parts holds the hashes of the stored ones, by key.
	inParts bool
	parts   map[string]uint64
	// deferred means that an occurrence is due and not open, since there is no room for its tasks; see mayOpen.
	deferred bool
	// unstorable means that the store doesn't take the progress; only the state is stored.
	unstorable bool
}

// occurrence is one execution of all steps of a job.
type occurrence struct {
	job       *jobState
	k         int
	steps     []*step
	openSteps int // steps that are not complete
}

// step is one step of an occurrence.
type step struct {
	occ   *occurrence
	spec  *job.Step
	index int
	// group names the step to the model of interference: its tasks share a load.
	group     string
	tasks     []*task
	openTasks int // tasks that are not done
	// waiting counts the tasks that can be placed once the step is ready.
	waiting int
	// verdicts counts the tasks of which it isn't known yet whether they crash workers.
	verdicts int
	// blocks are the indices at which the blocks of stored parts begin; nil before any was needed. Tasks from unrestored
	// on have been restored.
	blocks     []int
	unrestored int
	// startup is the longest time that a task of a long-running step has taken from its start until it was at work;
	// 0 before the first was.
	startup time.Duration
	// tickets are the approvals of the policy service, by worker.
	tickets map[string]ticket
	// denied are the workers that the policy service has not approved. nextRequestAt is when the next request may be sent
	// after requestDelay, the delay after the latest one if it has failed.
	denied        map[string]bool
	nextRequestAt time.Time
	requestDelay  time.Duration
	// unplacedSince is since when no task could be placed; zero when the last one tried was placed.
	unplacedSince time.Time
	// placement and isolation say when placement and isolated starts are tried next. They are separate, so that a
	// refusal of one kind doesn't hold up the other.
	placement, isolation retry
	// crowdedSince is since when a worker holds too many tasks of the step while others would take one; zero while none does.
	crowdedSince time.Time
}

// retry says when something that was refused is tried again; the zero value means at once.
type retry struct {
	at time.Time
	// capacityEvents is the value of Core.capacityEvents at the refusal: any change of it is a reason to try earlier.
	capacityEvents int
}

// due reports whether it is time to try again.
func (r retry) due(now time.Time, capacityEvents int) bool {
	return !now.Before(r.at) || r.capacityEvents != capacityEvents
}

// retryLater returns the retry after a refusal.
func (c *Core) retryLater(now time.Time) retry {
	return retry{at: now.Add(placementRetryDelay), capacityEvents: c.capacityEvents}
}

// ticket is an approval to run a step on a worker.
type ticket struct {
	text  string
	until time.Time
	// renewAt is when the policy service may be asked again about a worker that is kept.
	renewAt time.Time
}

// task is one task of a step.
type task struct {
	step  *step
	id    job.TaskID
	state chart.State
	// run is the number of the newest run; it may be on worker unless that is empty.
	run        int
	worker     string
	checkpoint string
	// checkpointAt is when the checkpoint was reported; zero for one that an earlier owner has stored.
	checkpointAt time.Time
	// failedRuns are the runs that ended as failed, failedOn their workers, except for late ends.
	failedRuns []int
	failedOn   []string
	// crashes are the workers that crashed under a run of the task, until it has proved to do no harm.
	crashes []crash

	// The worker's latest report on the run; percent and measurement are explained at link.RunStatus.
	percent     float64
	measurement float64
	appearedAt  time.Time
	listedAt    time.Time // of the latest listing that shows the run, or must show it or its end
	progressAt  time.Time // when percent last grew, or the checkpoint changed
	// progress is what the listings of the newest run show of its steps.
	progress stall.Progress
	// missingSince is since when complete listings have lacked the run; zero if the latest one shows it.
	missingSince time.Time
	assignedAt   time.Time
	stopSentAt   time.Time
	// inherited says that the newest run was assigned by an earlier owner.
	inherited bool
	// notified says that the guard has received the run's traits over its current link.
	notified bool
	// sent says that the start of the newest run may have been sent to its guard.
	sent bool
	// late is the unanswered start of an earlier run that may still be carried out, or nil.
	late *doubtfulStart
	// pinned runs are not stopped for the tail latency of serving tasks; local control throttles them instead.
	pinned bool
	// copies are earlier runs that may continue; see runCopy.
	copies []copyRef
	// lastActive is when a long-running task was last reported at work.
	lastActive time.Time
	// queuedAt is since when the task waits for an isolated start; zero while it doesn't.
	queuedAt time.Time
	// doubtfulAt is when the task was last placed on a worker that takes no others.
	doubtfulAt time.Time
	// idle is kept for tasks that last.
	idle idleness
}

// held reports whether a worker may hold the newest run.
func (t *task) held() bool {
	return t.state == stateAssigned || t.state == stateRunning || t.state == stateStopping
}

// transition applies an event of the chart and reports whether the chart allows it.
func (t *task) transition(e chart.Event) bool {
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

// ready reports whether the steps that a step depends on are complete, and no verdict on a member of a gang is waited for.
func (s *step) ready() bool {
	if s.verdicts > 0 && s.spec.Gang {
		return false
	}
	for _, d := range s.spec.DependsOn {
		if s.occ.steps[d].openTasks > 0 {
			return false
		}
	}
	return true
}

// name returns the ID of a step as JOB.OCCURRENCE.STEP.
func (s *step) name() string {
	return fmt.Sprintf("%s.%d.%d", s.occ.job.spec.ID, s.occ.k, s.index)
}

// Submit adds an accepted job; a job that is already known is left unchanged.
func (c *Core) Submit(now time.Time, spec *job.Spec) {
	if c.jobs[spec.ID] != nil {
		return
	}
	j := &jobState{spec: spec, state: Queued, storedState: Queued, occurrences: map[int]*occurrence{}}
	age := c.age(now, spec)
	j.acceptedAt = now.Add(-age)
	j.due = j.acceptedAt.Add(spec.Objective())
	c.jobs[spec.ID] = j
	c.specMemory += spec.Memory()
	c.openJobs = append(c.openJobs, j)
	c.logDecision(event.Accept, spec.ID, fmt.Sprintf("queue=%s steps=%d age=%s", spec.Policy.Queue, len(spec.Steps), age))
	c.openDueOccurrences(now, j)
	if _, ok := c.cancelled[spec.ID]; ok {
		delete(c.cancelled, spec.ID)
		c.Cancel(now, spec.ID)
	}
}

// openDueOccurrences opens the occurrences of a job that are due, as far as there is room for their tasks.
func (c *Core) openDueOccurrences(now time.Time, j *jobState) {
	for j.next < j.spec.Occurrences() && c.timeOfDay(now) >= j.spec.Due(j.next) && c.mayOpen(j) {
		c.openOccurrence(j, j.next)
		j.next++
	}
}

// newOccurrence returns an occurrence with all tasks waiting.
func newOccurrence(j *jobState, k int) *occurrence {
	o := &occurrence{job: j, k: k, openSteps: len(j.spec.Steps)}
	for i := range j.spec.Steps {
		s := &step{occ: o, spec: &j.spec.Steps[i], index: i}
		s.group = s.name()
		s.openTasks, s.waiting, s.unrestored = s.spec.Count, s.spec.Count, s.spec.Count
		for n := range s.spec.Count {
			id := job.TaskID{Job: j.spec.ID, Occurrence: k, Step: i, Index: n}
			s.tasks = append(s.tasks, &task{step: s, id: id, state: runChart.Initial})
		}
		o.steps = append(o.steps, s)
	}
	return o
}

// OpenJob returns a job that hasn't ended, or nil.
func (c *Core) OpenJob(id string) *job.Spec {
	if j := c.jobs[id]; j != nil && !j.state.Terminal() {
		return j.spec
	}
	return nil
}

// Cancel cancels a job, unless it has ended. The cancellation of a job that isn't known is kept: an entry that doesn't know whether the
// job is stored may still store it.
func (c *Core) Cancel(now time.Time, id string) {
	j := c.jobs[id]
	if j == nil {
		if _, ok := c.cancelled[id]; !ok {
			c.cancelled[id] = now
		}
		return
	}
	if j.state.Terminal() {
		return
	}
	c.logDecision(event.Cancel, id, fmt.Sprintf("state=%s held=%d", j.state, j.held))
	c.finishJob(now, j, Cancelled, "cancelled by its caller")
}

// finishJob ends a job: its runs are stopped and its waiting tasks dropped.
func (c *Core) finishJob(now time.Time, j *jobState, s State, reason string) {
	j.state, j.reason, j.endedAt = s, reason, now
	for _, o := range j.inOrder() {
		for _, st := range o.steps {
			c.interferenceModel.RemoveGroup(st.group)
			for _, t := range st.tasks {
				if t.held() {
					c.stopRun(now, t, reason)
				} else {
					t.transition(eventDrop)
				}
			}
		}
	}
	c.closeJob(j)
	c.markDirty(j)
}

// stopRun stops the newest run of a task. The command needs no record: the next run waits for the end of this one.
func (c *Core) stopRun(now time.Time, t *task, reason string) {
	if t.state == stateStopping || !t.transition(eventStop) {
		return
	}
	c.sendStop(now, t)
	c.logDecision(event.Stop, t.id.String(), fmt.Sprintf("run=%d worker=%s reason=%q", t.run, t.worker, reason))
}

// stopRetryInterval is how long after a stop command it is sent again, if the run's end isn't known.
const stopRetryInterval = 600 * time.Millisecond

// retryStops repeats the stop commands of runs that should have ended. A command is lost when its link is.
func (c *Core) retryStops(now time.Time) {
	for _, w := range c.sortedWorkers {
		if !w.attached {
			continue
		}
		for _, t := range w.tasks {
			if t.state == stateStopping && now.Sub(t.stopSentAt) >= stopRetryInterval {
				c.sendStop(now, t)
			}
		}
	}
}

// sendStop commands a run's guard to stop it.
func (c *Core) sendStop(now time.Time, t *task) {
	t.stopSentAt = now
	d := c.commandsFor(c.readyCommands, t.worker)
	d.Stop = append(d.Stop, t.ref())
}
