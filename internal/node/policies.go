package node

import (
	"context"
	"time"

	"github.com/crocusspring/crocusspring/internal/announce"
	"github.com/crocusspring/crocusspring/internal/cell"
	"github.com/crocusspring/crocusspring/internal/config"
	"github.com/crocusspring/crocusspring/internal/place"
	"github.com/crocusspring/crocusspring/internal/queue"
)

// defaultPolicy is the name of the throttle and placement policies that apply to all cells.
const defaultPolicy = "default"

// runPolicies sets the policies in effect on every cell, at the start and whenever the configuration
// changes, until ctx ends.
func (n *Node) runPolicies(ctx context.Context) error {
	sent := map[string]queue.Policy{}
	for ctx.Err() == nil {
		v := n.config.Current()
		p := policiesOf(v)
		for name := range sent {
			if _, ok := p.Workspaces[name]; !ok {
				p.Workspaces[name] = queue.Policy{}
			}
		}
		for _, d := range n.cells {
			d.SetPolicies(p)
		}
		sent = p.Workspaces
		n.config.Await(ctx, v.Offset+1)
	}
	return nil
}

// policiesOf returns the policies that the configuration defines for workspaces, classes, throttling,
// placement and drains.
func policiesOf(v *config.View) cell.Policies {
	out := cell.Policies{Workspaces: map[string]queue.Policy{}, Classes: map[string]cell.ClassPolicy{}}
	for name, w := range v.Workspaces {
		out.Workspaces[name] = queue.Policy{Weight: w.Weight, Quota: w.Quota, Exact: true}
	}
	for name, c := range v.Classes {
		out.Classes[name] = cell.ClassPolicy{
			Urgent: c.Urgent, Fixed: !c.Evictable, MaxFailures: c.MaxFailures, CheckpointEvery: c.CheckpointEvery,
		}
	}
	if t, ok := v.Throttle[defaultPolicy]; ok {
		out.SlowdownLimit, out.ThrottlePercent = t.MaxSlowdown, max(1, int(t.MinShare*100))
	}
	if p, ok := v.Placement[defaultPolicy]; ok {
		out.KeepFree = p.KeepFree
		out.Strategy, out.InterferenceWeight = place.Strategy(p.Strategy), p.InterferenceWeight
	}
	out.Drained = func(m announce.Member) (time.Duration, bool) {
		d, drained := v.Drained(m.Name, m.Rack, m.DataCentre)
		return d.EvictAfter, drained
	}
	return out
}
