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

// events maps the operation of a record to the event it is.
var events = map[Op]chart.Event{OpTake: eventTake, OpRenew: eventRenew, OpRelease: eventRelease}

// state returns where the lease stands in the chart.
func (c *Core) state() chart.State {
	if c.holder == "" {
		return stateFree
	}
	return stateHeld
}

// next returns the state that a record leads to, and whether the chart takes it there.
func (c *Core) next(op Op) (chart.State, bool) {
	to, err := leaseChart.Next(c.state(), events[op])
	return to, err == nil
}
