package cell

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/crocusspring/crocusspring/internal/announce"
	"github.com/crocusspring/crocusspring/internal/follow"
	"github.com/crocusspring/crocusspring/internal/logsvc"
	"github.com/crocusspring/crocusspring/internal/record"
	"github.com/crocusspring/crocusspring/internal/resource"
	"github.com/crocusspring/crocusspring/internal/standin/workerstand"
	"github.com/crocusspring/crocusspring/internal/workerapi"
)

const (
	modelTick    = 25 * time.Millisecond
	modelTimeout = 2 * time.Second
)

// chaos selects the faults of a run of the model.
type chaos struct {
	Seed        uint64
	Kill        bool // cores are killed and restarted
	Pause       bool // cores freeze, also between a decision and its send
	Crash       bool // workers crash and restart
	PauseWorker bool
	Lose        bool // syncs and their answers are lost
	Delay       bool // syncs and answers are late, appends land late
	Double      bool // syncs and appends arrive twice
	LogDown     bool
	LogAnswers  bool // answers to appends are lost
	Cancel      bool
	Expire      bool // the log keeps few entries
	Cut         bool // a core can't reach one of the workers
	Long        bool // jobs run for longer than the model does
	CutLog      bool // a core can't reach the log but can reach workers
}

// model is a simulated cell: cores, a log, workers and the connections between them.
type model struct {
	chaos
	rng          *rand.Rand
	now          time.Time
	cores        []*modelCore
	workers      []*modelWorker
	log          []json.RawMessage
	first        logsvc.Offset // oldest entry kept
	logDownUntil time.Time     // until when the log is down
	msgs         []message
	hist         *modelHistory
	jobs         []string
	starts       int
	// snapshotAge is an option of every core; 0 means the default.
	snapshotAge time.Duration
}

// modelCore is one candidate with its driver.
type modelCore struct {
	core         *Core
	pausedUntil  time.Time
	deferred     []func()  // actions and events deferred by the pause
	cutWorker    string    // a worker it can't reach
	logCutUntil  time.Time // until when it can't reach the log
	unresponsive bool      // it is too busy to answer others
}

// modelWorker is one worker.
type modelWorker struct {
	w          *workerstand.Worker
	member     announce.Member
	recoversAt time.Time // when it restarts or resumes; zero while it runs
	frozen     bool
}

// message is a call that is delivered at a time.
type message struct {
	due time.Time
	do  func()
}

// newModel returns a cell with three cores and the given number of workers.
func newModel(c chaos, workers int) *model {
	m := &model{chaos: c, rng: rand.New(rand.NewPCG(c.Seed, 1)), now: time.Unix(1000, 0), first: 1, hist: newHistory()}
	for i := range workers {
		a := announce.Announcement{
			Role: announce.RoleWorker, Name: fmt.Sprintf("w%d", i), Address: "127.0.0.1:1", DataCentre: "dc",
			Rack: fmt.Sprintf("r%d", i/2), Capacity: resource.Vector{MilliCPU: 4000, MemoryMB: 4000}, Incarnation: 1,
		}
		w := workerstand.NewAt(a, m.hist, m.now)
		w.SetTruth(workerstand.Truth{Seed: c.Seed, Strength: 2, Off: 1.5})
		m.workers = append(m.workers, &modelWorker{w: w, member: announce.Member{Announcement: a}})
	}
	for range 3 {
		m.cores = append(m.cores, m.newCore())
	}
	return m
}

// newCore returns a newly started candidate.
func (m *model) newCore() *modelCore {
	m.starts++
	return &modelCore{core: New(Options{
		Cell: "dc", Self: fmt.Sprintf("p%d", m.starts), OwnerLease: 2 * time.Second, TaskLease: 4 * time.Second,
		SyncEvery: 200 * time.Millisecond, MaxFailures: 3, SnapshotEvery: 40, SnapshotAge: m.snapshotAge, MaxLeaseExtension: 20 * time.Second,
	})}
}

// chance is true with a probability.
func (m *model) chance(p float64) bool { return m.rng.Float64() < p }

// randomDelay draws a delay.
func (m *model) randomDelay(low, high time.Duration) time.Duration {
	return low + time.Duration(m.rng.Int64N(int64(high-low)+1))
}

// send delivers a message later, perhaps twice or never.
func (m *model) send(lossy bool, do func()) {
	delay := m.randomDelay(0, 20*time.Millisecond)
	if m.Delay && m.chance(0.1) {
		delay = m.randomDelay(0, 5*time.Second)
	}
	if lossy && m.Lose && m.chance(0.1) {
		return
	}
	m.msgs = append(m.msgs, message{m.now.Add(delay), do})
	if m.Double && m.chance(0.1) {
		m.msgs = append(m.msgs, message{m.now.Add(delay + m.randomDelay(0, 3*time.Second)), do})
	}
}

