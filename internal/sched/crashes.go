package sched

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/crocusspring/crocusspring/internal/event"
	"github.com/crocusspring/crocusspring/internal/link"
)

const (
	// settleTime is the age from which on a run counts as settled: a task that crashes workers does so when it starts.
	settleTime = 500 * time.Millisecond
	// provenAge is the least age of a run from which on earlier crashes say nothing about its task and are forgotten.
	// provenFactor is how many times as old as at the crashes the run must be: a task may crash its worker after some work.
	provenAge    = 10 * time.Second
	provenFactor = 2
	// maxSuspectAge is the age of a run from which on a crash is taken for the worker's own fault.
	maxSuspectAge = time.Minute
	// maxStartCrashes is how many workers may crash while a task starts on them, if it was the only one that did on at
	// least one of them. maxSharedCrashes applies if it never was.
	maxStartCrashes  = 2
	maxSharedCrashes = 3
	// maxCrashes bounds the crashes under a task in whatever state, including those that it may not have been there at:
	// customers allow two starts after the third crash. Crashes in outages count too, unless all were in outages.
	maxCrashes = 5
	// maxKeptCrashes bounds the crashes that are kept with a task.
	maxKeptCrashes = 8
	// isolationCrashes is the number of crashes from which on a task is started in isolation, although it was settled
	// at each of them.
	isolationCrashes = 3
	// unstableCrashes are the unexplained crashes beside a node within unstableWindow from which on its worker counts
	// as unstable: another crash there says little about a task.
	unstableCrashes = 2
	unstableWindow  = 15 * time.Second
)

// crash is the end of a worker under a run of a task.
type crash struct {
	// Worker is the incarnation that has ended.
	Worker string `json:"w"`
	Run    int    `json:"r"`
	// AgeMS is how long the run had been there, in milliseconds.
	AgeMS int64 `json:"a"`
	// Sole means that no other run was starting on the worker.
	Sole bool `json:"o,omitempty"`
	// Unsure means that the start of the run was not answered, so that it may not have been there.
	Unsure bool `json:"u,omitempty"`
	// Pending means that the worker doesn't answer; it isn't known yet whether it has crashed.
	Pending bool `json:"p,omitempty"`
	// Outage means that most workers of the service crashed at the same time.
	Outage bool `json:"m,omitempty"`
	// waited means that a pending crash isn't waited for any longer.
	waited bool
}

// starting reports whether the run was starting when the worker crashed.
func (cr *crash) starting() bool { return cr.AgeMS < settleTime.Milliseconds() }

// counts reports whether the crash is certain to have happened under a start of the task. A worker may crash for another
// reason while it holds back the answer to a start, or before it carries one out.
func (cr *crash) counts() bool { return cr.starting() && !cr.Pending && !cr.Unsure && !cr.Outage }

// nodeCrash is a crash of the worker beside a node that no task is known to have caused.
type nodeCrash struct {
	worker string
	at     time.Time
}

// crashes tracks the tasks under which workers have crashed.
type crashes struct {
	// tasks are those with a crash.
	tasks map[*task]bool
	// byNode lists the crashes beside each node that no task is known to have caused.
	byNode map[string][]nodeCrash
	// recent are the crashes of the last outageMemory whose time is known.
	recent []*workerCrash
	// verdicts holds the tasks that can't be decided on yet, and until when that is waited for.
	verdicts map[*task]time.Time
}

// newCrashes returns a crashes without any.
func newCrashes() crashes {
	return crashes{tasks: map[*task]bool{}, byNode: map[string][]nodeCrash{}, verdicts: map[*task]time.Time{}}
}

// fresh reports whether the newest run of a task may just be starting on its worker. A run that was started under an
// earlier owner most likely isn't.
func (t *task) fresh() bool { return !t.inherited && t.listedFor() < settleTime }

// listedFor returns for how long its worker has listed the newest run of a task; 0 before its first listing.
func (t *task) listedFor() time.Duration {
	if t.appearedAt.IsZero() {
		return 0
	}
	return max(0, t.listedAt.Sub(t.appearedAt))
}

// startsAlone reports whether a task must be started in isolation: with no other run starting beside it, so that a
// crash can be told to be its own.
func (t *task) startsAlone() bool {
	return len(t.crashes) >= isolationCrashes ||
		slices.ContainsFunc(t.crashes, func(cr crash) bool { return cr.starting() })
}

// over reports whether no run of a task is needed any more.
func (t *task) over() bool {
	return t.state == stateDone || t.state == stateDropped || t.step.occ.job.state.Terminal()
}

