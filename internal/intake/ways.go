package intake

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/crocusspring/crocusspring/internal/event"
	"github.com/crocusspring/crocusspring/internal/pause"
	"github.com/crocusspring/crocusspring/internal/store"
)

const (
	// appendTimeout bounds one append by all ways together while the store answers nobody.
	appendTimeout = store.SilenceTimeout
	// relayDelay is how long the store has to answer before an append is also relayed through the owner, peerDelay
	// before it is relayed through other nodes.
	relayDelay = 300 * time.Millisecond
	peerDelay  = 500 * time.Millisecond
	// slowCheckInterval is the time between two checks whether the owner reaches the store, while an append through it has
	// no answer and the store is slow; checkInterval is that time otherwise.
	slowCheckInterval = 600 * time.Millisecond
	checkInterval     = 200 * time.Millisecond
	// checkTimeout bounds one check.
	checkTimeout = 600 * time.Millisecond
	// maxPeerRelays is the most nodes besides the owner that one append is relayed through.
	maxPeerRelays = 2
	// maxWays is the most ways that one append takes: directly, through the owner and through other nodes.
	maxWays = 2 + maxPeerRelays
	// lookInterval is the time between two looks at an append without an answer.
	lookInterval = 50 * time.Millisecond
)

// way is a way to store records: directly or through another node. Its error is a store.ErrRefused if they are certain not
// to be stored.
type way struct {
	name    string
	relayed bool
	store   func(ctx context.Context, records []store.Record) error
}

// Names of ways, labels of metrics.
const (
	wayDirect = "direct"
	wayOwner  = "owner"
	wayPeer   = "peer"
)

// stage is a set of ways that are tried at the same time, after a time without a result or when an earlier way fails.
type stage struct {
	after time.Duration
	// unless keeps the stage from being tried after a time if it is true of the beginning: the store is slow then, and a
	// copy would make its queue longer. It may be nil.
	unless func(began time.Time) bool
	ways   func() []way
}

// appendResult is the outcome of an append by one way.
type appendResult struct {
	way  way
	took time.Duration
	err  error
}

// plan returns the ways to store records now, in order. With a direct turn the store is called directly, and other nodes
// only if it fails or doesn't answer soon; at once while it doesn't answer this node. Without one the store is slow, and the
// owner appends for all entries together.
func (in *Intake) plan(direct bool) []stage {
	switch {
	case !direct:
		slowOwner := func() []way { return in.ownerWays(slowCheckInterval) }
		free := func() []way { return []way{{name: wayDirect, store: in.appendIfFree}} }
		return []stage{{ways: slowOwner}, {after: store.SlowTimeout, ways: free}, {after: store.SlowTimeout, ways: in.peerWays}}
	case in.hasDirectFailed():
		both := func() []way { return append(in.ownerWays(checkInterval), in.directWays()...) }
		return []stage{{ways: both}, {after: relayDelay, unless: in.store.ReachedSince, ways: in.peerWays}}
	}
	return []stage{
		{ways: in.directWays},
		{after: relayDelay, unless: in.store.AnsweredSince, ways: func() []way { return in.ownerWays(checkInterval) }},
		{after: peerDelay, unless: in.store.ReachedSince, ways: in.peerWays},
	}
}

// directWays returns the way directly to the store.
func (in *Intake) directWays() []way { return []way{{name: wayDirect, store: in.appendDirect}} }

// ownerWays returns the way through the owner, if it is known. An append through it is given up when a check shows that the
// owner doesn't reach the store: a slow store keeps an append waiting, and a copy would make its queue longer.
func (in *Intake) ownerWays(check time.Duration) []way {
	addr := in.locator.OwnerAddr()
	if addr == "" {
		return nil
	}
	w := in.relayThrough(wayOwner, addr)
	relay := w.store
	w.store = func(ctx context.Context, records []store.Record) error {
		ctx, giveUp := context.WithCancel(ctx)
		defer giveUp()
		go in.watchOwner(ctx, giveUp, addr, check)
		return relay(ctx, records)
	}
	return []way{w}
}

// watchOwner gives an append up when the owner doesn't reach the store.
func (in *Intake) watchOwner(ctx context.Context, giveUp func(), addr string, interval time.Duration) {
	began := time.Now()
	for pause.For(ctx, interval) {
		check, cancel := context.WithTimeout(ctx, checkTimeout)
		err := in.client.CheckStore(check, addr)
		cancel()
		switch {
		case ctx.Err() != nil:
			return
		case err != nil:
			giveUp()
			return
		}
		in.store.Waits(time.Since(began))
	}
}

// peerWays returns the ways through a few other nodes.
func (in *Intake) peerWays() []way {
	if in.peers == nil {
		return nil
	}
	var out []way
	for _, addr := range in.peers.Pick(maxPeerRelays) {
		out = append(out, in.relayThrough(wayPeer, addr))
	}
	return out
}

// relayThrough returns the way through a node.
func (in *Intake) relayThrough(name, addr string) way {
	return way{name, true, func(ctx context.Context, records []store.Record) error { return in.client.Relay(ctx, addr, records) }}
}

// attempt is one append by all ways.
type attempt struct {
	in       *Intake
	ctx      context.Context
	records  []store.Record
	began    time.Time
	plan     []stage
	open     int
	results  chan appendResult
	failures []error
	// patience is for how long nothing may be answered.
	patience time.Duration
}

