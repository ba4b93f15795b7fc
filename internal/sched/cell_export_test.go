package sched

import (
	"fmt"
	"slices"
	"strings"

	"github.com/crocusspring/crocusspring/internal/job"
)

// StrayTasks returns the open tasks that are in none of the states waiting, held on a known worker and over, or that their
// step counts wrongly: nothing would ever place them.
func (c *Core) StrayTasks() []string {
	var out []string
	for _, j := range c.openJobs {
		if j.held != c.heldOf(j) {
			out = append(out, fmt.Sprintf("job %s counts %d runs, workers hold %d", j.spec.ID, j.held, c.heldOf(j)))
		}
		for _, o := range j.inOrder() {
			for _, s := range o.steps {
				out = append(out, c.strayOf(s)...)
			}
		}
	}
	return out
}

// heldOf counts the runs and copies of a job on known workers.
func (c *Core) heldOf(j *jobState) int {
	n := 0
	for _, w := range c.sortedWorkers {
		for _, t := range w.tasks {
			if t.step.occ.job == j {
				n++
			}
		}
		for _, cp := range w.copies {
			if cp.task.step.occ.job == j {
				n++
			}
		}
	}
	return n
}

// strayOf returns what is wrong with the states of the tasks of a step.
func (c *Core) strayOf(s *step) []string {
	var out []string
	waiting, open := 0, 0
	for _, t := range s.tasks {
		switch {
		case t.state == stateWaiting:
			waiting++
		case t.held() && (c.workers[t.worker] == nil || c.workers[t.worker].held[t.id] != t):
			out = append(out, fmt.Sprintf("task %s is %s on worker %q, which doesn't hold it", t.id, t.state, t.worker))
		case t.state == stateDropped:
			out = append(out, fmt.Sprintf("task %s of an open job is dropped", t.id))
		}
		if t.state != stateDone {
			open++
		}
	}
	if waiting != s.waiting || open != s.openTasks {
		out = append(out, fmt.Sprintf("step %s counts %d waiting and %d open tasks, it has %d and %d", s.name(), s.waiting, s.openTasks, waiting, open))
	}
	return out
}

// DescribeTasks describes the open tasks of a job, for the report on a finding.
func (c *Core) DescribeTasks(id string) string {
	j := c.jobs[id]
	if j == nil {
		return "the owner doesn't know the job"
	}
	var out []string
	for _, o := range j.inOrder() {
		for _, s := range o.steps {
			for _, t := range s.tasks {
				if t.state != stateDone {
					out = append(out, fmt.Sprintf("  %s %s run=%d worker=%s percent=%.0f crashes=%d copies=%d alone=%t", t.id, t.state, t.run, t.worker,
						t.percent, len(t.crashes), len(t.copies), t.startsAlone()))
				}
			}
			if s.waiting > 0 {
				out = append(out, fmt.Sprintf("  step %s waits: %s", s.name(), c.waitReason(c.round.now, s)))
			}
		}
	}
	return fmt.Sprintf("%s held=%d lateness=%d\n%s", j.state, j.held, j.lateness, strings.Join(out, "\n"))
}

// DescribeWorkers describes the workers that the core knows, for the report on a finding.
func (c *Core) DescribeWorkers() string {
	var out []string
	for _, w := range c.sortedWorkers {
		var runs []string
		for _, t := range w.tasks {
			runs = append(runs, fmt.Sprintf("%s#%d:%s", t.id, t.run, t.state))
		}
		for ref := range w.copies {
			runs = append(runs, fmt.Sprintf("%s#%d:copy", ref.Task, ref.Run))
		}
		for ref := range w.unknownRuns {
			runs = append(runs, fmt.Sprintf("%s#%d:unknown", ref.Task, ref.Run))
		}
		slices.Sort(runs)
		isolated := ""
		if w.isolated != nil {
			isolated = w.isolated.id.String()
		}
		out = append(out, fmt.Sprintf("  %s node=%s attached=%t mute=%t draining=%t unshown=%d isolated=%s health=%q runs=%v", w.id, w.node, w.attached,
			w.unresponsive, w.info.Draining, len(w.unshown), isolated, c.health.refusal(c.round.now, w.id), runs))
	}
	return strings.Join(out, "\n")
}

// Refusal returns why a worker can't take a task of the first step of a job now, or an empty string.
func (c *Core) Refusal(jobID, workerID string) string {
	j, w := c.jobs[jobID], c.workers[workerID]
	if j == nil || w == nil || j.occurrences[0] == nil {
		return "the job or the worker isn't known"
	}
	return c.refusal(c.round.now, j.occurrences[0].steps[0], w)
}

// TaskDone reports whether a task of a known job has succeeded, as far as the owner knows.
func (c *Core) TaskDone(id job.TaskID) bool {
	j := c.jobs[id.Job]
	if j == nil {
		return false
	}
	if t := c.task(id); t != nil {
		return t.state == stateDone
	}
	return j.state == Completed || id.Occurrence < j.next && j.occurrences[id.Occurrence] == nil
}
