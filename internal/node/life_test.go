package node

import (
	"testing"

	"github.com/crocusspring/crocusspring/internal/chart"
)

// TestLifeChart checks that code and chart name the same states and events, and that a leaving process
// never becomes ready again.
func TestLifeChart(t *testing.T) {
	states := []chart.State{lifeStarting, lifeReady, lifeLeaving, lifeStopped}
	events := []chart.Event{eventCaughtUp, eventStop, eventDrained, eventDrainTimeout}
	for _, m := range lifeChart.Differences(states, events) {
		t.Error(m)
	}
	l := newLife()
	l.fire(eventStop)
	if l.fire(eventCaughtUp) || !l.Leaving() {
		t.Errorf("a leaving process is in state %s", l.State())
	}
	if !l.fire(eventDrained) || l.State() != lifeStopped {
		t.Errorf("a drained process is in state %s", l.State())
	}
}
