package node

import (
	"context"

	"github.com/crocusspring/crocusspring/internal/announce"
	"github.com/crocusspring/crocusspring/internal/cell"
	"github.com/crocusspring/crocusspring/internal/config"
	"github.com/crocusspring/crocusspring/internal/queue"
)

// keepPolicies gives every cell the weights, quotas and drains in force as they change.
func (n *Node) keepPolicies(ctx context.Context) error {
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

// policiesOf is what the configuration says of workspaces and workers.
func policiesOf(v *config.View) cell.Policies {
	p := cell.Policies{Workspaces: map[string]queue.Policy{}}
	for name, w := range v.Workspaces {
		p.Workspaces[name] = queue.Policy{Weight: w.Weight, Quota: w.Quota, Exact: true}
	}
	p.Drained = func(m announce.Member) bool {
		_, ok := v.Drained(m.Name, m.Rack, m.DataCentre)
		return ok
	}
	return p
}
