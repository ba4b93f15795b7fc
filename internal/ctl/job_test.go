package ctl_test

import (
	"context"
	"errors"
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/crocusspring/crocusspring/internal/intake"
	"github.com/crocusspring/crocusspring/internal/job"
	"github.com/crocusspring/crocusspring/internal/logs"
	"github.com/crocusspring/crocusspring/internal/pause"
	"github.com/crocusspring/crocusspring/internal/process"
	"github.com/crocusspring/crocusspring/internal/resource"
	"github.com/crocusspring/crocusspring/internal/sched"
	"github.com/crocusspring/crocusspring/internal/store/memstore"
)

// TestJobScripts runs the scripts for jobs of steps, each against a cell of its own.
func TestJobScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "../../testdata/script/steps",
		Setup: func(env *testscript.Env) error {
			cell, err := process.NewLocalCell(1, memstore.New(), time.Millisecond, logs.Discard())
			if err != nil {
				return err
			}
			env.Defer(cell.Close)
			if err := awaitFirstJob(cell); err != nil {
				return err
			}
			srv := httptest.NewServer(cell.Handler())
			env.Defer(srv.Close)
			env.Setenv("CROCUS_NODE", strings.TrimPrefix(srv.URL, "http://"))
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){"exits": exits},
	})
}

// firstJobInterval is the time between two queries for the first job of a cell.
const firstJobInterval = 20 * time.Millisecond

// awaitFirstJob waits until a first job has completed, which shows that the worker of a cell takes tasks. A cell without a
// current view, such as one whose owner is starting, is queried again.
func awaitFirstJob(cell *process.LocalCell) error {
	ctx, cancel := context.WithTimeout(context.Background(), readyTimeout)
	defer cancel()
	s := &job.Spec{
		ID: "first", Steps: []job.Step{{Count: 1, Demand: resource.Vector{MilliCPU: 1}}},
		Policy: job.Policy{Service: "pool", MaxAttempts: 1},
	}
	if err := cell.Intake.Submit(ctx, s); err != nil {
		return err
	}
	for {
		v, _, err := cell.Intake.Job(ctx, s.ID)
		switch {
		case err == nil && v.State == sched.Completed:
			return nil
		case err != nil && !errors.Is(err, intake.ErrNoView):
			return err
		}
		if !pause.For(ctx, firstJobInterval) {
			return fmt.Errorf("the first job is %q: %w", v.State, errors.Join(err, ctx.Err()))
		}
	}
}
