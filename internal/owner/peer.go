package owner

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/crocusspring/crocusspring/internal/event"
	"github.com/crocusspring/crocusspring/internal/link"
	"github.com/crocusspring/crocusspring/internal/sched"
	"github.com/crocusspring/crocusspring/internal/store"
)

// peer is a guard with an open link.
type peer struct {
	conn *link.Conn
	node string
	// worker is the incarnation of the worker whose inventory the guard sent last; empty before the first and after
	// that incarnation has ended or attached over another link.
	worker string
	// echoMS is the newest clock reading received from the guard, in milliseconds.
	echoMS int64
	// outbox holds commands until sendLoop sends them.
	outbox link.OwnerMessage
	wake   chan struct{}
}

// ServeLink accepts the link of a guard and serves it until it fails.
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
	grp.Go(func() error { return c.sendLoop(ctx, p, epoch) })
	grp.Go(func() error {
		<-ctx.Done()
		return conn.Close()
	})
	err = grp.Wait()
	c.detach(p, epoch, err)
}

// errStale means that a link belongs to an ownership that is over.
var errStale = errors.New("ownership is over")

// receive handles the messages of a guard until the link fails.
func (c *Cell) receive(p *peer, epoch int64) error {
	for {
		var up link.GuardMessage
		if err := p.conn.Receive(&up); err != nil {
			return err
		}
		if err := c.protect("handle a report of "+p.node, func() error { return c.report(p, epoch, up) }); err != nil {
			return err
		}
	}
}

// report handles one message of a guard.
func (c *Cell) report(p *peer, epoch int64, up link.GuardMessage) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.core == nil || c.epoch != epoch {
		return errStale
	}
	now := time.Now()
	p.echoMS = max(p.echoMS, up.ClockMS)
	if up.Node != "" {
		p.node = up.Node
	}
	if up.Follows.Epoch == epoch {
		c.core.Followed(now, p.node, up.Follows)
	}
	if up.UnixMS > 0 {
		c.clock.Observe(now, p.node, up.UnixMS)
	}
	for _, crash := range up.Crashed {
		c.core.WorkerCrashed(now, crash)
	}
	for _, id := range up.EndedIncarnations {
		c.incarnationEnded(now, p, id)
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
		c.core.Report(now, p.worker, up.Listing)
	} else if len(up.Ended) > 0 {
		c.core.Ended(now, p.worker, up.Ended)
	}
	c.core.UpdatePressure(now, p.worker, up.Pace, up.Unresponsive)
	c.wake()
	return nil
}

// incarnationEnded handles the end of an incarnation of a worker.
func (c *Cell) incarnationEnded(now time.Time, p *peer, id string) {
	c.core.RemoveWorker(now, id)
	if p.worker == id {
		p.setWorker("")
		delete(c.links, id)
	}
	c.wake()
}

// setWorker sets the incarnation of the worker that the peer reports on. Commands that wait for another one are
// dropped.
func (p *peer) setWorker(incarnation string) {
	if p.worker != incarnation {
		p.worker, p.outbox = incarnation, link.OwnerMessage{}
	}
}

// attach handles the inventory of a guard. A new incarnation of the worker means that the earlier one has ended.
func (c *Cell) attach(now time.Time, p *peer, up link.GuardMessage) {
	id := up.Worker.ID
	if p.worker != "" && p.worker != id {
		c.core.RemoveWorker(now, p.worker)
		delete(c.links, p.worker)
	}
	if old := c.links[id]; old != nil && old != p {
		old.setWorker("")
		old.conn.Close()
	}
	for _, w := range c.core.SupersededWorkers(id, p.node) {
		c.core.RemoveWorker(now, w)
	}
	p.setWorker(id)
	c.links[id] = p
	c.core.Attach(now, p.node, *up.Worker, up.Listing)
	c.core.UpdatePressure(now, id, up.Pace, up.Unresponsive)
	c.wake()
}

