package dev

import (
	"testing"
	"time"

	"github.com/crocusspring/crocusspring/internal/logs"
	"github.com/crocusspring/crocusspring/internal/workload"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// clusterSlots limits how many clusters run at the same time, so that load on the machine doesn't decide the verdicts.
var clusterSlots = make(chan struct{}, 3)

// smallDeployment returns a smallDeployment shape of a deployment and a light load for it.
func smallDeployment(deployment string) (Deployment, workload.Mix) {
	shape, mix := Deployments()[deployment], workload.Mixes()[deployment]
	shape.Targets, shape.Workers = 4, 6
	mix.RequestsPerSecond, mix.JobsPerSecond = 40, 8
	return shape, mix
}

// runSmall runs the named faults on a small cluster and returns the report.
func runSmall(t *testing.T, deployment string, guards bool, seconds int, names ...string) Report {
	t.Helper()
	clusterSlots <- struct{}{}
	defer func() { <-clusterSlots }()
	shape, mix := smallDeployment(deployment)
	plan := Plan{Mix: mix, Seed: 1, Length: time.Duration(seconds) * time.Second}
	opt := Options{Seed: 1, Guards: guards}
	for _, n := range names {
		f, err := FaultByName(n)
		if err != nil {
			t.Fatal(err)
		}
		if f.Prepare != nil {
			f.Prepare(&opt)
		}
		plan.Faults = append(plan.Faults, f)
	}
	c, err := Start(t.Context(), shape, opt, logs.Discard())
	if err != nil {
		t.Fatal(err)
	}
	r, err := c.Run(t.Context(), plan)
	if err != nil {
		t.Error(err)
	}
	if err := c.Stop(); err != nil {
		t.Error(err)
	}
	return r
}

// check reports invariant violations, counts that don't add up and faults that did not take place.
func check(t *testing.T, r Report) {
	t.Helper()
	for _, v := range r.Violations {
		t.Errorf("%s: %s: %v", v.Invariant, v.Detail, v.Operations)
	}
	if r.RequestsAnswered == 0 || r.RequestsSent != r.RequestsAnswered+r.RequestsNotRun+r.RequestsUnknown+r.RequestsLost {
		t.Errorf("requests don't add up: %+v", r.Report)
	}
	if r.JobsFinished == 0 || r.JobsAccepted != r.JobsFinished+r.JobsFailed+r.JobsCancelled+r.JobsOpen+r.JobsLost {
		t.Errorf("jobs don't add up: %+v", r.Report)
	}
	if r.RecordsApplied == 0 {
		t.Error("no record was applied")
	}
	for _, f := range r.Faults {
		if r.FaultEvents[f] == 0 {
			t.Errorf("fault %s did not take place", f)
		}
	}
}

// TestWholePath runs both deployments end to end, with and without guards.
func TestWholePath(t *testing.T) {
	for _, d := range []string{"klang", "hanoi"} {
		for name, guards := range map[string]bool{"entries": false, "guards": true} {
			t.Run(d+"/"+name, func(t *testing.T) {
				t.Parallel()
				check(t, runSmall(t, d, guards, 2))
			})
		}
	}
}

// TestFaultsKeepPromises runs one fault at a time under load.
func TestFaultsKeepPromises(t *testing.T) {
	for _, name := range []string{
		"target-leave", "target-crash", "slow-target", "silent-connection", "entry-kill", "entry-stop", "owner-kill", "owner-pause",
		"worker-crash", "bad-worker", "noisy-wave", "log-outage", "log-lost-answer", "config-race",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			check(t, runSmall(t, "klang", false, 4, name))
		})
	}
}

// TestGuardKill kills guards while their targets keep running.
func TestGuardKill(t *testing.T) {
	t.Parallel()
	check(t, runSmall(t, "hanoi", true, 4, "guard-kill"))
}

// TestTwoFaults runs faults in pairs.
func TestTwoFaults(t *testing.T) {
	for _, pair := range [][]string{{"entry-kill", "log-lost-answer"}, {"target-crash", "entry-stop"}} {
		t.Run(pair[0]+"+"+pair[1], func(t *testing.T) {
			t.Parallel()
			check(t, runSmall(t, "klang", false, 4, pair...))
		})
	}
}
