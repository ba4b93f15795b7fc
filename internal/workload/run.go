package workload

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/crocusspring/crocusspring/internal/history"
)

// Options say what to send and where.
type Options struct {
	Mix      Mix
	Seed     uint64
	Length   time.Duration
	Balancer *Balancer
	// Client sends requests and jobs; its transport carries the latency of the callers' network.
	Client *http.Client
	Record *history.Recorder
	// Resends is how often a caller comes again with its key after an unknown outcome.
	Resends int
	// Headers are added to every call, such as the credentials of the callers.
	Headers http.Header
}

// errNoEntries says that the options name no way in.
var errNoEntries = errors.New("workload needs a balancer, a client and a recorder")

// Run sends the schedule open loop: every arrival is sent when it is due, whatever became of the ones
// before it. It returns when the last outcome was seen or ctx ended.
func Run(ctx context.Context, o Options) error {
	if o.Balancer == nil || o.Client == nil || o.Record == nil {
		return errNoEntries
	}
	c := &callers{Options: o}
	began := time.Now()
	var wg sync.WaitGroup
	defer wg.Wait()
	timer := time.NewTimer(0)
	defer timer.Stop()
	<-timer.C
	for _, a := range Schedule(o.Mix, o.Seed, o.Length) {
		due := began.Add(a.At)
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

// callers send what the schedule calls for.
type callers struct{ Options }

// send sends one arrival.
func (c *callers) send(ctx context.Context, a Arrival, due time.Time) {
	if a.Job != nil {
		c.job(ctx, a)
		return
	}
	c.request(ctx, a, due)
}
