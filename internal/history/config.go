package history

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// byProcess returns the readings of each process start in order.
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
				newer(newest, ended[0])
				ended = ended[1:]
			}
			c.reading(r, newest)
		}
	}
}

// newer keeps a reading for every record that it shows newer than the readings before it.
func newer(newest map[string]*Reading, r *Reading) {
	for name, v := range r.Versions {
		if newest[name] == nil || v > newest[name].Versions[name] {
			newest[name] = r
		}
	}
}

// reading judges one reading against those that had ended before it and showed each record newest.
func (c *checker) reading(r *Reading, newest map[string]*Reading) {
	for _, name := range sortedKeys(newest) {
		old := newest[name].Versions[name]
		now, there := r.Versions[name]
		gone := !there && c.deletedAfter(name, old)
		if now < old && !gone {
			c.r.ConfigReverts++
			c.broken(NoRevert, []fmt.Stringer{newest[name], r}, "%s showed version %d of %s after version %d", r.Process, now, name, old)
		}
	}
}

// deletedAfter reports whether a record may have been withdrawn after a version.
func (c *checker) deletedAfter(name string, version int64) bool {
	return slices.ContainsFunc(c.h.Proposals, func(p *Proposal) bool {
		return p.Name == name && p.Deleted && p.Outcome != Conflict && p.Outcome != NotRun && p.Expected >= version
	})
}

// inForce finds processes that did not show an accepted record in time, and measures the slowest.
func (c *checker) inForce() {
	all := c.byProcess()
	for _, p := range c.h.Proposals {
		if p.Outcome != Accepted {
			continue
		}
		c.r.RecordsApplied++
		for _, process := range sortedKeys(all) {
			c.force(p, process, all[process])
		}
	}
}

// force judges one accepted record at one process.
func (c *checker) force(p *Proposal, process string, rs []*Reading) {
	shown := false
	late := false
	for _, r := range rs {
		v, there := r.Versions[p.Name]
		in := v >= p.Version || !there && c.deletedAfter(p.Name, p.Expected)
		if in && !shown && r.Ready && c.serving(p, rs) && !c.paused(process, r.Start) {
			took := max(0, r.End.Sub(p.End))
			c.r.ConfigSlowestMS = max(c.r.ConfigSlowestMS, took.Milliseconds())
		}
		shown = shown || in
		if !in && !late && r.Ready && r.Start.After(p.End.Add(ForceWithin)) && !c.paused(process, r.Start) {
			late = true
			c.broken(InForce, []fmt.Stringer{p, r}, "%s showed version %d of %s %v after version %d was accepted",
				process, v, p.Name, r.Start.Sub(p.End).Round(time.Millisecond), p.Version)
		}
	}
}

// serving reports whether a process had been read as ready before a record was accepted.
func (c *checker) serving(p *Proposal, rs []*Reading) bool {
	return slices.ContainsFunc(rs, func(r *Reading) bool { return r.Ready && r.End.Before(p.End) })
}

// paused reports whether a process did nothing at a time or within the bound before it: it can't
// have learned of a record meanwhile and has the bound again from when it goes on.
func (c *checker) paused(process string, at time.Time) bool {
	name, _, _ := strings.Cut(process, "#")
	return c.during(at.Add(-ForceWithin), at, name, ProcessPause)
}
