package sched

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/crocusspring/crocusspring/internal/interfere"
	"github.com/crocusspring/crocusspring/internal/job"
)

const (
	// tailWindow is the span that one figure of a worker covers; figures are learned from once in it.
	tailWindow = 450 * time.Millisecond
	// tailMemory is how long what fillers did still shows in the figures.
	tailMemory = 400 * time.Millisecond
	// roomAfter is the headroom that a serving task must be left with when a filler is placed beside it:
	// its own load moves.
	roomAfter = 1.1
	// roomLow is the headroom below which fillers are moved away, until roomAfter should be there again.
	roomLow = 0.9
	// roomMinor is the headroom that a filler may always take.
	roomMinor = 0.3
	// roomHard is the headroom below which a filler must not bring a serving task. Between that and
	// roomAfter it goes there only if there is nothing better.
	roomHard = 0.0
	// mostStrain is the most strain that a filler may put on the serving tasks of a worker, lateStrain that
	// of a job which can't be on time any more and is worth little. A serving task over its target costs
	// more than a filler gains.
	mostStrain = 0.3
	lateStrain = 0.1
	// tailSettle is how long figures take to show that fillers came or were moved away.
	tailSettle = 800 * time.Millisecond
	// effectUnsure is the variance of an effect, per core, above which one filler of an image at a time
	// is tried.
	effectUnsure = 0.1
)

// tails is what a worker's figures said last.
type tails struct {
	learned time.Time
	// use is the recent use of processors by filler image, in cores, with what has ended fading out.
	use   map[string]float64
	usedT time.Time
	// relieved is when fillers were moved away last.
	relieved time.Time
	// served sums up the serving tasks by image; it is made anew when stale.
	served []served
	stale  bool
}

// served is what the serving tasks of one image on a worker have.
type served struct {
	image string
	count int
	// room is the least headroom among them, once the figures show the fillers placed lately.
	room float64
}

// servedOn returns the serving tasks on a worker by image.
func (c *Core) servedOn(now time.Time, w *worker) []served {
	if !w.tails.stale {
		return w.tails.served
	}
	w.tails.stale = false
	w.tails.served = w.tails.served[:0]
	for _, t := range w.tasks {
		room, ok := t.headroom()
		if !ok {
			continue
		}
		w.tails.add(t.step.spec.Image, room)
	}
	for _, t := range w.tasks {
		if !t.step.spec.Filler || now.Sub(t.assigned) >= tailSettle {
			continue
		}
		for i := range w.tails.served {
			g := &w.tails.served[i]
			g.room -= c.effect(g.image, t.step.spec)
		}
	}
	return w.tails.served
}

// add takes one serving task in.
func (l *tails) add(image string, room float64) {
	for i := range l.served {
		if g := &l.served[i]; g.image == image {
			g.count++
			g.room = min(g.room, room)
			return
		}
	}
	l.served = append(l.served, served{image, 1, room})
}

// fade brings the recent use of processors up to a time.
func (w *worker) fade(now time.Time) {
	if w.tails.use == nil {
		w.tails.use = map[string]float64{}
	}
	keep := math.Exp(-float64(now.Sub(w.tails.usedT)) / float64(tailMemory))
	w.tails.usedT = now
	for f, cores := range w.tails.use {
		if w.tails.use[f] = cores * keep; cores*keep < 0.01 {
			delete(w.tails.use, f)
		}
	}
	for _, t := range w.tasks {
		if t.step.spec.Filler && t.state == stateRunning && t.figure > 0 {
			w.tails.use[t.step.spec.Image] += (1 - keep) * t.figure / 1000
		}
	}
}

// observe learns from a worker's newest figures, and moves fillers away that disturb too much.
func (c *Core) observe(now time.Time, w *worker) {
	w.fade(now)
	fresh := now.Sub(w.tails.learned) >= tailWindow
	if fresh {
		w.tails.learned = now
	}
	for _, t := range w.tasks {
		room, ok := t.headroom()
		if !ok {
			continue
		}
		if fresh {
			c.tails.Observe(interfere.Reading{
				Task: t.id.String(), Image: t.step.spec.Image, Headroom: room, Fillers: w.tails.use,
			})
		}
		if room < roomLow {
			c.relieve(now, w, t, room)
		}
	}
}

