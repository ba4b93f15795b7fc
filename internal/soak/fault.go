package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"

	"github.com/crocusspring/crocusspring/internal/link"
	"github.com/crocusspring/crocusspring/internal/pause"
	"github.com/crocusspring/crocusspring/internal/store"
	"github.com/crocusspring/crocusspring/internal/store/memstore"
)

// fault is one kind of injected fault. inject returns when the fault has ended again.
type fault struct {
	name   string
	inject func(ctx context.Context, d *deployment, rng *rand.Rand, duration time.Duration)
}

// pick returns one element of a slice, each with equal probability.
func pick[T any](rng *rand.Rand, from []T) T { return from[rng.IntN(len(from))] }

// faults are the kinds of faults, drawn with equal probability. Each injected fault uses its own random number
// generator.
var faults = []fault{
	{"kill", func(ctx context.Context, d *deployment, rng *rand.Rand, duration time.Duration) {
		restart(ctx, d, []*host{pick(rng, d.hosts())}, (*process).kill, duration)
	}},
	{"terminate", func(ctx context.Context, d *deployment, rng *rand.Rand, duration time.Duration) {
		restart(ctx, d, []*host{pick(rng, d.hosts())}, (*process).stop, duration)
	}},
	{"kill all", func(ctx context.Context, d *deployment, _ *rand.Rand, duration time.Duration) {
		restart(ctx, d, d.hosts(), (*process).kill, duration)
	}},
	{"pause", func(ctx context.Context, d *deployment, rng *rand.Rand, duration time.Duration) {
		h := pick(rng, d.hosts())
		h.restartMu.Lock()
		defer h.restartMu.Unlock()
		h.signal(syscall.SIGSTOP, false)
		pause.For(ctx, duration)
		h.signal(syscall.SIGCONT, false)
	}},
	{"hangup", func(_ context.Context, d *deployment, rng *rand.Rand, _ time.Duration) {
		pick(rng, d.hosts()).signal(syscall.SIGHUP, false)
	}},
	{"store way", func(ctx context.Context, d *deployment, rng *rand.Rand, duration time.Duration) {
		disruptNetwork(ctx, pick(rng, d.hosts()).storeProxy, rng, duration)
	}},
	{"worker way", func(ctx context.Context, d *deployment, rng *rand.Rand, duration time.Duration) {
		disruptNetwork(ctx, pick(rng, d.guards).callProxy, rng, duration)
	}},
	{"client way", func(ctx context.Context, d *deployment, rng *rand.Rand, duration time.Duration) {
		disruptNetwork(ctx, pick(rng, d.entries).callProxy, rng, duration)
	}},
	{"heartbeats", func(ctx context.Context, d *deployment, rng *rand.Rand, duration time.Duration) {
		disruptNetwork(ctx, pick(rng, d.guards).heartbeatProxy, rng, duration)
	}},
	{"store down", func(ctx context.Context, d *deployment, _ *rand.Rand, duration time.Duration) {
		disruptStore(ctx, d, func() memstore.Fault { return memstore.Fault{Refuse: true} }, duration)
	}},
	{"store loses answers", func(ctx context.Context, d *deployment, rng *rand.Rand, duration time.Duration) {
		disruptStore(ctx, d, func() memstore.Fault {
			return memstore.Fault{Lose: rng.IntN(3) == 0, Refuse: rng.IntN(5) == 0}
		}, duration)
	}},
	{"store forgets", func(_ context.Context, d *deployment, _ *rand.Rand, _ time.Duration) {
		for _, topic := range []string{store.TopicJobs, store.TopicRuns, store.TopicOwner, store.TopicNodes} {
			d.store.Expire(topic)
		}
	}},
	{"worker crash", func(_ context.Context, d *deployment, rng *rand.Rand, _ time.Duration) {
		w := pick(rng, d.guards).worker
		if rng.IntN(2) == 0 {
			w.crash()
			return
		}
		d.checker.workerCrashed(w.Running())
		w.reboot()
	}},
	{"worker resize", func(_ context.Context, d *deployment, rng *rand.Rand, _ time.Duration) {
		// At least half is left, so that every job can be completed.
		size := capacity
		size.MilliCPU -= rng.Int64N(1 + capacity.MilliCPU/2)
		pick(rng, d.guards).worker.resize(size)
	}},
	{"drain", func(ctx context.Context, d *deployment, rng *rand.Rand, duration time.Duration) {
		name := pick(rng, d.guards).worker.name
		d.writeDrain(ctx, name, true)
		pause.For(ctx, duration)
		// Jobs must be able to complete after the faults have ended.
		d.writeDrain(context.WithoutCancel(ctx), name, false)
	}},
	{"configuration", func(ctx context.Context, d *deployment, _ *rand.Rand, _ time.Duration) {
		// Like an operator, retries while the store is unavailable.
		for d.writeConfig(ctx) != nil && pause.For(ctx, retryInterval) {
		}
	}},
}

