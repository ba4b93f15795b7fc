package guard

import (
	"errors"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/crocusspring/crocusspring/internal/job"
	"github.com/crocusspring/crocusspring/internal/link"
	"github.com/crocusspring/crocusspring/internal/logs"
	"github.com/crocusspring/crocusspring/internal/resource"
)

// newTestCore returns a core with a worker that has answered and a lease granted at time 1000.
func newTestCore(t *testing.T) *Core {
	t.Helper()
	c := NewCore(Options{Node: "n", RunLease: 4 * time.Second, MaxLease: 6 * time.Second})
	c.Describe(1000, worker("life-1"), 0)
	if !c.ExtendLease(link.OwnerMessage{Epoch: 1, EchoMS: 1000}) {
		t.Fatal("first owner is refused")
	}
	c.ObserveListing(1000, nil, Listing{Incarnation: "life-1", ClockMS: 50_000})
	return c
}

// worker returns the announcement of an incarnation.
func worker(id string) link.Worker {
	return link.Worker{ID: id, Service: "pool", Capacity: resource.Vector{MilliCPU: 16000, MemoryMB: 64000}}
}

// ref returns the reference of a run of a task.
func ref(index, run int) link.RunRef {
	return link.RunRef{Task: job.TaskID{Job: "job", Index: index}, Run: run}
}

// start returns the start of a run.
func start(index, run int) link.Start {
	return link.Start{Traits: link.Traits{RunRef: ref(index, run)}}
}

// TestLease checks that the lease of runs is exactly as long as the owner grants it, on the worker's clock,
// never longer than the longest lease, and not renewed for a worker that doesn't answer.
func TestLease(t *testing.T) {
	c := newTestCore(t)
	if got, want := c.LeaseEnd(1000), int64(54_000); got != want {
		t.Errorf("lease ends at %d, want %d", got, want)
	}
	if got := c.LeaseEnd(5000); got != 0 {
		t.Errorf("lease of %d without authority", got)
	}
	c.ExtendLease(link.OwnerMessage{Epoch: 1, EchoMS: 9000})
	if got, want := c.LeaseEnd(1000), int64(56_000); got != want {
		t.Errorf("lease ends at %d, want at most %d", got, want)
	}
	c.MarkUnresponsive()
	if got := c.LeaseEnd(1000); got != 0 {
		t.Errorf("lease of %d for a worker that doesn't answer", got)
	}
}

// TestReplacedOwner checks that messages of an owner that was replaced have no effect.
func TestReplacedOwner(t *testing.T) {
	c := newTestCore(t)
	if !c.ExtendLease(link.OwnerMessage{Epoch: 2, EchoMS: 1100}) {
		t.Error("newer owner is refused")
	}
	if c.ExtendLease(link.OwnerMessage{Epoch: 1, EchoMS: 9000}) {
		t.Error("older owner is accepted")
	}
	if c.deadline != 5100 {
		t.Errorf("an older owner moved the deadline to %d", c.deadline)
	}
}

// TestUnansweredStart checks that a start without an answer, whose run the next poll doesn't list, is resolved
// by a stop, and that the run is reported absent only after a poll that started after the stop was answered.
// An earlier poll may have been answered before the start took effect.
func TestUnansweredStart(t *testing.T) {
	c := newTestCore(t)
	if _, ok := c.BeginStart(1000, start(0, 1)); !ok {
		t.Fatal("start refused")
	}
	early := c.Resolvable()
	c.StartAnswered(ref(0, 1), errors.New("no answer"), false, "")
	c.ObserveListing(1050, early, Listing{Incarnation: "life-1", ClockMS: 50_050})
	if got := c.DueStops(); len(got) != 0 || !c.InDoubt() {
		t.Fatalf("stops %v after a poll that started before the start command timed out", got)
	}
	c.ObserveListing(1060, c.Resolvable(), Listing{Incarnation: "life-1", ClockMS: 50_060})
	if got := c.DueStops(); len(got) != 1 || got[0].Start.RunRef != ref(0, 1) {
		t.Fatalf("stops %v, want one of the run", got)
	}
	before := c.Resolvable()
	c.StopAnswered(ref(0, 1), nil)
	c.ObserveListing(1100, before, Listing{Incarnation: "life-1", ClockMS: 50_100})
	if up := c.Report(1100, nil, false); len(up.Ended) != 0 {
		t.Fatalf("reported %v after a poll that started before the stop was answered", up.Ended)
	}
	c.ObserveListing(1200, c.Resolvable(), Listing{Incarnation: "life-1", ClockMS: 50_200})
	up := c.Report(1200, nil, false)
	if len(up.Ended) != 1 || up.Ended[0].Outcome != link.Absent || up.Ended[0].RunRef != ref(0, 1) || !up.Ended[0].Unanswered {
		t.Errorf("reported %+v, want the run as absent, with an unanswered start", up.Ended)
	}
}