// deliver executes the messages that are due, in random order.
func (m *model) deliver() {
	due := slices.DeleteFunc(slices.Clone(m.msgs), func(x message) bool { return x.due.After(m.now) })
	m.msgs = slices.DeleteFunc(m.msgs, func(x message) bool { return !x.due.After(m.now) })
	m.rng.Shuffle(len(due), func(i, j int) { due[i], due[j] = due[j], due[i] })
	for _, x := range due {
		x.do()
	}
}

// step passes one event to a core and executes its actions.
func (m *model) step(mc *modelCore, ev Event) {
	for _, a := range mc.core.Step(m.now, ev) {
		switch a := a.(type) {
		case Append:
			m.drive(mc, func() { m.append(mc, a) })
		case Sync:
			m.drive(mc, func() { m.sync(mc, a) })
		case RequestPromises:
			m.drive(mc, func() { m.requestPromises(mc, a) })
		}
	}
}

// drive executes an action now, or after a pause that begins at this point.
func (m *model) drive(mc *modelCore, do func()) {
	if m.Pause && mc.pausedUntil.IsZero() && m.chance(0.001) {
		mc.pausedUntil = m.now.Add(m.randomDelay(time.Second, 12*time.Second))
	}
	if !mc.pausedUntil.IsZero() {
		mc.deferred = append(mc.deferred, do)
		return
	}
	do()
}

// append sends a record to the log. The core receives AppendDone in any case.
func (m *model) append(mc *modelCore, a Append) {
	raw, _ := a.Record.Encode()
	done := func() { m.toCore(mc, AppendDone{Append: a}) }
	if m.now.Before(m.logDownUntil) || m.now.Before(mc.logCutUntil) {
		m.msgs = append(m.msgs, message{m.now.Add(10 * time.Millisecond), done})
		return
	}
	m.send(false, func() { m.appendToLog(raw) })
	wait := 30 * time.Millisecond
	if m.LogAnswers && m.chance(0.3) {
		wait = modelTimeout
	}
	m.msgs = append(m.msgs, message{m.now.Add(wait), done})
}

// appendToLog adds a record to the log.
func (m *model) appendToLog(raw json.RawMessage) {
	m.log = append(m.log, raw)
	if keep := 300; m.Expire && len(m.log) > keep {
		m.first += logsvc.Offset(len(m.log) - keep)
		m.log = m.log[len(m.log)-keep:]
	}
}

// sync calls a worker the way the driver does: the lease is checked again right before.
func (m *model) sync(mc *modelCore, a Sync) {
	epoch, ok := mc.core.Owner(m.now)
	if !ok || int64(epoch) != a.Req.Epoch {
		m.toCore(mc, SyncDone{Sync: a, Err: fmt.Errorf("not owned")})
		return
	}
	answered := false
	m.msgs = append(m.msgs, message{m.now.Add(modelTimeout), func() {
		if !answered {
			answered = true
			m.toCore(mc, SyncDone{Sync: a, Err: fmt.Errorf("timeout")})
		}
	}})
	if mc.cutWorker == a.Worker {
		return
	}
	w := m.workers[slices.IndexFunc(m.workers, func(w *modelWorker) bool { return w.member.Name == a.Worker })]
	m.send(true, func() {
		resp, err := w.w.Sync(m.now, a.Req)
		m.send(true, func() {
			if !answered {
				answered = true
				m.toCore(mc, SyncDone{Sync: a, Resp: resp, Err: err})
			}
		})
	})
}

// requestPromises requests a promise from each other core over a connection of its own.
func (m *model) requestPromises(mc *modelCore, a RequestPromises) {
	w := PromiseResults{Request: a.Request, RequestedAt: m.now}
	for _, other := range m.cores {
		if other == mc {
			continue
		}
		m.send(true, func() {
			if !other.pausedUntil.IsZero() || other.unresponsive {
				return
			}
			name, promised := other.core.Promise(m.now, a.Request)
			m.send(true, func() {
				w.Answered = append(slices.Clone(w.Answered), name)
				if promised {
					w.Promised = append(slices.Clone(w.Promised), name)
				}
				m.toCore(mc, w)
			})
		})
	}
}

// toCore passes an event to a core; while the core is paused the event is deferred.
func (m *model) toCore(mc *modelCore, ev Event) {
	if !mc.pausedUntil.IsZero() {
		mc.deferred = append(mc.deferred, func() { m.step(mc, ev) })
		return
	}
	m.step(mc, ev)
}

