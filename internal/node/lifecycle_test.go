package node

import (
	"testing"

	"github.com/crocusspring/crocusspring/internal/chart"
)

// TestLifecycleChart checks that code and chart have the same states and events, and that a leaving process
// never becomes ready again.
func TestLifecycleChart(t *testing.T) {
	states := []chart.State{stateStarting, stateReady, stateLeaving, stateStopped}
	events := []chart.Event{eventCaughtUp, eventStop, eventDrained, eventDrainTimeout}
	for _, m := range lifecycleChart.Differences(states, events) {
		t.Error(m)
	}
	l := newLifecycle()
	l.fire(eventStop)
	if l.fire(eventCaughtUp) || !l.Leaving() {
		t.Errorf("a leaving process is in state %s", l.State())
	}
	if !l.fire(eventDrained) || l.State() != stateStopped {
		t.Errorf("a drained process is in state %s", l.State())
	}
}
