package node

import (
	"sync"

	"github.com/crocusspring/crocusspring/charts"
	"github.com/crocusspring/crocusspring/internal/chart"
)

// States and events of charts/process.yaml.
const (
	lifeStarting chart.State = "starting"
	lifeReady    chart.State = "ready"
	lifeLeaving  chart.State = "leaving"
	lifeStopped  chart.State = "stopped"

	eventCaughtUp     chart.Event = "caught-up"
	eventStop         chart.Event = "stop"
	eventDrained      chart.Event = "drained"
	eventDrainTimeout chart.Event = "drain-timeout"
)

var lifeChart = chart.MustLoad(charts.Files, "process.yaml")

// life is where a process stands between its start and its end. Use newLife to make one.
type life struct {
	mu    sync.Mutex
	state chart.State
}

// newLife returns the life of a process that is starting.
func newLife() *life { return &life{state: lifeChart.Initial} }

// fire moves along the chart and reports whether the event was taken.
func (l *life) fire(e chart.Event) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	to, err := lifeChart.Next(l.state, e)
	if err != nil {
		return false
	}
	l.state = to
	return true
}

// State returns where the process stands.
func (l *life) State() chart.State {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state
}

// Leaving reports whether the process has been asked to stop.
func (l *life) Leaving() bool {
	s := l.State()
	return s == lifeLeaving || s == lifeStopped
}
