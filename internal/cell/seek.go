package cell

import (
	"errors"
	"time"

	"github.com/crocusspring/crocusspring/internal/lease"
	"github.com/crocusspring/crocusspring/internal/logsvc"
)

// ErrNoSnapshot says that entries have expired and what is left holds no snapshot to start from.
var ErrNoSnapshot = errors.New("entries have expired and no snapshot is left")

// ErrAllExpired says that nothing at all is left of a stream that once had entries.
var ErrAllExpired = errors.New("all entries have expired")

// seek looks for a snapshot after a gap. Nothing is folded until there is one.
type seek struct {
	active bool
	// first is the oldest offset that can still be read; buffer holds what was read from there on.
	first  logsvc.Offset
	buffer []logsvc.Entry
	told   bool
}

// gap gives up the fold: entries before an offset are gone.
func (c *Core) gap(first logsvc.Offset) {
	c.ready, c.own = false, nil
	c.seek = seek{active: true, first: first}
}

// find takes entries while a snapshot is sought, and folds what follows the first usable one.
func (c *Core) find(now time.Time, ev Entries) {
	for _, e := range ev.Entries {
		c.seek.buffer = append(c.seek.buffer, e)
		snap, ok := asSnapshot(e)
		if !ok || snap.Next < c.seek.first {
			continue
		}
		s, err := restore(now, c.lease, snap)
		if err != nil {
			c.fault(err)
			continue
		}
		c.state = s
		rest := append(c.seek.buffer, ev.Entries...)
		c.seek = seek{}
		c.fold(now, Entries{Entries: rest, Tail: ev.Tail})
		return
	}
	c.barren(now, ev.Tail)
}

// barren deals with a stream whose end was reached without a snapshot. Only when nothing is left at
// all does the fold start anew, since nothing can be told about what was there.
func (c *Core) barren(now time.Time, tail logsvc.Offset) {
	if len(c.seek.buffer) == 0 && tail == c.seek.first {
		c.fault(ErrAllExpired)
		c.state = newState()
		c.state.next = tail
		c.lease.Restore(now, lease.Snapshot{})
		c.seek = seek{}
		c.ready = true
		return
	}
	n := len(c.seek.buffer)
	if n > 0 && c.seek.buffer[n-1].Offset+1 >= tail && !c.seek.told {
		c.seek.told = true
		c.fault(ErrNoSnapshot)
	}
}