// TestAbsentRunsOfUnknownStarts guards against an absent run whose start is believed to be settled although a later birth may still carry
// it out: a guard can't know what the process before it has sent. A start that was refused, or never sent, is settled.
func TestAbsentRunsOfUnknownStarts(t *testing.T) {
	c := newTestCore(t)
	c.RequestStop(ref(0, 1))
	c.DueStops()
	c.StopAnswered(ref(0, 1), nil)
	c.BeginStart(1000, start(1, 1))
	c.StartAnswered(ref(1, 1), errors.New("late"), true, "late")
	c.info.Draining = true
	c.BeginStart(1000, start(2, 1))
	c.ObserveListing(1100, c.Resolvable(), Listing{Incarnation: "life-1", ClockMS: 50_100})
	got := map[int]bool{}
	for _, end := range c.Report(1100, nil, false).Ended {
		got[end.Task.Index] = end.Unanswered
	}
	if want := map[int]bool{0: true, 1: false, 2: false}; !maps.Equal(got, want) {
		t.Errorf("unanswered starts by task are %v, want %v", got, want)
	}
}

// TestLostAnswer checks that a run is not stopped when its start got no answer but the next poll lists it.
func TestLostAnswer(t *testing.T) {
	c := newTestCore(t)
	c.BeginStart(1000, start(0, 1))
	c.StartAnswered(ref(0, 1), errors.New("no answer"), false, "")
	running := []link.RunStatus{{RunRef: ref(0, 1), Percent: 3}}
	c.ObserveListing(1050, c.Resolvable(), Listing{Incarnation: "life-1", ClockMS: 50_050, Running: running})
	if got := c.DueStops(); len(got) != 0 || c.InDoubt() {
		t.Errorf("stops %v for a run that is listed, in doubt %v", got, c.InDoubt())
	}
}

// TestUnansweredStop checks that a stop command is repeated until it is answered.
func TestUnansweredStop(t *testing.T) {
	c := newTestCore(t)
	c.RequestStop(ref(0, 1))
	for range 3 {
		if got := c.DueStops(); len(got) != 1 {
			t.Fatalf("stops %v, want one", got)
		}
		if got := c.DueStops(); len(got) != 0 {
			t.Fatalf("stops %v while one is in progress", got)
		}
		c.StopAnswered(ref(0, 1), errors.New("no answer"))
	}
}

// TestDraining checks that a draining worker gets no new run, and that this is reported to the owner.
func TestDraining(t *testing.T) {
	c := newTestCore(t)
	w := worker("life-1")
	w.Draining = true
	c.Describe(1000, w, 0)
	if _, ok := c.BeginStart(1000, start(0, 1)); ok {
		t.Error("a run was started on a draining worker")
	}
	up := c.Report(1000, nil, false)
	if len(up.Ended) != 1 || up.Ended[0].Outcome != link.Absent {
		t.Errorf("reported %v, want the run as absent", up.Ended)
	}
	if up.Worker == nil || !up.Worker.Draining {
		t.Errorf("described as %v, want draining", up.Worker)
	}
}

