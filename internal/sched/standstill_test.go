package sched

import (
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/crocusspring/crocusspring/internal/job"
	"github.com/crocusspring/crocusspring/internal/resource"
)

const (
	// dayEnd is how long a day goes on after its last job and disruption.
	dayEnd = 14 * time.Second
	// standstill is how long a job may have nothing running while it could, standstillCalm how long there must have been
	// no disruption before, and lastingAway how long a lasting task may be between two runs besides.
	standstill     = 3 * time.Second
	standstillCalm = 4 * time.Second
	lastingAway    = 6 * time.Second
)

// defaultDays are the seeds of the days that are played without a setting; on d5c2711 jobs stood still on each.
var defaultDays = []uint64{5, 90, 178}

// disrupt draws one disruption.
func (d *day) disrupt() {
	h := d.hosts[d.rng.IntN(len(d.hosts))]
	span := d.between(500*time.Millisecond, 6500*time.Millisecond)
	until := d.now.Add(span)
	switch kind := d.rng.IntN(16); kind {
	case 0, 1:
		if h.up && !d.shape.noCrashes {
			d.crashHost(h, kind == 0, span)
		}
	case 2, 3:
		h.cutUntil = maxTime(h.cutUntil, until)
		d.upset(until.Add(time.Second))
	case 4:
		h.muteUntil = maxTime(h.muteUntil, until)
		d.upset(until.Add(time.Second))
	case 5:
		d.lossUntil = maxTime(d.lossUntil, until)
		d.upset(until.Add(time.Second))
	case 6:
		h.shrunk = maxTime(h.shrunk, until)
		d.upset(until)
	case 7, 8, 9:
		if h.grey == sound {
			h.grey, h.greyUntil = grey(1+d.rng.IntN(int(numGreys)-1)), until
			d.upset(until)
		}
	case 10:
		d.takeover(d.between(100*time.Millisecond, 3*time.Second))
	case 11:
		if d.rng.IntN(3) == 0 && !d.shape.noCrashes {
			for _, o := range d.hosts {
				if o.up {
					d.crashHost(o, false, span)
				}
			}
			d.takeover(span)
		}
	case 12:
		d.silentUntil = maxTime(d.silentUntil, until)
		d.upset(until.Add(6 * time.Second))
	case 13:
		d.storeUntil = maxTime(d.storeUntil, until)
		d.upset(until.Add(time.Second))
	case 14:
		if h.up && h.drainUntil.IsZero() && d.rng.IntN(2) == 0 {
			h.drainUntil = until
			d.upset(until)
		}
	case 15:
		for range 1 + d.rng.IntN(3) {
			d.cancel(d.specs[d.rng.IntN(len(d.specs))])
		}
		return
	}
	d.trace("disruption of %s for %s, calm since %s", h.id, span, d.calmSince.Sub(epoch0))
}

// cancel cancels a job, seldom one that lasts.
func (d *day) cancel(s *job.Spec) {
	if s.HasLongRunning() && d.rng.IntN(3) > 0 {
		return
	}
	d.cancels = append(d.cancels, s.ID)
	if !d.ownerless.After(d.now) {
		d.core.Cancel(d.now, s.ID)
	}
}

// play plays a day and returns what the judge found.
func (d *day) play() []string {
	j := newJudge(d)
	fill, short, n := 1.0, 1.0, 0
	fault := d.between(0, d.shape.faultEvery*2)
	quietFrom := d.shape.calmEvery
	for at := time.Duration(0); at < d.shape.length; at = d.now.Sub(epoch0) {
		s := at.Seconds()
		if d.ending != nil {
			d.ending.play(d, at)
		}
		if d.ending.keepsOut(at) {
			fill, short = max(fill, s+dayStep.Seconds()), max(short, s+dayStep.Seconds())
		}
		for ; s >= fill; fill += d.rng.ExpFloat64() / d.shape.fillersPerS {
			n++
			d.submitFiller(n)
		}
		for ; s >= short; short += d.rng.ExpFloat64() / d.shape.shortPerS {
			n++
			d.submitShort(n)
		}
		if d.shape.burstAt > 0 && !d.ending.keepsOut(at) && at >= d.shape.burstAt && at < d.shape.burstAt+dayStep {
			for range 5 + d.rng.IntN(15) {
				n++
				d.submitFiller(n)
			}
		}
		if at >= quietFrom {
			fault = max(fault, at+d.between(8*time.Second, 14*time.Second))
			quietFrom = fault + d.between(d.shape.calmEvery/2, d.shape.calmEvery*2)
		}
		for ; at >= fault; fault += d.between(0, d.shape.faultEvery*2) {
			d.disrupt()
		}
		d.step()
		j.look()
	}
	rest := dayEnd
	if d.ending != nil {
		d.ending.over(d)
		rest = calmEnd
	}
	// The end begins when the last disruption is over.
	for end := maxTime(d.calmSince, d.now).Add(rest); d.now.Before(end); {
		d.step()
		j.look()
		end = maxTime(end, d.calmSince.Add(standstillCalm+standstill))
	}
	return j.found
}