// sendLoop sends commands as they come, and a heartbeat with the newest echo when there are none.
func (c *Cell) sendLoop(ctx context.Context, p *peer, epoch int64) error {
	t := time.NewTicker(link.HeartbeatInterval)
	defer t.Stop()
	for {
		d, err := c.nextMessage(p, epoch)
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

// nextMessage returns the next message with the commands that are due. It fails when this process may no longer
// extend the lease of runs.
func (c *Cell) nextMessage(p *peer, epoch int64) (link.OwnerMessage, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.core == nil || c.epoch != epoch {
		return link.OwnerMessage{}, errStale
	}
	if err := c.owns(); err != nil {
		return link.OwnerMessage{}, err
	}
	d := p.nextCommands()
	d.Epoch, d.Worker, d.ClockMS = epoch, p.worker, c.clockMS()
	if c.mayExtend(time.Now()) {
		d.EchoMS = p.echoMS
	}
	return d, nil
}

// maxStall is how long a process may stand still, frozen or suspended, without losing the cell to another one that most
// guards follow: they need that long to see that a link is dead.
const maxStall = 1500 * time.Millisecond

// mayExtend reports whether this process may extend the leases of runs. After its own lease has expired it may as long as it
// most guards confirm its messages: a successor knows by the guards that follow it when that is over. After a stall it waits until
// it must have read that it was replaced. The caller holds the lock.
func (c *Cell) mayExtend(now time.Time) bool {
	// The monotonic clock stands still while the machine is suspended; the wall clock doesn't.
	gap := max(now.Sub(c.extendCheckedAt), now.Round(0).Sub(c.extendCheckedAt.Round(0)))
	if !c.extendCheckedAt.IsZero() && gap > maxStall {
		c.stalledAt = now
	}
	c.extendCheckedAt = now
	if now.Sub(c.stalledAt) < c.opt.GuardSilence {
		return false
	}
	_, sinceExpiry, ok := c.lease.Holds()
	if !ok || sinceExpiry <= 0 {
		return ok
	}
	nowMS := c.clockMS()
	return c.core.MayExtend(nowMS, nowMS-sinceExpiry.Milliseconds())
}

// maxStartBytes bounds the starts of one message, in bytes; the next message has the others. A link takes only so much at a
// time, and the lease of runs must not wait for thousands of starts to be sent.
const maxStartBytes = 256 << 10

// startOverhead is the size of a start besides its payload and checkpoint, at most, in bytes.
const startOverhead = 1 << 10

// nextCommands takes the commands of the next message from the outbox.
func (p *peer) nextCommands() link.OwnerMessage {
	d := p.outbox
	p.outbox = link.OwnerMessage{}
	size := 0
	for i := range d.Start {
		size += startOverhead + len(d.Start[i].Payload) + len(d.Start[i].Checkpoint)
		if i > 0 && size > maxStartBytes {
			d.Start, p.outbox.Start = d.Start[:i], d.Start[i:]
			p.signal()
			break
		}
	}
	return d
}

// signal wakes sendLoop.
func (p *peer) signal() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// queueCommands queues the scheduler's commands on the links of their workers; those for a worker without a link are
// dropped. The caller holds the lock.
func (c *Cell) queueCommands() {
	for id, d := range c.core.Commands() {
		p := c.links[id]
		if p == nil {
			continue
		}
		p.outbox.Start = append(p.outbox.Start, d.Start...)
		p.outbox.Stop = append(p.outbox.Stop, d.Stop...)
		p.outbox.KnownRuns = append(p.outbox.KnownRuns, d.KnownRuns...)
		p.outbox.AckedEnd = max(p.outbox.AckedEnd, d.AckedEnd)
		p.signal()
	}
}

// detach handles the end of a link.
func (c *Cell) detach(p *peer, epoch int64, cause error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.log.Warn(event.LinkEnded, "guard", p.node, "worker", p.worker, "peer", p.conn.Peer(), "err", cause)
	if c.core == nil || c.epoch != epoch || p.worker == "" || c.links[p.worker] != p {
		return
	}
	delete(c.links, p.worker)
	c.core.Detach(time.Now(), p.worker)
	c.wake()
}

// ErrNotOwner means that this process doesn't own the cell, or that its view of the jobs may be out of date.
var ErrNotOwner = errors.New("not the owner, or without a current view")

// Job returns the state of a job; found is false only when the job is certain not to exist.
func (c *Cell) Job(id string) (v sched.View, found bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.core == nil || c.owns() != nil {
		return v, false, ErrNotOwner
	}
	v, found = c.core.Job(id)
	if !found && time.Since(c.jobsReadAt) > maxViewAge {
		return v, false, ErrNotOwner
	}
	return v, found, nil
}

// ConfirmedJob returns the state of a job as Job does. That the job doesn't exist is confirmed by the store: a job may have
// been accepted since the last read.
func (c *Cell) ConfirmedJob(ctx context.Context, id string) (v sched.View, found bool, err error) {
	v, found, err = c.Job(id)
	if found || err != nil {
		return v, found, err
	}
	c.mu.Lock()
	next := c.jobsNext
	c.mu.Unlock()
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	b, err := c.store.Read(call, store.TopicJobs, next, 0)
	if err != nil {
		return v, false, fmt.Errorf("%w: %w", ErrNotOwner, err)
	}
	accepted := slices.ContainsFunc(b.Records, func(r store.Record) bool { return r.Key == store.PrefixJob+id })
	if accepted || !b.Current() {
		return v, false, ErrNotOwner
	}
	return v, false, nil
}

// Explain returns the state of a job and why its steps wait; found is false only when the job is certain not to
// exist.
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

// Room returns the memory that this process has for further jobs, in bytes; false if it has no limit.
func (c *Cell) Room() (int64, bool, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.core == nil || c.owns() != nil {
		return 0, false, ErrNotOwner
	}
	left, limited := c.core.Room()
	return left, limited, nil
}

// Waiting returns the number of jobs by queue that have not started a task.
func (c *Cell) Waiting() (map[string]int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.core == nil || c.owns() != nil || time.Since(c.jobsReadAt) > maxViewAge {
		return nil, ErrNotOwner
	}
	return c.core.Waiting(), nil
}
