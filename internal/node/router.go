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

// newRequests creates the components that serve requests at a node with the given listen address.
func (n *Node) newRequests(addr net.Addr) {
	self := addr.String()
	if n.opt.Advertise != "" {
		self = n.opt.Advertise
	}
	n.addr.Store(self)
	settings := dispatch.Settings{
		Self: self, Granters: n.granters(self), DataCentre: n.opt.DataCentre, Incarnation: n.began.UnixNano(),
	}
	n.requests = dispatch.New(settings, n.members, n.ports.Targets, logs.Part(n.lg, "request"))
	others := slices.DeleteFunc(slices.Clone(settings.Granters), func(addr string) bool { return addr == self })
	claimOptions := claimrun.Options{Self: self, Others: others, SnapshotAge: n.opt.SnapshotAge}
	n.claims = claimrun.New(n.ports.Log, n.members, claimOptions, logs.Part(n.lg, "claim"))
	n.members.SetServices(members.Services{Borrow: n.requests.Lend, Outcome: n.claims.Outcome})
}

// granters returns the addresses of all entries, which grant the slots of targets that have no guard. Every
// entry must be configured with the same ones, since the slots are divided among them.
func (n *Node) granters(self string) []string {
	addrs := slices.Clone(n.opt.Entries)
	if len(addrs) == 0 {
		addrs = slices.Clone(n.opt.Peers)
	}
	if n.opt.Role == RoleEntry {
		addrs = append(addrs, self)
	}
	slices.Sort(addrs)
	return slices.Compact(addrs)
}

// runner is a port with a background task.
type runner interface{ Run(context.Context) }

// runRequests runs the background tasks of the request path until ctx ends.
func (n *Node) runRequests(ctx context.Context) {
	if r, ok := n.ports.Targets.(runner); ok {
		go r.Run(ctx)
	}
	go n.claims.Run(ctx)
	n.requests.Run(ctx)
}

// waitReadyLag waits for Options.ReadyLag after the node has reported that it is not ready, so that the load
// balancer stops sending requests to it before the listener closes.
func (n *Node) waitReadyLag(ctx context.Context) {
	t := time.NewTimer(n.opt.ReadyLag)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
