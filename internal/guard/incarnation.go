package guard

import (
	"cmp"
	"slices"
	"strings"

	"github.com/crocusspring/crocusspring/internal/link"
)

// maxEnded bounds the ended incarnations that a guard reports to each new owner. Older ones have long been over for
// it.
const maxEnded = 8

// endedIncarnation is an incarnation of the worker that has ended.
type endedIncarnation struct {
	id string
	// crash is nil if it had announced that it would leave; atMS is when it happened.
	crash *link.Crash
	atMS  int64
}

// noteEnd records the end of the current incarnation.
func (c *Core) noteEnd() {
	end := endedIncarnation{id: c.incarnation}
	if c.info != nil && c.info.ID == c.incarnation && !c.info.Draining {
		end.atMS = c.silentAt()
		end.crash = &link.Crash{Worker: c.incarnation, Node: c.opt.Node, Service: c.info.Service, Runs: c.crashedRuns(end.atMS)}
	}
	c.ended = append(c.ended, end)
	if n := len(c.ended) - maxEnded; n > 0 {
		c.ended, c.endedReported = c.ended[n:], max(0, c.endedReported-n)
	}
}

// silentAt returns when the current incarnation stopped answering.
func (c *Core) silentAt() int64 {
	if c.silentSinceMS > 0 {
		return c.silentSinceMS
	}
	return c.workerClockAt
}

// crashedRuns returns the runs that the current incarnation had when it stopped answering, in the order of their
// start. No start is sent after that.
func (c *Core) crashedRuns(at int64) []link.CrashedRun {
	var out []link.CrashedRun
	for ref, r := range c.runs {
		if !r.inherited {
			out = append(out, link.CrashedRun{RunRef: ref, AgeMS: max(0, at-r.startMS), Unsure: !r.confirmed})
		}
	}
	slices.SortFunc(out, func(a, b link.CrashedRun) int {
		return cmp.Or(-cmp.Compare(a.AgeMS, b.AgeMS), strings.Compare(a.Task.String(), b.Task.String()))
	})
	return out
}

// reportEnded adds the ended incarnations to a message that were not reported on this link.
func (c *Core) reportEnded(u *link.GuardMessage) {
	for _, e := range c.ended[c.endedReported:] {
		u.EndedIncarnations = append(u.EndedIncarnations, e.id)
		if e.crash != nil {
			crash := *e.crash
			crash.AgoMS = max(1, u.ClockMS-e.atMS)
			u.Crashed = append(u.Crashed, crash)
		}
	}
	c.endedReported = len(c.ended)
}

// Linked prepares for a new link: the owner at its end may know nothing of the worker.
func (c *Core) Linked() { c.inventoryDue, c.endedReported = true, 0 }

// polled returns the incarnation that polls address: the one that answered last, otherwise the one that was announced;
// empty while none is known.
func (c *Core) polled() string {
	switch {
	case c.incarnation != "":
		return c.incarnation
	case c.info != nil:
		return c.info.ID
	}
	return ""
}

// IncarnationEnded records that an incarnation of the worker has ended, because another one answered a call
// that was meant for it.
func (c *Core) IncarnationEnded(incarnation string) {
	if incarnation == "" || c.polled() != incarnation {
		return
	}
	if c.incarnation == incarnation {
		c.noteEnd()
	}
	c.incarnation, c.info, c.successor = "", c.successor, nil
	c.raise()
	c.births.open = false
	c.reset()
}

// begin makes the incarnation that has answered a poll the current one.
func (c *Core) begin(nowMS int64, resolvable map[link.RunRef]bool, l Listing) {
	var inherited []link.RunRef
	if link.ParseIncarnation(l.Incarnation).ID == link.ParseIncarnation(c.incarnation).ID {
		inherited = c.mayBeInherited(nowMS, resolvable, l)
	} else {
		clear(c.lateStarts)
	}
	if c.incarnation != "" {
		c.noteEnd()
	}
	pending := map[link.RunRef]bool{}
	for _, ref := range inherited {
		pending[ref] = c.runs[ref] != nil && c.runs[ref].commandPending
	}
	c.incarnation = l.Incarnation
	c.reset()
	for _, ref := range inherited {
		c.runs[ref] = &run{
			Traits: link.Traits{RunRef: ref}, phase: stopping, commandPending: pending[ref], pacePercent: fullPace,
			reason: "commanded to an earlier incarnation", inherited: true,
		}
	}
	if c.info != nil && c.info.ID != c.incarnation {
		c.info = nil
	}
	if c.successor != nil && c.successor.ID == c.incarnation {
		c.info = c.successor
	}
}

// maxLateMS is how long after it was sent a start may still be carried out, in milliseconds.
const maxLateMS = 30_000

// mayBeInherited returns the runs that a worker which has started again under its ID may have or still get, although
// they were commanded to its earlier incarnation: those it lists, those whose start wasn't confirmed before the
// poll was sent, and those whose start never got an answer. Calls name the ID only, so that the new incarnation accepts
// them; a stop there keeps it from that.
func (c *Core) mayBeInherited(nowMS int64, resolvable map[link.RunRef]bool, l Listing) []link.RunRef {
	var out []link.RunRef
	for ref, sentMS := range c.lateStarts {
		if nowMS-sentMS < maxLateMS {
			out = append(out, ref)
		} else {
			delete(c.lateStarts, ref)
		}
	}
	for ref, r := range c.runs {
		if !(r.phase == listed && resolvable[ref]) {
			out = append(out, ref)
		}
	}
	for _, s := range l.Running {
		if r := c.runs[s.RunRef]; r == nil || r.phase == listed && resolvable[s.RunRef] {
			out = append(out, s.RunRef)
		}
	}
	return out
}

// Settling reports whether runs that were commanded to an earlier incarnation may be in the current one. Until they
// are known not to be, the end of the earlier one isn't reported, since the owner would start their tasks elsewhere.
func (c *Core) Settling() bool {
	for _, r := range c.runs {
		if r.inherited {
			return true
		}
	}
	return false
}