// headroom returns a serving task's target divided by its tail; false when that isn't known.
func (t *task) headroom() (float64, bool) {
	if t.step.spec.TailTargetMS == 0 || t.state != stateRunning || t.figure <= 0 {
		return 0, false
	}
	return float64(t.step.spec.TailTargetMS) / t.figure, true
}

// relieve stops the fillers that take most of a serving task's headroom, until enough should be left.
func (c *Core) relieve(now time.Time, w *worker, serving *task, room float64) {
	if now.Sub(w.tails.relieved) < tailSettle {
		return
	}
	var fillers []*task
	for _, t := range w.tasks {
		if t.step.spec.Filler && t.state != stateStopping && !t.pinned {
			fillers = append(fillers, t)
		}
	}
	slices.SortFunc(fillers, func(a, b *task) int {
		return cmp.Or(-cmp.Compare(c.effect(serving.step.spec.Image, a.step.spec), c.effect(serving.step.spec.Image, b.step.spec)),
			strings.Compare(a.id.String(), b.id.String()))
	})
	for _, t := range fillers {
		effect := c.effect(serving.step.spec.Image, t.step.spec)
		if room >= roomAfter || effect < roomMinor {
			return
		}
		w.tails.relieved = now
		c.stop(now, t, fmt.Sprintf("disturbs %s, headroom %.2f, effect %.2f", serving.id, room, effect))
		room += effect
	}
}

// effect returns how much headroom a filler is expected to take of a serving task of an image.
func (c *Core) effect(serving string, filler *job.Step) float64 {
	mean, _ := c.tails.Interference(serving, filler.Image)
	return mean * float64(filler.Demand.MilliCPU) / 1000
}

// disturbs returns why a filler must not run on a worker, or an empty string.
func (c *Core) disturbs(now time.Time, s *step, w *worker) string {
	for _, g := range c.servedOn(now, w) {
		if _, variance := c.tails.Interference(g.image, s.spec.Image); variance > effectUnsure && s.trying(w) {
			return "effect not known yet"
		}
		if effect := c.effect(g.image, s.spec); effect >= roomMinor && g.room-effect < roomHard {
			return "would disturb serving tasks"
		}
	}
	if c.strain(now, s.spec, w) > s.strainBound() {
		return "would strain serving tasks"
	}
	return ""
}

// strainBound returns the most strain that a filler of a step may put on the serving tasks of a worker.
func (s *step) strainBound() float64 {
	if s.occ.job.lateness > 0 {
		return lateStrain
	}
	return mostStrain
}

// strain sums what a filler would take of the headroom that serving tasks on a worker should be left with.
func (c *Core) strain(now time.Time, s *job.Step, w *worker) float64 {
	sum := 0.0
	for _, g := range c.servedOn(now, w) {
		effect := c.effect(g.image, s)
		if effect >= roomMinor/2 {
			sum += float64(g.count) * min(effect, max(0, roomAfter-(g.room-effect)))
		}
	}
	return sum
}

// trying reports whether a task of the step's image is on a worker.
func (s *step) trying(w *worker) bool {
	for _, t := range w.tasks {
		if t.step.spec.Filler && t.step.spec.Image == s.spec.Image {
			return true
		}
	}
	return false
}

// likeness returns the part of a worker's serving processors that is of the same image; serving tasks
// of one image are kept together, so that fillers that disturb it find workers without it.
func (w *worker) likeness(image string) float64 {
	same, all := int64(0), int64(0)
	for _, t := range w.tasks {
		if t.step.spec.TailTargetMS == 0 {
			continue
		}
		all += t.step.spec.Demand.MilliCPU
		if t.step.spec.Image == image {
			same += t.step.spec.Demand.MilliCPU
		}
	}
	if all == 0 {
		return 0.5
	}
	return float64(same) / float64(all)
}
