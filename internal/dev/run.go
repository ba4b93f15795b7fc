package dev

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/crocusspring/crocusspring/internal/history"
	"github.com/crocusspring/crocusspring/internal/workload"
)

const (
	// settleTimeout bounds the wait for jobs after the load has ended.
	settleTimeout = 45 * time.Second
	// callerIdleConns is how many idle connections the callers keep to one entry.
	callerIdleConns = 256
	// callerIdleTimeout is how long callers keep an unused connection; entries keep it longer.
	callerIdleTimeout = 5 * time.Second
	progressInterval  = time.Second
	resends           = 2
)

// Plan describes a run on a started cluster.
type Plan struct {
	Mix    workload.Mix
	Seed   uint64
	Length time.Duration
	Faults []Fault
	// Progress receives a line each second; it may be nil.
	Progress io.Writer
}

// Run sends the load, injects the faults, waits for jobs to end and records to take effect, and checks
// the recorded history.
func (c *Cluster) Run(ctx context.Context, p Plan) (Report, error) {
	r := Report{Deployment: c.Shape.Name, Seed: p.Seed, Faults: faultNames(p.Faults), FaultEvents: map[string]int{}}
	if err := c.waitReady(ctx); err != nil {
		return r, err
	}
	callers := newHost(func(string) time.Duration { return c.Shape.ClientLatency })
	defer callers.kill()
	client := &http.Client{Transport: &http.Transport{DialContext: callers.dial, MaxIdleConnsPerHost: callerIdleConns, IdleConnTimeout: callerIdleTimeout, DisableCompression: true}}
	o := workload.Options{
		Mix: p.Mix, Seed: p.Seed, Length: p.Length, Client: client, Recorder: c.Recorder, MaxResends: resends,
		Balancer: workload.NewBalancer(client, c.entries()),
	}
	backgroundCtx, stop := context.WithCancel(ctx)
	var wg sync.WaitGroup
	wg.Go(func() { o.Balancer.Run(backgroundCtx) })
	wg.Go(func() { c.poll(backgroundCtx) })
	wg.Go(func() { c.progress(backgroundCtx, p.Progress) })
	err := c.load(ctx, o, p, r.FaultEvents)
	if err == nil {
		c.printProgress(p.Progress, "load has ended, waiting for jobs")
		settle, cancel := context.WithTimeout(ctx, settleTimeout)
		workload.AwaitJobs(settle, o)
		cancel()
		c.waitInEffect(ctx)
	}
	stop()
	wg.Wait()
	client.CloseIdleConnections()
	recordAppends(c.Recorder, c.Log)
	r.Report = history.Check(c.Recorder.History(time.Now()))
	return r, err
}

// entries returns the names and addresses of the entries for callers.
func (c *Cluster) entries() []workload.Entry {
	var out []workload.Entry
	for _, p := range c.Entries {
		out = append(out, workload.Entry{Name: p.Name, Addr: p.Addr})
	}
	return out
}

// load sends the load while an operator changes records and faults are injected, and returns when all have ended.
func (c *Cluster) load(ctx context.Context, o workload.Options, p Plan, events map[string]int) error {
	op := c.newOperator("operator-1", o.Client)
	op.step(ctx, 0)
	loadCtx, cancel := context.WithTimeout(ctx, p.Length)
	defer cancel()
	var wg sync.WaitGroup
	var mu sync.Mutex
	var failed error
	for i, f := range p.Faults {
		wg.Go(func() {
			in := newInjector(c, p, o, uint64(i))
			err := f.Run(loadCtx, in)
			mu.Lock()
			defer mu.Unlock()
			events[f.Name] += in.eventCount()
			if err != nil && failed == nil {
				failed = fmt.Errorf("fault %s: %w", f.Name, err)
			}
		})
	}
	wg.Go(func() { op.run(loadCtx) })
	err := workload.Run(ctx, o)
	wg.Wait()
	if err != nil {
		return err
	}
	return failed
}

// waitInEffect waits until every process shows the newest version of every accepted record, or until
// the time limit for that has passed.
func (c *Cluster) waitInEffect(ctx context.Context) {
	end := time.Now().Add(history.PropagationLimit + pollTimeout)
	for time.Now().Before(end) && ctx.Err() == nil && !c.inEffect() {
		time.Sleep(pollInterval)
	}
}

// inEffect reports whether the latest reading of every process shows all accepted records.
func (c *Cluster) inEffect() bool {
	h := c.Recorder.History(time.Now())
	newest := map[string]*history.Reading{}
	for _, r := range h.Readings {
		newest[r.Process] = r
	}
	for _, p := range c.Processes() {
		r := newest[c.instance(p)]
		for _, pr := range h.Proposals {
			if pr.Outcome == history.Accepted && (r == nil || r.Versions[pr.Name] < pr.Version) {
				return false
			}
		}
	}
	return true
}

// progress writes a line each second until ctx ends.
func (c *Cluster) progress(ctx context.Context, w io.Writer) {
	t := time.NewTicker(progressInterval)
	defer t.Stop()
	for began := time.Now(); ; {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			n := c.Recorder.Counts()
			c.printProgress(w, "%3.0fs  %d of %d requests answered, %d attempts begun, %d finished, %d records applied",
				time.Since(began).Seconds(), n.Answered, n.Sent, n.Started, n.Finished, n.Applied)
		}
	}
}

// printProgress writes one line of progress.
func (c *Cluster) printProgress(w io.Writer, format string, args ...any) {
	if w != nil {
		fmt.Fprintf(w, format+"\n", args...)
	}
}
