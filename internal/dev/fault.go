package dev

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/crocusspring/crocusspring/internal/pause"
	"github.com/crocusspring/crocusspring/internal/workload"
)

// Fault is a failure that can be injected during a run.
type Fault struct {
	Name string
	// About describes what the fault does and what counts as one event of it.
	About string
	// Prepare changes the options the cluster is started with; it may be nil.
	Prepare func(*Options)
	// Run injects the fault until ctx ends and returns when everything is restored.
	Run func(ctx context.Context, in *Injector) error
}

// Faults returns all faults in order of their names.
func Faults() []Fault {
	all := []Fault{
		targetLeave(), targetCrash(), slowTarget(), silentConnection(),
		entryKill(), entryStop(), guardKill(), ownerKill(), ownerPause(),
		workerCrash(), badWorker(), noisyWave(), cancelBurst(),
		logOutage(), logLostAnswer(), logExpiry(), configRace(),
	}
	slices.SortFunc(all, func(a, b Fault) int { return strings.Compare(a.Name, b.Name) })
	return all
}

// ErrUnknownFault is the error for an unknown fault name.
var ErrUnknownFault = errors.New("no such fault")

// FaultByName returns a fault by name.
func FaultByName(name string) (Fault, error) {
	for _, f := range Faults() {
		if f.Name == name {
			return f, nil
		}
	}
	return Fault{}, fmt.Errorf("%w: %q; there are %s", ErrUnknownFault, name, strings.Join(faultNames(Faults()), ", "))
}

// faultNames returns the names of faults.
func faultNames(fs []Fault) []string {
	out := []string{}
	for _, f := range fs {
		out = append(out, f.Name)
	}
	return out
}

// Injector gives a fault access to the cluster and the load, and counts its events.
type Injector struct {
	*Cluster
	plan   Plan
	load   workload.Options
	rng    *rand.Rand
	events atomic.Int64
}

// newInjector returns the injector of the n-th fault of a plan.
func newInjector(c *Cluster, p Plan, o workload.Options, n uint64) *Injector {
	return &Injector{Cluster: c, plan: p, load: o, rng: rand.New(rand.NewPCG(p.Seed, 100+n))}
}

// addEvents counts n more events of the fault.
func (in *Injector) addEvents(n int) { in.events.Add(int64(n)) }

// eventCount returns how many events there were.
func (in *Injector) eventCount() int { return int(in.events.Load()) }

// searchInterval is the delay before a fault that found nothing to strike is tried again.
const searchInterval = 50 * time.Millisecond

// cycle injects a fault repeatedly until ctx ends: it waits a fifth of the run, injects the fault, holds
// it and restores the normal state. A fault that finds nothing to strike is tried again after searchInterval.
// An injected fault is held for the whole time even if ctx ends, unless the cluster stops.
func (in *Injector) cycle(ctx context.Context, hold time.Duration, inject func() (restore func() error, err error)) error {
	calm := in.plan.Length / 5
	for wait := calm; pause.For(ctx, wait); {
		restore, err := inject()
		if err != nil {
			return err
		}
		if restore == nil {
			wait = searchInterval
			continue
		}
		wait = calm
		pause.For(in.ctx, hold)
		if err := restore(); err != nil {
			return err
		}
	}
	return nil
}

// pick returns a random item.
func pick[T any](in *Injector, items []T) T { return items[in.rng.IntN(len(items))] }