// TestNewIncarnation checks that a new incarnation is accepted only when the old one no longer answers, and that the
// end of the old one is reported.
func TestNewIncarnation(t *testing.T) {
	c := newTestCore(t)
	c.BeginStart(1000, start(0, 1))
	c.Describe(1000, worker("life-2"), 0)
	if q, _ := c.NextPoll(1000, 0); q.Incarnation != "life-1" {
		t.Fatalf("polls %s, want the incarnation that answers", q.Incarnation)
	}
	c.IncarnationEnded("life-1")
	up := c.Report(1100, nil, false)
	if len(up.EndedIncarnations) != 1 || up.EndedIncarnations[0] != "life-1" {
		t.Errorf("ended incarnations %v, want life-1", up.EndedIncarnations)
	}
	if q, ok := c.NextPoll(1100, 0); !ok || q.Incarnation != "life-2" || q.UntilMS != 0 {
		t.Errorf("polls %+v, %v; want life-2 without a lease", q, ok)
	}
	c.ObserveListing(1200, c.Resolvable(), Listing{Incarnation: "life-2", ClockMS: 7})
	if len(c.runs) != 0 {
		t.Errorf("runs %v of the old incarnation are still known", c.runs)
	}
}

// TestCommandsForOldIncarnation checks that commands which the owner sent before it knew of a new incarnation of the
// worker have no effect on the new one: a start would run beside the run that replaces it, and run ends
// would be acknowledged that the owner has never seen.
func TestCommandsForOldIncarnation(t *testing.T) {
	c := newTestCore(t)
	c.IncarnationEnded("life-1")
	c.Describe(1000, worker("life-2"), 0)
	observe(c, 1200, Listing{Incarnation: "life-2", ClockMS: 7})
	d := link.OwnerMessage{Epoch: 1, EchoMS: 1300, Worker: "life-1", Start: []link.Start{start(0, 1)}, AckedEnd: 5}
	if !c.ExtendLease(d) {
		t.Fatal("owner is refused")
	}
	if c.Matches(d) {
		t.Error("a start for the old incarnation is accepted for the new one")
	}
	if q, _ := c.NextPoll(1300, 0); q.AckedEnd != 0 {
		t.Errorf("ends up to %d are acknowledged in the new incarnation", q.AckedEnd)
	}
	d.Worker = "life-2"
	observe(c, 1300, Listing{Incarnation: "life-2", ClockMS: 107, Ended: []link.RunEnd{{Number: 5, RunRef: ref(1, 1), Outcome: link.Done}}})
	c.ExtendLease(d)
	if q, _ := c.NextPoll(1300, 0); !c.Matches(d) || q.AckedEnd != 5 {
		t.Errorf("commands for the new incarnation are ignored, ends acknowledged up to %d", q.AckedEnd)
	}
}

// TestDelayedAnnouncement checks that a delayed announcement of an old incarnation has no effect.
func TestDelayedAnnouncement(t *testing.T) {
	c := newTestCore(t)
	c.Describe(1000, worker("life-0"), 0)
	c.ObserveListing(1100, nil, Listing{Incarnation: "life-1", ClockMS: 50_100})
	c.IncarnationEnded("life-0")
	if c.info.ID != "life-1" || c.successor != nil {
		t.Errorf("worker is %v, successor %v", c.info, c.successor)
	}
}

// TestPacer checks that fillers are slowed beside a serving task that stays over its target, after the time
// left to the owner to act, and regain their pace when the tail latency has fallen.
func TestPacer(t *testing.T) {
	p := newPacer()
	runs := map[link.RunRef]*run{
		ref(0, 1): {Traits: link.Traits{TailTargetMS: 100}, phase: listed, measurement: 150},
		ref(1, 1): {Traits: link.Traits{Filler: true}, phase: listed},
	}
	now := int64(10_000)
	for p.percent == fullPace && now < 20_000 {
		p.observe(now, runs)
		now += 100
	}
	if waited := now - 10_000; waited < slowdownDelayMS || waited > slowdownDelayMS+200 {
		t.Errorf("slowed after %d ms, want about %d", waited, slowdownDelayMS)
	}
	for range 30 {
		p.observe(now, runs)
		now += 100
	}
	if p.percent != 0 {
		t.Errorf("fillers at %v percent beside a task that stays over its target", p.percent)
	}
	runs[ref(0, 1)].measurement = 95
	for range 30 {
		p.observe(now, runs)
		now += 100
	}
	if p.percent != fullPace {
		t.Errorf("fillers at %v percent after the tail has fallen below its target", p.percent)
	}
}

