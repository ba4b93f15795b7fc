// Package execstand is a small stand-in of a worker's executor: it starts what it is told, keeps a lease
// on what runs, and lists what has ended until it may forget it.
package execstand

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/crocusspring/crocusspring/internal/guard"
	"github.com/crocusspring/crocusspring/internal/job"
	"github.com/crocusspring/crocusspring/internal/link"
)

// Executor is one worker with its lives. Use New to make one.
type Executor struct {
	// Work is how long a run takes.
	Work time.Duration

	mu          sync.Mutex
	incarnation string
	began       time.Time
	token       int64
	until       time.Time
	running     map[link.RunRef]*run
	ended       []link.RunEnd
	endedAt     map[int64]time.Time
	next        int64
	fence       map[job.TaskID]int
	changed     chan struct{}
	starts      []link.RunRef
	// lapsed is when a lease ended last that had not been renewed.
	lapsed time.Time
	// observe is told of ends; see Observe.
	observe func(End)
}

// End is the end of a run as an observer sees it.
type End struct {
	link.RunEnd
	Incarnation string
	At          time.Time
	// Acked says that the worker may forget the end now; Lapsed that its lease has lapsed in between.
	Acked, Lapsed bool
}

// Observe sets what is told of each end, and again when it is forgotten; it is called under a lock.
func (e *Executor) Observe(f func(End)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.observe = f
}

// tell tells the observer. The caller holds the lock.
func (e *Executor) tell(end End) {
	if e.observe != nil {
		e.observe(end)
	}
}

// Running returns what runs now.
func (e *Executor) Running() []link.RunRef {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.advance()
	return e.order()
}

// run is one run that is there.
type run struct{ since time.Time }

// New returns an executor in its first incarnation.
func New(incarnation string, work time.Duration) *Executor {
	e := &Executor{Work: work, changed: make(chan struct{})}
	e.Reboot(incarnation)
	return e
}

// Reboot ends the current incarnation and begins another one without any state.
func (e *Executor) Reboot(incarnation string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.incarnation, e.began, e.token, e.until = incarnation, time.Now(), 0, time.Time{}
	e.running, e.fence = map[link.RunRef]*run{}, map[job.TaskID]int{}
	e.ended, e.endedAt, e.next = nil, map[int64]time.Time{}, 0
	e.signal()
}

// Starts returns all runs that were ever started, in order.
func (e *Executor) Starts() []link.RunRef {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.starts)
}

// signal wakes looks that wait. The caller holds the lock.
func (e *Executor) signal() {
	close(e.changed)
	e.changed = make(chan struct{})
}

// clock returns the executor's own clock. The caller holds the lock.
func (e *Executor) clock() int64 { return time.Since(e.began).Milliseconds() + 1 }

// check refuses calls for another incarnation or from an owner that was replaced. The caller holds the lock.
func (e *Executor) check(incarnation string, token int64) error {
	if incarnation != "" && incarnation != e.incarnation {
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
	until := e.began.Add(time.Duration(untilMS) * time.Millisecond)
	if now := time.Now(); !e.until.IsZero() && now.After(e.until) {
		e.lapsed = now
	}
	if untilMS > 0 && until.After(e.until) {
		e.until = until
	}
}

// advance ends what is done, and everything once the lease has run out. The caller holds the lock.
func (e *Executor) advance() {
	now := time.Now()
	for _, ref := range e.order() {
		r := e.running[ref]
		switch {
		case now.After(e.until):
			e.end(ref, link.Expired)
		case now.Sub(r.since) >= e.Work:
			e.end(ref, link.Done)
		}
	}
}

// order returns what runs, by task. The caller holds the lock.
func (e *Executor) order() []link.RunRef {
	var out []link.RunRef
	for ref := range e.running {
		out = append(out, ref)
	}
	slices.SortFunc(out, func(a, b link.RunRef) int { return strings.Compare(a.Task.String(), b.Task.String()) })
	return out
}

// end ends a run. The caller holds the lock.
func (e *Executor) end(ref link.RunRef, o link.Outcome) {
	delete(e.running, ref)
	e.next++
	e.fence[ref.Task] = max(e.fence[ref.Task], ref.Run)
	end := link.RunEnd{Number: e.next, RunRef: ref, Outcome: o}
	e.ended = append(e.ended, end)
	e.endedAt[e.next] = time.Now()
	e.tell(End{RunEnd: end, Incarnation: e.incarnation, At: e.endedAt[e.next]})
	e.signal()
}

// forget drops the ends up to a number. The caller holds the lock.
func (e *Executor) forget(ackedEnd int64) {
	e.ended = slices.DeleteFunc(e.ended, func(end link.RunEnd) bool {
		if end.Number > ackedEnd {
			return false
		}
		at := e.endedAt[end.Number]
		delete(e.endedAt, end.Number)
		e.tell(End{RunEnd: end, Incarnation: e.incarnation, At: at, Acked: true, Lapsed: e.lapsed.After(at)})
		return true
	})
}

// Poll implements guard.Executor.
func (e *Executor) Poll(ctx context.Context, q guard.Poll) (guard.Listing, error) {
	deadline := time.Now().Add(q.Wait)
	for {
		l, changed, err := e.look(q)
		if err != nil || len(l.Ended) > 0 || !time.Now().Before(deadline) {
			return l, err
		}
		const grain = 5 * time.Millisecond
		select {
		case <-changed:
		case <-time.After(grain):
		case <-ctx.Done():
			return l, ctx.Err()
		}
	}
}

// look answers at once; the channel is closed when something changes.
func (e *Executor) look(q guard.Poll) (guard.Listing, <-chan struct{}, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.check(q.Incarnation, q.Token); err != nil {
		return guard.Listing{}, e.changed, err
	}
	e.advance()
	e.renew(q.UntilMS)
	e.forget(q.AckedEnd)
	l := guard.Listing{Incarnation: e.incarnation, ClockMS: e.clock(), Ended: slices.Clone(e.ended)}
	for _, ref := range e.order() {
		done := time.Since(e.running[ref].since)
		l.Running = append(l.Running, link.RunStatus{RunRef: ref, Percent: float64(100 * done / max(1, e.Work))})
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
	case time.Now().After(e.until):
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
