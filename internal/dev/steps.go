package dev

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/crocusspring/crocusspring/internal/job"
	"github.com/crocusspring/crocusspring/internal/jobapi"
	"github.com/crocusspring/crocusspring/internal/logs"
	"github.com/crocusspring/crocusspring/internal/pause"
	"github.com/crocusspring/crocusspring/internal/process"
	"github.com/crocusspring/crocusspring/internal/resource"
	"github.com/crocusspring/crocusspring/internal/sched"
	"github.com/crocusspring/crocusspring/internal/store/memstore"
)

const (
	// stepNodes is the size of the cell of a run of step jobs, stepWork how long a run of a task takes.
	stepNodes = 3
	stepWork  = 100 * time.Millisecond
	// stepPoll is the time between two looks at a job.
	stepPoll = 20 * time.Millisecond
	// stepFirst and stepSecond are the tasks of the two steps of each job.
	stepFirst, stepSecond = 4, 6
)

// runSteps runs jobs of steps on a cell of the newer kind, kills its owner meanwhile, and checks from
// what the workers started that each task ran and no run began twice.
func runSteps(ctx context.Context, jobs int, keep bool, stdout io.Writer) error {
	cell, err := process.NewLocalCell(stepNodes, memstore.New(), stepWork, logs.Discard())
	if err != nil {
		return err
	}
	defer cell.Close()
	if keep {
		stop, err := serveSteps(cell, stdout)
		if err != nil {
			return err
		}
		defer stop()
	}
	for i := range jobs {
		if err := submitStep(ctx, cell, i); err != nil {
			return err
		}
	}
	if err := killOwner(ctx, cell, stdout); err != nil {
		return err
	}
	for i := range jobs {
		if err := awaitStep(ctx, cell, stepID(i)); err != nil {
			return err
		}
	}
	err = judgeSteps(cell, jobs)
	fmt.Fprintf(stdout, "%d jobs of %d tasks completed on %d nodes through the loss of their owner\n",
		jobs, stepFirst+stepSecond, stepNodes)
	if keep {
		<-ctx.Done()
	}
	return err
}

// stepID names a job.
func stepID(i int) string { return fmt.Sprintf("steps-%d", i) }

// submitStep submits one job, again until it is accepted.
func submitStep(ctx context.Context, cell *process.LocalCell, i int) error {
	demand := resource.Vector{MilliCPU: 500, MemoryMB: 100}
	s := &job.Spec{
		ID: stepID(i), AcceptedMS: time.Now().UnixMilli(),
		Policy: job.Policy{Queue: "demo", Service: "pool", MaxAttempts: 3, Stretch: 2, LatencyTargetMS: 1000},
		Steps: []job.Step{
			{Count: stepFirst, Demand: demand, EstimateMS: stepWork.Milliseconds(), MayMiss: -1},
			{Count: stepSecond, Demand: demand, EstimateMS: stepWork.Milliseconds(), MayMiss: -1, DependsOn: []int{0}},
		},
	}
	for {
		err := cell.Intake.Submit(ctx, s)
		if err == nil || !pause.For(ctx, stepPoll) {
			return err
		}
	}
}

// killOwner kills the node that owns the cell and starts it again.
func killOwner(ctx context.Context, cell *process.LocalCell, stdout io.Writer) error {
	n := cell.Owner()
	for n == nil {
		if !pause.For(ctx, stepPoll) {
			return ctx.Err()
		}
		n = cell.Owner()
	}
	n.Kill()
	fmt.Fprintf(stdout, "killed %s, which owned the cell\n", n.Name)
	return cell.Start(n)
}

// awaitStep waits until a job is completed.
func awaitStep(ctx context.Context, cell *process.LocalCell, id string) error {
	for {
		v, found, err := cell.Intake.Job(ctx, id)
		switch {
		case err == nil && found && v.State == sched.Completed:
			return nil
		case err == nil && found && v.State.Terminal():
			return fmt.Errorf("job %s is %s: %s", id, v.State, v.Reason)
		}
		if !pause.For(ctx, stepPoll) {
			return fmt.Errorf("job %s: %w", id, ctx.Err())
		}
	}
}

// judgeSteps checks what the workers started.
func judgeSteps(cell *process.LocalCell, jobs int) error {
	type run struct {
		task   job.TaskID
		number int
	}
	runs := map[run]int{}
	tasks := map[job.TaskID]bool{}
	for _, n := range cell.Nodes {
		for _, ref := range n.Executor.Starts() {
			runs[run{ref.Task, ref.Run}]++
			tasks[ref.Task] = true
		}
	}
	var errs []error
	for r, n := range runs {
		if n > 1 {
			errs = append(errs, fmt.Errorf("run %d of %s began %d times", r.number, r.task, n))
		}
	}
	if want := jobs * (stepFirst + stepSecond); len(tasks) != want {
		errs = append(errs, fmt.Errorf("%d tasks ran, want %d", len(tasks), want))
	}
	return errors.Join(errs...)
}

// serveSteps serves the interface for jobs of steps on loopback; the function returned ends it.
func serveSteps(cell *process.LocalCell, stdout io.Writer) (func(), error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	fmt.Fprintf(stdout, "jobs of steps at http://%s%s\n", l.Addr(), jobapi.Path)
	const headerTimeout = 5 * time.Second
	server := &http.Server{Handler: cell.Handler(), ReadHeaderTimeout: headerTimeout}
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			fmt.Fprintln(stdout, err)
		}
	}()
	return func() {
		if err := server.Close(); err != nil {
			fmt.Fprintln(stdout, err)
		}
		<-done
	}, nil
}