// TestDrainedDataCentre checks that a guard that knows of a drain refuses the start of an owner that doesn't, and
// that the run is reported absent.
func TestDrainedDataCentre(t *testing.T) {
	c := newTestCore(t)
	c.opt.Drained = func(dataCentre string) bool { return dataCentre == c.info.DataCentre }
	if _, ok := c.BeginStart(1000, start(0, 1)); ok {
		t.Error("started in a drained data centre")
	}
	if up := c.Report(1000, nil, false); len(up.Ended) != 1 || up.Ended[0].Outcome != link.Absent {
		t.Errorf("reported %+v, want the run to be absent", up.Ended)
	}
}

// answer has an incarnation answer a poll that is sent now, and the next one if the answer raises the fencing token.
func answer(c *Core, nowMS int64, incarnation string, running ...link.RunStatus) {
	observe(c, nowMS, Listing{Incarnation: incarnation, ClockMS: nowMS, Running: running})
}

// observe has a worker answer a poll that is sent now, and the next one if the answer raises the fencing token.
func observe(c *Core, nowMS int64, l Listing) {
	for l.Token = -1; l.Token != c.Token(); {
		l.Token = c.Token()
		c.ObserveListing(nowMS, c.Resolvable(), l)
	}
}

// newRebornCore returns a core whose worker has started again under its ID while starts were confirmed (task 0),
// unanswered (task 1) and in progress (task 2).
func newRebornCore(t *testing.T) *Core {
	t.Helper()
	c := NewCore(Options{Node: "n", RunLease: 4 * time.Second, MaxLease: 6 * time.Second})
	c.Describe(1000, worker("w@10"), 1)
	c.ExtendLease(link.OwnerMessage{Epoch: 1, EchoMS: 1000, Worker: "w@10", AckedEnd: 57})
	answer(c, 1000, "w@10")
	for i := range 3 {
		if _, ok := c.BeginStart(1000, start(i, 1)); !ok {
			t.Fatal("start refused")
		}
	}
	c.StartAnswered(ref(0, 1), nil, false, "")
	answer(c, 1010, "w@10", link.RunStatus{RunRef: ref(0, 1)})
	c.StartAnswered(ref(1, 1), errors.New("no answer"), false, "")
	return c
}

// TestReborn guards against a start that was meant for one start of a worker and runs in the next one, of the same ID,
// while the owner starts its task elsewhere. The end of the earlier incarnation must be reported only once every run
// that may have moved on is known not to run.
func TestReborn(t *testing.T) {
	c := newRebornCore(t)
	answer(c, 1100, "w@20")
	if up := c.Report(1100, nil, false); len(up.EndedIncarnations) != 0 || !c.Settling() {
		t.Fatalf("reported the end of %v while starts are unsettled", up.EndedIncarnations)
	}
	if got := c.DueStops(); len(got) != 1 || got[0].Start.RunRef != ref(1, 1) || got[0].Incarnation != "w@20" {
		t.Fatalf("stops %+v, want one of the unanswered start in the new incarnation", got)
	}
	c.StopAnswered(ref(1, 1), nil)
	c.StartAnswered(ref(2, 1), nil, false, "")
	if got := c.DueStops(); len(got) != 1 || got[0].Start.RunRef != ref(2, 1) {
		t.Fatalf("stops %+v, want one of the start that the new incarnation carried out", got)
	}
	c.StopAnswered(ref(2, 1), nil)
	answer(c, 1200, "w@20")
	up := c.Report(1200, nil, false)
	if c.Settling() || len(up.EndedIncarnations) != 1 || up.EndedIncarnations[0] != "w@10" {
		t.Errorf("reported the end of %v after all starts are settled, want w@10", up.EndedIncarnations)
	}
	if q, _ := c.NextPoll(1200, 0); q.AckedEnd != 0 {
		t.Errorf("ends up to %d of the earlier incarnation are acknowledged to the new one", q.AckedEnd)
	}
}

