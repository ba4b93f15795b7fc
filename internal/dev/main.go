package dev

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/crocusspring/crocusspring/internal/app"
	"github.com/crocusspring/crocusspring/internal/logs"
	"github.com/crocusspring/crocusspring/internal/settings"
	"github.com/crocusspring/crocusspring/internal/workload"
)

// flags are the settings of crocus-dev.
type flags struct {
	app.CommonFlags
	deployment string
	guards     bool
	seconds    int64
	seed       int64
	faults     []string
	json       bool
	keep       bool
	steps      int64
}

// add declares the flags.
func (f *flags) add(s *settings.Set) {
	s.Choice(&f.deployment, "deployment", "klang", []string{"klang", "hanoi"}, "shape of the deployment")
	s.Bool(&f.guards, "guards", false, "run one guard beside each target")
	s.Int(&f.seconds, "seconds", 10, 1, 3600, "how long to send load, in seconds")
	s.Int(&f.seed, "seed", 1, 0, 1<<62, "seed of the load and the faults")
	s.Repeatable(&f.faults, "fault", faultNames(Faults()), "fault to inject, may be given again")
	s.Bool(&f.json, "json", false, "print the report as one JSON object on the last line")
	s.Int(&f.steps, "steps", 0, 0, 1000, "instead of the whole deployment, run this many jobs of steps on three nodes and kill their owner")
	s.Bool(&f.keep, "keep", false, "stay up after the load until interrupted")
	f.CommonFlags.Add(s)
}

// Main is the main function of crocus-dev; it returns the exit code: 0 when every invariant held, 1
// when one was violated or the run failed, 2 for bad settings.
func Main(args []string, stdout, stderr io.Writer) int {
	f := &flags{}
	s := settings.New("crocus-dev")
	f.add(s)
	if code, done := app.Parse(s, &f.CommonFlags, args, stdout, stderr); done {
		return code
	}
	ctx, cancel := app.SignalContext()
	defer cancel()
	if f.steps > 0 {
		if err := runSteps(ctx, int(f.steps), f.keep, stdout); err != nil {
			fmt.Fprintln(stderr, err)
			return app.ExitError
		}
		return app.ExitOK
	}
	r, err := f.run(ctx, stdout, stderr)
	r.Summary(stdout)
	if err != nil {
		fmt.Fprintln(stderr, err)
	}
	if f.json {
		_ = json.NewEncoder(stdout).Encode(r)
	}
	if err != nil || len(r.Violations) > 0 {
		return app.ExitError
	}
	return app.ExitOK
}

// run starts a cluster, runs the plan on it and stops it.
func (f *flags) run(ctx context.Context, stdout, stderr io.Writer) (Report, error) {
	plan := Plan{
		Mix: workload.Mixes()[f.deployment], Seed: uint64(f.seed), Length: time.Duration(f.seconds) * time.Second, Progress: stdout,
	}
	opt := Options{Seed: plan.Seed, Guards: f.guards}
	for _, name := range slices.Compact(slices.Sorted(slices.Values(f.faults))) {
		fault, err := FaultByName(name)
		if err != nil {
			return Report{}, err
		}
		plan.Faults = append(plan.Faults, fault)
		if fault.Prepare != nil {
			fault.Prepare(&opt)
		}
	}
	c, err := Start(ctx, Deployments()[f.deployment], opt, logs.New(stderr, f.Log))
	if err != nil {
		return Report{Deployment: f.deployment, Seed: plan.Seed, Faults: faultNames(plan.Faults)}, err
	}
	c.describe(stdout)
	r, err := c.Run(ctx, plan)
	if f.keep && err == nil {
		fmt.Fprintln(stdout, "staying up until interrupted")
		<-ctx.Done()
	}
	return r, errors.Join(err, c.Stop())
}

// describe prints the addresses of the log service, the entries and the guards.
func (c *Cluster) describe(w io.Writer) {
	fmt.Fprintf(w, "log service at %s\n", c.LogAddr)
	for _, list := range [][]*Process{c.Entries, c.Guards} {
		var at []string
		for _, p := range list {
			at = append(at, p.Name+" at "+p.Addr)
		}
		if len(at) > 0 {
			fmt.Fprintln(w, strings.Join(at, ", "))
		}
	}
}
