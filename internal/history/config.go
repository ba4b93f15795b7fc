package history

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// byProcess returns the readings of each process start, sorted by their start times.
func (c *checker) byProcess() map[string][]*Reading {
	out := map[string][]*Reading{}
	for _, r := range c.h.Readings {
		out[r.Process] = append(out[r.Process], r)
	}
	for _, rs := range out {
		slices.SortStableFunc(rs, func(a, b *Reading) int { return a.Start.Compare(b.Start) })
	}
	return out
}

// reverts finds processes that showed a lower version after a higher one. Two readings are in order
// only when one had ended before the other began.
func (c *checker) reverts() {
	all := c.byProcess()
	for _, p := range sortedKeys(all) {
		ended := slices.Clone(all[p])
		slices.SortStableFunc(ended, func(a, b *Reading) int { return a.End.Compare(b.End) })
		newest := map[string]*Reading{}
		for _, r := range all[p] {
			for len(ended) > 0 && !ended[0].End.After(r.Start) {
				keepNewest(newest, ended[0])
				ended = ended[1:]
			}
			c.checkReading(r, newest)
		}
	}
}

// keepNewest makes r the newest reading of every record of which it shows a higher version.
func keepNewest(newest map[string]*Reading, r *Reading) {
	for name, v := range r.Versions {
		if newest[name] == nil || v > newest[name].Versions[name] {
			newest[name] = r
		}
	}
}

// checkReading checks one reading against the newest reading of each record that had ended before it.
func (c *checker) checkReading(r *Reading, newest map[string]*Reading) {
	for _, name := range sortedKeys(newest) {
		old := newest[name].Versions[name]
		now, shown := r.Versions[name]
		deleted := !shown && c.deletedAfter(name, old)
		if now < old && !deleted {
			c.r.ConfigReverts++
			c.addViolation(NoRevert, []fmt.Stringer{newest[name], r}, "%s showed version %d of %s after version %d", r.Process, now, name, old)
		}
	}
}

// deletedAfter reports whether a record may have been deleted after a version.
func (c *checker) deletedAfter(name string, version int64) bool {
	return slices.ContainsFunc(c.h.Proposals, func(p *Proposal) bool {
		return p.Name == name && p.Deleted && p.Outcome != Conflict && p.Outcome != NotRun && p.Expected >= version
	})
}

// inEffect finds processes that did not show an accepted record in time, and measures the longest delay.
func (c *checker) inEffect() {
	all := c.byProcess()
	for _, p := range c.h.Proposals {
		if p.Outcome != Accepted {
			continue
		}
		c.r.RecordsApplied++
		for _, process := range sortedKeys(all) {
			c.checkInEffect(p, process, all[process])
		}
	}
}

// checkInEffect checks one accepted record against the readings of one process.
func (c *checker) checkInEffect(p *Proposal, process string, rs []*Reading) {
	shown := false
	late := false
	for _, r := range rs {
		v, present := r.Versions[p.Name]
		effective := v >= p.Version || !present && c.deletedAfter(p.Name, p.Expected)
		if effective && !shown && r.Ready && c.wasReady(p, rs) && !c.paused(process, r.Start) {
			took := max(0, r.End.Sub(p.End))
			c.r.ConfigSlowestMS = max(c.r.ConfigSlowestMS, took.Milliseconds())
		}
		shown = shown || effective
		if !effective && !late && r.Ready && r.Start.After(p.End.Add(PropagationLimit)) && !c.paused(process, r.Start) {
			late = true
			c.addViolation(InEffect, []fmt.Stringer{p, r}, "%s showed version %d of %s %v after version %d was accepted",
				process, v, p.Name, r.Start.Sub(p.End).Round(time.Millisecond), p.Version)
		}
	}
}

// wasReady reports whether a reading showed the process ready before a record was accepted.
func (c *checker) wasReady(p *Proposal, rs []*Reading) bool {
	return slices.ContainsFunc(rs, func(r *Reading) bool { return r.Ready && r.End.Before(p.End) })
}

// paused reports whether a process was paused at a time or within PropagationLimit before it. It can't
// learn of a record while it is paused, so the limit starts again when it continues.
func (c *checker) paused(process string, at time.Time) bool {
	name, _, _ := strings.Cut(process, "#")
	return c.overlapsIncident(at.Add(-PropagationLimit), at, name, ProcessPause)
}