// judge applies the users' rule on what stands still to what really runs.
type judge struct {
	d *day
	// since is when a job or lasting task began to stand still.
	since map[string]time.Time
	told  map[string]bool
	found []string
	// use names what counts as in use: reserve, demand or load.
	use string
	// full judges lasting tasks however full the service is.
	full bool
}

// newJudge returns a judge of a day.
func newJudge(d *day) *judge {
	use := os.Getenv("STANDSTILL_USE")
	if use == "" {
		use = "reserve"
	}
	return &judge{d: d, since: map[string]time.Time{}, told: map[string]bool{}, use: use, full: os.Getenv("STANDSTILL_FULL") != ""}
}

// running returns the tasks that run on workers that are up, and the use of each worker.
func (j *judge) running() (map[job.TaskID]bool, map[*dayHost]resource.Vector, float64) {
	tasks, reserved, used, capacity := map[job.TaskID]bool{}, map[*dayHost]resource.Vector{}, 0.0, 0.0
	for _, h := range j.d.hosts {
		if !h.up {
			continue
		}
		capacity += float64(h.cap.MilliCPU)
		for _, r := range h.runs {
			tasks[r.Task] = true
			reserved[h] = reserved[h].Add(r.spec.Reserve())
			switch {
			case j.use == "reserve":
				used += float64(r.spec.Reserve().MilliCPU)
			case j.use == "demand":
				used += float64(r.spec.Demand.MilliCPU)
			case r.spec.LongRunning:
				used += j.d.load(r.Task.Job) * float64(r.spec.Demand.MilliCPU)
			default:
				used += 1000 * r.used
			}
		}
	}
	return tasks, reserved, used / max(1, capacity)
}

// room reports whether some worker that may run a step has capacity for a task twice over.
func (j *judge) room(s *step, reserved map[*dayHost]resource.Vector) bool {
	for _, h := range j.d.hosts {
		if !h.up || !h.drainUntil.IsZero() {
			continue
		}
		if s.occ.job.spec.Policy.Advice != nil && !j.d.allows(s.name(), h.id) {
			continue
		}
		same := 0
		for ref := range h.runs {
			if ref.Task.Job == s.occ.job.spec.ID && ref.Task.Step == s.index {
				same++
			}
		}
		if s.spec.AntiAffinity > 0 && same >= s.spec.AntiAffinity {
			continue
		}
		if s.spec.Demand.Add(s.spec.Demand).Fits(h.cap.Sub(reserved[h])) {
			return true
		}
	}
	return false
}

// look judges the present moment.
func (j *judge) look() {
	d := j.d
	if d.ownerless.After(d.now) {
		clear(j.since)
		return
	}
	tasks, reserved, share := j.running()
	standing := map[string]*task{}
	for _, spec := range d.specs {
		js := d.core.jobs[spec.ID]
		if js == nil {
			standing["unknown "+spec.ID] = nil
			continue
		}
		if js.state.Terminal() || slices.Contains(d.cancels, spec.ID) {
			continue
		}
		j.judgeJob(js, tasks, reserved, share, standing)
	}
	for name := range j.since {
		if _, ok := standing[name]; !ok {
			delete(j.since, name)
		}
	}
	for name, t := range standing {
		if j.since[name].IsZero() {
			j.since[name] = d.now
		}
		from := maxTime(j.since[name], d.calmSince.Add(standstillCalm))
		if d.now.Sub(from) >= standstill && !j.told[name] {
			j.told[name] = true
			j.found = append(j.found, fmt.Sprintf("seed %d at %s: %s stands still since %s, calm since %s, use %.2f; %s", d.seed, d.now.Sub(epoch0), name,
				j.since[name].Sub(epoch0), d.calmSince.Sub(epoch0), share, j.explain(t)))
		}
	}
}

// judgeJob adds what stands still of a job.
func (j *judge) judgeJob(js *jobState, tasks map[job.TaskID]bool, reserved map[*dayHost]resource.Vector, share float64, standing map[string]*task) {
	runs := 0
	var turn *task
	for _, o := range js.inOrder() {
		for _, s := range o.steps {
			for _, t := range s.tasks {
				if tasks[t.id] {
					runs++
					continue
				}
				if t.state != stateWaiting && !t.held() && t.state != stateDone {
					standing["dropped "+t.id.String()] = t
				}
				if t.state == stateDone && !j.d.done[t.id] && !s.spec.Gang {
					standing["done without an end "+t.id.String()] = t
				}
				if t.state == stateDone || !s.ready() || !j.room(s, reserved) {
					continue
				}
				if !s.spec.LongRunning && share < 0.5 {
					turn = t
				}
				if s.spec.LongRunning && (share < 0.5 || j.full) && j.d.now.Sub(j.d.lastEnd[t.id]) >= lastingAway {
					standing["lasting "+t.id.String()] = t
				}
			}
		}
	}
	if runs == 0 && turn != nil {
		standing["job "+js.spec.ID] = turn
	}
}

