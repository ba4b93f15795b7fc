package sched

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"
)

// longestWaitShare is the share of the requests to the policy service, as a divisor, that goes to the step that has waited for it
// longest, whatever its class. It ends every wait: at most longestWaitShare requests go before that of a step for itself and each
// one that has waited longer, however many urgent ones come. A step that asks again, since its tickets have expired or its
// request has failed, begins a new wait.
const longestWaitShare = 4

// approvalClass ranks the steps that wait for the policy service; lower ones go first.
type approvalClass int

const (
	// classLasting is that of steps that last and miss tasks, classIdle that of jobs of which nothing runs or is about to.
	classLasting approvalClass = iota
	classIdle
	classOther
)

// String returns the name of a class in the log.
func (a approvalClass) String() string {
	return [...]string{"lasting", "idle", "other"}[a]
}

// approvalPlace is the place of a step among those that wait for the policy service.
type approvalPlace struct {
	class approvalClass
	// place counts from 1; it is above 1 for a step whose turn has come since it has waited longest.
	place, of int
}

// String returns a place for the log.
func (p approvalPlace) String() string {
	return fmt.Sprintf("class=%s place=%d/%d", p.class, p.place, p.of)
}

// wantedStep is a step that waits for the policy service, with what its place depends on.
type wantedStep struct {
	step  *step
	name  string
	class approvalClass
	// since is since when the step misses tasks or nothing of its job runs; wanted since when it waits for the service.
	since, wanted time.Time
	// rank is that of the job.
	rank int
}

// nextTurn returns the index of the step whose turn it is, of those that wait for the policy service in order.
func (c *Core) nextTurn(waiting []wantedStep) int {
	longest := 0
	if c.approvals.requests%longestWaitShare == longestWaitShare-1 {
		for i := range waiting {
			if waiting[i].wanted.Before(waiting[longest].wanted) {
				longest = i
			}
		}
	}
	return longest
}

// orderWanted returns the steps that wait for the policy service: those that last and miss tasks first, then those of jobs with
// nothing running, both by how long that has lasted, then the others in the order in which jobs are ranked.
func (c *Core) orderWanted(now time.Time) []wantedStep {
	ranks := make(map[*jobState]int, len(c.openJobs))
	for i, j := range c.openJobs {
		ranks[j] = i
	}
	out := make([]wantedStep, 0, len(c.approvals.wanted))
	for s, wanted := range c.approvals.wanted {
		w := wantedStep{step: s, name: s.name(), wanted: wanted, rank: ranks[s.occ.job]}
		w.class, w.since = c.approvalUrgency(now, s)
		if w.since.IsZero() {
			w.since = wanted
		}
		out = append(out, w)
	}
	slices.SortFunc(out, compareWanted)
	return out
}

// compareWanted orders steps that wait for the policy service.
func compareWanted(a, b wantedStep) int {
	if a.class != b.class {
		return cmp.Compare(a.class, b.class)
	}
	byTime := 0
	if a.class != classOther {
		byTime = a.since.Compare(b.since)
	}
	return cmp.Or(byTime, cmp.Compare(a.rank, b.rank), a.wanted.Compare(b.wanted), strings.Compare(a.name, b.name))
}

// approvalUrgency returns the class of a step that waits for the policy service, and since when what makes it urgent has lasted;
// zero if that isn't known yet.
func (c *Core) approvalUrgency(now time.Time, s *step) (approvalClass, time.Time) {
	switch {
	case s.spec.LongRunning && s.waiting > 0:
		return classLasting, s.unplacedSince
	case !s.spec.LongRunning && c.nothingRuns(now, s.occ.job):
		return classIdle, s.occ.job.idle.since
	}
	return classOther, time.Time{}
}

// nothingRuns reports whether nothing of a job runs on a worker that answers or is about to.
func (c *Core) nothingRuns(now time.Time, j *jobState) bool {
	if j.held == 0 {
		return true
	}
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			if slices.ContainsFunc(s.tasks, func(t *task) bool { return c.runs(t) || c.starting(now, t) }) {
				return false
			}
		}
	}
	return true
}
