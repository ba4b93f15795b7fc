package cell

import (
	"slices"
	"strings"
	"time"

	"github.com/crocusspring/crocusspring/internal/announce"
	"github.com/crocusspring/crocusspring/internal/interfere"
	"github.com/crocusspring/crocusspring/internal/place"
	"github.com/crocusspring/crocusspring/internal/resource"
	"github.com/crocusspring/crocusspring/internal/workerapi"
)

// worker is the state that the owner keeps of one worker in its epoch.
type worker struct {
	name      string
	member    announce.Member
	announced bool
	drained   bool
	// drainedAt is when the drain was first seen, and evictAt when tasks that still run are evicted.
	drainedAt time.Time
	evictAt   time.Time
	// suspended reports that probation of the worker was recorded.
	suspended bool

	// seq is the number of the newest sync; polling reports that it carried no commands, so that another one
	// may be sent before its answer.
	seq     int64
	busy    bool
	polling bool
	sentAt  time.Time
	// syncNow requests a sync at once.
	syncNow bool

	// fenced reports that the worker has answered a sync of this epoch and that its state has not become
	// unknown since.
	fenced      bool
	incarnation int64
	clockEcho   int64
	// echoAt is when the newest echo was received; a lease based on it expires a task lease later at the
	// latest.
	echoAt time.Time
	// version is that of inventory, the attempts of the worker as far as they are known.
	version   int64
	inventory map[attemptKey]workerapi.Attempt
	// lastAnswered is the number of the newest sync that was answered; the worker accepts no older one.
	lastAnswered int64
	// startSeq is the number of the newest sync that carried the start of an attempt.
	startSeq  map[attemptKey]int64
	refused   map[attemptKey]string
	residents []workerapi.Resident
	// lastReadings are when the newest reading of each attempt was made.
	lastReadings map[attemptKey]time.Time
	// lastCheckpoints are when periodic checkpoints of attempts were last requested.
	lastCheckpoints map[attemptKey]time.Time
	// throttle are the percentages of processor time that attempts are limited to.
	throttle   map[attemptKey]int
	protection protection
	mixes      []mix

	assumed map[string]Assign
	// needsReconcile reports that inventory and fold have to be compared, stale that view is out of date.
	needsReconcile bool
	stale          bool
	view           *place.Worker
	// stray reports that the worker runs an attempt that it should not.
	stray bool
}

// newWorker returns a worker that has not answered yet.
func newWorker(name string) *worker {
	w := &worker{name: name, assumed: map[string]Assign{}, stale: true, syncNow: true}
	w.reset()
	return w
}

// reset drops all state that came from inventories.
func (w *worker) reset() {
	w.version = 0
	w.inventory = map[attemptKey]workerapi.Attempt{}
	w.startSeq = map[attemptKey]int64{}
	w.refused = map[attemptKey]string{}
	w.lastReadings = map[attemptKey]time.Time{}
	w.throttle = map[attemptKey]int{}
	w.lastCheckpoints = map[attemptKey]time.Time{}
}

// dropAttempt drops the state of an attempt that is over.
func (w *worker) dropAttempt(key attemptKey) {
	delete(w.startSeq, key)
	delete(w.lastReadings, key)
	delete(w.throttle, key)
	delete(w.lastCheckpoints, key)
}

// canStart reports whether the worker can start an attempt.
func (w *worker) canStart() bool { return w.announced && w.fenced && !w.stray }

// refreshView returns the worker as placement sees it, with everything the worker may hold reserved.
func (o *owner) refreshView(now time.Time, w *worker) *place.Worker {
	if w.view != nil && !w.stale {
		return w.view
	}
	w.stale = false
	v := &place.Worker{
		Name: w.name, DataCentre: w.member.DataCentre, Rack: w.member.Rack, Capacity: w.member.Capacity,
		Reserved: o.core.keptFree(w.member.Capacity),
	}
	for _, t := range o.core.state.held[w.name] {
		v.Add(&place.Task{Class: t.Class, Reserve: t.Reserve.Add(w.excess(t))})
		if t.Service != "" {
			v.ServiceClasses = append(v.ServiceClasses, t.Class)
		}
	}
	for id, a := range w.assumed {
		if t := o.core.state.tasks[id]; t != nil {
			v.Add(&place.Task{Class: t.Class, Reserve: a.Reserve})
		}
	}
	for _, r := range w.residents {
		v.Add(&place.Task{Class: r.Class, Reserve: r.Reserve})
		v.ServiceClasses = append(v.ServiceClasses, r.Class)
	}
	w.view = v
	w.recordMix(now, v)
	return v
}

// excess returns the memory an attempt uses beyond its reservation, which the worker does not enforce.
func (w *worker) excess(t *Task) resource.Vector {
	used := w.inventory[t.key()].Used
	return resource.Vector{MemoryMB: max(0, used.MemoryMB-t.Reserve.MemoryMB)}
}

// mix is the set of classes that run together on a worker from a time on, and their load.
type mix struct {
	since   time.Time
	classes []interfere.Neighbour
	load    interfere.Load
}

// maxMixes bounds the mixes that are kept, and with them how far back usage readings can be matched.
const maxMixes = 32

// recordMix records what runs together from now on.
func (w *worker) recordMix(now time.Time, v *place.Worker) {
	m := mix{since: now, classes: slices.Clone(v.Classes), load: interfere.LoadOf(v.ReservedCPU())}
	if n := len(w.mixes); n > 0 && m.load == w.mixes[n-1].load && slices.Equal(m.classes, w.mixes[n-1].classes) {
		return
	}
	w.mixes = append(w.mixes, m)
	if len(w.mixes) > maxMixes {
		w.mixes = slices.Delete(w.mixes, 0, len(w.mixes)-maxMixes)
	}
}

// mixStableTime is how long before and after a reading the mix must not have changed for the reading to be
// used.
const mixStableTime = time.Second

// mixAt returns the mix at a time; false when it is unknown or changed within mixStableTime.
func (w *worker) mixAt(at time.Time) (mix, bool) {
	for i := len(w.mixes) - 1; i >= 0; i-- {
		if w.mixes[i].since.After(at) {
			if w.mixes[i].since.Sub(at) < mixStableTime {
				return mix{}, false
			}
			continue
		}
		return w.mixes[i], at.Sub(w.mixes[i].since) >= mixStableTime
	}
	return mix{}, false
}

// neighboursOf returns the neighbours of one task of a class.
func (m mix) neighboursOf(class string) []interfere.Neighbour {
	out := slices.Clone(m.classes)
	i, found := slices.BinarySearchFunc(out, class, func(n interfere.Neighbour, c string) int { return strings.Compare(n.Class, c) })
	if !found {
		return out
	}
	if out[i].Count--; out[i].Count == 0 {
		out = slices.Delete(out, i, i+1)
	}
	return out
}
