package guard

import "github.com/crocusspring/crocusspring/internal/link"

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
		c.endedIncarnations = append(c.endedIncarnations, incarnation)
	}
	c.incarnation, c.info, c.successor = "", c.successor, nil
	c.reset()
}

// begin makes the incarnation that has answered a poll the current one.
func (c *Core) begin(resolvable map[link.RunRef]bool, l Listing) {
	var inherited []link.RunRef
	if link.Reborn(l.Incarnation, c.incarnation) {
		inherited = c.mayBeInherited(resolvable, l)
	}
	if c.incarnation != "" {
		c.endedIncarnations = append(c.endedIncarnations, c.incarnation)
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

// mayBeInherited returns the runs that a worker which has started again under its ID may have or still get, although
// they were commanded to its earlier incarnation: those it lists, and those whose start wasn't confirmed before the
// poll was sent. Calls name the ID only, so that the new incarnation accepts them.
func (c *Core) mayBeInherited(resolvable map[link.RunRef]bool, l Listing) []link.RunRef {
	var out []link.RunRef
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
