package configrun

import (
	"fmt"

	"github.com/crocusspring/crocusspring/internal/config"
	"github.com/crocusspring/crocusspring/internal/follow"
	"github.com/crocusspring/crocusspring/internal/logsvc"
)

const (
	// maxRecentEntries is how many entries are kept for peers.
	maxRecentEntries = 512
	// maxEntriesPerExchange bounds the entries sent to a peer in one exchange.
	maxEntriesPerExchange = 128
)

// recentEntries keeps the newest entries in the form they were read, with consecutive offsets.
type recentEntries struct{ entries []logsvc.Entry }

// add adds one entry and drops the oldest ones beyond maxRecentEntries. An entry that does not follow the
// newest one replaces all entries.
func (p *recentEntries) add(e logsvc.Entry) {
	if n := len(p.entries); n > 0 && p.entries[n-1].Offset+1 != e.Offset {
		p.entries = nil
	}
	p.entries = append(p.entries, e)
	if over := len(p.entries) - maxRecentEntries; over > 0 {
		p.entries = append([]logsvc.Entry(nil), p.entries[over:]...)
	}
}

// since returns at most maxEntriesPerExchange entries after an offset; false when some of them are not kept.
func (p *recentEntries) since(offset logsvc.Offset) ([]logsvc.Entry, bool) {
	if len(p.entries) == 0 || p.entries[0].Offset > offset+1 {
		return nil, false
	}
	at := min(int(offset+1-p.entries[0].Offset), len(p.entries))
	return p.entries[at:min(at+maxEntriesPerExchange, len(p.entries))], true
}

// Since returns the entries to send to a peer that has folded up to an offset: those after it, or a single
// snapshot of this process when they are no longer kept. The snapshot has offset 0, since it is not in the
// log and must not replace an entry that is.
func (d *Driver) Since(offset logsvc.Offset) []logsvc.Entry {
	d.mu.Lock()
	defer d.mu.Unlock()
	next := d.state.Next()
	if offset+1 >= next {
		return nil
	}
	if es, ok := d.recentEntries.since(offset); ok {
		return append([]logsvc.Entry(nil), es...)
	}
	state, err := d.state.Snapshot()
	if err != nil {
		d.logger.Error("Snapshot can't be made.", "err", err)
		return nil
	}
	s := follow.Snapshot{Next: next, Schema: config.SnapshotSchema, State: state}
	data, err := follow.NewSnapshot(fmt.Sprintf("pass-%d", next), d.opt.Self, s)
	if err != nil {
		d.logger.Error("Snapshot can't be made.", "err", err)
		return nil
	}
	return []logsvc.Entry{{Data: data}}
}

// Offer folds entries that a peer sent, together with the offset that the peer has reached and whether it is
// ready. Entries are folded only in order and without a gap, so late, repeated or reordered ones can't change
// the effective configuration.
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
		d.foldEntries(entries)
	}
	if peerReady && d.state.Next() > peerOffset {
		d.markReady("a peer")
	}
}
