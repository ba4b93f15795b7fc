package sched

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/crocusspring/crocusspring/internal/event"
	"github.com/crocusspring/crocusspring/internal/link"
)

const (
	// outageWindow is the time within which the workers of a service crash in an outage. A worker that is kept for isolated
	// starts gets one in settleTime, so that tasks which started in isolation crash at most maxStarvedShare of the workers
	// within it.
	outageWindow = settleTime / 2
	// outageShare is the share of a service's workers of which more must crash in an outage; twice of what isolated starts
	// can cause, since a new owner may keep as many workers as its predecessor did.
	outageShare = 2 * maxStarvedShare
	// outageWorkers is the least number of workers that crash in an outage: two may be due to two tasks, one at each of two
	// successive owners.
	outageWorkers = 3
	// silenceLag is how long after a crash at most it is known that the worker doesn't answer.
	silenceLag = 400 * time.Millisecond
	// verdictDelay is how long after a crash the reports of other crashes at the same time are waited for.
	verdictDelay = time.Second
	// takeoverVerdictDelay is how long a new owner waits for them while it hasn't heard from all workers: guards repeat crashes
	// when they link, and it doesn't know since when a worker doesn't answer.
	takeoverVerdictDelay = 3 * time.Second
	// maxPendingWait is how long a task waits at most until it is known whether its worker has crashed.
	maxPendingWait = 10 * time.Second
	// outageMemory is how long after a crash it can be found to belong to an outage: workers may come back late.
	outageMemory = 10 * time.Minute
)

// workerCrash is a crash of a worker whose time is known.
type workerCrash struct {
	worker, node, service string
	at                    time.Time
	// jobs are those that had runs there.
	jobs map[string]bool
}

// outage is a time within which workers of a service have crashed.
type outage struct {
	crashes []*workerCrash
	// down counts the workers that have crashed or don't answer since then, workers all of the service.
	down, workers int
}

// most reports whether a number of the workers that are down can't have been crashed by tasks that started in isolation.
func (o *outage) most(down int) bool {
	return down >= outageWorkers && float64(down) > outageShare*float64(o.workers)
}

// noteCrash adds a crash to those of its service, and returns it; nil if its time isn't known.
func (c *Core) noteCrash(now time.Time, report link.Crash) *workerCrash {
	c.crashed.recent = slices.DeleteFunc(c.crashed.recent, func(wc *workerCrash) bool { return now.Sub(wc.at) > outageMemory })
	if report.AgoMS <= 0 || report.Node == "" {
		return nil
	}
	for _, wc := range c.crashed.recent {
		if wc.worker == report.Worker {
			return wc
		}
	}
	wc := &workerCrash{
		worker: report.Worker, node: report.Node, service: report.Service, jobs: map[string]bool{},
		at: now.Add(-time.Duration(report.AgoMS) * time.Millisecond),
	}
	for _, r := range report.Runs {
		wc.jobs[r.Task.Job] = true
	}
	c.crashed.recent = append(c.crashed.recent, wc)
	return wc
}

// outageAround returns the outage with the most crashes that a crash may belong to.
func (c *Core) outageAround(wc *workerCrash) *outage {
	var near []*workerCrash
	for _, o := range c.crashed.recent {
		if o.service == wc.service && o.at.Sub(wc.at).Abs() <= outageWindow {
			near = append(near, o)
		}
	}
	slices.SortFunc(near, func(a, b *workerCrash) int { return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.worker, b.worker)) })
	var best []*workerCrash
	for i, j := 0, 0; i < len(near) && !near[i].at.After(wc.at); i++ {
		for j < len(near) && near[j].at.Sub(near[i].at) <= outageWindow {
			j++
		}
		if j-i > len(best) {
			best = near[i:j]
		}
	}
	nodes := map[string]bool{}
	for _, b := range best {
		nodes[b.node] = true
	}
	o := &outage{crashes: best, down: len(nodes)}
	from := best[0].at
	for _, w := range c.sortedWorkers {
		if w.described && w.info.Service != wc.service || nodes[w.node] {
			continue
		}
		nodes[cmp.Or(w.node, w.id)] = true
		since := w.unresponsiveSince.Sub(from)
		if w.attached && w.unresponsive && since >= 0 && since <= outageWindow+silenceLag {
			o.down++
		}
	}
	o.workers = len(nodes)
	return o
}

// includes reports whether the crash under a task was part of the outage, whatever the task may have done. Its runs follow
// each other, so that the outage counts for one of them. Members of a gang don't start in isolation; each crash under
// its job may be their doing.
func (o *outage) includes(t *task) bool {
	own := 0
	for _, wc := range o.crashes {
		if t.crashOn(wc.worker) >= 0 || t.step.spec.Gang && wc.jobs[t.id.Job] {
			own++
		}
	}
	if !t.step.spec.Gang {
		own = max(0, own-1)
	}
	return o.most(o.down - own)
}

