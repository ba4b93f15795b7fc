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
	// tailWindow is the interval covered by one measurement of a worker; interference is learned once per interval.
	tailWindow = 450 * time.Millisecond
	// usageDecay is the time constant with which the influence of earlier fillers on the measurements fades.
	usageDecay = 400 * time.Millisecond
	// targetHeadroom is the headroom that a serving task should keep when a filler is placed beside it; more than
	// 1 because its own load varies.
	targetHeadroom = 1.1
	// lowHeadroom is the headroom below which fillers are stopped, until targetHeadroom should be restored.
	lowHeadroom = 1.0
	// minorInterference is the interference below which a filler is neither refused for lack of headroom nor
	// stopped; from half of it on, interference counts towards the cost.
	minorInterference = 0.3
	// minHeadroom is the headroom below which a filler must not push a serving task, minor interference aside.
	// Between that and targetHeadroom a filler goes there only if no worker scores better.
	minHeadroom = 0.0
	// maxInterferenceCost is the highest interference cost a filler may impose on the serving tasks of a worker,
	// maxLateInterferenceCost that for a filler of a late job, which is worth little. A serving task over its
	// target costs more than a filler gains.
	maxInterferenceCost     = 0.3
	maxLateInterferenceCost = 0.1
	// tailSettleTime is how long measurements take to reflect that fillers were placed or stopped.
	tailSettleTime = 800 * time.Millisecond
	// placementHorizon is how far ahead the load of serving tasks is looked at when a filler is placed beside them,
	// reliefHorizon when it is decided whether to stop fillers: a stop shows in the tails after about that time.
	placementHorizon = 600 * time.Millisecond
	reliefHorizon    = 600 * time.Millisecond
	// uncertainVariance is the variance of an interference estimate, per core, above which only one filler of an
	// image at a time is tried on a worker.
	uncertainVariance = 0.1
)

// tailState holds what the latest measurements of a worker's tasks showed.
type tailState struct {
	learnedAt time.Time
	// fillerUsage is the recent processor use by filler image, in cores; that of ended fillers decays.
	fillerUsage map[string]float64
	usageAt     time.Time
	// relievedAt is when fillers were last stopped to relieve a serving task.
	relievedAt time.Time
	// groups aggregates the serving tasks by image; it is recomputed when stale.
	groups []servingGroup
	stale  bool
}

// servingGroup aggregates the serving tasks of one image on a worker.
type servingGroup struct {
	image string
	count int
	// headroom is the least that is expected of them within placementHorizon.
	headroom float64
}

// servingGroups returns the serving tasks on a worker by image.
func (c *Core) servingGroups(now time.Time, w *worker) []servingGroup {
	if !w.tails.stale {
		return w.tails.groups
	}
	w.tails.stale = false
	w.tails.groups = w.tails.groups[:0]
	for _, t := range w.tasks {
		if headroom, ok := c.expectedHeadroom(now, w, t, placementHorizon); ok {
			w.tails.addServing(t.step.spec.Image, headroom)
		}
	}
	return w.tails.groups
}

// expectedHeadroom returns the least headroom that a serving task on a worker is expected to have within a horizon,
// beside the fillers that are there now; false when its tail latency isn't known. It is the mean of two estimates: the
// task's measurement, less what was placed too recently to show in it, and the headroom of its step alone, less what
// all fillers take. The first knows this task, the second is less noisy.
func (c *Core) expectedHeadroom(now time.Time, w *worker, t *task, horizon time.Duration) (float64, bool) {
	measured, ok := t.headroom()
	if !ok {
		return 0, false
	}
	image := t.step.spec.Image
	all := 0.0
	for _, o := range w.tasks {
		if !o.step.spec.Filler || o.state == stateStopping {
			continue
		}
		interference := c.interference(image, o.step.spec)
		all += interference
		if now.Sub(o.assignedAt) < tailSettleTime {
			measured -= interference
		}
	}
	alone, slope, ok := c.interferenceModel.Alone(now, t.step.group)
	if !ok {
		return measured, true
	}
	return (measured+alone-all)/2 + min(0, slope)*horizon.Seconds(), true
}

// addServing adds one serving task.
func (l *tailState) addServing(image string, headroom float64) {
	for i := range l.groups {
		if g := &l.groups[i]; g.image == image {
			g.count++
			g.headroom = min(g.headroom, headroom)
			return
		}
	}
	l.groups = append(l.groups, servingGroup{image, 1, headroom})
}

// decayUsage updates the recent processor use of fillers to a time.
func (w *worker) decayUsage(now time.Time) {
	if w.tails.fillerUsage == nil {
		w.tails.fillerUsage = map[string]float64{}
	}
	decay := math.Exp(-float64(now.Sub(w.tails.usageAt)) / float64(usageDecay))
	w.tails.usageAt = now
	for f, cores := range w.tails.fillerUsage {
		if w.tails.fillerUsage[f] = cores * decay; cores*decay < 0.01 {
			delete(w.tails.fillerUsage, f)
		}
	}
	for _, t := range w.tasks {
		if t.step.spec.Filler && t.state == stateRunning && t.measurement > 0 {
			w.tails.fillerUsage[t.step.spec.Image] += (1 - decay) * t.measurement / 1000
		}
	}
}

