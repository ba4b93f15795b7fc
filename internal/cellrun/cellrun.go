// Package cellrun drives the decision core of one cell: it reads the stream, passes the time and executes
// the appends, syncs and promise requests that the core returns.
package cellrun

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/crocusspring/crocusspring/internal/announce"
	"github.com/crocusspring/crocusspring/internal/cell"
	"github.com/crocusspring/crocusspring/internal/follow"
	"github.com/crocusspring/crocusspring/internal/logsvc"
	"github.com/crocusspring/crocusspring/internal/record"
	"github.com/crocusspring/crocusspring/internal/workerapi"
	"golang.org/x/sync/errgroup"
)

const (
	tickEvery = 50 * time.Millisecond
	// workersTicks is how many ticks pass between two reads of the list of workers.
	workersTicks  = 5
	appendTimeout = 2 * time.Second
	// syncTimeout is how long a worker may take over an answer, on top of the wait that the sync allows.
	syncTimeout = 2 * time.Second
)

// errNotOwner reports that an action was decided under an epoch that is no longer owned.
var errNotOwner = errors.New("cell is no longer owned under this epoch")

// WorkerSource lists the live workers of a data centre.
type WorkerSource interface {
	Workers(dataCentre string) []announce.Member
}

// Driver runs one cell. Use New to make one.
type Driver struct {
	name    string
	log     logsvc.Client
	syncer  workerapi.Syncer
	workers WorkerSource
	// Peers requests promises from the other candidates; nil when there are none. It is set before Run.
	Peers Peers
	lg    *log.Logger

	mu         sync.Mutex
	core       *cell.Core
	onDecision func(cell.DecisionRecord)
	group      *errgroup.Group
	ctx        context.Context
}

// New returns a driver of the cell that opt names.
func New(opt cell.Options, lc logsvc.Client, sy workerapi.Syncer, ws WorkerSource, lg *log.Logger) *Driver {
	return &Driver{name: opt.Cell, log: lc, syncer: sy, workers: ws, lg: lg, core: cell.New(opt), onDecision: func(cell.DecisionRecord) {}}
}

// Run drives the cell until ctx ends.
func (d *Driver) Run(ctx context.Context) error {
	d.group, d.ctx = errgroup.WithContext(ctx)
	d.group.Go(func() error {
		follow.Fold(d.ctx, d.log, cell.Stream(d.name), d, d.lg)
		return nil
	})
	d.group.Go(d.restartExpired)
	d.group.Go(d.tick)
	return d.group.Wait()
}

// tick passes the time and the list of workers to the core.
func (d *Driver) tick() error {
	t := time.NewTicker(tickEvery)
	defer t.Stop()
	for n := 0; ; n++ {
		if n%workersTicks == 0 {
			d.step(cell.Workers{Members: d.workers.Workers(d.name)})
		} else {
			d.step(cell.Tick{})
		}
		select {
		case <-d.ctx.Done():
			return nil
		case <-t.C:
		}
	}
}

// OnDecision sets the function that receives decision records. Call it before Run; f must not block.
func (d *Driver) OnDecision(f func(cell.DecisionRecord)) { d.onDecision = f }

// SetPolicies passes the configuration to the core.
func (d *Driver) SetPolicies(p cell.Policies) { d.step(p) }

// step passes one event to the core and starts the actions that it returns.
func (d *Driver) step(ev cell.Event) {
	d.mu.Lock()
	actions := d.core.Step(time.Now(), ev)
	faults := d.core.Faults()
	decisions := d.core.DecisionRecords()
	d.mu.Unlock()
	for _, n := range decisions {
		d.onDecision(n)
	}
	for _, f := range faults {
		d.lg.Error("Entry is bad.", "err", f)
	}
	for _, a := range actions {
		switch a := a.(type) {
		case cell.Append:
			d.group.Go(func() error { return d.append(a) })
		case cell.RequestPromises:
			d.group.Go(func() error { d.requestPromises(a); return nil })
		case cell.Sync:
			d.group.Go(func() error { return d.sync(a) })
		}
	}
}

// append executes an Append action.
func (d *Driver) append(a cell.Append) error {
	if raw, err := a.Record.Encode(); err != nil {
		d.lg.Error("Record can't be encoded.", "err", err)
	} else if err := d.appendRaw(a, raw); err != nil {
		d.lg.Debug("Append failed.", "err", err)
	}
	d.step(cell.AppendDone{Append: a})
	return nil
}

// appendRaw appends one record.
func (d *Driver) appendRaw(a cell.Append, raw json.RawMessage) error {
	ctx, cancel := context.WithTimeout(d.ctx, appendTimeout)
	defer cancel()
	if a.Record.Kind == record.KindLease {
		ctx = logsvc.WithClass(ctx, logsvc.ClassLease)
	}
	_, err := d.log.Append(ctx, cell.Stream(d.name), []json.RawMessage{raw})
	return err
}

// sync executes a Sync action. The lease is checked again right before the call is made; if the process is
// paused between that and the send, the worker's epoch and the age of the echoed clock reading make the
// call harmless.
func (d *Driver) sync(a cell.Sync) error {
	wait := time.Duration(a.Req.WaitMS) * time.Millisecond
	ctx, cancel := context.WithTimeout(d.ctx, wait+syncTimeout)
	defer cancel()
	resp, err := workerapi.SyncResponse{}, errNotOwner
	if d.owns(a.Req.Epoch) {
		resp, err = d.syncer.Sync(ctx, a.Addr, a.Req)
	}
	if err != nil {
		d.lg.Debug("Sync failed.", "worker", a.Worker, "err", err)
	}
	d.step(cell.SyncDone{Sync: a, Resp: resp, Err: err})
	return nil
}

// owns reports whether the cell is owned under an epoch right now.
func (d *Driver) owns(epoch int64) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	current, ok := d.core.Owner(time.Now())
	return ok && int64(current) == epoch
}

// View calls f with the core under the driver's lock. f must not retain it.
func (d *Driver) View(f func(*cell.Core)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f(d.core)
}
