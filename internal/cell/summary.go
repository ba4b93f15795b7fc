package cell

import (
	"time"

	"github.com/crocusspring/crocusspring/internal/chart"
	"github.com/crocusspring/crocusspring/internal/logsvc"
)

// Summary is an overview of a cell.
type Summary struct {
	// Holder and Epoch are the owner according to the log, and its epoch.
	Holder string        `json:"holder"`
	Epoch  logsvc.Offset `json:"epoch"`
	// Owner reports whether this process may act as the owner now.
	Owner  bool          `json:"owner"`
	AtTail bool          `json:"at_tail"`
	Next   logsvc.Offset `json:"next_offset"`
	// Tasks counts tasks by state; every state of the chart has an entry.
	Tasks map[chart.State]int `json:"tasks"`
	// Unsent counts records that are decided but not yet seen in the stream.
	Unsent int `json:"unsent_records"`
}

// Summary returns an overview of the cell.
func (c *Core) Summary(now time.Time) Summary {
	s := Summary{AtTail: c.ready, Next: c.state.next, Tasks: map[chart.State]int{}, Unsent: c.unsent()}
	s.Holder, s.Epoch = c.lease.Holder()
	_, s.Owner = c.lease.Owner(now)
	for _, st := range taskChart.States() {
		s.Tasks[st] = 0
	}
	for _, t := range c.state.tasks {
		s.Tasks[t.State]++
	}
	return s
}

// unsent counts the decisions that have not been seen in the stream yet.
func (c *Core) unsent() int {
	if c.owner == nil {
		return 0
	}
	return c.owner.outbox.unconfirmed()
}

// OpenTasks counts the tasks of a workspace that have not ended.
func (c *Core) OpenTasks(workspace string) int {
	n := 0
	for _, t := range c.state.tasks {
		if t.Workspace == workspace && !t.Done() {
			n++
		}
	}
	return n
}
