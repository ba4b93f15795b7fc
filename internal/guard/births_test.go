package guard_test

import (
	"context"
	"errors"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/crocusspring/crocusspring/internal/guard"
	"github.com/crocusspring/crocusspring/internal/job"
	"github.com/crocusspring/crocusspring/internal/link"
	"github.com/crocusspring/crocusspring/internal/logs"
	"github.com/crocusspring/crocusspring/internal/standin/execstand"
)

const (
	firstBirth  = "w@1000"
	secondBirth = "w@2000"
	// runTime is how long each run takes.
	runTime = 300 * time.Millisecond
	// rebirthTime is how long a worker that has crashed takes to start again.
	rebirthTime = 2 * time.Second
)

// lateWorker is a worker on whose way calls can be held up.
type lateWorker struct {
	*execstand.Executor
	mu sync.Mutex
	// catchPoll and catchStart say which call is held up next.
	catchPoll  func(guard.Poll) bool
	catchStart func(guard.Command) bool
	// arrive carries out the call that is held up; nil while none is.
	arrive func() error
	// dropped has the runs whose ends the worker has dropped; see watchDrops.
	dropped []link.RunRef
}

// watchDrops records the ends that a birth drops since they were acknowledged.
func (w *lateWorker) watchDrops(birth string) {
	w.Observe(func(e execstand.End) {
		if !e.Acknowledged || e.Incarnation != birth {
			return
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		w.dropped = append(w.dropped, e.RunRef)
	})
}

// drops returns the runs whose ends were dropped.
func (w *lateWorker) drops() []link.RunRef {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.dropped)
}

// catch holds up the next poll that the catcher wants.
func (w *lateWorker) catch(poll func(guard.Poll) bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.catchPoll = poll
}

// catchAnyStart holds up the next start.
func (w *lateWorker) catchAnyStart() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.catchStart = func(guard.Command) bool { return true }
}

// held takes a call off the way if the catcher wants it; the caller gets no answer.
func (w *lateWorker) held(ctx context.Context, caught bool, carryOut func() error) bool {
	if !caught {
		return false
	}
	w.mu.Lock()
	w.catchPoll, w.catchStart, w.arrive = nil, nil, carryOut
	w.mu.Unlock()
	<-ctx.Done()
	return true
}

// Poll implements guard.Executor.
func (w *lateWorker) Poll(ctx context.Context, q guard.Poll) (guard.Listing, error) {
	w.mu.Lock()
	caught := w.catchPoll != nil && w.catchPoll(q)
	w.mu.Unlock()
	if w.held(ctx, caught, func() error {
		_, err := w.Executor.Poll(context.Background(), q)
		return err
	}) {
		return guard.Listing{}, ctx.Err()
	}
	return w.Executor.Poll(ctx, q)
}

// Start implements guard.Executor.
func (w *lateWorker) Start(ctx context.Context, o guard.Command) error {
	w.mu.Lock()
	caught := w.catchStart != nil && w.catchStart(o)
	w.mu.Unlock()
	if w.held(ctx, caught, func() error { return w.Executor.Start(context.Background(), o) }) {
		return ctx.Err()
	}
	return w.Executor.Start(ctx, o)
}

// birthScene is a worker and the guard beside it; the test is the owner.
type birthScene struct {
	t       *testing.T
	worker  *lateWorker
	guard   *guard.Guard
	began   time.Time
	endings context.CancelFunc
	ended   chan struct{}
}

// newBirthScene returns a scene with a worker in its first birth.
func newBirthScene(t *testing.T) *birthScene {
	return &birthScene{t: t, worker: &lateWorker{Executor: execstand.New(firstBirth, runTime)}, began: time.Now()}
}

// clock returns the guard's clock.
func (s *birthScene) clock() int64 { return 1000 + time.Since(s.began).Milliseconds() }

// startGuard starts a guard process, whose time of day is unix, in seconds, beside a birth of the worker.
func (s *birthScene) startGuard(unix int64, birth string) {
	s.t.Helper()
	opt := guard.Options{Node: "n", RunLease: 4 * time.Second, MaxLease: 6 * time.Second, StartedUnix: unix}
	s.guard = guard.New(opt, s.worker, nowhere{}, s.clock, tally.NoopScope, logs.Discard())
	s.announce(birth)
	var ctx context.Context
	ctx, s.endings = context.WithCancel(s.t.Context())
	s.ended = make(chan struct{})
	go func() {
		s.guard.Run(ctx)
		close(s.ended)
	}()
	s.pass(500*time.Millisecond, birth)
}

// stopGuard ends the guard process.
func (s *birthScene) stopGuard() {
	s.endings()
	<-s.ended
}

// announce has a birth of the worker announce itself.
func (s *birthScene) announce(birth string) {
	s.guard.Describe(link.Worker{ID: birth, Service: "pool"}, 1)
}

// order sends a message of the owner to a birth.
func (s *birthScene) order(birth string, d link.OwnerMessage) {
	s.t.Helper()
	d.Epoch, d.EchoMS, d.Worker = 1, s.clock(), birth
	if err := s.guard.Handle(d); err != nil {
		s.t.Fatal(err)
	}
}

// pass lets time pass while the owner renews the lease of a birth.
func (s *birthScene) pass(d time.Duration, birth string) {
	s.t.Helper()
	for end := time.Now().Add(d); time.Now().Before(end); {
		time.Sleep(100 * time.Millisecond)
		s.order(birth, link.OwnerMessage{})
	}
}

