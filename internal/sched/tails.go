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
	// tailRoom is the part of a serving task's target that its expected tail may reach when a filler is
	// placed beside it, tailOver the part from which fillers that raise it are moved away.
	tailRoom = 0.8
	tailOver = 0.95
	// tailMinor is the effect of a filler below which it is never kept away or moved, in parts of the
	// target.
	tailMinor = 0.08
	// tailPart is the part of an excess that a filler must account for to be moved away.
	tailPart = 0.15
	// tailSettle is how long figures take to show that fillers were moved away.
	tailSettle = 800 * time.Millisecond
	// tailUnsure is the variance of an effect above which one filler of an image at a time is tried.
	tailUnsure = 0.15
)

// tails is what a worker's figures said last.
type tails struct {
	learned time.Time
	// use is the recent use of processors by filler image, in cores, with what has ended fading out.
	use   map[string]float64
	usedT time.Time
	// relieved is when fillers were moved away last.
	relieved time.Time
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
		tail := t.tail()
		if tail == 0 {
			continue
		}
		if fresh {
			c.tails.Observe(t.step.spec.Image, tail, w.tails.use)
		}
		if tail > tailOver {
			c.relieve(now, w, t, tail)
		}
	}
}

// tail returns the tail of a serving task as a part of its target; 0 when it isn't known.
func (t *task) tail() float64 {
	if t.step.spec.TailTargetMS == 0 || t.state != stateRunning {
		return 0
	}
	return t.figure / float64(t.step.spec.TailTargetMS)
}

// relieve stops the fillers that raise the tail of a serving task, those that raise it most first, until
// the tail should be well below its target.
func (c *Core) relieve(now time.Time, w *worker, serving *task, tail float64) {
	if now.Sub(w.tails.relieved) < tailSettle {
		return
	}
	excess := min(tail, interfere.MaxTail) - tailRoom
	var fillers []*task
	for _, t := range w.tasks {
		if t.step.spec.Filler && t.state != stateStopping && !t.pinned {
			fillers = append(fillers, t)
		}
	}
	slices.SortFunc(fillers, func(a, b *task) int {
		return cmp.Or(-cmp.Compare(c.effect(serving.step.spec, a.step.spec), c.effect(serving.step.spec, b.step.spec)),
			strings.Compare(a.id.String(), b.id.String()))
	})
	for _, t := range fillers {
		effect := c.effect(serving.step.spec, t.step.spec)
		if excess <= 0 || effect < max(tailMinor, tailPart*excess) {
			return
		}
		excess -= effect
		w.tails.relieved = now
		c.stop(now, t, fmt.Sprintf("disturbs %s, tail at %.2f of its target, effect %.2f", serving.id, tail, effect))
	}
}

// effect returns by how much a filler is expected to raise the tail of a serving task, in parts of its
// target.
func (c *Core) effect(serving, filler *job.Step) float64 {
	mean, _ := c.tails.Effect(serving.Image, filler.Image)
	return mean * float64(filler.Demand.MilliCPU) / 1000
}

// disturbs returns why a filler must not run on a worker, or an empty string.
func (c *Core) disturbs(s *step, w *worker) string {
	for _, t := range w.tasks {
		if t.step.spec.TailTargetMS == 0 {
			continue
		}
		effect := c.effect(t.step.spec, s.spec)
		if effect > tailMinor && t.tail()+effect > tailRoom {
			return "would disturb image " + t.step.spec.Image
		}
		if _, variance := c.tails.Effect(t.step.spec.Image, s.spec.Image); variance > tailUnsure && s.trying(w) {
			return "effect not known yet"
		}
	}
	return ""
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
