package workload

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/crocusspring/crocusspring/internal/history"
)

// Options configure which load is sent and to which entries.
type Options struct {
	Mix      Mix
	Seed     uint64
	Length   time.Duration
	Balancer *Balancer
	// Client sends requests and jobs; its transport adds the latency of the callers' network.
	Client   *http.Client
	Recorder *history.Recorder
	// MaxResends is the maximum number of times that a caller resends a keyed request after an unknown, lost or
	// late outcome.
	MaxResends int
	// Headers are added to every call, such as the credentials of the callers.
	Headers http.Header
}

// errIncompleteOptions reports that required options are missing.
var errIncompleteOptions = errors.New("workload needs a balancer, a client and a recorder")

// Run sends the schedule open loop: every arrival is sent when it is due, whether or not earlier ones have
// completed. It returns after the last outcome, or with the error of ctx when ctx ends during the wait for an
// arrival; then the calls in progress end first.
func Run(ctx context.Context, o Options) error {
	if o.Balancer == nil || o.Client == nil || o.Recorder == nil {
		return errIncompleteOptions
	}
	c := &callers{Options: o}
	start := time.Now()
	var wg sync.WaitGroup
	defer wg.Wait()
	timer := time.NewTimer(0)
	defer timer.Stop()
	<-timer.C
	for _, a := range Schedule(o.Mix, o.Seed, o.Length) {
		due := start.Add(a.At)
		if wait := time.Until(due); wait > 0 {
			timer.Reset(wait)
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-timer.C:
			}
		}
		wg.Go(func() { c.send(ctx, a, due) })
	}
	return nil
}

// callers sends the arrivals of a schedule.
type callers struct{ Options }

// send sends the job or request of one arrival.
func (c *callers) send(ctx context.Context, a Arrival, due time.Time) {
	if a.Job != nil {
		c.submitJob(ctx, a)
		return
	}
	c.sendRequest(ctx, a, due)
}
