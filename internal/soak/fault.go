package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"

	"github.com/crocusspring/crocusspring/internal/pause"
	"github.com/crocusspring/crocusspring/internal/store"
	"github.com/crocusspring/crocusspring/internal/store/memstore"
)

// fault is one disturbance: it begins, lasts, and ends again.
type fault struct {
	name  string
	begin func(ctx context.Context, d *deployment, rng *rand.Rand, last time.Duration)
}

// pick returns one of some things.
func pick[T any](rng *rand.Rand, from []T) T { return from[rng.IntN(len(from))] }

// faults are drawn with equal chance. Each runs with random numbers of its own.
var faults = []fault{
	{"kill", func(ctx context.Context, d *deployment, rng *rand.Rand, last time.Duration) {
		restart(ctx, d, []*host{pick(rng, d.hosts())}, (*proc).kill, last)
	}},
	{"terminate", func(ctx context.Context, d *deployment, rng *rand.Rand, last time.Duration) {
		restart(ctx, d, []*host{pick(rng, d.hosts())}, (*proc).stop, last)
	}},
	{"kill all", func(ctx context.Context, d *deployment, _ *rand.Rand, last time.Duration) {
		restart(ctx, d, d.hosts(), (*proc).kill, last)
	}},
	{"pause", func(ctx context.Context, d *deployment, rng *rand.Rand, last time.Duration) {
		h := pick(rng, d.hosts())
		h.restarting.Lock()
		defer h.restarting.Unlock()
		h.signal(syscall.SIGSTOP, false)
		pause.For(ctx, last)
		h.signal(syscall.SIGCONT, false)
	}},
	{"hangup", func(_ context.Context, d *deployment, rng *rand.Rand, _ time.Duration) {
		pick(rng, d.hosts()).signal(syscall.SIGHUP, false)
	}},
	{"store way", func(ctx context.Context, d *deployment, rng *rand.Rand, last time.Duration) {
		disturb(ctx, pick(rng, d.hosts()).store, rng, last)
	}},
	{"worker way", func(ctx context.Context, d *deployment, rng *rand.Rand, last time.Duration) {
		disturb(ctx, pick(rng, d.guards).near, rng, last)
	}},
	{"client way", func(ctx context.Context, d *deployment, rng *rand.Rand, last time.Duration) {
		disturb(ctx, pick(rng, d.entries).near, rng, last)
	}},
	{"heartbeats", func(ctx context.Context, d *deployment, rng *rand.Rand, last time.Duration) {
		disturb(ctx, pick(rng, d.guards).announce, rng, last)
	}},
	{"store down", func(ctx context.Context, d *deployment, _ *rand.Rand, last time.Duration) {
		misbehave(ctx, d, func() memstore.Fault { return memstore.Fault{Refuse: true} }, last)
	}},
	{"store loses answers", func(ctx context.Context, d *deployment, rng *rand.Rand, last time.Duration) {
		misbehave(ctx, d, func() memstore.Fault {
			return memstore.Fault{Lose: rng.IntN(3) == 0, Refuse: rng.IntN(5) == 0}
		}, last)
	}},
	{"store forgets", func(_ context.Context, d *deployment, _ *rand.Rand, _ time.Duration) {
		for _, topic := range []string{store.TopicJobs, store.TopicRuns, store.TopicOwner, store.TopicNodes} {
			d.store.Expire(topic)
		}
	}},
	{"worker crash", func(_ context.Context, d *deployment, rng *rand.Rand, _ time.Duration) {
		pick(rng, d.guards).worker.reboot()
	}},
	{"configuration", func(ctx context.Context, d *deployment, _ *rand.Rand, _ time.Duration) {
		// The operator comes again while the store is away.
		for d.configure(ctx) != nil && pause.For(ctx, askEvery) {
		}
	}},
}

// restart ends processes together and starts them again after a time.
func restart(ctx context.Context, d *deployment, hs []*host, end func(*proc), last time.Duration) {
	ended := make(chan struct{}, len(hs))
	for _, h := range hs {
		h.restarting.Lock()
		defer h.restarting.Unlock()
	}
	for _, h := range hs {
		go func() {
			end(h.proc)
			ended <- struct{}{}
		}()
	}
	for range hs {
		<-ended
	}
	pause.For(ctx, last)
	for _, h := range hs {
		if err := h.start(); err != nil {
			d.judge.breaks("%v", err)
		}
	}
}

// maxDelay bounds how long a delayed direction holds bytes.
const maxDelay = 800 * time.Millisecond

// disturb lets a way misbehave for a time.
func disturb(ctx context.Context, p *proxy, rng *rand.Rand, last time.Duration) {
	p.set(pick(rng, []condition{
		{there: silent, back: silent},
		{there: silent},
		{back: silent},
		{closed: true},
		{there: delayed, back: delayed, delay: time.Duration(rng.Int64N(int64(maxDelay)))},
	}))
	pause.For(ctx, last)
	// Silent connections stay silent on a real network only until they are closed.
	p.set(condition{closed: true})
	p.set(condition{})
}

// misbehave lets the store misbehave for a time.
func misbehave(ctx context.Context, d *deployment, fate func() memstore.Fault, last time.Duration) {
	d.store.SetFaults(func(_, topic string) memstore.Fault {
		if topic == "" {
			return memstore.Fault{}
		}
		return fate()
	})
	pause.For(ctx, last)
	d.store.SetFaults(nil)
}

// currentLife returns the name of the life that runs.
func (w *worker) currentLife() string {
	w.judge.state.Lock()
	defer w.judge.state.Unlock()
	return w.life
}

// reboot ends the life of the worker and begins the next one.
func (w *worker) reboot() {
	w.judge.mu.Lock()
	defer w.judge.mu.Unlock()
	w.judge.state.Lock()
	w.lives++
	w.life = fmt.Sprintf("%s-life-%d", w.name, 1+w.lives)
	life := w.life
	w.judge.state.Unlock()
	w.Reboot(life)
}
