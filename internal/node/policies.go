package node

import (
	"sync"
	"time"

	"github.com/crocusspring/crocusspring/internal/announce"
	"github.com/crocusspring/crocusspring/internal/cell"
	"github.com/crocusspring/crocusspring/internal/config"
	"github.com/crocusspring/crocusspring/internal/queue"
)

// defaultPolicy is the name of the throttle and placement policies that are in force for all cells.
const defaultPolicy = "default"

// policies turns the configuration in force into what cells need, once for each view.
type policies struct {
	mu   sync.Mutex
	view *config.View
	last *cell.Policies
}

// of returns the policies of a view.
func (p *policies) of(v *config.View) *cell.Policies {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.view != v {
		p.view, p.last = v, cellPolicies(v)
	}
	return p.last
}

// cellPolicies converts a view.
func cellPolicies(v *config.View) *cell.Policies {
	out := &cell.Policies{Workspaces: map[string]queue.Policy{}, Classes: map[string]cell.ClassPolicy{}}
	for name, w := range v.Workspaces {
		out.Workspaces[name] = queue.Policy{Weight: w.Weight, Quota: w.Quota}
	}
	for name, c := range v.Classes {
		out.Classes[name] = cell.ClassPolicy{
			Urgent: c.Urgent, Fixed: !c.Evictable, MaxFailures: c.MaxFailures, CheckpointEvery: c.CheckpointEvery,
		}
	}
	if t, ok := v.Throttle[defaultPolicy]; ok {
		out.SlowdownLimit, out.ThrottlePercent = t.MaxSlowdown, max(1, int(t.Least*100))
	}
	if p, ok := v.Placement[defaultPolicy]; ok {
		out.KeepFree = p.KeepFree
	}
	out.Drained = func(m announce.Member) (time.Duration, bool) {
		d, drained := v.Drained(m.Name, m.Rack, m.DataCentre)
		return d.EvictAfter, drained
	}
	return out
}