// storeAnyWay stores records by the ways of the plan. Storing a record twice is harmless. The error is ErrNotAccepted when
// the records are certain not to be stored, otherwise ErrUnknown.
func (in *Intake) storeAnyWay(records []store.Record, direct bool) error {
	ctx, cancel := context.WithTimeout(context.Background(), store.SlowTimeout)
	defer cancel()
	a := &attempt{
		in: in, ctx: ctx, records: records, began: time.Now(), plan: in.plan(direct), results: make(chan appendResult, maxWays),
		patience: appendTimeout,
	}
	if !direct {
		a.patience = store.SlowTimeout
	}
	err := a.run(cancel)
	if err != nil && !errors.Is(err, store.ErrRejected) {
		in.log.Warn(event.JobsNotStored, "records", len(records), "slow", in.store.Slow(), "err", err)
	}
	return err
}

// run tries the ways until one succeeds or all have failed; giveUp ends them.
func (a *attempt) run(giveUp func()) error {
	look := time.NewTicker(lookInterval)
	defer look.Stop()
	a.startNext()
	for a.open > 0 {
		select {
		case r := <-a.results:
			if done, err := a.take(r); done {
				return err
			}
		case <-look.C:
			if time.Since(a.began) >= a.patience && !a.in.store.ReachedSince(time.Now().Add(-a.patience)) {
				giveUp()
			}
			a.startDue()
		}
	}
	return verdict(a.failures)
}

// take takes the result of one way, and reports whether it decides.
func (a *attempt) take(r appendResult) (done bool, err error) {
	a.open--
	a.in.count(r, a.ctx)
	switch {
	case r.err == nil:
		a.in.noteStored(len(a.records), r, a.failures)
		return true, nil
	case errors.Is(r.err, store.ErrRejected):
		// The store refuses the same records by every way.
		return true, r.err
	case errors.Is(r.err, store.ErrBusy):
		a.in.store.Busy()
		a.plan = nil
	}
	a.failures = append(a.failures, r.err)
	a.startNext()
	return false, nil
}

// startDue starts the next stage if its time has come.
func (a *attempt) startDue() {
	if len(a.plan) == 0 {
		return
	}
	next := a.plan[0]
	if time.Since(a.began) < next.after || next.unless != nil && next.unless(a.began) {
		return
	}
	if !a.in.store.AnsweredSince(a.began) {
		a.in.setDirectFailed(true)
	}
	a.startNext()
}

// startNext starts the next stage that has ways, unless the time is over.
func (a *attempt) startNext() {
	for before := a.open; len(a.plan) > 0 && a.open == before && a.ctx.Err() == nil; {
		for _, w := range a.plan[0].ways() {
			a.open++
			go func() {
				began := time.Now()
				err := w.store(a.ctx, a.records)
				a.results <- appendResult{w, time.Since(began), err}
			}()
		}
		a.plan = a.plan[1:]
	}
}

// verdict returns the error for an append that failed by every way: ErrNotAccepted if all of them are certain not
// to have stored the records.
func verdict(failures []error) error {
	for _, err := range failures {
		if !errors.Is(err, store.ErrRefused) {
			return fmt.Errorf("%w: %w", ErrUnknown, errors.Join(failures...))
		}
	}
	return fmt.Errorf("%w: %w", ErrNotAccepted, errors.Join(failures...))
}

// count counts an append by its way and outcome. One that was given up may still be carried out.
func (in *Intake) count(r appendResult, ctx context.Context) {
	label := "unknown"
	switch {
	case r.err == nil:
		label = "ok"
	case errors.Is(r.err, store.ErrBusy):
		label = "busy"
	case errors.Is(r.err, store.ErrRejected):
		label = "rejected"
	case errors.Is(r.err, store.ErrRefused):
		label = "refused"
	case ctx.Err() != nil || errors.Is(r.err, store.ErrSilent):
		label = "given_up"
	}
	in.scope.Tagged(map[string]string{"way": r.way.name, "outcome": label}).Counter("intake_appends").Inc(1)
}

// noteStored takes from a successful append how fast the store is, and logs one through another node.
func (in *Intake) noteStored(records int, r appendResult, failures []error) {
	if !r.way.relayed {
		return
	}
	in.store.Relayed(r.took)
	in.log.Info(event.JobsRelayed, "records", records, "took", r.took.Round(time.Millisecond), "cause", errors.Join(failures...))
}

// appendDirect stores records by a call to the store. The caller has the direct turn.
func (in *Intake) appendDirect(ctx context.Context, records []store.Record) error {
	_, err := in.store.Append(ctx, store.TopicJobs, store.AnyOffset, records)
	if err == nil || ctx.Err() == nil {
		in.setDirectFailed(err != nil)
	}
	return err
}

// appendIfFree is appendDirect, unless another direct append is in progress.
func (in *Intake) appendIfFree(ctx context.Context, records []store.Record) error {
	select {
	case in.appending <- struct{}{}:
		defer in.release(true)
		return in.appendDirect(ctx, records)
	default:
		return store.ErrBusy
	}
}

// setDirectFailed records whether the store answers this node; while it doesn't, appends are relayed at once.
func (in *Intake) setDirectFailed(failed bool) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.directFailed = failed
}

// hasDirectFailed reports whether the store doesn't answer this node.
func (in *Intake) hasDirectFailed() bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.directFailed
}

// relays returns the addresses of the nodes to relay through: the owner and a few others.
func (in *Intake) relays() []string {
	var out []string
	if addr := in.locator.OwnerAddr(); addr != "" {
		out = append(out, addr)
	}
	if in.peers != nil {
		out = append(out, in.peers.Pick(maxPeerRelays)...)
	}
	return out
}