// TestRebornLists checks that a run which the new incarnation lists, although it was confirmed for the earlier one, is
// stopped before the end of the earlier one is reported.
func TestRebornLists(t *testing.T) {
	c := newRebornCore(t)
	c.StartAnswered(ref(1, 1), nil, true, "late")
	c.StartAnswered(ref(2, 1), nil, true, "late")
	answer(c, 1100, "w@20", link.RunStatus{RunRef: ref(0, 1)})
	if got := c.DueStops(); len(got) != 1 || got[0].Start.RunRef != ref(0, 1) || !c.Settling() {
		t.Fatalf("stops %+v, settling %v; want a stop of the listed run", got, c.Settling())
	}
	c.StopAnswered(ref(0, 1), nil)
	observe(c, 1200, Listing{
		Incarnation: "w@20", ClockMS: 9, Ended: []link.RunEnd{{Number: 1, RunRef: ref(0, 1), Outcome: link.Stopped}},
	})
	if c.Settling() {
		t.Error("unsettled after the run has ended")
	}
}

// TestDelayedMessagesOfEarlierBirth checks that announcements and answers of an earlier start of the same ID have no
// effect, that a delayed announcement of the current one has none, and that the new one's announcement alone describes
// it, since it may be of another kind.
func TestDelayedMessagesOfEarlierBirth(t *testing.T) {
	c := newRebornCore(t)
	delayed := Listing{Incarnation: "w@10", ClockMS: 1090, Token: c.Token(), Running: []link.RunStatus{{RunRef: ref(0, 1)}}}
	answer(c, 1100, "w@20")
	if c.Described() {
		t.Fatal("described by the announcement of the earlier incarnation")
	}
	c.Describe(1000, worker("w@10"), 2)
	c.ObserveListing(1150, c.Resolvable(), delayed)
	if q, _ := c.NextPoll(1150, 0); q.Token != c.births.least || c.births.open {
		t.Errorf("poll %+v after a delayed answer, want the token that the next birth has answered to", q)
	}
	if c.incarnation != "w@20" || c.successor != nil || c.Described() {
		t.Fatalf("incarnation %s, successor %v after delayed messages", c.incarnation, c.successor)
	}
	draining := worker("w@20")
	draining.Draining = true
	c.Describe(1000, draining, 4)
	c.Describe(1000, worker("w@20"), 3)
	if !c.Described() || !c.Draining() {
		t.Error("a delayed announcement has ended the drain of the worker")
	}
}

// crashedCore returns a core whose worker has crashed at 3000 and was reborn: run 0 had been confirmed for two seconds,
// run 1 had just been confirmed, run 2 was sent and not answered, and run 3 was ordered after the crash.
func crashedCore(t *testing.T, draining bool) *Core {
	t.Helper()
	c := NewCore(Options{Node: "n", RunLease: 4 * time.Second, MaxLease: 6 * time.Second})
	w := worker("w@10")
	c.Describe(1000, w, 1)
	c.ExtendLease(link.OwnerMessage{Epoch: 1, EchoMS: 3000, Worker: "w@10"})
	answer(c, 1000, "w@10")
	begin := func(nowMS int64, i int) {
		if _, ok := c.BeginStart(nowMS, start(i, 1)); !ok {
			t.Fatalf("start %d refused", i)
		}
	}
	begin(1000, 0)
	c.StartAnswered(ref(0, 1), nil, false, "")
	begin(2990, 1)
	c.StartAnswered(ref(1, 1), nil, false, "")
	begin(2995, 2)
	if draining {
		w.Draining = true
		c.Describe(1000, w, 2)
	}
	c.PollFailed(3000)
	if _, ok := c.BeginStart(3050, start(3, 1)); ok {
		t.Fatal("started on a worker that doesn't answer")
	}
	c.PollFailed(3150)
	c.StartAnswered(ref(2, 1), errors.New("no answer"), false, "")
	answer(c, 6000, "w@20")
	for _, stop := range c.DueStops() {
		c.StopAnswered(stop.Start.RunRef, nil)
	}
	answer(c, 6010, "w@20")
	return c
}

