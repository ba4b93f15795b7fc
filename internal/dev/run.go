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
	// callersConns is how many idle connections the callers keep to one entry.
	callersConns = 256
	// callersIdle is how long callers keep an unused connection; entries keep it longer.
	callersIdle  = 5 * time.Second
	progressStep = time.Second
	resends      = 2
)

// Plan says what to do with a cluster that runs.
type Plan struct {
	Mix    workload.Mix
	Seed   uint64
	Length time.Duration
	Faults []Fault
	// Progress takes a line each second; it may be nil.
	Progress io.Writer
}

// Run sends the load, brings the faults about, waits until all that can end has ended, and judges
// what was seen.
func (c *Cluster) Run(ctx context.Context, p Plan) (Report, error) {
	r := Report{Deployment: c.Shape.Name, Seed: p.Seed, Faults: names(p.Faults), FaultEvents: map[string]int{}}
	if err := c.waitReady(ctx); err != nil {
		return r, err
	}
	callers := newHost(func(string) time.Duration { return c.Shape.Client })
	defer callers.kill()
	client := &http.Client{Transport: &http.Transport{DialContext: callers.dial, MaxIdleConnsPerHost: callersConns, IdleConnTimeout: callersIdle, DisableCompression: true}}
	o := workload.Options{
		Mix: p.Mix, Seed: p.Seed, Length: p.Length, Client: client, Recorder: c.Recorder, MaxResends: resends,
		Balancer: workload.NewBalancer(client, c.entries()),
	}
	watch, stop := context.WithCancel(ctx)
	var wg sync.WaitGroup
	wg.Go(func() { o.Balancer.Run(watch) })
	wg.Go(func() { c.poll(watch) })
	wg.Go(func() { c.progress(watch, p.Progress) })
	err := c.load(ctx, o, p, r.FaultEvents)
	if err == nil {
		c.say(p.Progress, "load has ended, waiting for jobs")
		settle, cancel := context.WithTimeout(ctx, settleTimeout)
		workload.AwaitJobs(settle, o)
		cancel()
		c.waitForced(ctx)
	}
	stop()
	wg.Wait()
	client.CloseIdleConnections()
	appends(c.Recorder, c.Log)
	r.Report = history.Check(c.Recorder.History(time.Now()))
	return r, err
}

// entries returns the entries as callers reach them.
func (c *Cluster) entries() []workload.Entry {
	var out []workload.Entry
	for _, p := range c.Entries {
		out = append(out, workload.Entry{Name: p.Name, Addr: p.Addr})
	}
	return out
}

// load sends the load beside an operator and the faults, and returns when all of them are over.
func (c *Cluster) load(ctx context.Context, o workload.Options, p Plan, events map[string]int) error {
	op := c.newOperator("operator-1", o.Client)
	op.step(ctx, 0)
	during, cancel := context.WithTimeout(ctx, p.Length)
	defer cancel()
	var wg sync.WaitGroup
	var mu sync.Mutex
	var failed error
	for i, f := range p.Faults {
		wg.Go(func() {
			in := newInjector(c, p, o, uint64(i))
			err := f.Run(during, in)
			mu.Lock()
			defer mu.Unlock()
			events[f.Name] += in.count()
			if err != nil && failed == nil {
				failed = fmt.Errorf("fault %s: %w", f.Name, err)
			}
		})
	}
	wg.Go(func() { op.run(during) })
	err := workload.Run(ctx, o)
	wg.Wait()
	if err != nil {
		return err
	}
	return failed
}

// waitForced waits until every process shows the newest version of every accepted record, or until
// the bound for that has passed.
func (c *Cluster) waitForced(ctx context.Context) {
	end := time.Now().Add(history.PropagationLimit + pollTimeout)
	for time.Now().Before(end) && ctx.Err() == nil && !c.forced() {
		time.Sleep(pollEvery)
	}
}

// forced reports whether the newest reading of every process shows all accepted records.
func (c *Cluster) forced() bool {
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
	t := time.NewTicker(progressStep)
	defer t.Stop()
	for began := time.Now(); ; {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			n := c.Recorder.Counts()
			c.say(w, "%3.0fs  %d of %d requests answered, %d attempts begun, %d finished, %d records applied",
				time.Since(began).Seconds(), n.Answered, n.Sent, n.Started, n.Finished, n.Applied)
		}
	}
}

// say writes one line of progress.
func (c *Cluster) say(w io.Writer, format string, args ...any) {
	if w != nil {
		fmt.Fprintf(w, format+"\n", args...)
	}
}