// noteOutage notes for the tasks under which workers crashed together that an outage was the cause, if it was.
func (c *Core) noteOutage(wc *workerCrash) {
	if wc == nil {
		return
	}
	o := c.outageAround(wc)
	if !o.most(o.down) {
		return
	}
	excused := 0
	for t := range c.crashed.tasks {
		if c.excuse(t, o) {
			excused++
		}
	}
	if excused > 0 {
		c.logDecision(event.Crash, wc.service, fmt.Sprintf("outage crashed=%d down=%d workers=%d tasks=%d", len(o.crashes), o.down, o.workers, excused))
	}
}

// excuse notes an outage as the cause of the crash under a task, and reports whether that is news.
func (c *Core) excuse(t *task, o *outage) bool {
	var out []crash
	for _, wc := range o.crashes {
		if i := t.crashOn(wc.worker); i >= 0 && !t.crashes[i].Outage && !t.crashes[i].Pending {
			if out == nil {
				if !o.includes(t) {
					return false
				}
				out = slices.Clone(t.crashes)
			}
			out[i].Outage = true
		}
	}
	if out == nil {
		return false
	}
	c.setCrashes(t, out)
	return true
}

// excusable looks for outages at the crashes under a task by what is known now, and reports whether the others are too few to
// give it up.
func (c *Core) excusable(t *task) bool {
	for _, wc := range c.crashed.recent {
		if i := t.crashOn(wc.worker); i >= 0 && !t.crashes[i].Outage && !t.crashes[i].Pending {
			c.noteOutage(wc)
		}
	}
	return !t.crashing()
}

// awaitVerdict postpones the decision on a task under which too many workers have crashed, while reports of other crashes at
// the same time may come. It doesn't start meanwhile.
func (c *Core) awaitVerdict(t *task, until time.Time) {
	if _, ok := c.crashed.verdicts[t]; !ok {
		t.step.verdicts++
	}
	c.crashed.verdicts[t] = until
}

// awaitCrash holds a task back while it isn't known whether its worker has crashed, if that would fail its job: another start
// would be one too many.
func (c *Core) awaitCrash(now time.Time, t *task) {
	until, waits := c.crashed.verdicts[t]
	switch {
	case t.over() || !t.mayBeCrashing():
		c.endVerdict(t)
	case !waits || until.IsZero():
		c.awaitVerdict(t, now.Add(maxPendingWait))
	case !now.Before(until):
		for i := range t.crashes {
			t.crashes[i].waited = true
		}
		c.endVerdict(t)
	}
}

// endVerdict ends the wait for the decision on a task.
func (c *Core) endVerdict(t *task) {
	if _, ok := c.crashed.verdicts[t]; ok {
		delete(c.crashed.verdicts, t)
		t.step.verdicts--
	}
}

// verdictAt returns when it can be decided on a task whether its workers crashed in an outage; the zero value for at once.
func (c *Core) verdictAt(t *task) time.Time {
	at := c.crashed.verdicts[t]
	for _, wc := range c.crashed.recent {
		if i := t.crashOn(wc.worker); i < 0 || t.crashes[i].Outage || t.crashes[i].Pending || !c.mayHaveOutage(wc.service) {
			continue
		}
		at = laterOf(at, wc.at.Add(verdictDelay))
		for _, w := range c.sortedWorkers {
			if !w.described {
				at = laterOf(at, w.detachedAt.Add(takeoverVerdictDelay))
			}
		}
	}
	return at
}

// laterOf returns the later one of two times.
func laterOf(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// mayHaveOutage reports whether a service has enough workers to tell an outage.
func (c *Core) mayHaveOutage(service string) bool {
	nodes := map[string]bool{}
	for _, w := range c.sortedWorkers {
		if !w.described || w.info.Service == service {
			nodes[cmp.Or(w.node, w.id)] = true
		}
	}
	for _, wc := range c.crashed.recent {
		if wc.service == service {
			nodes[wc.node] = true
		}
	}
	return len(nodes) >= outageWorkers
}

// judgeDue decides on the tasks whose verdict has been waited for, or that need none any more.
func (c *Core) judgeDue(now time.Time) {
	var due []*task
	for t, until := range c.crashed.verdicts {
		if t.over() || !now.Before(until) || !t.crashing() && !t.mayBeCrashing() {
			due = append(due, t)
		}
	}
	slices.SortFunc(due, compareSuspects)
	for _, t := range due {
		c.judge(now, t)
	}
}
