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

// worker is what the owner knows of one worker in its epoch.
type worker struct {
	name    string
	member  announce.Member
	live    bool
	drained bool
	// drainedAt is when the drain was seen, and moveAt when tasks that still run are moved.
	drainedAt time.Time
	moveAt    time.Time
	// suspended says that the worker was noted as under probation.
	suspended bool

	// seq is the number of the newest sync; polling says that it carried nothing and may be overtaken.
	seq     int64
	busy    bool
	polling bool
	sentAt  time.Time
	// urge asks for a sync at once.
	urge bool

	// fenced says that the worker has answered a sync of this epoch and was not given up since.
	fenced      bool
	incarnation int64
	echo        int64
	// heard is when the newest echo was received; a lease built on it ends a task lease later at the latest.
	heard time.Time
	// version is that of mirror, the worker's inventory as far as it is known.
	version int64
	mirror  map[attemptKey]workerapi.Attempt
	// answered is the number of the newest sync that was answered; the worker takes no older one.
	answered int64
	// startSeq is the newest sync that carried the start of an attempt.
	startSeq  map[attemptKey]int64
	refused   map[attemptKey]string
	residents []workerapi.Resident
	// readings are when the newest reading of each attempt was made.
	readings map[attemptKey]time.Time
	// saves are when attempts were last asked for a checkpoint from time to time.
	saves map[attemptKey]time.Time
	// throttle are the shares of processor time that attempts are held to.
	throttle map[attemptKey]int
	guard    guard
	mixes    []mix

	assumed map[string]Assign
	// unsettled says that inventory and fold have to be compared, stale that view is out of date.
	unsettled bool
	stale     bool
	view      *place.Worker
	// stray says that the worker runs an attempt that it should not.
	stray bool
}

// newWorker returns a worker that has not been heard of.
func newWorker(name string) *worker {
	w := &worker{name: name, assumed: map[string]Assign{}, stale: true, urge: true}
	w.forgetAll()
	return w
}

// forgetAll drops what an inventory said.
func (w *worker) forgetAll() {
	w.version = 0
	w.mirror = map[attemptKey]workerapi.Attempt{}
	w.startSeq = map[attemptKey]int64{}
	w.refused = map[attemptKey]string{}
	w.readings = map[attemptKey]time.Time{}
	w.throttle = map[attemptKey]int{}
	w.saves = map[attemptKey]time.Time{}
}

// drop forgets what was kept about an attempt that is over.
func (w *worker) drop(key attemptKey) {
	delete(w.startSeq, key)
	delete(w.readings, key)
	delete(w.throttle, key)
	delete(w.saves, key)
}

// open reports whether the worker can take a start.
func (w *worker) open() bool { return w.live && w.fenced && !w.stray }

// refresh works out what placement has to know, with everything the worker may hold reserved.
func (o *owner) refresh(now time.Time, w *worker) *place.Worker {
	if w.view != nil && !w.stale {
		return w.view
	}
	w.stale = false
	v := &place.Worker{
		Name: w.name, DataCentre: w.member.DataCentre, Rack: w.member.Rack, Capacity: w.member.Capacity,
		Reserved: o.c.kept(w.member.Capacity),
	}
	for _, t := range o.c.state.held[w.name] {
		v.Add(&place.Task{Class: t.Class, Reserve: t.Reserve.Add(w.excess(t))})
		if t.Service != "" {
			v.Critical = append(v.Critical, t.Class)
		}
	}
	for id, a := range w.assumed {
		if t := o.c.state.tasks[id]; t != nil {
			v.Add(&place.Task{Class: t.Class, Reserve: a.Reserve})
		}
	}
	for _, r := range w.residents {
		v.Add(&place.Task{Class: r.Class, Reserve: r.Reserve})
		v.Critical = append(v.Critical, r.Class)
	}
	w.view = v
	w.note(now, v)
	return v
}

// excess is the memory an attempt uses past its reservation; the worker does not hold it to that.
func (w *worker) excess(t *Task) resource.Vector {
	used := w.mirror[t.key()].Used
	return resource.Vector{MemoryMB: max(0, used.MemoryMB-t.Reserve.MemoryMB)}
}

// mix is what ran together on a worker from a time on.
type mix struct {
	from    time.Time
	classes []interfere.Neighbour
	load    interfere.Load
}

// keepMixes bounds how far back usage readings can be matched.
const keepMixes = 32

// note remembers what runs together from now on.
func (w *worker) note(now time.Time, v *place.Worker) {
	m := mix{from: now, classes: slices.Clone(v.Classes), load: interfere.LoadOf(v.ReservedCPU())}
	if n := len(w.mixes); n > 0 && m.load == w.mixes[n-1].load && slices.Equal(m.classes, w.mixes[n-1].classes) {
		return
	}
	w.mixes = append(w.mixes, m)
	if len(w.mixes) > keepMixes {
		w.mixes = slices.Delete(w.mixes, 0, len(w.mixes)-keepMixes)
	}
}

// steady is how long around a reading the mix must not have changed for the reading to teach anything.
const steady = time.Second

// mixAt returns what ran together at a time; false when that changed about then.
func (w *worker) mixAt(at time.Time) (mix, bool) {
	for i := len(w.mixes) - 1; i >= 0; i-- {
		if w.mixes[i].from.After(at) {
			if w.mixes[i].from.Sub(at) < steady {
				return mix{}, false
			}
			continue
		}
		return w.mixes[i], at.Sub(w.mixes[i].from) >= steady
	}
	return mix{}, false
}

// without returns the neighbours of one task of a class.
func (m mix) without(class string) []interfere.Neighbour {
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
