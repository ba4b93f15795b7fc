// Package cellrun drives the decision core of one cell: it reads the stream, keeps time and does the
// appends and syncs the core asks for.
package cellrun

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/crocusspring/crocusspring/internal/announce"
	"github.com/crocusspring/crocusspring/internal/cell"
	"github.com/crocusspring/crocusspring/internal/follow"
	"github.com/crocusspring/crocusspring/internal/logsvc"
	"github.com/crocusspring/crocusspring/internal/workerapi"
	"golang.org/x/sync/errgroup"
)

const (
	tickEvery     = 50 * time.Millisecond
	appendTimeout = 2 * time.Second
	syncTimeout   = 2 * time.Second
)

// WorkerSource tells which workers of a data centre are alive.
type WorkerSource interface {
	Workers(dataCentre string) []announce.Member
}

// Driver runs one cell. Use New to make one.
type Driver struct {
	name    string
	log     logsvc.Client
	syncer  workerapi.Syncer
	workers WorkerSource
	lg      *log.Logger

	mu    sync.Mutex
	core  *cell.Core
	group *errgroup.Group
	ctx   context.Context
}

// New returns a driver of the cell that opt names.
func New(opt cell.Options, lc logsvc.Client, sy workerapi.Syncer, ws WorkerSource, lg *log.Logger) *Driver {
	return &Driver{name: opt.Cell, log: lc, syncer: sy, workers: ws, lg: lg, core: cell.New(opt)}
}

// Run drives the cell until ctx ends.
func (d *Driver) Run(ctx context.Context) error {
	d.group, d.ctx = errgroup.WithContext(ctx)
	d.group.Go(func() error {
		follow.Run(d.ctx, d.log, cell.Stream(d.name), 1, d, d.lg)
		return nil
	})
	d.group.Go(d.tick)
	return d.group.Wait()
}

// tick tells the core of time and of workers.
func (d *Driver) tick() error {
	t := time.NewTicker(tickEvery)
	defer t.Stop()
	for {
		select {
		case <-d.ctx.Done():
			return nil
		case <-t.C:
			d.step(cell.Workers{Members: d.workers.Workers(d.name)})
		}
	}
}

// Entries implements follow.Handler.
func (d *Driver) Entries(entries []logsvc.Entry, tail logsvc.Offset) {
	d.step(cell.Entries{Entries: entries, Tail: tail})
}

// Expired implements follow.Handler.
func (d *Driver) Expired(first logsvc.Offset) logsvc.Offset {
	d.lg.Error("Entries have expired.", "stream", cell.Stream(d.name), "first", first)
	return first
}

// step gives the core one event and does what it asks for.
func (d *Driver) step(ev cell.Event) {
	d.mu.Lock()
	actions := d.core.Step(time.Now(), ev)
	faults := d.core.Faults()
	d.mu.Unlock()
	for _, f := range faults {
		d.lg.Error("Entry is bad.", "err", f)
	}
	for _, a := range actions {
		switch a := a.(type) {
		case cell.Append:
			d.group.Go(func() error { return d.append(a) })
		case cell.Sync:
			d.group.Go(func() error { return d.sync(a) })
		}
	}
}

// append does an Append action.
func (d *Driver) append(a cell.Append) error {
	var data []json.RawMessage
	for _, env := range a.Records {
		raw, err := env.Encode()
		if err != nil {
			d.lg.Error("Record can't be encoded.", "err", err)
			continue
		}
		data = append(data, raw)
	}
	ctx, cancel := context.WithTimeout(d.ctx, appendTimeout)
	defer cancel()
	if a.Lease {
		ctx = logsvc.WithClass(ctx, logsvc.ClassLease)
	}
	_, err := d.log.Append(ctx, cell.Stream(d.name), data)
	if err != nil {
		d.lg.Debug("Append failed.", "err", err)
	}
	d.step(cell.AppendDone{Append: a, Err: err})
	return nil
}

// sync does a Sync action.
func (d *Driver) sync(a cell.Sync) error {
	ctx, cancel := context.WithTimeout(d.ctx, syncTimeout)
	defer cancel()
	resp, err := d.syncer.Sync(ctx, a.Addr, a.Req)
	if err != nil {
		d.lg.Debug("Sync failed.", "worker", a.Worker, "err", err)
	}
	d.step(cell.SyncDone{Sync: a, Resp: resp, Err: err})
	return nil
}

// View calls f with the core under the driver's lock. f must not keep it.
func (d *Driver) View(f func(*cell.Core)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f(d.core)
}