// explain says what the core holds against a task.
func (j *judge) explain(t *task) string {
	if t == nil {
		return ""
	}
	c, js, s := j.d.core, t.step.occ.job, t.step
	states := map[string]int{}
	var held []string
	for _, o := range s.tasks {
		states[string(o.state)]++
		if o.held() {
			w := c.workers[o.worker]
			attached := w != nil && w.attached
			held = append(held, fmt.Sprintf("%s r%d %s on %s attached=%t pinned=%t pace=%d", o.id, o.run, o.state, o.worker, attached, o.pinned, paceOf(w)))
		}
	}
	p := c.pool(s)
	var kept []string
	for _, w := range c.sortedWorkers {
		if w.isolated != nil {
			kept = append(kept, w.id+" for "+w.isolated.id.String())
		}
	}
	return fmt.Sprintf("task %s %s width %d demand %v filler=%t advice=%t late=%d held=%d states=%v unplaced=%s alone=%t crashes=%v pool %d workers free %d of %d busy=%t tickets=%d denied=%d pending=%t wanted=%d\n  waits: %s\n  held: %s\n  kept: %s",
		t.id, t.state, len(s.tasks), s.spec.Demand, s.spec.Filler, js.spec.Policy.Advice != nil, js.lateness, js.held, states, since(j.d.now, s.unplacedSince), t.startsAlone(), t.crashes, len(p.workers), p.free, p.capacity, p.busy(),
		len(s.tickets), len(s.denied), c.approvals.pending(s), len(c.approvals.wanted), c.waitReason(j.d.now, s), strings.Join(held, "; "), strings.Join(kept, "; "))
}

// paceOf returns the pace of a worker, which may be nil.
func paceOf(w *worker) int {
	if w == nil {
		return -1
	}
	return w.pace
}

// since returns the time since an instant; 0 for none.
func since(now, at time.Time) time.Duration {
	if at.IsZero() {
		return 0
	}
	return now.Sub(at)
}

// number returns a number from the environment.
func number(name string, otherwise uint64) uint64 {
	n, err := strconv.ParseUint(os.Getenv(name), 10, 64)
	if err != nil {
		return otherwise
	}
	return n
}

// dayFor returns the day of a seed, narrowed by STANDSTILL_WITHOUT, which lists what the day goes without ("advice",
// "deadly", "crashes"), with STANDSTILL_VANISH one on which workers lose ends, and with STANDSTILL_ENDS one with a calm end.
func dayFor(seed uint64) *day {
	d := newDay(seed)
	without := os.Getenv("STANDSTILL_WITHOUT")
	d.shape.vanish = os.Getenv("STANDSTILL_VANISH") != ""
	d.shape.noCrashes = strings.Contains(without, "crashes")
	if strings.Contains(without, "deadly") {
		d.shape.deadly = 0
		clear(d.deadly)
	}
	if strings.Contains(without, "advice") {
		d.shape.advice = 0
		for _, s := range d.specs {
			s.Policy.Advice = nil
		}
	}
	if os.Getenv("STANDSTILL_ENDS") != "" {
		d.endCalmly()
	}
	return d
}

// TestNothingStandsStill plays random days with disruptions and answers for the rule "when the system is calm, no job has
// nothing running while it could". STANDSTILL_SEED plays one seed again, with a trace; STANDSTILL_SEEDS=N plays N from
// STANDSTILL_FROM on.
func TestNothingStandsStill(t *testing.T) {
	if os.Getenv("STANDSTILL_SEED") != "" {
		d := dayFor(number("STANDSTILL_SEED", 0))
		d.trace = func(format string, args ...any) {
			t.Logf("%8.2f "+format, append([]any{d.now.Sub(epoch0).Seconds()}, args...)...)
		}
		t.Logf("%+v", d.shape)
		for _, f := range d.play() {
			t.Error(f)
		}
		return
	}
	seeds := defaultDays
	if n := number("STANDSTILL_SEEDS", 0); n > 0 {
		seeds = nil
		for i := range n {
			seeds = append(seeds, number("STANDSTILL_FROM", 0)+i)
		}
	}
	for _, seed := range seeds {
		for _, f := range dayFor(seed).play() {
			t.Error(f)
		}
	}
}
