package sched

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// calmEnd is how long a day with a calm end goes on without new jobs.
const calmEnd = 20 * time.Second

// endingDays are the seeds of the days with a calm end that are played without a setting.
var endingDays = []uint64{1, 2, 3}

// ending is the last part of the traffic of a day with a calm end: most workers spoil what they start, wide jobs still come, and
// then the traffic and all troubles end at the same moment. It draws from a stream of its own, so that the rest of the day is drawn
// as without it.
type ending struct {
	rng *rand.Rand
	// from and length are when it begins and how long it lasts.
	from, length time.Duration
	// kinds are what is wrong with each node's worker while it lasts.
	kinds map[string]grey
	// crashEvery is the mean time between two crashes, jobEvery the one between two wide jobs.
	crashEvery, jobEvery time.Duration
	nextCrash, nextJob   time.Duration
	// lastJob is when the last job comes.
	lastJob time.Duration
	// alone says that no other jobs come while it lasts. All but the latest jobs that are left are cancelled at cancelAt, so that
	// few tasks are left at the end; keep is how many aren't.
	alone    bool
	cancelAt time.Duration
	keep     int
	// attempts is the most that a task has, and crashSeen the share of the crashes that guards see.
	attempts  int
	crashSeen float64
	jobs      int
}

// endCalmly gives a day a calm end.
func (d *day) endCalmly() {
	r := rand.New(rand.NewPCG(d.seed, 1))
	e := &ending{
		rng: r, length: time.Duration(2000+r.IntN(18_000)) * time.Millisecond, kinds: map[string]grey{}, attempts: []int{2, 2, 3, 4}[r.IntN(4)],
		crashSeen: r.Float64(), crashEvery: []time.Duration{time.Second, 3 * time.Second, time.Hour, time.Hour}[r.IntN(4)], jobEvery: time.Duration(300+r.IntN(3000)) * time.Millisecond,
		alone: r.IntN(3) > 0,
	}
	e.lastJob = d.shape.length
	if r.IntN(2) == 0 {
		e.lastJob -= e.wait(3 * time.Second)
	}
	e.from = max(0, d.shape.length-e.length)
	e.nextJob, e.nextCrash = e.from+e.wait(e.jobEvery), e.from+e.wait(e.crashEvery)
	share := []float64{0.6, 0.9, 1, 1}[r.IntN(4)]
	kind, mixed := e.drawKind(), r.IntN(3) == 0
	for _, h := range d.hosts {
		if mixed {
			kind = e.drawKind()
		}
		if r.Float64() < share {
			e.kinds[h.node] = kind
		}
	}
	e.cancelAt, e.keep = max(e.from, d.shape.length-e.wait(6*time.Second)), 1+r.IntN(4)
	d.ending = e
}

// wait returns a random time with a mean.
func (e *ending) wait(mean time.Duration) time.Duration {
	return time.Duration(e.rng.Int64N(int64(2 * mean)))
}

// drawAttempts returns how many attempts the tasks of a new job have.
func (e *ending) drawAttempts() int { return 2 + e.rng.IntN(e.attempts-1) }

// drawKind returns what is wrong with a worker.
func (e *ending) drawKind() grey {
	if e.rng.IntN(2) == 0 {
		return failing
	}
	return grey(1 + e.rng.IntN(int(numGreys)-1))
}

// play makes the trouble of a step of the day.
func (e *ending) play(d *day, at time.Duration) {
	if at < e.from {
		return
	}
	for _, h := range d.hosts {
		if kind := e.kinds[h.node]; kind != sound {
			h.grey, h.greyUntil = kind, epoch0.Add(d.shape.length)
		}
	}
	d.upset(d.now)
	for ; at >= e.nextJob && at < e.lastJob; e.nextJob += e.wait(e.jobEvery) {
		e.submit(d)
	}
	if e.alone && at >= e.cancelAt && !d.ownerless.After(d.now) {
		e.cancel(d)
		e.cancelAt = d.shape.length + 1
	}
	for ; at >= e.nextCrash; e.nextCrash += e.wait(e.crashEvery) {
		if h := d.hosts[e.rng.IntN(len(d.hosts))]; h.up && !d.shape.noCrashes {
			d.crashHost(h, e.rng.Float64() < e.crashSeen, 300*time.Millisecond+e.wait(2*time.Second))
		}
	}
}

// submit submits a job, wide or of a few tasks.
func (e *ending) submit(d *day) {
	e.jobs++
	width := d.shape.width
	switch e.rng.IntN(3) {
	case 0:
		d.submitShort(9000 + e.jobs)
	case 1:
		d.shape.width = 1
		fallthrough
	default:
		d.submitFiller(9000 + e.jobs)
	}
	d.shape.width = width
}

// cancel cancels the jobs that don't last, but the latest ones.
func (e *ending) cancel(d *day) {
	keep := e.keep
	for _, s := range slices.Backward(d.specs) {
		js := d.core.jobs[s.ID]
		if s.HasLongRunning() || js != nil && js.state.Terminal() || slices.Contains(d.cancels, s.ID) {
			continue
		}
		if keep--; keep < 0 {
			d.cancels = append(d.cancels, s.ID)
			d.core.Cancel(d.now, s.ID)
		}
	}
}

// keepsOut reports whether other jobs don't come.
func (e *ending) keepsOut(at time.Duration) bool {
	return e != nil && (e.alone && at >= e.from || at >= e.lastJob)
}

// over ends all troubles, or as soon as a takeover in progress is over.
func (e *ending) over(d *day) {
	at := maxTime(d.now, d.ownerless.Add(time.Second))
	calm := at
	if d.silentUntil.After(epoch0) {
		calm = maxTime(calm, earlier(d.silentUntil, d.now).Add(6*time.Second))
	}
	clear(d.deadly)
	for _, end := range []*time.Time{&d.lossUntil, &d.silentUntil, &d.storeUntil} {
		*end = earlier(*end, at)
	}
	for _, h := range d.hosts {
		for _, end := range []*time.Time{&h.cutUntil, &h.muteUntil, &h.shrunk, &h.greyUntil} {
			*end = earlier(*end, at)
		}
		if h.up && !h.drainUntil.IsZero() {
			d.leave(h)
		}
		if !h.up {
			h.back = earlier(h.back, at)
		}
	}
	d.calmSince = calm
	d.trace("all troubles end")
}

// earlier returns the earlier of two times.
func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// TestNothingStandsStillAtACalmEnd plays days whose troubles end with the traffic. What only other work ends is never ended there.
// STANDSTILL_ENDS gives the days of TestNothingStandsStill such an end.
func TestNothingStandsStillAtACalmEnd(t *testing.T) {
	for _, seed := range endingDays {
		d := newDay(seed)
		d.endCalmly()
		for _, f := range d.play() {
			t.Error(f)
		}
	}
}
