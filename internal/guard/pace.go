package guard

import (
	"cmp"
	"slices"
	"strings"

	"github.com/crocusspring/crocusspring/internal/link"
)

const (
	// fullPace is the pace of a filler that isn't slowed, in percent.
	fullPace = 100
	// goalHeadroom is the headroom that fillers are slowed to keep; headroom is the target of a serving task over
	// its tail latency. From restoreHeadroom on they regain pace.
	goalHeadroom    = 1.12
	restoreHeadroom = 1.22
	// minAloneHeadroom is the headroom that a serving task must have without fillers; below it its own load is
	// the cause, and slowing fillers doesn't help.
	minAloneHeadroom = 0.95
	// minEffect is the least headroom that a filler at full pace must take for it to be slowed.
	minEffect = 0.05
	// cutSpanMS is the least time between two changes that slow fillers, restoreSpanMS that before one that gives
	// pace back, in milliseconds. A measurement covers half a second, and a pace takes effect after a tenth: from
	// then on measurements show a change fully, and for the most part somewhat earlier.
	cutSpanMS     = 400
	restoreSpanMS = 600
	// slowdownDelayMS is how long a task must be over its target before all fillers are slowed, in milliseconds:
	// their effects may be unknown, or known wrongly.
	slowdownDelayMS = 1200
	// slowdownFactor is the factor by which all fillers are slowed then, maxRestore the most pace that a filler
	// regains in one change, in percent.
	slowdownFactor = 0.3
	maxRestore     = 25
	// minPace is the lowest pace above zero, in percent; a lower one becomes zero.
	minPace = 10
)

// pacer controls the pace of each filler on a worker by the tail latencies of the serving tasks there. It slows the
// filler that takes most of the headroom that a task lacks, as far as needed and no more. It works without an owner,
// with the effects that the owner last sent.
type pacer struct {
	// changedMS is when a pace changed last, and overTargetSinceMS since when a task is over its target, 0 when
	// none is.
	changedMS, overTargetSinceMS int64
}

// servingRun is a serving task with the headroom that it has, less what changes of pace in this round take or give.
type servingRun struct {
	image    string
	headroom float64
}

// pacedRuns holds the runs that a pacer looks at, in a fixed order.
type pacedRuns struct {
	serving []servingRun // least headroom first
	fillers []*run
}

// collect returns the serving tasks with a measurement and the fillers.
func collect(runs map[link.RunRef]*run) pacedRuns {
	var out pacedRuns
	for _, r := range runs {
		switch {
		case r.phase != listed:
		case r.Filler:
			out.fillers = append(out.fillers, r)
		case r.TailTargetMS > 0 && r.measurement > 0:
			out.serving = append(out.serving, servingRun{r.Image, float64(r.TailTargetMS) / r.measurement})
		}
	}
	slices.SortFunc(out.serving, func(a, b servingRun) int {
		return cmp.Or(cmp.Compare(a.headroom, b.headroom), strings.Compare(a.image, b.image))
	})
	slices.SortFunc(out.fillers, func(a, b *run) int { return strings.Compare(a.Task.String(), b.Task.String()) })
	return out
}

// observe adjusts the paces to the newest measurements.
func (p *pacer) observe(nowMS int64, all map[link.RunRef]*run) {
	runs := collect(all)
	switch {
	case len(runs.serving) == 0 || runs.serving[0].headroom > 1:
		p.overTargetSinceMS = 0
	case p.overTargetSinceMS == 0:
		p.overTargetSinceMS = nowMS
	}
	sinceChange := nowMS - p.changedMS
	if len(runs.fillers) == 0 || sinceChange < cutSpanMS {
		return
	}
	changed := runs.cut()
	if p.overTargetSinceMS > 0 && nowMS-p.overTargetSinceMS >= slowdownDelayMS {
		changed = runs.slowAll() || changed
	}
	if !changed && sinceChange >= restoreSpanMS {
		changed = runs.restore()
	}
	if changed {
		p.changedMS = nowMS
	}
}

// cut slows the fillers that take the headroom which serving tasks lack, and reports whether it has slowed any.
func (p *pacedRuns) cut() bool {
	changed := false
	for i := range p.serving {
		s := &p.serving[i]
		if s.headroom >= goalHeadroom || s.headroom+p.taken(s.image) < minAloneHeadroom {
			continue
		}
		byEffect := slices.Clone(p.fillers)
		slices.SortStableFunc(byEffect, func(a, b *run) int { return -cmp.Compare(a.Effects[s.image], b.Effects[s.image]) })
		for _, f := range byEffect {
			effect := f.Effects[s.image]
			if s.headroom >= goalHeadroom || effect < minEffect {
				break
			}
			changed = p.change(f, -min(f.wantPace, fullPace*(goalHeadroom-s.headroom)/effect)) || changed
		}
	}
	return changed
}

// taken returns the headroom that the fillers are expected to take from a serving task of an image.
func (p *pacedRuns) taken(image string) float64 {
	sum := 0.0
	for _, f := range p.fillers {
		sum += f.Effects[image] * f.wantPace / fullPace
	}
	return sum
}

// change changes the pace of a filler and the expected headroom of the serving tasks. It reports whether the pace
// differs afterwards.
func (p *pacedRuns) change(f *run, percent float64) bool {
	before := f.wantPace
	f.wantPace = min(fullPace, before+percent)
	if f.wantPace < minPace {
		f.wantPace = 0
	}
	for i := range p.serving {
		p.serving[i].headroom -= f.Effects[p.serving[i].image] * (f.wantPace - before) / fullPace
	}
	return f.wantPace != before
}

// slowAll slows all fillers and reports whether any was not stopped before.
func (p *pacedRuns) slowAll() bool {
	changed := false
	for _, f := range p.fillers {
		changed = p.change(f, -(1-slowdownFactor)*f.wantPace) || changed
	}
	return changed
}

// worstEffect returns the most headroom that a filler takes from a serving task here.
func (p *pacedRuns) worstEffect(f *run) float64 {
	worst := 0.0
	for _, s := range p.serving {
		worst = max(worst, f.Effects[s.image])
	}
	return worst
}

// restore gives pace back to slowed fillers as far as the headroom of all serving tasks allows, those that disturb
// least first. It reports whether any got some.
func (p *pacedRuns) restore() bool {
	changed := false
	byEffect := slices.Clone(p.fillers)
	slices.SortStableFunc(byEffect, func(a, b *run) int { return cmp.Compare(p.worstEffect(a), p.worstEffect(b)) })
	for _, f := range byEffect {
		room := min(maxRestore, fullPace-f.wantPace)
		for _, s := range p.serving {
			if effect := f.Effects[s.image]; effect > 0 {
				room = min(room, fullPace*(s.headroom-restoreHeadroom)/effect)
			}
			if s.headroom <= 1 {
				room = 0
			}
		}
		if room > 0 && f.wantPace+room >= minPace {
			changed = p.change(f, room) || changed
		}
	}
	return changed
}

// meanPace returns the mean pace of the fillers in whole percent; fullPace without fillers.
func meanPace(runs map[link.RunRef]*run) int {
	sum, n := 0.0, 0
	for _, r := range runs {
		if r.Filler && r.phase == listed {
			sum += r.wantPace
			n++
		}
	}
	if n == 0 {
		return fullPace
	}
	return int(sum) / n
}