// reborn lets the worker crash and start again under its ID.
func (s *birthScene) reborn() {
	s.t.Helper()
	s.worker.Crash()
	s.pass(rebirthTime, firstBirth)
	s.worker.Reboot(secondBirth)
	s.announce(secondBirth)
	s.pass(time.Second, secondBirth)
}

// arrives carries out the call that was held up and returns its outcome.
func (s *birthScene) arrives() error {
	s.t.Helper()
	s.worker.mu.Lock()
	carryOut := s.worker.arrive
	s.worker.mu.Unlock()
	if carryOut == nil {
		s.t.Fatal("no call was held up")
	}
	return carryOut()
}

// nowhere locates no owner.
type nowhere struct{}

// OwnerAddr implements guard.OwnerLocator.
func (nowhere) OwnerAddr() string { return "" }

// first returns the first run of a task.
func first(index int) link.Start {
	return link.Start{Traits: link.Traits{RunRef: link.RunRef{Task: job.TaskID{Job: "job", Index: index}, Run: 1}}}
}

// fenced reports whether a call was refused since the worker has seen a higher token.
func fenced(err error) bool {
	var refused *guard.RefusedError
	return errors.As(err, &refused) && refused.Reason == guard.ReasonFence
}

// TestLatePollInNextBirth guards against a poll that is held up and arrives after the worker has started again under its ID: its
// acknowledgement is of the earlier birth, and made the worker drop the ends of the next, so that tasks that had succeeded ran
// again.
func TestLatePollInNextBirth(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newBirthScene(t)
		s.startGuard(1000, firstBirth)
		s.order(firstBirth, link.OwnerMessage{Start: []link.Start{first(0)}})
		s.pass(2*runTime, firstBirth)
		s.worker.catch(func(q guard.Poll) bool { return q.AckedEnd > 0 })
		s.order(firstBirth, link.OwnerMessage{AckedEnd: 1})
		s.pass(time.Second, firstBirth)
		s.reborn()
		s.worker.watchDrops(secondBirth)
		s.order(secondBirth, link.OwnerMessage{Start: []link.Start{first(1)}})
		s.pass(runTime/3, secondBirth)
		err := s.arrives()
		s.pass(2*runTime, secondBirth)
		if dropped := s.worker.drops(); len(dropped) > 0 || !fenced(err) {
			t.Errorf("outcome of the late poll %v, the worker has dropped the ends of %v, which the owner hasn't seen", err, dropped)
		}
		s.order(secondBirth, link.OwnerMessage{AckedEnd: 1})
		s.pass(time.Second, secondBirth)
		if dropped := s.worker.drops(); len(dropped) != 1 {
			t.Errorf("dropped the ends of %v, want that of the run that the owner has acknowledged", dropped)
		}
		s.stopGuard()
	})
}

// TestLateStartAfterGuardRestart guards against a start that is held up and runs in the next birth of its worker, while the owner
// has started its task elsewhere. The guard that sent it has been replaced, so that nobody beside the worker knows of it.
func TestLateStartAfterGuardRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newBirthScene(t)
		s.startGuard(1000, firstBirth)
		s.worker.catchAnyStart()
		s.order(firstBirth, link.OwnerMessage{Start: []link.Start{first(0)}})
		s.pass(time.Second, firstBirth)
		s.stopGuard()
		s.worker.Crash()
		time.Sleep(rebirthTime)
		s.worker.Reboot(secondBirth)
		s.startGuard(1004, secondBirth)
		s.pass(time.Second, secondBirth)
		if err := s.arrives(); !fenced(err) || len(s.worker.Running()) > 0 {
			t.Errorf("outcome of the late start %v, running %v; want that it is refused", err, s.worker.Running())
		}
		s.order(secondBirth, link.OwnerMessage{Start: []link.Start{first(1)}})
		s.pass(runTime/3, secondBirth)
		if n := len(s.worker.Running()); n != 1 {
			t.Errorf("%d runs, want the one that the new guard has started", n)
		}
		s.stopGuard()
	})
}

// TestLateStartLongAfterItsStop guards against a start that was settled by a stop and is carried out by the next birth, longer
// after it was sent than the guard remembers starts.
func TestLateStartLongAfterItsStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newBirthScene(t)
		s.startGuard(1000, firstBirth)
		s.worker.catchAnyStart()
		s.order(firstBirth, link.OwnerMessage{Start: []link.Start{first(0)}})
		s.pass(35*time.Second, firstBirth)
		s.reborn()
		if err := s.arrives(); !fenced(err) || len(s.worker.Running()) > 0 {
			t.Errorf("outcome of the late start %v, running %v; want that it is refused", err, s.worker.Running())
		}
		s.stopGuard()
	})
}

// TestGuardWithEarlierClock guards against a worker that is locked out for good: the guard beside it has started again under a
// clock that was set back, so that all its tokens are lower than those of the guard before. The worker must take its calls within
// seconds.
func TestGuardWithEarlierClock(t *testing.T) {
	for _, unix := range []int64{999, 400, 0, 1000 - 86400*365} {
		synctest.Test(t, func(t *testing.T) {
			s := newBirthScene(t)
			s.startGuard(1000, firstBirth)
			s.stopGuard()
			s.startGuard(unix, firstBirth)
			s.pass(3*time.Second, firstBirth)
			s.order(firstBirth, link.OwnerMessage{Start: []link.Start{first(1)}})
			s.pass(runTime/3, firstBirth)
			if n := len(s.worker.Running()); n != 1 {
				t.Errorf("%d runs with a guard that started at %d after one of 1000, want one", n, unix)
			}
			s.stopGuard()
		})
	}
}
