package configrun

import (
	"fmt"

	"github.com/crocusspring/crocusspring/internal/config"
	"github.com/crocusspring/crocusspring/internal/follow"
	"github.com/crocusspring/crocusspring/internal/logsvc"
)

const (
	// keptEntries is how many entries are kept to be passed on.
	keptEntries = 512
	// passLimit bounds the entries passed on in one exchange.
	passLimit = 128
)

// passed keeps the newest entries as they were read, without a gap.
type passed struct{ entries []logsvc.Entry }

// add keeps one entry and forgets the oldest one over the limit.
func (p *passed) add(e logsvc.Entry) {
	if n := len(p.entries); n > 0 && p.entries[n-1].Offset+1 != e.Offset {
		p.entries = nil
	}
	p.entries = append(p.entries, e)
	if over := len(p.entries) - keptEntries; over > 0 {
		p.entries = append([]logsvc.Entry(nil), p.entries[over:]...)
	}
}

// since returns the entries after an offset; false when they are not all kept.
func (p *passed) since(offset logsvc.Offset) ([]logsvc.Entry, bool) {
	if len(p.entries) == 0 || p.entries[0].Offset > offset+1 {
		return nil, false
	}
	at := min(int(offset+1-p.entries[0].Offset), len(p.entries))
	return p.entries[at:min(at+passLimit, len(p.entries))], true
}

// Since returns what a peer that has folded up to an offset is to be passed: the entries after it, or
// one snapshot of this process when they are no longer kept. It has offset 0, since it stands nowhere
// in the log and must not take the place of an entry that does.
func (d *Driver) Since(offset logsvc.Offset) []logsvc.Entry {
	d.mu.Lock()
	defer d.mu.Unlock()
	next := d.state.Next()
	if offset+1 >= next {
		return nil
	}
	if es, ok := d.passed.since(offset); ok {
		return append([]logsvc.Entry(nil), es...)
	}
	state, err := d.state.Snapshot()
	if err != nil {
		d.lg.Error("Snapshot can't be made.", "err", err)
		return nil
	}
	s := follow.Snapshot{Next: next, Schema: config.SnapshotSchema, State: state}
	data, err := follow.NewSnapshot(fmt.Sprintf("pass-%d", next), d.opt.Self, s)
	if err != nil {
		d.lg.Error("Snapshot can't be made.", "err", err)
		return nil
	}
	return []logsvc.Entry{{Data: data}}
}

// Offer takes what a peer passed on together with the offset the peer has in force and whether it is
// ready. Entries count only in order and without a gap, so nothing that is late, repeated or out of
// order can change what is in force.
func (d *Driver) Offer(entries []logsvc.Entry, peerOffset logsvc.Offset, peerReady bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(entries) > 0 && entries[0].Offset == 0 {
		if s, ok := follow.ReadSnapshot(entries[0]); ok {
			_ = d.restore(s)
		}
		entries = entries[1:]
	}
	if len(entries) > 0 {
		d.take(entries)
	}
	if peerReady && d.state.Next() > peerOffset {
		d.becomeReady("a peer")
	}
}
