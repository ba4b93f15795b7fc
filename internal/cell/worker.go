package cell

import (
	"errors"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/crocusspring/crocusspring/internal/announce"
	"github.com/crocusspring/crocusspring/internal/chart"
	"github.com/crocusspring/crocusspring/internal/place"
	"github.com/crocusspring/crocusspring/internal/record"
	"github.com/crocusspring/crocusspring/internal/workerapi"
)

// leaseMargin is added to a task lease for clocks that run at different rates.
const leaseMargin = 500 * time.Millisecond

// worker is what the owner knows of one worker in its epoch.
type worker struct {
	member announce.Member
	live   bool
	seq    int64
	busy   bool
	sentAt time.Time
	// fenced says that the worker has answered a sync of this epoch.
	fenced      bool
	incarnation int64
	echo        int64
	// heard is when the newest echo was received; a lease built on it ends TaskLease later at the latest.
	heard time.Time
	// known are the attempts that some answer of this epoch has listed.
	known map[attemptKey]bool
	// started are the attempts whose start some sync of this epoch has carried.
	started map[attemptKey]bool
	// forget are ended attempts whose end stands in the log.
	forget map[attemptKey]bool
	// stop are attempts the worker runs but should not.
	stop map[attemptKey]bool
	// reported are attempts whose end is on its way to the log.
	reported map[attemptKey]bool
}

// attemptKey names one attempt of a task.
type attemptKey struct {
	task    string
	attempt int
}

// reset forgets what belongs to an epoch.
func (w *worker) reset() {
	*w = worker{
		member: w.member, live: w.live, known: map[attemptKey]bool{}, started: map[attemptKey]bool{}, forget: map[attemptKey]bool{},
		stop: map[attemptKey]bool{}, reported: map[attemptKey]bool{},
	}
}

// announced takes the newest list of workers.
func (c *Core) announced(members []announce.Member) {
	for _, w := range c.workers {
		w.live = false
	}
	for _, m := range members {
		w := c.workers[m.Name]
		if w == nil {
			w = &worker{}
			w.reset()
			c.workers[m.Name] = w
		}
		w.member, w.live = m, true
	}
}

// names returns the names of all workers in order, so that every run decides alike.
func (c *Core) names() []string {
	out := make([]string, 0, len(c.workers))
	for n := range c.workers {
		out = append(out, n)
	}
	slices.Sort(out)
	return out
}

// openWorkers returns the workers that can take a start, with everything they may hold reserved.
func (c *Core) openWorkers() []*place.Worker {
	byName := map[string]*place.Worker{}
	var out []*place.Worker
	for _, n := range c.names() {
		w := c.workers[n]
		if !w.live || !w.fenced {
			continue
		}
		p := &place.Worker{
			Name: n, DataCentre: w.member.DataCentre, Rack: w.member.Rack,
			Capacity: w.member.Capacity, Draining: w.member.Leaving,
		}
		byName[n] = p
		out = append(out, p)
	}
	for _, t := range c.state.tasks {
		if p := byName[t.Worker]; p != nil && t.Held() {
			p.Reserved = p.Reserved.Add(t.Reserve)
		}
	}
	for _, a := range c.assumed {
		if p := byName[a.Worker]; p != nil {
			p.Reserved = p.Reserved.Add(a.Reserve)
		}
	}
	return out
}

// syncs returns the calls that are due.
func (c *Core) syncs(now time.Time) []Action {
	commands := c.commands()
	var out []Action
	for _, n := range c.names() {
		w := c.workers[n]
		cmds := commands[n]
		due := now.Sub(w.sentAt) >= c.opt.SyncEvery
		if w.busy || w.member.Address == "" || !due && (len(cmds) == 0 || !w.fenced) {
			continue
		}
		w.busy, w.sentAt = true, now
		w.seq++
		req := workerapi.SyncRequest{
			Cell: c.opt.Cell, Epoch: int64(c.epoch), Seq: w.seq, EchoMS: w.echo,
			Incarnation: w.incarnation, LeaseMS: c.opt.TaskLease.Milliseconds(),
		}
		if w.fenced {
			req.Commands = cmds
			w.noteStarts(cmds)
		}
		out = append(out, Sync{Worker: n, Addr: w.member.Address, Req: req})
	}
	return out
}

