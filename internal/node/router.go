package node

import (
	"context"
	"net"
	"slices"
	"time"

	"github.com/crocusspring/crocusspring/internal/claimrun"
	"github.com/crocusspring/crocusspring/internal/dispatch"
	"github.com/crocusspring/crocusspring/internal/logs"
	"github.com/crocusspring/crocusspring/internal/members"
)

// newRequests makes the request path of a node that serves at an address.
func (n *Node) newRequests(addr net.Addr) {
	self := addr.String()
	if n.opt.Advertise != "" {
		self = n.opt.Advertise
	}
	n.addr.Store(self)
	set := dispatch.Settings{
		Self: self, Granters: n.homes(self), DataCentre: n.opt.DataCentre, Incarnation: n.began.UnixNano(),
	}
	n.requests = dispatch.New(set, n.members, n.ports.Targets, logs.Part(n.lg, "request"))
	others := slices.DeleteFunc(slices.Clone(set.Granters), func(addr string) bool { return addr == self })
	keep := claimrun.Options{Self: self, Others: others, SnapshotAge: n.opt.SnapshotAge}
	n.claims = claimrun.New(n.ports.Log, n.members, keep, logs.Part(n.lg, "claim"))
	n.members.Provide(members.Services{Borrow: n.requests.Lend, Outcome: n.claims.Outcome})
}

// homes returns the addresses of all entries. Every entry must have the same ones in its settings,
// since the slots of targets are dealt to them.
func (n *Node) homes(self string) []string {
	homes := slices.Clone(n.opt.Entries)
	if len(homes) == 0 {
		homes = slices.Clone(n.opt.Peers)
	}
	if n.opt.Role == RoleEntry {
		homes = append(homes, self)
	}
	slices.Sort(homes)
	return slices.Compact(homes)
}

// runner is a port that has work to do in the background.
type runner interface{ Run(context.Context) }

// runRequests keeps the request path going until ctx ends.
func (n *Node) runRequests(ctx context.Context) {
	if r, ok := n.ports.Targets.(runner); ok {
		go r.Run(ctx)
	}
	go n.claims.Run(ctx)
	n.requests.Run(ctx)
}

// lag keeps serving for a while after readiness went down, so that the balancer sends its requests
// elsewhere before the listener closes.
func (n *Node) lag(ctx context.Context) {
	t := time.NewTimer(n.opt.ReadyLag)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
