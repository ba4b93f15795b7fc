package sched

import (
	"time"

	"github.com/crocusspring/crocusspring/internal/spread"
)

// demandInterval is the time between two looks at the demand of fillers.
const demandInterval = time.Second

// fillerDemands are the demands of fillers, by service.
type fillerDemands struct {
	services map[string]*spread.Demand
	// nextAt is when they are looked at next.
	nextAt time.Time
}

// fillerDemand returns the demand of fillers in a service.
func (c *Core) fillerDemand(service string) *spread.Demand {
	d := c.fillerDemands.services[service]
	if d == nil {
		d = &spread.Demand{}
		c.fillerDemands.services[service] = d
	}
	return d
}

// usage returns the part of a service's processors that its serving tasks reserve and the fillers that are expected ask for. It may be
// over 1.
func (c *Core) usage(service string) float64 {
	if u, ok := c.round.usages[service]; ok {
		return u
	}
	var serving, all int64
	for _, w := range c.sortedWorkers {
		if w.info.Service == service {
			serving += w.load.servingCPU
			all += w.info.Capacity.MilliCPU
		}
	}
	u := float64(serving)/max(1, float64(all)) + c.fillerDemand(service).Expected(c.round.now)
	c.round.usages[service] = u
	return u
}

// observeFillers looks at the processors that open fillers ask for, as a part of those of their service.
func (c *Core) observeFillers(now time.Time) {
	if now.Before(c.fillerDemands.nextAt) {
		return
	}
	c.fillerDemands.nextAt = now.Add(demandInterval)
	open, capacity := map[string]int64{}, map[string]int64{}
	for s := range c.openSteps() {
		if s.spec.Filler {
			open[s.occ.job.spec.Policy.Service] += int64(s.openTasks) * s.spec.Demand.MilliCPU
		}
	}
	for _, w := range c.sortedWorkers {
		capacity[w.info.Service] += w.info.Capacity.MilliCPU
	}
	for service, demand := range open {
		c.fillerDemand(service).Observe(now, float64(demand)/max(1, float64(capacity[service])))
	}
}
