package lease

import (
	"time"

	"github.com/crocusspring/crocusspring/internal/logsvc"
)

// Snapshot is the lease state derived from the stream, the same for every reader.
type Snapshot struct {
	Holder         string        `json:"holder"`
	Epoch          logsvc.Offset `json:"epoch"`
	Last           logsvc.Offset `json:"last"`
	LeaseMS        int64         `json:"held_ms"`
	TaskLeaseMS    int64         `json:"task_lease_ms"`
	Voters         []string      `json:"voters,omitempty"`
	MaxExtensionMS int64         `json:"stretch_ms,omitempty"`
	PriorHolderMS  int64         `json:"ghost_ms,omitempty"`
}

// Snapshot returns the state derived from the stream.
func (c *Core) Snapshot() Snapshot {
	return Snapshot{
		Holder: c.holder, Epoch: c.epoch, Last: c.newestOffset, LeaseMS: c.leaseLength.Milliseconds(), TaskLeaseMS: c.maxTaskLease.Milliseconds(),
		Voters: c.voters, MaxExtensionMS: c.maxExtension.Milliseconds(), PriorHolderMS: c.priorHolderMS,
	}
}

// Restore replaces the state derived from the stream. The newest lease record counts as read now, which is
// no earlier than it was, and a lease that this process may have held is given up: it has to take the cell
// again, since it does not know what it did under the old epoch.
func (c *Core) Restore(now time.Time, s Snapshot) {
	c.holder, c.epoch, c.newestOffset = s.Holder, s.Epoch, s.Last
	c.leaseLength = time.Duration(s.LeaseMS) * time.Millisecond
	c.maxTaskLease = time.Duration(s.TaskLeaseMS) * time.Millisecond
	c.newestReadAt, c.validUntil = now, time.Time{}
	c.voters, c.maxExtension = s.Voters, time.Duration(s.MaxExtensionMS)*time.Millisecond
	c.priorHolderMS, c.priorHolderUntil = s.PriorHolderMS, time.Time{}
	if s.PriorHolderMS > 0 {
		c.priorHolderUntil = now.Add(time.Duration(s.PriorHolderMS) * time.Millisecond)
	}
	c.promiseRequestedAt, c.appendBegan = map[string]time.Time{}, time.Time{}
	c.pending, c.newestAppendAt = map[int64]pendingAppend{}, time.Time{}
	c.restored = true
}