// noteStarts remembers which starts are on their way.
func (w *worker) noteStarts(cmds []workerapi.Command) {
	for _, cmd := range cmds {
		if cmd.Op == workerapi.OpStart {
			w.started[attemptKey{cmd.Task, cmd.Attempt}] = true
		}
	}
}

// commands works out what each worker is to be told from the fold and its inventory.
func (c *Core) commands() map[string][]workerapi.Command {
	out := map[string][]workerapi.Command{}
	for _, t := range c.held() {
		w := c.workers[t.Worker]
		if w == nil {
			continue
		}
		key := attemptKey{t.ID, t.Attempt}
		switch {
		case t.State == StateAssigned && !w.known[key]:
			out[t.Worker] = append(out[t.Worker], start(t))
		case t.State == StateStopping && !w.reported[key]:
			out[t.Worker] = append(out[t.Worker], workerapi.Command{Op: workerapi.OpStop, Task: t.ID, Attempt: t.Attempt})
		}
	}
	for n, w := range c.workers {
		out[n] = appendKeyed(out[n], workerapi.OpStop, w.stop)
		out[n] = appendKeyed(out[n], workerapi.OpForget, w.forget)
	}
	return out
}

// appendKeyed adds one command for each attempt.
func appendKeyed(out []workerapi.Command, op workerapi.Op, keys map[attemptKey]bool) []workerapi.Command {
	for k := range keys {
		out = append(out, workerapi.Command{Op: op, Task: k.task, Attempt: k.attempt})
	}
	return out
}

// start returns the command that starts the current attempt of a task.
func start(t *Task) workerapi.Command {
	return workerapi.Command{
		Op: workerapi.OpStart, Task: t.ID, Attempt: t.Attempt, Class: t.Class,
		Declare: t.Declare, Reserve: t.Reserve, RunMS: t.RunMS, Resume: t.Checkpoint,
	}
}

// held returns the tasks a worker may hold, in order of id.
func (c *Core) held() []*Task {
	var out []*Task
	for _, t := range c.state.tasks {
		if t.Held() {
			out = append(out, t)
		}
	}
	slices.SortFunc(out, func(a, b *Task) int { return strings.Compare(a.ID, b.ID) })
	return out
}

// synced takes the answer of a worker.
func (c *Core) synced(now time.Time, ev SyncDone) {
	w := c.workers[ev.Sync.Worker]
	if w == nil || int64(c.epoch) != ev.Sync.Req.Epoch || w.seq != ev.Sync.Req.Seq {
		return
	}
	w.busy = false
	var stale *workerapi.StaleError
	if errors.As(ev.Err, &stale) {
		w.fenced = false
		return
	}
	if ev.Err != nil {
		return
	}
	if w.fenced && w.incarnation != ev.Resp.Incarnation {
		// The start may have taken effect before the restart, so the attempt is never started again.
		maps.Copy(w.known, w.started)
	}
	w.fenced, w.incarnation, w.echo, w.heard = true, ev.Resp.Incarnation, ev.Resp.ClockMS, now
	c.compare(ev.Sync.Worker, w, ev)
}

