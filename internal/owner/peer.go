package owner

import (
	"context"
	"errors"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/crocusspring/crocusspring/internal/event"
	"github.com/crocusspring/crocusspring/internal/link"
	"github.com/crocusspring/crocusspring/internal/sched"
)

// peer is a linked guard.
type peer struct {
	conn *link.Conn
	node string
	// worker is the life that the guard gave the inventory of; empty before.
	worker string
	// echo is the newest clock reading received.
	echo int64
	// out holds orders until the writer takes them.
	out  link.Down
	wake chan struct{}
}

// ServeLink takes the link of a guard.
func (c *Cell) ServeLink(w http.ResponseWriter, r *http.Request) {
	c.mu.Lock()
	owns, epoch := c.core != nil, c.epoch
	c.mu.Unlock()
	if !owns {
		http.Error(w, "not the owner", http.StatusServiceUnavailable)
		return
	}
	conn, err := link.Accept(w, r)
	if err != nil {
		c.log.Warn(event.LinkRefused, "err", err)
		return
	}
	p := &peer{conn: conn, wake: make(chan struct{}, 1)}
	grp, ctx := errgroup.WithContext(context.Background())
	grp.Go(func() error { return c.receive(p, epoch) })
	grp.Go(func() error { return c.beat(ctx, p, epoch) })
	grp.Go(func() error {
		<-ctx.Done()
		return conn.Close()
	})
	err = grp.Wait()
	c.detach(p, epoch, err)
}

// errStale says that a link belongs to an ownership that is over.
var errStale = errors.New("ownership is over")

// receive takes the messages of a guard.
func (c *Cell) receive(p *peer, epoch int64) error {
	for {
		var up link.Up
		if err := p.conn.Receive(&up); err != nil {
			return err
		}
		if err := c.report(p, epoch, up); err != nil {
			return err
		}
	}
}

// report takes one message.
func (c *Cell) report(p *peer, epoch int64, up link.Up) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.core == nil || c.epoch != epoch {
		return errStale
	}
	now := time.Now()
	p.echo = max(p.echo, up.ClockMS)
	if up.Node != "" {
		p.node = up.Node
	}
	for _, id := range up.Over {
		c.over(now, p, id)
	}
	if up.Inventory && up.Worker != nil {
		c.attach(now, p, up)
		return nil
	}
	if p.worker == "" {
		return nil
	}
	if up.Worker != nil && up.Worker.ID == p.worker {
		c.core.Update(now, *up.Worker)
	}
	if up.Reported {
		c.core.Report(now, p.worker, up.Running, up.Ended)
	} else if len(up.Ended) > 0 {
		c.core.Ended(now, p.worker, up.Ended)
	}
	c.core.UpdatePressure(now, p.worker, up.Pace, up.Mute)
	c.wake()
	return nil
}

// over takes the end of a life of a worker.
func (c *Cell) over(now time.Time, p *peer, id string) {
	c.core.RemoveWorker(now, id)
	if p.worker == id {
		p.speakFor("")
		delete(c.links, id)
	}
	c.wake()
}

// speakFor says which life of a worker the peer speaks for. Orders for another one are void.
func (p *peer) speakFor(life string) {
	if p.worker != life {
		p.worker, p.out = life, link.Down{}
	}
}

// attach takes the inventory of a guard. A new life of the worker says that the one before is over.
func (c *Cell) attach(now time.Time, p *peer, up link.Up) {
	id := up.Worker.ID
	if p.worker != "" && p.worker != id {
		c.core.RemoveWorker(now, p.worker)
		delete(c.links, p.worker)
	}
	if old := c.links[id]; old != nil && old != p {
		old.speakFor("")
		old.conn.Close()
	}
	for _, w := range c.core.SupersededWorkers(id, p.node) {
		c.core.RemoveWorker(now, w)
	}
	p.speakFor(id)
	c.links[id] = p
	c.core.Attach(now, p.node, *up.Worker, up.Running, up.Ended)
	c.core.UpdatePressure(now, id, up.Pace, up.Mute)
	c.wake()
}

// beat sends orders as they come, and a message with the newest echo when there are none.
func (c *Cell) beat(ctx context.Context, p *peer, epoch int64) error {
	t := time.NewTicker(link.Beat)
	defer t.Stop()
	for {
		d, err := c.next(p, epoch)
		if err != nil {
			return err
		}
		if err := p.conn.Send(d); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-p.wake:
		case <-t.C:
		}
	}
}

// next takes the orders that are due. It fails when this process may no longer vouch for runs.
func (c *Cell) next(p *peer, epoch int64) (link.Down, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.core == nil || c.epoch != epoch {
		return link.Down{}, errStale
	}
	if err := c.owns(); err != nil {
		return link.Down{}, err
	}
	d := p.out
	d.Epoch, d.EchoMS, d.Worker = epoch, p.echo, p.worker
	p.out = link.Down{}
	return d, nil
}

// send hands the scheduler's orders to the links. The caller holds the lock.
func (c *Cell) send() {
	for id, d := range c.core.Commands() {
		p := c.links[id]
		if p == nil {
			continue
		}
		p.out.Start = append(p.out.Start, d.Start...)
		p.out.Stop = append(p.out.Stop, d.Stop...)
		p.out.Known = append(p.out.Known, d.Known...)
		p.out.Forget = max(p.out.Forget, d.Forget)
		select {
		case p.wake <- struct{}{}:
		default:
		}
	}
}

// detach takes the end of a link.
func (c *Cell) detach(p *peer, epoch int64, why error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.log.Warn(event.LinkEnded, "guard", p.node, "worker", p.worker, "peer", p.conn.Peer(), "err", why)
	if c.core == nil || c.epoch != epoch || p.worker == "" || c.links[p.worker] != p {
		return
	}
	delete(c.links, p.worker)
	c.core.Detach(time.Now(), p.worker)
	c.wake()
}

// ErrNotOwner says that this process doesn't own the cell, or not surely with a current view.
var ErrNotOwner = errors.New("not the owner, or without a current view")

// Job returns how a job stands; found is false when there surely is none.
func (c *Cell) Job(id string) (v sched.View, found bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.core == nil || c.owns() != nil {
		return v, false, ErrNotOwner
	}
	v, found = c.core.Job(id)
	if !found && time.Since(c.read) > currentFor {
		return v, false, ErrNotOwner
	}
	return v, found, nil
}

// Explain returns how a job stands and why its steps wait; found is false when there surely is none.
func (c *Cell) Explain(id string) (v sched.View, found bool, err error) {
	v, found, err = c.Job(id)
	if !found || err != nil {
		return v, found, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.core == nil {
		return v, false, ErrNotOwner
	}
	v, found = c.core.Explain(id)
	return v, found, nil
}

// Waiting returns the number of jobs of each queue that have not started a task.
func (c *Cell) Waiting() (map[string]int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.core == nil || c.owns() != nil || time.Since(c.read) > currentFor {
		return nil, ErrNotOwner
	}
	return c.core.Waiting(), nil
}