// TestCrashReport guards against a crash that isn't told from another end of a worker, or is attributed to a run that
// wasn't there: the guard knows which runs were confirmed and when their starts were sent. It reports the crash again
// on each new link, since an owner that is replaced may not have stored it.
func TestCrashReport(t *testing.T) {
	c := crashedCore(t, false)
	want := []link.CrashedRun{
		{RunRef: ref(0, 1), AgeMS: 2000},
		{RunRef: ref(1, 1), AgeMS: 10},
		{RunRef: ref(2, 1), AgeMS: 5, Unsure: true},
	}
	for range 2 {
		up := c.Heartbeat(6020)
		if len(up.Crashed) != 1 || up.Crashed[0].Worker != "w@10" || !slices.Equal(up.Crashed[0].Runs, want) {
			t.Fatalf("crashes %+v, want one of w@10 with %+v", up.Crashed, want)
		}
		if up = c.Heartbeat(6030); len(up.Crashed) != 0 || len(up.EndedIncarnations) != 0 {
			t.Fatalf("crashes %+v reported twice on a link", up.Crashed)
		}
		c.Linked()
	}
}

// TestEndOfDrainedWorker guards against counting the end of a worker that had announced that it would leave as a crash
// under its runs.
func TestEndOfDrainedWorker(t *testing.T) {
	up := crashedCore(t, true).Heartbeat(6020)
	if len(up.EndedIncarnations) != 1 || len(up.Crashed) != 0 {
		t.Errorf("ended %v, crashed %+v; want an end that is no crash", up.EndedIncarnations, up.Crashed)
	}
}

// TestVanishedRun checks that a run which a worker lists no longer is noted if no listing has shown its end.
func TestVanishedRun(t *testing.T) {
	c := newRebornCore(t)
	c.ObserveListing(1100, c.Resolvable(), Listing{Incarnation: "w@10", ClockMS: 1100})
	if got := c.TakeVanished(); len(got) != 1 || got[0] != ref(0, 1) {
		t.Errorf("vanished %v, want the run that was listed", got)
	}
	if got := c.TakeVanished(); len(got) != 0 {
		t.Errorf("vanished %v again", got)
	}
}

// TestPollAfterSilence guards against a poll that is valid for one incarnation and answered by the next, of the same ID,
// before that has announced itself: it would acknowledge ends that nobody has seen, and set a lease by another clock.
// After a poll without an answer nothing is acknowledged or renewed until the same incarnation has answered.
func TestPollAfterSilence(t *testing.T) {
	c := newRebornCore(t)
	listing := Listing{
		Incarnation: "w@10", ClockMS: 1012, Running: []link.RunStatus{{RunRef: ref(0, 1)}},
		Ended: []link.RunEnd{{Number: 57, RunRef: ref(4, 1), Outcome: link.Done}},
	}
	c.ObserveListing(1012, c.Resolvable(), listing)
	c.ExtendLease(link.OwnerMessage{Epoch: 1, EchoMS: 1015, Worker: "w@10", AckedEnd: 57})
	if q, _ := c.NextPoll(1020, 0); q.AckedEnd != 57 || q.UntilMS == 0 {
		t.Fatalf("poll %+v, want the acknowledgement and the lease", q)
	}
	c.PollFailed(1030)
	if q, _ := c.NextPoll(1040, 0); q.AckedEnd != 0 || q.UntilMS != 0 {
		t.Errorf("poll %+v after a failed one, want no acknowledgement and no lease", q)
	}
	c.ObserveListing(1050, c.Resolvable(), listing)
	if q, _ := c.NextPoll(1060, 0); q.AckedEnd != 57 || q.UntilMS == 0 {
		t.Errorf("poll %+v after the same incarnation has answered, want the acknowledgement and the lease", q)
	}
	listing.Ended = nil
	c.ObserveListing(1070, c.Resolvable(), listing)
	if q, _ := c.NextPoll(1080, 0); q.AckedEnd != 0 {
		t.Errorf("poll %+v acknowledges ends that aren't listed any more", q)
	}
}

