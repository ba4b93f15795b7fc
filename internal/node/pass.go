package node

import (
	"cmp"
	"slices"

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

// rank returns the place of this node by id among the processes that are ready, from 0. Entries come
// before guards.
func (n *Node) rank() int {
	ps := n.members.Processes()
	ps = slices.DeleteFunc(ps, func(p *peerv1.Process) bool { return !p.Ready && p.Id != n.opt.ID })
	slices.SortFunc(ps, func(a, b *peerv1.Process) int {
		return cmp.Or(cmp.Compare(a.Role, b.Role), cmp.Compare(a.Id, b.Id))
	})
	return slices.IndexFunc(ps, func(p *peerv1.Process) bool { return p.Id == n.opt.ID })
}