// WorkerCrashed handles the end of an incarnation of a worker that had not announced that it would leave. The crash
// counts for the tasks that its guard saw there. Another owner may have handled the same report.
func (c *Core) WorkerCrashed(now time.Time, report link.Crash) {
	id := report.Worker
	if w := c.workers[id]; w != nil {
		c.crashed.byNode[w.node] = append(c.recentCrashes(now, w.node), nodeCrash{id, now})
		c.suspectCrash(w)
	}
	known := c.noteCrash(now, report)
	rows, starting := crashedRuns(report)
	var affected []*task
	for t := range c.crashed.tasks {
		i := t.crashOn(id)
		if i < 0 || !t.crashes[i].Pending {
			continue
		}
		row, ok := rows[link.RunRef{Task: t.id, Run: t.crashes[i].Run}]
		if !ok {
			c.removeCrash(t, i)
			continue
		}
		t.crashes[i] = crash{
			Worker: id, Run: row.Run, AgeMS: row.AgeMS, Unsure: row.Unsure,
			Sole: len(starting) == 1 && starting[0] == row.RunRef,
		}
		c.markDirty(t.step.occ.job)
		affected = append(affected, t)
	}
	c.logDecision(event.Crash, id, fmt.Sprintf("runs=%d starting=%v tasks=%d", len(rows), starting, len(affected)))
	c.RemoveWorker(now, id)
	c.noteOutage(known)
	slices.SortFunc(affected, compareSuspects)
	for _, t := range affected {
		c.endVerdict(t)
		c.judge(now, t)
	}
	c.judgeDue(now)
}

// crashedRuns returns the runs of a report, and those among them that were starting.
func crashedRuns(report link.Crash) (rows map[link.RunRef]link.CrashedRun, starting []link.RunRef) {
	rows = map[link.RunRef]link.CrashedRun{}
	for _, r := range report.Runs {
		rows[r.RunRef] = r
		if r.AgeMS < settleTime.Milliseconds() {
			starting = append(starting, r.RunRef)
		}
	}
	return rows, starting
}

// suspectCrash records for the runs on a worker of which nothing is heard that it may have crashed. If its guard isn't
// connected, it is more likely that the guard or the network has failed.
func (c *Core) suspectCrash(w *worker) {
	settled := settleTime.Milliseconds()
	for _, t := range w.tasks {
		cr := crash{Worker: w.id, Run: t.run, AgeMS: settled, Pending: true}
		if w.attached && t.fresh() {
			cr.AgeMS = t.listedFor().Milliseconds()
		}
		c.addCrash(t, cr)
	}
	for ref, cp := range w.copies {
		c.addCrash(cp.task, crash{Worker: w.id, Run: ref.Run, AgeMS: settled, Pending: true})
	}
}

// suspectStart records that the worker that is kept for an isolated start doesn't answer any more, for all tasks that were
// starting there.
func (c *Core) suspectStart(w *worker) {
	if w.isolated == nil {
		return
	}
	var fresh []*task
	for _, t := range w.tasks {
		if t.fresh() {
			fresh = append(fresh, t)
		}
	}
	for _, t := range fresh {
		c.addCrash(t, crash{Worker: w.id, Run: t.run, Sole: len(fresh) == 1, Pending: true})
	}
	if len(fresh) == 1 {
		c.explainCrashes(fresh[0])
	}
}

// crashOn returns the index of a task's crash on an incarnation of a worker, or -1.
func (t *task) crashOn(worker string) int {
	return slices.IndexFunc(t.crashes, func(cr crash) bool { return cr.Worker == worker })
}

// addCrash adds a crash to a task, once for each incarnation of a worker.
func (c *Core) addCrash(t *task, cr crash) {
	if t.over() || t.crashOn(cr.Worker) >= 0 {
		return
	}
	if i := slices.IndexFunc(t.crashes, func(cr crash) bool { return cr.Outage }); i >= 0 && len(t.crashes) >= maxKeptCrashes {
		c.removeCrash(t, i)
	}
	t.crashes = append(t.crashes, cr)
	c.crashed.tasks[t] = true
	c.markDirty(t.step.occ.job)
	if t.mayBeCrashing() {
		c.awaitVerdict(t, time.Time{})
	}
}

// removeCrash removes a crash of a task.
func (c *Core) removeCrash(t *task, i int) {
	c.setCrashes(t, slices.Delete(slices.Clone(t.crashes), i, i+1))
}

// setCrashes replaces the crashes of a task.
func (c *Core) setCrashes(t *task, crashes []crash) {
	t.crashes = crashes
	if len(crashes) == 0 {
		delete(c.crashed.tasks, t)
		c.endVerdict(t)
	}
	c.markDirty(t.step.occ.job)
}

// dropPendingCrashes forgets the crash that was suspected of a worker: it has answered, or has ended in a way that its
// guard hasn't seen.
func (c *Core) dropPendingCrashes(worker string) {
	for t := range c.crashed.tasks {
		if i := t.crashOn(worker); i >= 0 && t.crashes[i].Pending {
			c.removeCrash(t, i)
		}
	}
}

