package load

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"github.com/crocusspring/crocusspring/internal/experiment"
	"github.com/crocusspring/crocusspring/internal/routetrial"
	"github.com/crocusspring/crocusspring/internal/settings"
	"github.com/crocusspring/crocusspring/internal/trial"
	"github.com/peterbourgon/ff/v4"
)

// What can be compared.
const (
	ofPlacement = "placement"
	ofRouting   = "routing"
	ofEntries   = "entries"
)

// compare are the settings of the subcommand.
type compare struct {
	drive    drive
	of       string
	policies []string
	seeds    []string
	a, b     []string
	simulate time.Duration
	csv      string
}

// compareCommand measures variants on the same seeds.
func (t *tool) compareCommand() *ff.Command {
	c := &compare{}
	set := settings.New("compare")
	set.Choice(&c.of, "of", ofPlacement, []string{ofPlacement, ofRouting, ofEntries}, "what to compare: policies, or two builds that run")
	set.List(&c.policies, "policies", "", "policies to compare, comma-separated; all when empty")
	set.List(&c.seeds, "seeds", "1,2,3,4,5", "seeds that every variant runs, comma-separated")
	set.Duration(&c.simulate, "simulated", 4*time.Hour, time.Minute, 30*24*time.Hour, "simulated time of a placement run")
	set.Addrs(&c.a, "a", "", false, "entries of the first build, IP addresses with port")
	set.Addrs(&c.b, "b", "", false, "entries of the second build, IP addresses with port")
	set.String(&c.csv, "csv", "", false, "CSV file to write")
	c.drive.add(set)
	return command("compare", "[flags]", "compare policies or builds on the same seeds", set,
		func(ctx context.Context, _ []string) error {
			s, err := c.run(ctx)
			if err != nil {
				return err
			}
			s.Summary(t.stdout)
			return writeSet(c.csv, s)
		})
}

// run runs every variant on every seed.
func (c *compare) run(ctx context.Context) (experiment.Set, error) {
	var s experiment.Set
	for _, text := range c.seeds {
		seed, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			return nil, &usageError{fmt.Sprintf("%s: %q: must be whole numbers", settings.Place("seeds"), text)}
		}
		switch c.of {
		case ofPlacement:
			err = c.placement(seed, &s)
		case ofRouting:
			err = c.routing(seed, &s)
		default:
			err = c.entries(ctx, seed, &s)
		}
		if err != nil {
			return nil, err
		}
	}
	return s, ctx.Err()
}

// chosen reports whether a policy is to be run.
func (c *compare) chosen(policy string) bool {
	if len(c.policies) == 0 {
		return true
	}
	for _, p := range c.policies {
		if p == policy {
			return true
		}
	}
	return false
}

// placementLoad is the arriving batch work as a part of what services leave over.
const placementLoad = 0.7

// placement runs the placement policies on one seed.
func (c *compare) placement(seed uint64, s *experiment.Set) error {
	for _, p := range trial.Policies() {
		if !c.chosen(p) {
			continue
		}
		r, err := trial.Run(trial.Options{Policy: p, Seed: seed, Length: c.simulate, Load: placementLoad})
		if err != nil {
			return err
		}
		s.Add(p, seed, tailMetric(50), r.P50)
		s.Add(p, seed, tailMetric(99), r.P99)
		s.Add(p, seed, tailMetric(99.9), r.P999)
		s.Add(p, seed, "batch throughput, finished core-h/h", r.BatchPerHour)
		s.Add(p, seed, metricEvictions, float64(r.Evictions))
	}
	return nil
}

// routingRequests is the size of one routing run.
const routingRequests = 200_000

// routingCases are the conditions under which routing policies are compared.
var routingCases = []struct {
	name  string
	load  float64
	noisy bool
}{{"even load 0.6", 0.6, false}, {"noisy wave, load 0.4", 0.4, true}}

// routing runs the routing policies on one seed.
func (c *compare) routing(seed uint64, s *experiment.Set) error {
	for _, k := range routingCases {
		for _, p := range routetrial.Policies() {
			if !c.chosen(string(p)) {
				continue
			}
			r := routetrial.Run(routetrial.Options{Policy: p, Seed: seed, Requests: routingRequests, Load: k.load, Noisy: k.noisy})
			add := func(metric string, v float64) { s.Add(string(p), seed, k.name+": "+metric, v) }
			add(tailMetric(50), r.P50)
			add(tailMetric(99), r.P99)
			add(tailMetric(99.9), r.P999)
			add("done within 50 ms, part", r.InTime)
		}
	}
	return nil
}

// entries sends the same schedule to both builds, one after the other.
func (c *compare) entries(ctx context.Context, seed uint64, s *experiment.Set) error {
	if len(c.a) == 0 || len(c.b) == 0 {
		return &usageError{settings.Place("a") + ", " + settings.Place("b") + ": must both be given to compare builds"}
	}
	if err := c.drive.run(ctx, c.a, "a", seed, s); err != nil {
		return err
	}
	return c.drive.run(ctx, c.b, "b", seed, s)
}
