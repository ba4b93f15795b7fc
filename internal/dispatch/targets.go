package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/crocusspring/crocusspring/internal/announce"
)

// SetTargets replaces the live targets and starts the queued requests that can start.
func (c *Core) SetTargets(now time.Time, live []announce.Member) Actions {
	seen := map[string]bool{}
	for _, s := range c.services {
		s.targets = s.targets[:0]
	}
	for _, m := range live {
		seen[m.Name] = true
		c.present(now, m)
	}
	for name, t := range c.targets {
		if seen[name] {
			continue
		}
		c.service(t.Service).health.Absent(name)
		if len(t.running) == 0 {
			delete(c.targets, name)
			c.credits.Drop(now, name)
		}
	}
	for _, s := range c.services {
		slices.SortFunc(s.targets, func(a, b *target) int { return cmp.Compare(a.Name, b.Name) })
	}
	return c.Tick(now)
}

// present adds or updates one live target.
func (c *Core) present(now time.Time, m announce.Member) {
	t := c.targets[m.Name]
	if t == nil {
		t = &target{running: map[string]time.Time{}}
		c.targets[m.Name] = t
	}
	t.Member = m
	c.credits.SetTarget(now, m.Name, m.Slots, m.Guard)
	s := c.service(m.Service)
	s.targets = append(s.targets, t)
	s.health.Present(m.Name, m.Leaving)
}
