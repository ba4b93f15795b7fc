package dev

import (
	"context"
	"slices"
	"time"

	"github.com/crocusspring/crocusspring/internal/history"
	"github.com/crocusspring/crocusspring/internal/pause"
	"github.com/crocusspring/crocusspring/internal/standin/logstand"
)

const (
	outageHold     = 3 * time.Second
	lostAnswerHold = time.Second
	// shortRetention lets records expire within a short run.
	shortRetention = 6 * time.Second
	// expiryDownTime is how long an entry is down; short, so that after a few restarts no entry holds the expired records.
	expiryDownTime = 500 * time.Millisecond
	raceInterval   = 300 * time.Millisecond
)

// logOutage takes the log down while at least one accepted job depends on it. One event is one call it refused.
func logOutage() Fault {
	return Fault{
		Name: "log-outage", About: "the log service refuses everything for a while; counts calls it refused",
		Run: func(ctx context.Context, in *Injector) error {
			return in.logFault(ctx, outageHold, logstand.Faults{Down: true}, logstand.CountRefused, in.jobAccepted)
		},
	}
}

// jobAccepted reports whether any job has been accepted.
func (in *Injector) jobAccepted() bool {
	return slices.ContainsFunc(in.Recorder.Jobs(), func(j history.Job) bool { return j.Outcome == history.Accepted })
}

// always is the condition of a fault that may strike at any time.
func always() bool { return true }

// logLostAnswer loses the answers to appends. One event is one lost answer.
func logLostAnswer() Fault {
	return Fault{
		Name: "log-lost-answer", About: "appends take effect and their answers are lost for a while; counts lost answers",
		Run: func(ctx context.Context, in *Injector) error {
			return in.logFault(ctx, lostAnswerHold, logstand.Faults{LoseAnswers: true}, logstand.CountAnswerLost, always)
		},
	}
}

// logFault injects a fault into the log repeatedly, while a condition holds, and counts its events by the named
// counter of the log.
func (in *Injector) logFault(ctx context.Context, hold time.Duration, f logstand.Faults, counter string, condition func() bool) error {
	before := in.Log.FaultCounts()[counter]
	err := in.cycle(ctx, hold, func() (func() error, error) {
		if !condition() {
			return nil, nil
		}
		in.Log.SetFaults(f)
		return func() error { in.Log.SetFaults(logstand.Faults{}); return nil }, nil
	})
	in.addEvents(in.Log.FaultCounts()[counter] - before)
	return err
}

// logExpiry keeps records only for a short time and restarts the entries in turn, which then can't read
// the old ones. One event is one start after records had expired.
func logExpiry() Fault {
	return Fault{
		Name: "log-expiry", About: "the log keeps records for 6 s, and the entries start with nothing in turn; counts starts after records had expired",
		Prepare: func(o *Options) { o.Retention = shortRetention },
		Run: func(ctx context.Context, in *Injector) error {
			turn := in.rng.IntN(len(in.Entries))
			return in.cycle(ctx, expiryDownTime, func() (func() error, error) {
				if in.Log.Oldest() <= 1 {
					return nil, nil
				}
				turn++
				return in.kill(in.Entries[turn%len(in.Entries)])
			})
		},
	}
}

// configRace lets two operators change the same record at once. One event is one proposal that lost.
func configRace() Fault {
	return Fault{
		Name: "config-race", About: "two operators change the same records at once; counts proposals that lost",
		Run: func(ctx context.Context, in *Injector) error {
			rivals := []*operator{in.newOperator("rival-1", in.load.Client), in.newOperator("rival-2", in.load.Client)}
			lostCounts := make(chan int)
			for _, o := range rivals {
				go func() {
					lost := 0
					for pause.For(ctx, raceInterval) {
						if !o.change(ctx, in.Shape.Service+"-archive", 500) {
							lost++
						}
					}
					lostCounts <- lost
				}()
			}
			in.addEvents(<-lostCounts + <-lostCounts)
			return nil
		},
	}
}