// read lets a core read the log as its driver does.
func (m *model) read(mc *modelCore) {
	err := follow.Resume(context.Background(), modelLog{m}, "cell-dc", modelFold{m, mc})
	b, errRead := modelLog{m}.Read(context.Background(), "cell-dc", mc.core.Next(), 50, 0)
	if err != nil || errRead != nil {
		m.hist.violations = append(m.hist.violations, fmt.Sprint("log can't be read: ", err, errRead))
		return
	}
	m.step(mc, Entries{Entries: b.Entries, First: b.First, Tail: b.Tail})
}

// modelFold is the fold of one core.
type modelFold struct {
	m  *model
	mc *modelCore
}

func (f modelFold) Next() logsvc.Offset { return f.mc.core.Next() }

func (f modelFold) Fold(logsvc.Batch) {}

func (f modelFold) Restore(s follow.Snapshot) error {
	snap := Snapshot{Next: s.Next, Schema: s.Schema}
	if err := json.Unmarshal(s.State, &snap.State); err != nil {
		return err
	}
	return f.mc.core.Restore(f.m.now, snap)
}

// modelLog reads the model's log.
type modelLog struct{ *model }

// Read implements logsvc.Reader without waiting.
func (m modelLog) Read(_ context.Context, stream string, from logsvc.Offset, limit int, _ time.Duration) (logsvc.Batch, error) {
	if from < m.first {
		return logsvc.Batch{}, &logsvc.ExpiredError{Stream: stream, From: from, First: m.first}
	}
	b := logsvc.Batch{First: m.first, Next: from, Tail: m.first + logsvc.Offset(len(m.log))}
	for ; b.Next < b.Tail && len(b.Entries) < limit; b.Next++ {
		b.Entries = append(b.Entries, logsvc.Entry{Offset: b.Next, Data: m.log[b.Next-m.first]})
	}
	return b, nil
}

// tick advances the time by one step, with faults when chaotic.
func (m *model) tick(chaotic bool) {
	m.now = m.now.Add(modelTick)
	if chaotic {
		m.injectFaults()
	}
	m.deliver()
	var members []announce.Member
	for _, w := range m.workers {
		if !w.recoversAt.IsZero() && !m.now.Before(w.recoversAt) {
			w.recoversAt = time.Time{}
			if w.frozen {
				w.frozen = false
				w.w.Resume(m.now)
			} else {
				w.w.Restart(m.now)
			}
		}
		w.w.Advance(m.now)
		if w.recoversAt.IsZero() {
			members = append(members, w.member)
		}
	}
	for _, mc := range m.cores {
		if !mc.pausedUntil.IsZero() && !m.now.Before(mc.pausedUntil) {
			m.resume(mc)
		}
		if !mc.pausedUntil.IsZero() {
			continue
		}
		m.step(mc, Workers{Members: members})
		if m.now.After(m.logDownUntil) && m.now.After(mc.logCutUntil) && m.chance(0.7) {
			m.read(mc)
		}
	}
}

// resume ends a pause; deferred actions and events are executed first.
func (m *model) resume(mc *modelCore) {
	mc.pausedUntil = time.Time{}
	held := mc.deferred
	mc.deferred = nil
	for _, do := range held {
		do()
	}
}

// injectFaults draws faults, new jobs and cancellations.
func (m *model) injectFaults() {
	mc, w := m.cores[m.rng.IntN(len(m.cores))], m.workers[m.rng.IntN(len(m.workers))]
	if m.Kill && m.chance(0.004) {
		*mc = *m.newCore()
	}
	if m.Pause && mc.pausedUntil.IsZero() && m.chance(0.004) {
		mc.pausedUntil = m.now.Add(m.randomDelay(100*time.Millisecond, 12*time.Second))
	}
	if m.Cut && m.chance(0.005) {
		mc.cutWorker = w.member.Name
		if m.chance(0.5) {
			mc.cutWorker = ""
		}
	}
	if m.CutLog && m.chance(0.006) {
		mc.logCutUntil = m.now.Add(m.randomDelay(time.Second, 12*time.Second))
	}
	if w.recoversAt.IsZero() && m.Crash && m.chance(0.006) {
		w.w.Crash(m.now)
		w.recoversAt = m.now.Add(m.randomDelay(20*time.Millisecond, 8*time.Second))
	}
	if w.recoversAt.IsZero() && m.PauseWorker && m.chance(0.006) {
		w.w.Pause(m.now)
		w.frozen, w.recoversAt = true, m.now.Add(m.randomDelay(20*time.Millisecond, 8*time.Second))
	}
	if m.LogDown && m.chance(0.002) {
		m.logDownUntil = m.now.Add(m.randomDelay(100*time.Millisecond, 8*time.Second))
	}
	if m.chance(0.12) {
		m.submit()
	}
	if m.Cancel && len(m.jobs) > 0 && m.chance(0.02) {
		m.publish(record.KindCancel, Cancel{Jobs: []string{m.jobs[m.rng.IntN(len(m.jobs))], m.jobs[m.rng.IntN(len(m.jobs))]}})
	}
}

