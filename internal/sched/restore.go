package sched

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"
)

// Restore applies a stored record: the progress of a job that was submitted before, the node of a worker, or
// the interference estimates. Records must come in the order of SortForRestore. Runs that may be on workers are reconciled when their worker attaches, or end
// when its lease must have expired.
func (c *Core) Restore(now time.Time, id string, value []byte) error {
	if id == InterferenceKey {
		return c.interferenceModel.Decode(value)
	}
	if worker, ok := strings.CutPrefix(id, workerPrefix); ok {
		c.ensureWorker(now, worker).node = string(value)
		c.inheritNode(now, worker, string(value))
		return nil
	}
	if worker, ok := strings.CutPrefix(id, provisionalPrefix); ok {
		c.inheritProvisional(now, worker, string(value))
		return nil
	}
	if strings.HasPrefix(id, partPrefix) {
		return c.restorePart(now, id, value)
	}
	j := c.jobs[id]
	if j == nil {
		return fmt.Errorf("progress of job %s: no such job", id)
	}
	var r jobRecord
	if err := json.Unmarshal(value, &r); err != nil {
		return fmt.Errorf("progress of job %s: %w", id, err)
	}
	if err := r.check(j.spec); err != nil {
		return fmt.Errorf("progress of job %s: %w", id, err)
	}
	j.state, j.storedState, j.reason, j.next, j.finished = r.State, r.State, r.Reason, r.Next, r.Finished
	for _, o := range j.inOrder() {
		c.dropOccurrences(j, o.k)
	}
	for _, o := range r.Occurrences {
		c.restoreOccurrence(now, j, o)
	}
	j.inParts = r.Parts
	for _, k := range r.Open {
		c.openOccurrence(j, k)
	}
	if j.state.Terminal() {
		j.endedAt = now
		c.closeJob(j)
		return nil
	}
	c.openDueOccurrences(now, j)
	return nil
}

// restoreOccurrence restores one open occurrence.
func (c *Core) restoreOccurrence(now time.Time, j *jobState, r occurrenceRecord) {
	o := c.openOccurrence(j, r.K)
	for i, tasks := range r.Steps {
		s := o.steps[i]
		for n := range min(len(tasks), len(s.tasks)) {
			c.restoreTask(now, s.tasks[n], tasks[n])
		}
		if s.openTasks == 0 {
			o.openSteps--
		}
	}
}

// restoreTask restores one task.
func (c *Core) restoreTask(now time.Time, t *task, r taskRecord) {
	t.run, t.failedRuns, t.failedOn, t.checkpoint = r.Run, r.FailedRuns, r.FailedOn, r.Checkpoint
	if t.crashes = r.Crashes; len(t.crashes) > 0 {
		c.crashed.tasks[t] = true
	}
	if t.crashing() || t.mayBeCrashing() {
		c.awaitVerdict(t, now.Add(takeoverVerdictDelay))
	}
	for _, cp := range r.Copies {
		c.addCopy(c.ensureWorker(now, cp.Worker), t, cp.Run)
	}
	if r.Late != "" {
		// It isn't known when it was sent.
		c.setLateStart(t, &doubtfulStart{worker: r.Late, until: now.Add(maxStartDelay), waitsUntil: now.Add(lateStartTime)})
	}
	over := t.step.occ.job.state.Terminal()
	switch {
	case r.Done:
		t.step.waiting--
		t.step.openTasks--
		t.state = stateDone
	case r.Worker != "":
		t.worker, t.assignedAt, t.inherited, t.sent = r.Worker, now, true, true
		t.transition(eventAssign)
		c.holdRun(now, t)
		if over {
			c.stopRun(now, t, "job has ended")
		}
	case over:
		t.transition(eventDrop)
	}
}

// closeJob removes a job from the open ones.
func (c *Core) closeJob(j *jobState) {
	for i, o := range c.openJobs {
		if o == j {
			c.openJobs = append(c.openJobs[:i:i], c.openJobs[i+1:]...)
			return
		}
	}
}

// View is the state of a job as reported to callers.
type View struct {
	State  State  `json:"state"`
	Reason string `json:"reason,omitempty"`
	// Tasks and Done count the tasks of the open occurrences, Held the runs that may be on workers.
	Tasks int `json:"tasks"`
	Done  int `json:"done"`
	Held  int `json:"held"`
	// Waits are the reasons why steps wait, by step.
	Waits map[string]string `json:"waits,omitempty"`
}

// Job returns the state of a job, as it was last stored; false when the job isn't known.
func (c *Core) Job(id string) (View, bool) {
	j := c.jobs[id]
	if j == nil {
		return View{}, false
	}
	v := View{State: j.storedState, Reason: j.reason, Held: j.held}
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			v.Tasks += len(s.tasks)
			v.Done += len(s.tasks) - s.openTasks
		}
	}
	return v, true
}

// Explain returns the state of a job and why its steps wait.
func (c *Core) Explain(id string) (View, bool) {
	v, ok := c.Job(id)
	if !ok {
		return v, false
	}
	v.Waits = map[string]string{}
	if c.jobs[id].deferred {
		v.Waits[id] = "memory of the owner for its tasks"
	}
	for _, o := range c.jobs[id].inOrder() {
		for _, s := range o.steps {
			if s.waiting > 0 {
				v.Waits[s.name()] = c.waitReason(c.round.now, s)
			}
		}
	}
	return v, true
}

// Waiting returns for each queue the number of accepted jobs that have not started a task.
func (c *Core) Waiting() map[string]int {
	out := map[string]int{}
	for _, j := range c.openJobs {
		if j.state == Queued {
			out[j.spec.Policy.Queue]++
		}
	}
	return out
}

// DropExpiredJobs removes the jobs that ended more than Options.JobRetention ago, once no run of them is left and
// nothing waits to be stored, and returns their IDs.
func (c *Core) DropExpiredJobs(now time.Time) []string {
	var out []string
	for id, j := range c.jobs {
		c.dropEndedTasks(j)
		if j.state.Terminal() && j.held == 0 && c.dirty[id] == nil && now.Sub(j.endedAt) > c.opt.JobRetention {
			for _, o := range j.inOrder() {
				c.dropOccurrences(j, o.k)
			}
			delete(c.jobs, id)
			c.specMemory -= j.spec.Memory()
			out = append(out, id)
		}
	}
	return out
}

// CancelRetention is how long the cancellation of a job that isn't known is kept. Entries store a job of unknown outcome for a shorter
// time.
const CancelRetention = 2 * time.Minute

// DropExpiredCancellations removes the cancellations of jobs that haven't come within CancelRetention, and returns the IDs of the jobs.
func (c *Core) DropExpiredCancellations(now time.Time) []string {
	var out []string
	for id, at := range c.cancelled {
		if now.Sub(at) > CancelRetention {
			delete(c.cancelled, id)
			out = append(out, id)
		}
	}
	return out
}
