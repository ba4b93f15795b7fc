package lease

import (
	"time"

	"github.com/crocusspring/crocusspring/internal/logsvc"
)

// Snapshot is the folded part of a lease, the same for every reader of the stream.
type Snapshot struct {
	Holder      string        `json:"holder"`
	Epoch       logsvc.Offset `json:"epoch"`
	Last        logsvc.Offset `json:"last"`
	HeldMS      int64         `json:"held_ms"`
	TaskLeaseMS int64         `json:"task_lease_ms"`
	Voters      []string      `json:"voters,omitempty"`
	StretchMS   int64         `json:"stretch_ms,omitempty"`
	GhostMS     int64         `json:"ghost_ms,omitempty"`
}

// Snapshot returns the folded part.
func (c *Core) Snapshot() Snapshot {
	return Snapshot{
		Holder: c.holder, Epoch: c.epoch, Last: c.last, HeldMS: c.held.Milliseconds(), TaskLeaseMS: c.tasks.Milliseconds(),
		Voters: c.voters, StretchMS: c.stretch.Milliseconds(), GhostMS: c.ghostMS,
	}
}

// Restore replaces the folded part. The newest lease record counts as seen now, which is no earlier
// than it was, and what this process may have held is given up: it has to take the cell anew, since it
// does not know what it did under the old epoch.
func (c *Core) Restore(now time.Time, s Snapshot) {
	c.holder, c.epoch, c.last = s.Holder, s.Epoch, s.Last
	c.held = time.Duration(s.HeldMS) * time.Millisecond
	c.tasks = time.Duration(s.TaskLeaseMS) * time.Millisecond
	c.seen, c.validTil = now, time.Time{}
	c.voters, c.stretch = s.Voters, time.Duration(s.StretchMS)*time.Millisecond
	c.ghostMS, c.ghostTil = s.GhostMS, time.Time{}
	if s.GhostMS > 0 {
		c.ghostTil = now.Add(time.Duration(s.GhostMS) * time.Millisecond)
	}
	c.words, c.base = map[string]time.Time{}, time.Time{}
	c.sent, c.sentAt = map[int64]sending{}, time.Time{}
	c.restored = true
}