// submit accepts one job.
func (m *model) submit() {
	id := fmt.Sprintf("j%d", len(m.jobs))
	j := Job{
		ID: id, Workspace: fmt.Sprintf("centre-%d", m.rng.IntN(3)), Class: fmt.Sprintf("class-%d", m.rng.IntN(3)),
		Urgent: m.chance(0.2), Declare: resource.Vector{MilliCPU: 500 + 500*m.rng.Int64N(5), MemoryMB: 300},
		RunMS: 100 + m.rng.Int64N(4000),
	}
	if m.Long {
		j.RunMS = time.Minute.Milliseconds()
	}
	if m.publish(record.KindJob, j) {
		m.jobs = append(m.jobs, id)
	}
}

// publish appends a caller's record, perhaps twice.
func (m *model) publish(kind record.Kind, body any) bool {
	if m.now.Before(m.logDownUntil) {
		return false
	}
	env, _ := record.New(record.NewID(), kind, SchemaVersion, "caller", body)
	raw, _ := env.Encode()
	m.appendToLog(raw)
	if m.Double && m.chance(0.2) {
		m.appendToLog(raw)
	}
	return true
}

// quiesce stops all faults and waits until every job has ended.
func (m *model) quiesce() bool {
	for _, mc := range m.cores {
		mc.cutWorker = ""
	}
	m.chaos = chaos{Seed: m.Seed, Expire: m.Expire}
	for i := 0; i < int(90*time.Second/modelTick); i++ {
		m.tick(false)
		if m.allDone() {
			return true
		}
	}
	return false
}

// allDone reports whether every core knows that every job has ended.
func (m *model) allDone() bool {
	for _, mc := range m.cores {
		if !mc.pausedUntil.IsZero() || !mc.core.Ready() || mc.core.Next() != m.first+logsvc.Offset(len(m.log)) {
			return false
		}
		for _, id := range m.jobs {
			if t, ok := mc.core.Task(id); !ok || !t.Done() {
				return false
			}
		}
	}
	return true
}

// modelHistory is what the workers ran, and the invariants that were violated.
type modelHistory struct {
	running    map[string]map[string]workerapi.Command // by worker and task
	runningOn  map[string]string
	started    map[string]int
	resumed    map[string]int
	finished   map[string]int
	violations []string
	capacity   resource.Vector
}

// newHistory returns an empty history.
func newHistory() *modelHistory {
	return &modelHistory{
		running: map[string]map[string]workerapi.Command{}, runningOn: map[string]string{}, started: map[string]int{},
		resumed: map[string]int{}, finished: map[string]int{}, capacity: resource.Vector{MilliCPU: 4000, MemoryMB: 4000},
	}
}

// Started implements workerstand.Observer and checks the invariants.
func (h *modelHistory) Started(worker string, c workerapi.Command, at time.Time) {
	if on, ok := h.runningOn[c.Task]; ok {
		h.violations = append(h.violations, fmt.Sprintf("%v: %s/%d starts on %s while it runs on %s", at, c.Task, c.Attempt, worker, on))
	}
	h.runningOn[c.Task] = worker
	if h.running[worker] == nil {
		h.running[worker] = map[string]workerapi.Command{}
	}
	h.running[worker][c.Task] = c
	var sum resource.Vector
	for _, r := range h.running[worker] {
		sum = sum.Add(r.Reserve)
	}
	if !sum.Fits(h.capacity) {
		h.violations = append(h.violations, fmt.Sprintf("%v: %s is overcommitted by tasks of %v", at, worker, sum))
	}
	h.count(h.started, fmt.Sprintf("start of %s/%d", c.Task, c.Attempt))
	if c.Resume != nil {
		h.count(h.resumed, fmt.Sprintf("resume of %s from %+v", c.Task, *c.Resume))
	}
}

// count counts an event that may happen at most once.
func (h *modelHistory) count(in map[string]int, what string) {
	if in[what]++; in[what] > 1 {
		h.violations = append(h.violations, "second "+what)
	}
}

// Ended implements workerstand.Observer.
func (h *modelHistory) Ended(worker, task string, _ int, s workerapi.State, _ time.Time) {
	delete(h.running[worker], task)
	delete(h.runningOn, task)
	if s == workerapi.StateFinished {
		h.finished[task]++
	}
}