// TestInventoryOfEarlierIncarnation guards against a worker that stays unknown to the owner: a listing of an earlier
// incarnation, not yet reported when the next one answers, counted as the inventory that was due, and was then left out of
// the message.
func TestInventoryOfEarlierIncarnation(t *testing.T) {
	g := New(Options{Node: "n", RunLease: 4 * time.Second, MaxLease: 6 * time.Second}, nil, nil, func() int64 { return 1200 }, tally.NoopScope, logs.Discard())
	g.core = newRebornCore(t)
	g.listing, g.listingUnderEpoch = &Listing{Incarnation: "w@10", ClockMS: 1010}, true
	g.core.StartAnswered(ref(1, 1), nil, true, "late")
	g.core.StartAnswered(ref(2, 1), nil, true, "late")
	answer(g.core, 1100, "w@20")
	g.core.Describe(1000, worker("w@20"), 1)
	complete, last := false, reportState{}
	if up, _ := g.nextReport(&complete, &last); up.Inventory || up.Worker != nil {
		t.Fatalf("message %+v, want none about the worker before it is listed", up)
	}
	g.listing = &Listing{Incarnation: "w@20", ClockMS: 30}
	if up, _ := g.nextReport(&complete, &last); !up.Inventory || up.Worker == nil || up.Worker.ID != "w@20" {
		t.Errorf("message %+v, want the inventory of the incarnation that answers", up)
	}
}

// TestFollowsHighestEpoch checks what owners hear of whom a guard follows: messages of an owner that was replaced confirm nothing,
// and late ones take nothing back. A successor counts on that.
func TestFollowsHighestEpoch(t *testing.T) {
	c := NewCore(Options{Node: "n", RunLease: 4 * time.Second})
	for _, tt := range []struct {
		epoch, clockMS int64
		want           link.Following
	}{
		{3, 500, link.Following{Epoch: 3, SinceMS: 500, HeardMS: 500}},
		{3, 800, link.Following{Epoch: 3, SinceMS: 500, HeardMS: 800}},
		{3, 700, link.Following{Epoch: 3, SinceMS: 500, HeardMS: 800}},
		{7, 20, link.Following{Epoch: 7, SinceMS: 20, HeardMS: 20}},
		{3, 900, link.Following{Epoch: 7, SinceMS: 20, HeardMS: 20}},
	} {
		c.ExtendLease(link.OwnerMessage{Epoch: tt.epoch, ClockMS: tt.clockMS})
		if c.Linked(); c.Heartbeat(1000).Follows != tt.want || c.Report(1000, nil, false).Follows != tt.want {
			t.Errorf("after a message of owner %d the guard follows %+v, want %+v", tt.epoch, c.Heartbeat(1000).Follows, tt.want)
		}
	}
}

// TestTimeOfCrash checks that a guard says how long ago a crash was, on each new link: an owner tells by the time what
// workers have crashed together.
func TestTimeOfCrash(t *testing.T) {
	c := crashedCore(t, false)
	for _, now := range []int64{6020, 9000} {
		up := c.Heartbeat(now)
		if len(up.Crashed) != 1 || up.Crashed[0].AgoMS != now-3000 || up.Crashed[0].Node != "n" || up.Crashed[0].Service != worker("w@10").Service {
			t.Errorf("at %d: crashes %+v, want one at 3000", now, up.Crashed)
		}
		c.Linked()
	}
}
