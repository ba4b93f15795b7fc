// Package execstand is a small stand-in for a worker's executor: it starts runs on command, enforces a
// lease on them, and lists ended runs until their ends are acknowledged.
package execstand

import (
	"context"
	"errors"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/crocusspring/crocusspring/internal/guard"
	"github.com/crocusspring/crocusspring/internal/job"
	"github.com/crocusspring/crocusspring/internal/link"
)

// Executor is one worker and its incarnations. Use New to make one.
type Executor struct {
	// RunTime is how long a run takes.
	RunTime time.Duration

	mu          sync.Mutex
	incarnation string
	began       time.Time
	token       int64
	leaseEnd    time.Time
	running     map[link.RunRef]*run
	ended       []link.RunEnd
	endedAt     map[int64]time.Time
	lastEnd     int64
	// acked is the highest number up to which ends were acknowledged; ends up to it are dropped as they come.
	acked int64
	// down says that the executor has crashed and answers nothing; reboots counts its starts.
	down    bool
	reboots int
	fence   map[job.TaskID]int
	changed chan struct{}
	starts  []link.RunRef
	// expiredAt is when a renewal last found that the lease had expired.
	expiredAt time.Time
	// observer is called with ends; see Observe.
	observer func(End)
}

// End is the end of a run as an observer sees it.
type End struct {
	link.RunEnd
	Incarnation string
	At          time.Time
	// Acknowledged says that the end was acknowledged; Expired that the lease expired between the end and its acknowledgement.
	Acknowledged, Expired bool
}

// Observe sets the function called with each end, and again when it is acknowledged; it is called under a lock.
func (e *Executor) Observe(f func(End)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.observer = f
}

// notify calls the observer. The caller holds the lock.
func (e *Executor) notify(end End) {
	if e.observer != nil {
		e.observer(end)
	}
}

// Listed reports whether the current incarnation has answered a call.
func (e *Executor) Listed() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.token > 0
}

// Running returns what runs now.
func (e *Executor) Running() []link.RunRef {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.advance()
	return e.sorted()
}

// run is one run in progress.
type run struct{ since time.Time }

// New returns an executor in its first incarnation.
func New(incarnation string, runTime time.Duration) *Executor {
	e := &Executor{RunTime: runTime, changed: make(chan struct{})}
	e.Reboot(incarnation)
	return e
}

// errDown means that the executor has crashed: its calls in progress are broken off, and new ones aren't answered.
var errDown = errors.New("executor is down")

// Crash ends the current incarnation; no call is answered until the next Reboot.
func (e *Executor) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.down, e.running = true, map[link.RunRef]*run{}
	e.reboots++
	e.signal()
}

// Reboot ends the current incarnation and begins another one without any state.
func (e *Executor) Reboot(incarnation string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.incarnation, e.began, e.token, e.leaseEnd = incarnation, time.Now(), 0, time.Time{}
	e.running, e.fence = map[link.RunRef]*run{}, map[job.TaskID]int{}
	e.ended, e.endedAt, e.lastEnd, e.acked = nil, map[int64]time.Time{}, 0, 0
	e.down = false
	e.reboots++
	e.signal()
}

// Starts returns all runs that were ever started, in order.
func (e *Executor) Starts() []link.RunRef {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.starts)
}

// signal wakes waiting polls. The caller holds the lock.
func (e *Executor) signal() {
	close(e.changed)
	e.changed = make(chan struct{})
}

// clock returns the executor's own clock in milliseconds, from 1 on. The caller holds the lock.
func (e *Executor) clock() int64 { return time.Since(e.began).Milliseconds() + 1 }

// check refuses calls for a worker of another ID or with an older fencing token; a call for an earlier incarnation of
// the same ID is accepted, as a platform's executors do. The caller holds the lock.
func (e *Executor) check(incarnation string, token int64) error {
	if e.down {
		return errDown
	}
	if incarnation != "" && link.ParseIncarnation(incarnation).ID != link.ParseIncarnation(e.incarnation).ID {
		return guard.ErrOtherIncarnation
	}
	if token < e.token {
		return &guard.RefusedError{Reason: guard.ReasonFence}
	}
	e.token = token
	return nil
}

// renew extends the lease to a time on the executor's clock. The caller holds the lock.
func (e *Executor) renew(untilMS int64) {
	end := e.began.Add(time.Duration(untilMS) * time.Millisecond)
	if now := time.Now(); !e.leaseEnd.IsZero() && now.After(e.leaseEnd) {
		e.expiredAt = now
	}
	if untilMS > 0 && end.After(e.leaseEnd) {
		e.leaseEnd = end
	}
}