// clearIfSettled notes that a worker lists a run that has settled: its task doesn't crash workers when it starts. Once
// the run has gone on for long enough, it doesn't at all.
func (c *Core) clearIfSettled(t *task, w *worker) {
	listed := t.listedFor()
	if len(t.crashes) == 0 || listed < settleTime {
		return
	}
	if listed >= t.provenAfter() {
		c.setCrashes(t, nil)
		return
	}
	if !slices.ContainsFunc(t.crashes, func(cr crash) bool { return cr.starting() }) {
		return
	}
	out := slices.Clone(t.crashes)
	for i := range out {
		out[i].AgeMS, out[i].Sole = max(out[i].AgeMS, settleTime.Milliseconds()), false
	}
	c.setCrashes(t, out)
}

// provenAfter returns the age of a run from which on the crashes under its task are forgotten.
func (t *task) provenAfter() time.Duration {
	after := provenAge
	for i := range t.crashes {
		if age := time.Duration(t.crashes[i].AgeMS) * time.Millisecond; age <= maxSuspectAge {
			after = max(after, provenFactor*age)
		}
	}
	return after
}

// crashing reports whether the crashes under a task are enough to give it up.
func (t *task) crashing() bool {
	all, starts, sole, own := 0, 0, false, false
	for i := range t.crashes {
		cr := &t.crashes[i]
		if !cr.Pending {
			all++
			own = own || !cr.Outage
		}
		if cr.counts() {
			starts++
			sole = sole || cr.Sole
		}
	}
	return sole && starts >= maxStartCrashes || starts >= maxSharedCrashes || own && all >= maxCrashes
}

// mayBeCrashing reports whether the crashes under a task are enough to give it up if a worker that doesn't answer has crashed.
func (t *task) mayBeCrashing() bool {
	all, own, pending := 0, false, false
	for i := range t.crashes {
		cr := &t.crashes[i]
		own = own || !cr.Pending && !cr.Outage
		pending = pending || cr.Pending && !cr.waited
		if !cr.Pending || !cr.waited {
			all++
		}
	}
	return own && pending && all >= maxCrashes
}

// judge fails the job of a task that crashes workers, once an outage can be ruled out.
func (c *Core) judge(now time.Time, t *task) {
	if t.over() || !t.crashing() || c.excusable(t) {
		c.awaitCrash(now, t)
		return
	}
	if until := c.verdictAt(t); now.Before(until) {
		c.awaitVerdict(t, until)
		return
	}
	c.endVerdict(t)
	j := t.step.occ.job
	c.logDecision(event.Fail, j.spec.ID, fmt.Sprintf("task=%s crashes=%+v", t.id, t.crashes))
	c.explainCrashes(t)
	c.finishJob(now, j, Failed, fmt.Sprintf("%d workers have crashed under task %s", len(t.crashes), t.id))
}

// explainCrashes attributes the crashes under a task to it, if it was starting at two of them or more: they no longer
// count for other tasks nor against the nodes. Another task that was the only one starting may be a cause all the same.
func (c *Core) explainCrashes(cause *task) {
	own := map[string]bool{}
	for i := range cause.crashes {
		if cr := &cause.crashes[i]; cr.starting() {
			own[cr.Worker] = true
		}
	}
	if len(own) < maxStartCrashes {
		return
	}
	for t := range c.crashed.tasks {
		kept := slices.DeleteFunc(slices.Clone(t.crashes), func(cr crash) bool { return own[cr.Worker] && !cr.Sole && !cr.Pending })
		if t != cause && len(kept) < len(t.crashes) {
			c.setCrashes(t, kept)
		}
	}
	for node, list := range c.crashed.byNode {
		c.crashed.byNode[node] = slices.DeleteFunc(list, func(n nodeCrash) bool { return own[n.worker] })
	}
}

// recentCrashes returns the unexplained crashes beside a node within unstableWindow.
func (c *Core) recentCrashes(now time.Time, node string) []nodeCrash {
	return slices.DeleteFunc(slices.Clone(c.crashed.byNode[node]), func(n nodeCrash) bool { return now.Sub(n.at) > unstableWindow })
}

// compareSuspects orders tasks under which workers have crashed, the likeliest causes first: those whose runs had been
// started last.
func compareSuspects(a, b *task) int {
	return cmp.Or(
		cmp.Compare(a.leastCrashAge(), b.leastCrashAge()),
		cmp.Compare(a.step.occ.job.spec.Policy.Priority, b.step.occ.job.spec.Policy.Priority),
		strings.Compare(a.id.Job, b.id.Job),
		cmp.Compare(a.id.Occurrence, b.id.Occurrence),
		cmp.Compare(a.id.Step, b.id.Step),
		cmp.Compare(a.id.Index, b.id.Index),
	)
}

// leastCrashAge returns the least age of a run of the task at a crash, in milliseconds.
func (t *task) leastCrashAge() int64 {
	least := provenAge.Milliseconds()
	for i := range t.crashes {
		least = min(least, t.crashes[i].AgeMS)
	}
	return least
}
