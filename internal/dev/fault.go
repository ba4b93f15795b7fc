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

// Fault is something that goes wrong during a run.
type Fault struct {
	Name string
	// About says what it does and what is counted as one event of it.
	About string
	// Prepare changes what the cluster is started with; nil for nothing.
	Prepare func(*Options)
	// Run brings the fault about while ctx lasts and returns when all is healed.
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

// ErrNoFault says that there is no fault of a name.
var ErrNoFault = errors.New("no such fault")

// FaultNamed returns a fault by name.
func FaultNamed(name string) (Fault, error) {
	for _, f := range Faults() {
		if f.Name == name {
			return f, nil
		}
	}
	return Fault{}, fmt.Errorf("%w: %q; there are %s", ErrNoFault, name, strings.Join(names(Faults()), ", "))
}

// names returns the names of faults.
func names(fs []Fault) []string {
	out := []string{}
	for _, f := range fs {
		out = append(out, f.Name)
	}
	return out
}

// Injector is what a fault works with.
type Injector struct {
	*Cluster
	plan   Plan
	load   workload.Options
	rng    *rand.Rand
	events atomic.Int64
}

// newInjector returns the injector of one fault of a plan.
func newInjector(c *Cluster, p Plan, o workload.Options, n uint64) *Injector {
	return &Injector{Cluster: c, plan: p, load: o, rng: rand.New(rand.NewPCG(p.Seed, 100+n))}
}

// happened counts events of the fault.
func (in *Injector) happened(n int) { in.events.Add(int64(n)) }

// count returns how many events there were.
func (in *Injector) count() int { return int(in.events.Load()) }

// cycle strikes again and again while ctx lasts: a fifth of the run passes, the fault strikes, holds
// for a time and is healed. A strike always holds its whole time.
func (in *Injector) cycle(ctx context.Context, hold time.Duration, strike func() (heal func() error, err error)) error {
	for pause.For(ctx, in.plan.Length/5) {
		heal, err := strike()
		if err != nil {
			return err
		}
		if heal == nil {
			continue
		}
		pause.For(in.ctx, hold)
		if err := heal(); err != nil {
			return err
		}
	}
	return nil
}

// pick draws one item.
func pick[T any](in *Injector, items []T) T { return items[in.rng.IntN(len(items))] }