// restart stops processes at the same time and starts them again after a duration.
func restart(ctx context.Context, d *deployment, hs []*host, end func(*process), duration time.Duration) {
	ended := make(chan struct{}, len(hs))
	for _, h := range hs {
		h.restartMu.Lock()
		defer h.restartMu.Unlock()
	}
	for _, h := range hs {
		go func() {
			end(h.process)
			ended <- struct{}{}
		}()
	}
	for range hs {
		<-ended
	}
	pause.For(ctx, duration)
	d.checker.stateMu.Lock()
	d.checker.restarts += len(hs)
	d.checker.stateMu.Unlock()
	for _, h := range hs {
		if err := h.start(); err != nil {
			d.checker.violation("%v", err)
		}
	}
}

// maxDelay bounds how long a proxy delays the bytes of one direction.
const maxDelay = 800 * time.Millisecond

// disruptNetwork puts a proxy into a random network condition for a duration.
func disruptNetwork(ctx context.Context, p *proxy, rng *rand.Rand, duration time.Duration) {
	p.set(pick(rng, []netCondition{
		{toTarget: discarded, fromTarget: discarded},
		{toTarget: discarded},
		{fromTarget: discarded},
		{closed: true},
		{toTarget: delayed, fromTarget: delayed, delay: time.Duration(rng.Int64N(int64(maxDelay)))},
	}))
	pause.For(ctx, duration)
	// On a real network a connection that has lost bytes stays unusable until it is closed.
	p.set(netCondition{closed: true})
	p.set(netCondition{})
}

// disruptStore injects the faults that nextFault returns into the operations of the store for a duration.
// Operations without a topic aren't affected.
func disruptStore(ctx context.Context, d *deployment, nextFault func() memstore.Fault, duration time.Duration) {
	d.store.SetFaults(func(_, topic string) memstore.Fault {
		if topic == "" {
			return memstore.Fault{}
		}
		return nextFault()
	})
	pause.For(ctx, duration)
	d.store.SetFaults(nil)
}

// currentIncarnation returns the name of the worker's present incarnation, and whether it is up.
func (w *worker) currentIncarnation() (string, bool) {
	w.checker.stateMu.Lock()
	defer w.checker.stateMu.Unlock()
	return w.incarnation, !w.down
}

const (
	// deadlyDelay is the time from the start of a task that crashes its worker until it does, and downtime how long a
	// worker is away after a crash.
	deadlyDelay = 20 * time.Millisecond
	downtime    = 700 * time.Millisecond
)

// crash ends the worker's incarnation and begins the next one after downtime, unless it is down already.
func (w *worker) crash() {
	w.checker.startMu.Lock()
	defer w.checker.startMu.Unlock()
	w.checker.stateMu.Lock()
	again := w.down
	w.down = true
	w.checker.stateMu.Unlock()
	if again {
		return
	}
	w.checker.workerCrashed(w.Running())
	w.Crash()
	time.AfterFunc(downtime, w.reboot)
}

// reboot ends the worker's incarnation and begins the next one.
func (w *worker) reboot() {
	w.checker.startMu.Lock()
	defer w.checker.startMu.Unlock()
	w.checker.stateMu.Lock()
	w.reboots++
	w.down = false
	// Every second one has the ID of the one two before it.
	w.incarnation = fmt.Sprintf("%s-life-%d", w.name, 1+w.reboots)
	if w.reboots%2 == 1 {
		w.incarnation = link.Incarnation{ID: w.name, BornMS: int64(w.reboots)}.String()
	}
	incarnation := w.incarnation
	w.checker.stateMu.Unlock()
	w.Reboot(incarnation)
}
