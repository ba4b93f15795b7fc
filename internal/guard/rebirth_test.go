package guard

import (
	"testing"

	"github.com/crocusspring/crocusspring/internal/link"
)

// TestSettledStartAfterRebirth guards against a start that was held up and settled by a stop, and is carried out by the next
// incarnation of the same ID: that one knows nothing of the stop, and the task runs elsewhere.
func TestSettledStartAfterRebirth(t *testing.T) {
	c := newRebornCore(t)
	unanswered := ref(1, 1)
	answer(c, 1100, "w@10", link.RunStatus{RunRef: ref(0, 1)})
	for _, o := range c.DueStops() {
		c.StopAnswered(o.Start.RunRef, nil)
	}
	answer(c, 1200, "w@10", link.RunStatus{RunRef: ref(0, 1)})
	if absent := c.Report(1200, nil, false).Ended; len(absent) != 1 || absent[0].RunRef != unanswered {
		t.Fatalf("absent %v, want the start without an answer", absent)
	}
	answer(c, 4000, "w@20")
	stopped := false
	for _, o := range c.DueStops() {
		stopped = stopped || o.Start.RunRef == unanswered
	}
	if !stopped || !c.Settling() {
		t.Error("the next incarnation isn't told to refuse the run")
	}
	// A start that was sent long ago isn't on its way any more.
	c = newRebornCore(t)
	answer(c, 1000+2*maxLateMS, "w@20")
	if _, late := c.lateStarts[unanswered]; late {
		t.Error("a start of a minute ago is still taken for one on its way")
	}
}
