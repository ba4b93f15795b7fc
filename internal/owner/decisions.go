package owner

import (
	"github.com/crocusspring/crocusspring/internal/event"
	"github.com/crocusspring/crocusspring/internal/sched"
)

// maxDecisionsPerLine bounds the length of a log line: a decision takes about a hundred bytes.
const maxDecisionsPerLine = 64

// decisionGroup holds decisions of one kind that share a log line.
type decisionGroup struct {
	Decision  event.Message
	decisions []event.Decision
}

// groupDecisions groups the decisions of a round by kind, in the order of the first of each kind. An owner of a large
// cell decides about hundreds of tasks a second; in lines of their own they would exceed the rate of a kind of line.
func groupDecisions(records []sched.DecisionRecord) []decisionGroup {
	var out []decisionGroup
	open := map[event.Message]int{}
	for _, r := range records {
		i, ok := open[r.Decision]
		if !ok || len(out[i].decisions) == maxDecisionsPerLine {
			i = len(out)
			open[r.Decision] = i
			out = append(out, decisionGroup{Decision: r.Decision})
		}
		out[i].decisions = append(out[i].decisions, event.Decision{Subject: r.Subject, Inputs: r.Reason})
	}
	return out
}

// logDecisions logs and counts the scheduler's decisions. The caller holds the lock.
func (c *Cell) logDecisions() { c.logGroups(groupDecisions(c.core.Decisions())) }

// logGroups logs and counts decisions: one of its kind in a line of its own, several together.
func (c *Cell) logGroups(groups []decisionGroup) {
	for _, g := range groups {
		c.scope.Tagged(map[string]string{"decision": string(g.Decision)}).Counter("decisions").Inc(int64(len(g.decisions)))
		if len(g.decisions) == 1 {
			d := g.decisions[0]
			c.log.Info(g.Decision, "subject", d.Subject, "epoch", c.epoch, "inputs", d.Inputs)
			continue
		}
		c.log.Info(g.Decision, "epoch", c.epoch, "count", len(g.decisions), event.FieldDecisions, event.JoinDecisions(g.decisions))
	}
}