// advance ends runs that are done, and all runs once the lease has expired. The caller holds the lock.
func (e *Executor) advance() {
	now := time.Now()
	for _, ref := range e.sorted() {
		r := e.running[ref]
		switch {
		case now.After(e.leaseEnd):
			e.end(ref, link.Expired)
		case now.Sub(r.since) >= e.RunTime:
			e.end(ref, link.Done)
		}
	}
}

// sorted returns the runs in progress, sorted by task. The caller holds the lock.
func (e *Executor) sorted() []link.RunRef {
	var out []link.RunRef
	for ref := range e.running {
		out = append(out, ref)
	}
	slices.SortFunc(out, func(a, b link.RunRef) int { return strings.Compare(a.Task.String(), b.Task.String()) })
	return out
}

// end ends a run with an outcome. The caller holds the lock.
func (e *Executor) end(ref link.RunRef, o link.Outcome) {
	delete(e.running, ref)
	e.lastEnd++
	e.fence[ref.Task] = max(e.fence[ref.Task], ref.Run)
	end := link.RunEnd{Number: e.lastEnd, RunRef: ref, Outcome: o}
	e.ended = append(e.ended, end)
	e.endedAt[e.lastEnd] = time.Now()
	e.notify(End{RunEnd: end, Incarnation: e.incarnation, At: e.endedAt[e.lastEnd]})
	e.acknowledge(e.acked)
	e.signal()
}

// acknowledge drops the ends up to a number. The caller holds the lock.
func (e *Executor) acknowledge(ackedEnd int64) {
	e.acked = max(e.acked, ackedEnd)
	e.ended = slices.DeleteFunc(e.ended, func(end link.RunEnd) bool {
		if end.Number > ackedEnd {
			return false
		}
		at := e.endedAt[end.Number]
		delete(e.endedAt, end.Number)
		e.notify(End{RunEnd: end, Incarnation: e.incarnation, At: at, Acknowledged: true, Expired: e.expiredAt.After(at)})
		return true
	})
}

// Poll implements guard.Executor.
func (e *Executor) Poll(ctx context.Context, q guard.Poll) (guard.Listing, error) {
	deadline := time.Now().Add(q.Wait)
	e.mu.Lock()
	reboots := e.reboots
	e.mu.Unlock()
	for {
		l, changed, err := e.poll(q, reboots)
		if err != nil || len(l.Ended) > 0 || !time.Now().Before(deadline) {
			return l, err
		}
		const recheckInterval = 5 * time.Millisecond
		select {
		case <-changed:
		case <-time.After(recheckInterval):
		case <-ctx.Done():
			return l, ctx.Err()
		}
	}
}

// poll returns the current listing at once; the channel is closed at the next change. A call that began before the latest
// reboot is broken off.
func (e *Executor) poll(q guard.Poll, reboots int) (guard.Listing, <-chan struct{}, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.reboots != reboots {
		return guard.Listing{}, e.changed, errDown
	}
	if err := e.check(q.Incarnation, q.Token); err != nil {
		return guard.Listing{}, e.changed, err
	}
	e.advance()
	e.renew(q.UntilMS)
	e.acknowledge(q.AckedEnd)
	l := guard.Listing{Incarnation: e.incarnation, ClockMS: e.clock(), Ended: slices.Clone(e.ended)}
	for _, ref := range e.sorted() {
		done := time.Since(e.running[ref].since)
		l.Running = append(l.Running, link.RunStatus{RunRef: ref, Percent: float64(100 * done / max(1, e.RunTime))})
	}
	return l, e.changed, nil
}

// Start implements guard.Executor.
func (e *Executor) Start(_ context.Context, o guard.Command) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.check(o.Incarnation, o.Token); err != nil {
		return err
	}
	e.advance()
	e.renew(o.UntilMS)
	ref := o.Start.RunRef
	switch {
	case e.running[ref] != nil:
		return nil
	case ref.Run <= e.fence[ref.Task]:
		return &guard.RefusedError{Reason: "old"}
	case time.Now().After(e.leaseEnd):
		return &guard.RefusedError{Reason: "late"}
	}
	e.running[ref] = &run{since: time.Now()}
	e.starts = append(e.starts, ref)
	e.signal()
	return nil
}

// Stop implements guard.Executor.
func (e *Executor) Stop(_ context.Context, o guard.Command) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.check(o.Incarnation, o.Token); err != nil {
		return err
	}
	ref := o.Start.RunRef
	if e.running[ref] != nil {
		e.end(ref, link.Stopped)
	}
	e.fence[ref.Task] = max(e.fence[ref.Task], ref.Run)
	return nil
}

// Pace implements guard.Executor. The stand-in's work takes the same time at any pace.
func (e *Executor) Pace(_ context.Context, o guard.Command, _ int) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.check(o.Incarnation, o.Token)
}
