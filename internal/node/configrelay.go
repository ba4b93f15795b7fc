package node

import (
	"cmp"
	"slices"
	"time"

	peerv1 "github.com/crocusspring/crocusspring/api/peer/v1"
	"github.com/crocusspring/crocusspring/internal/configrun"
	"github.com/crocusspring/crocusspring/internal/logsvc"
)

// configRelay converts between entries of the configuration stream and the form in which peers exchange
// them.
type configRelay struct{ config *configrun.Driver }

// Since implements members.ConfigRelay.
func (c configRelay) Since(offset int64) []*peerv1.ConfigEntry {
	var out []*peerv1.ConfigEntry
	for _, e := range c.config.Since(logsvc.Offset(offset)) {
		out = append(out, &peerv1.ConfigEntry{Offset: int64(e.Offset), Data: e.Data})
	}
	return out
}

// Offer implements members.ConfigRelay.
func (c configRelay) Offer(sender *peerv1.Process, entries []*peerv1.ConfigEntry) {
	var in []logsvc.Entry
	for _, e := range entries {
		in = append(in, logsvc.Entry{Offset: logsvc.Offset(e.Offset), Data: e.Data})
	}
	c.config.Offer(in, logsvc.Offset(sender.GetConfigOffset()), sender.GetReady())
}

// logFollowers is the number of processes that read the configuration from the log and pass it on to the
// others; two of them may fail at the same time.
const logFollowers = 3

// guardPollInterval is the interval at which a guard polls the log while others follow it. Entries poll more
// often, since there are few of them.
const guardPollInterval = 30 * time.Second

// followsLog reports whether this node must read the configuration from the log itself. Of the processes
// that can reach the log, the first logFollowers in order do so; while no process reports that it can, the
// first logFollowers of all processes try.
func (n *Node) followsLog() bool {
	ps := n.orderedProcesses()
	working := slices.DeleteFunc(slices.Clone(ps), func(p *peerv1.Process) bool { return !p.LogOk })
	if len(working) > 0 {
		ps = working
	}
	at := slices.IndexFunc(ps, func(p *peerv1.Process) bool { return p.Id == n.opt.ID })
	return at >= 0 && at < logFollowers
}

// orderedProcesses returns the live processes in an order on which they all agree: by role, entries
// before guards, then by id.
func (n *Node) orderedProcesses() []*peerv1.Process {
	ps := n.members.Processes()
	slices.SortFunc(ps, func(a, b *peerv1.Process) int {
		return cmp.Or(cmp.Compare(a.Role, b.Role), cmp.Compare(a.Id, b.Id))
	})
	return ps
}

// rank returns the 0-based position of this node in the order of the processes that are ready.
func (n *Node) rank() int {
	ps := slices.DeleteFunc(n.orderedProcesses(), func(p *peerv1.Process) bool { return !p.Ready && p.Id != n.opt.ID })
	return slices.IndexFunc(ps, func(p *peerv1.Process) bool { return p.Id == n.opt.ID })
}

// pollInterval returns the interval at which a process of a role polls a log that others follow; 0 for the
// default.
func pollInterval(r Role) time.Duration {
	if r == RoleGuard {
		return guardPollInterval
	}
	return 0
}
