package lease

import (
	"github.com/crocusspring/crocusspring/charts"
	"github.com/crocusspring/crocusspring/internal/chart"
)

// States and events of charts/cell-lease.yaml.
const (
	stateFree chart.State = "free"
	stateHeld chart.State = "held"

	eventTake    chart.Event = "take"
	eventRenew   chart.Event = "renew"
	eventRelease chart.Event = "release"
)

var leaseChart = chart.MustLoad(charts.Files, "cell-lease.yaml")

// events maps the operation of a lease record to its chart event.
var events = map[Op]chart.Event{OpTake: eventTake, OpRenew: eventRenew, OpRelease: eventRelease}

// state returns the current chart state of the lease.
func (c *Core) state() chart.State {
	if c.holder == "" {
		return stateFree
	}
	return stateHeld
}

// nextState returns the state after a record with this operation, and whether the chart allows the transition.
func (c *Core) nextState(op Op) (chart.State, bool) {
	to, err := leaseChart.Next(c.state(), events[op])
	return to, err == nil
}