// observe learns from a worker's latest measurements and stops fillers that interfere too much.
func (c *Core) observe(now time.Time, w *worker) {
	w.decayUsage(now)
	fresh := now.Sub(w.tails.learnedAt) >= tailWindow
	if fresh {
		w.tails.learnedAt = now
	}
	for _, t := range w.tasks {
		measured, ok := t.headroom()
		if !ok {
			continue
		}
		if fresh {
			c.interferenceModel.Observe(now, interfere.Reading{
				Group: t.step.group, Image: t.step.spec.Image, Headroom: measured, Fillers: w.tails.fillerUsage,
			})
		}
		if headroom, ok := c.expectedHeadroom(now, w, t, reliefHorizon); ok && max(measured, headroom) < lowHeadroom {
			c.relieve(now, w, t, headroom)
		}
	}
}

// headroom returns a serving task's target divided by its tail latency; false when that isn't known.
func (t *task) headroom() (float64, bool) {
	if t.step.spec.TailTargetMS == 0 || t.state != stateRunning || t.measurement <= 0 {
		return 0, false
	}
	return float64(t.step.spec.TailTargetMS) / t.measurement, true
}

// relieve stops the fillers that interfere most with a serving task, until it should have enough headroom.
func (c *Core) relieve(now time.Time, w *worker, serving *task, headroom float64) {
	if now.Sub(w.tails.relievedAt) < tailSettleTime {
		return
	}
	var fillers []*task
	for _, t := range w.tasks {
		if t.step.spec.Filler && t.state != stateStopping && !t.pinned {
			fillers = append(fillers, t)
		}
	}
	slices.SortFunc(fillers, func(a, b *task) int {
		return cmp.Or(-cmp.Compare(c.interference(serving.step.spec.Image, a.step.spec), c.interference(serving.step.spec.Image, b.step.spec)),
			strings.Compare(a.id.String(), b.id.String()))
	})
	for _, t := range fillers {
		interference := c.interference(serving.step.spec.Image, t.step.spec)
		if headroom >= targetHeadroom || interference < minorInterference {
			return
		}
		w.tails.relievedAt = now
		c.stopRun(now, t, fmt.Sprintf("disturbs %s, headroom %.2f, effect %.2f", serving.id, headroom, interference))
		headroom += interference
	}
}

// interference returns how much headroom a filler is expected to take from a serving task of an image.
func (c *Core) interference(serving string, filler *job.Step) float64 {
	mean, _ := c.interferenceModel.Interference(serving, filler.Image)
	return mean * float64(filler.Demand.MilliCPU) / 1000
}

// interferenceRefusal returns why a filler must not run on a worker, or an empty string.
func (c *Core) interferenceRefusal(now time.Time, s *step, w *worker) string {
	for _, g := range c.servingGroups(now, w) {
		if _, variance := c.interferenceModel.Interference(g.image, s.spec.Image); variance > uncertainVariance && s.runsImage(w) {
			return "effect not known yet"
		}
		if interference := c.interference(g.image, s.spec); interference >= minorInterference && g.headroom-interference < minHeadroom {
			return "would disturb serving tasks"
		}
	}
	if c.interferenceCost(now, s.spec, w) > s.interferenceCostLimit() {
		return "would strain serving tasks"
	}
	return ""
}

// interferenceCostLimit returns the highest interference cost a filler of the step may impose on a worker.
func (s *step) interferenceCostLimit() float64 {
	if s.occ.job.lateness > 0 {
		return maxLateInterferenceCost
	}
	return maxInterferenceCost
}

// interferenceCost sums how much of the headroom up to targetHeadroom a filler would take from the serving
// tasks on a worker.
func (c *Core) interferenceCost(now time.Time, s *job.Step, w *worker) float64 {
	sum := 0.0
	for _, g := range c.servingGroups(now, w) {
		interference := c.interference(g.image, s)
		if interference >= minorInterference/2 {
			sum += float64(g.count) * min(interference, max(0, targetHeadroom-(g.headroom-interference)))
		}
	}
	return sum
}

// runsImage reports whether a filler of the step's image is on a worker.
func (s *step) runsImage(w *worker) bool {
	for _, t := range w.tasks {
		if t.step.spec.Filler && t.step.spec.Image == s.spec.Image {
			return true
		}
	}
	return false
}

// sameImageShare returns the part of the processors reserved by serving tasks on a worker that belongs to an
// image. Serving tasks of one image are packed together, so that fillers that interfere with it find workers
// without it.
func (w *worker) sameImageShare(image string) float64 {
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
