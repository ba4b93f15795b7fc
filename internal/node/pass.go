package node

import (
	"cmp"
	"slices"
	"time"

	peerv1 "github.com/crocusspring/crocusspring/api/peer/v1"
	"github.com/crocusspring/crocusspring/internal/configrun"
	"github.com/crocusspring/crocusspring/internal/logsvc"
)

// configPasser is the wire form of what peers pass each other of the configuration stream.
type configPasser struct{ config *configrun.Driver }

// Since implements members.ConfigPasser.
func (c configPasser) Since(offset int64) []*peerv1.ConfigEntry {
	var out []*peerv1.ConfigEntry
	for _, e := range c.config.Since(logsvc.Offset(offset)) {
		out = append(out, &peerv1.ConfigEntry{Offset: int64(e.Offset), Data: e.Data})
	}
	return out
}

// Offer implements members.ConfigPasser.
func (c configPasser) Offer(sender *peerv1.Process, entries []*peerv1.ConfigEntry) {
	var in []logsvc.Entry
	for _, e := range entries {
		in = append(in, logsvc.Entry{Offset: logsvc.Offset(e.Offset), Data: e.Data})
	}
	c.config.Offer(in, logsvc.Offset(sender.GetConfigOffset()), sender.GetReady())
}

// followers is how many processes follow the log for all; two of them may be lost at once.
const followers = 3

// guardLook is how often a guard looks at the log that others follow. Entries are few and look more often.
const guardLook = 30 * time.Second

// follows reports whether this node is to follow the configuration on the log itself: the first
// followers in order whose log works do. While none is heard of, the first in order try.
func (n *Node) follows() bool {
	ps := n.ordered()
	working := slices.DeleteFunc(slices.Clone(ps), func(p *peerv1.Process) bool { return !p.LogOk })
	if len(working) > 0 {
		ps = working
	}
	at := slices.IndexFunc(ps, func(p *peerv1.Process) bool { return p.Id == n.opt.ID })
	return at >= 0 && at < followers
}

// ordered returns the processes that are alive in an order they all agree on: entries before guards.
func (n *Node) ordered() []*peerv1.Process {
	ps := n.members.Processes()
	slices.SortFunc(ps, func(a, b *peerv1.Process) int {
		return cmp.Or(cmp.Compare(a.Role, b.Role), cmp.Compare(a.Id, b.Id))
	})
	return ps
}

// rank returns the place of this node by id among the processes that are ready, from 0. Entries come
// before guards.
func (n *Node) rank() int {
	ps := slices.DeleteFunc(n.ordered(), func(p *peerv1.Process) bool { return !p.Ready && p.Id != n.opt.ID })
	return slices.IndexFunc(ps, func(p *peerv1.Process) bool { return p.Id == n.opt.ID })
}

// lookOf returns how often a process of a role looks at a log that others follow; 0 for the default.
func lookOf(r Role) time.Duration {
	if r == RoleGuard {
		return guardLook
	}
	return 0
}
