package node

import (
	"sync"

	"github.com/crocusspring/crocusspring/charts"
	"github.com/crocusspring/crocusspring/internal/chart"
)

// States and events of charts/process.yaml.
const (
	stateStarting chart.State = "starting"
	stateReady    chart.State = "ready"
	stateLeaving  chart.State = "leaving"
	stateStopped  chart.State = "stopped"

	eventCaughtUp     chart.Event = "caught-up"
	eventStop         chart.Event = "stop"
	eventDrained      chart.Event = "drained"
	eventDrainTimeout chart.Event = "drain-timeout"
)

var lifecycleChart = chart.MustLoad(charts.Files, "process.yaml")

// lifecycle is the lifecycle state of a process. Use newLifecycle to make one.
type lifecycle struct {
	mu    sync.Mutex
	state chart.State
}

// newLifecycle returns the lifecycle of a process that is starting.
func newLifecycle() *lifecycle { return &lifecycle{state: lifecycleChart.Initial} }

// fire applies an event to the state and reports whether the chart allows it in that state.
func (l *lifecycle) fire(e chart.Event) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	to, err := lifecycleChart.Next(l.state, e)
	if err != nil {
		return false
	}
	l.state = to
	return true
}

// State returns the current state.
func (l *lifecycle) State() chart.State {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state
}

// Leaving reports whether the process is stopping or has stopped.
func (l *lifecycle) Leaving() bool {
	s := l.State()
	return s == stateLeaving || s == stateStopped
}
