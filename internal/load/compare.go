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

// Subjects of a comparison, the values of --of.
const (
	subjectPlacement = "placement"
	subjectRouting   = "routing"
	subjectEntries   = "entries"
)

// compareFlags holds the flags of the compare subcommand.
type compareFlags struct {
	load          loadFlags
	subject       string
	policies      []string
	seeds         []string
	a, b          []string
	simulatedTime time.Duration
	csv           string
}

// compareCommand returns the subcommand that measures several variants on the same seeds.
func (t *tool) compareCommand() *ff.Command {
	c := &compareFlags{}
	set := settings.New("compare")
	set.Choice(&c.subject, "of", subjectPlacement, []string{subjectPlacement, subjectRouting, subjectEntries}, "what to compare: placement policies, routing policies or two running builds")
	set.List(&c.policies, "policies", "", "policies to compare, comma-separated; all when empty")
	set.List(&c.seeds, "seeds", "1,2,3,4,5", "seeds to run every variant with, comma-separated")
	set.Duration(&c.simulatedTime, "simulated", 4*time.Hour, time.Minute, 30*24*time.Hour, "simulated time of one placement run")
	set.Addrs(&c.a, "a", "", false, "entries of the first build, IP addresses with port")
	set.Addrs(&c.b, "b", "", false, "entries of the second build, IP addresses with port")
	set.String(&c.csv, "csv", "", false, "CSV file to write")
	c.load.add(set)
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

// run measures every variant on every seed.
func (c *compareFlags) run(ctx context.Context) (experiment.Set, error) {
	var s experiment.Set
	for _, text := range c.seeds {
		seed, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			return nil, &usageError{fmt.Sprintf("%s: %q: must be whole numbers", settings.Place("seeds"), text)}
		}
		switch c.subject {
		case subjectPlacement:
			err = c.placement(seed, &s)
		case subjectRouting:
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

// selected reports whether --policies selects a policy; an empty list selects all.
func (c *compareFlags) selected(policy string) bool {
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

// placementLoad is the offered batch load as a fraction of the capacity that services leave free.
const placementLoad = 0.7

// placement simulates the selected placement policies on one seed.
func (c *compareFlags) placement(seed uint64, s *experiment.Set) error {
	for _, p := range trial.Policies() {
		if !c.selected(p) {
			continue
		}
		r, err := trial.Run(trial.Options{Policy: p, Seed: seed, Length: c.simulatedTime, Load: placementLoad})
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

// routingRequests is the number of requests in one routing run.
const routingRequests = 200_000

// routingCases are the load conditions under which routing policies are compared.
var routingCases = []struct {
	name  string
	load  float64
	noisy bool
}{{"even load 0.6", 0.6, false}, {"noisy wave, load 0.4", 0.4, true}}

// routing simulates the selected routing policies on one seed, under every routing case.
func (c *compareFlags) routing(seed uint64, s *experiment.Set) error {
	for _, k := range routingCases {
		for _, p := range routetrial.Policies() {
			if !c.selected(string(p)) {
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

// entries sends the same schedule to the entries of both builds, one build after the other.
func (c *compareFlags) entries(ctx context.Context, seed uint64, s *experiment.Set) error {
	if len(c.a) == 0 || len(c.b) == 0 {
		return &usageError{settings.Place("a") + ", " + settings.Place("b") + ": must both be given to compare builds"}
	}
	if err := c.load.run(ctx, c.a, "a", seed, s); err != nil {
		return err
	}
	return c.load.run(ctx, c.b, "b", seed, s)
}