// compare settles the fold against a worker's inventory.
func (c *Core) compare(name string, w *worker, ev SyncDone) {
	listed := map[attemptKey]workerapi.Attempt{}
	clear(w.stop)
	clear(w.forget)
	for _, a := range ev.Resp.Attempts {
		listed[attemptKey{a.Task, a.Attempt}] = a
	}
	for key, a := range listed {
		c.listed(name, w, key, a)
	}
	refused := map[attemptKey]string{}
	for _, r := range ev.Resp.Refusals {
		refused[attemptKey{r.Task, r.Attempt}] = r.Reason
	}
	for _, t := range c.held() {
		key := attemptKey{t.ID, t.Attempt}
		if _, ok := listed[key]; ok || t.Worker != name || w.reported[key] {
			continue
		}
		switch reason, no := refused[key]; {
		case no:
			c.end(w, key, EventRefuse, nil, reason)
		case w.known[key] || !carried(ev.Sync.Req, key) && t.State == StateAssigned && c.older(t):
			c.end(w, key, EventLose, nil, "worker no longer holds it")
		case t.State == StateStopping && stopped(ev.Sync.Req, key):
			c.end(w, key, EventStopped, nil, "")
		}
	}
	for key := range listed {
		w.known[key] = true
	}
}

// older reports whether the current attempt was assigned under an earlier epoch.
func (c *Core) older(t *Task) bool { return t.AssignEpoch != c.epoch }

// carried reports whether a sync carried the start of an attempt.
func carried(req workerapi.SyncRequest, key attemptKey) bool {
	return commanded(req, workerapi.OpStart, key)
}

// stopped reports whether a sync carried the stop of an attempt.
func stopped(req workerapi.SyncRequest, key attemptKey) bool {
	return commanded(req, workerapi.OpStop, key)
}

// commanded reports whether a sync carried a command for an attempt.
func commanded(req workerapi.SyncRequest, op workerapi.Op, key attemptKey) bool {
	return slices.ContainsFunc(req.Commands, func(cmd workerapi.Command) bool {
		return cmd.Op == op && cmd.Task == key.task && cmd.Attempt == key.attempt
	})
}

// listed settles one attempt of the inventory.
func (c *Core) listed(name string, w *worker, key attemptKey, a workerapi.Attempt) {
	t := c.state.tasks[key.task]
	current := t != nil && t.Held() && t.Worker == name && t.Attempt == key.attempt
	running := a.State == workerapi.StateRunning
	switch {
	case current && !running:
		c.ended(w, t, key, a)
	case !current && running:
		w.stop[key] = true
	case !current:
		w.forget[key] = true
	}
}

// ended reports the end of a current attempt.
func (c *Core) ended(w *worker, t *Task, key attemptKey, a workerapi.Attempt) {
	if w.reported[key] {
		return
	}
	c.end(w, key, c.endEvent(t, a.State), a.Checkpoint, a.Reason)
}

// endEvent maps a worker's word for an end to the chart's.
func (c *Core) endEvent(t *Task, s workerapi.State) chart.Event {
	switch s {
	case workerapi.StateFinished:
		return EventFinish
	case workerapi.StateFailed:
		if t.Failures+1 >= c.opt.MaxFailures {
			return EventFailFinal
		}
		return EventFail
	case workerapi.StateStopped:
		if t.State == StateStopping {
			return EventStopped
		}
	}
	return EventLose
}

// end queues the record of an attempt's end.
func (c *Core) end(w *worker, key attemptKey, ev chart.Event, cp *workerapi.Checkpoint, reason string) {
	w.reported[key] = true
	c.outbox.add(record.KindTaskState, c.opt.Self, TaskState{
		Epoch: c.epoch, Task: key.task, Attempt: key.attempt, Event: string(ev), Checkpoint: cp, Reason: reason,
	})
}

// lapse gives up the attempts of workers whose task lease has surely ended.
func (c *Core) lapse(now time.Time) {
	for _, t := range c.held() {
		w := c.workers[t.Worker]
		if w == nil {
			w = &worker{}
			w.reset()
			c.workers[t.Worker] = w
		}
		from := c.ownSince
		if w.heard.After(from) {
			from = w.heard
		}
		key := attemptKey{t.ID, t.Attempt}
		if now.Sub(from) > c.opt.TaskLease+leaseMargin && !w.reported[key] {
			c.end(w, key, EventLose, nil, "worker is silent and its lease has lapsed")
		}
	}
}
