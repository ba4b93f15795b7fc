package guard

import (
	"context"
	"errors"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/crocusspring/crocusspring/internal/event"
	"github.com/crocusspring/crocusspring/internal/link"
	"github.com/crocusspring/crocusspring/internal/pause"
	"github.com/crocusspring/crocusspring/internal/safe"
)

// linkLoop keeps a link to the owner open until the context ends.
func (g *Guard) linkLoop(ctx context.Context) error {
	for ctx.Err() == nil {
		addr := g.owner.OwnerAddr()
		if addr == "" {
			pause.For(ctx, retryPause)
			continue
		}
		conn, err := link.Dial(ctx, addr)
		if err == nil {
			g.log.Info(event.OwnerLinked, "owner", addr)
			err = g.serve(ctx, conn, addr)
		}
		if ctx.Err() == nil {
			g.log.Warn(event.OwnerLost, "owner", addr, "err", err)
		}
		pause.For(ctx, retryPause)
	}
	return nil
}

// serve exchanges messages until the link fails.
func (g *Guard) serve(ctx context.Context, conn *link.Conn, addr string) error {
	grp, ctx := errgroup.WithContext(ctx)
	g.mu.Lock()
	g.core.Linked()
	g.listing, g.listingUnderEpoch = nil, false
	g.mu.Unlock()
	grp.Go(func() error {
		<-ctx.Done()
		conn.Close()
		return ctx.Err()
	})
	grp.Go(func() error { return g.receive(conn) })
	grp.Go(func() error { return g.report(ctx, conn, addr) })
	return grp.Wait()
}

// errReplaced means that the owner at the other end was replaced.
var errReplaced = errors.New("owner was replaced")

// receive handles the owner's messages until the link fails.
func (g *Guard) receive(conn *link.Conn) error {
	for {
		var d link.OwnerMessage
		if err := conn.Receive(&d); err != nil {
			return err
		}
		if err := safe.Call("handle a message of the owner", func() error { return g.handle(d) }); err != nil {
			return err
		}
	}
}

// handle handles one message of the owner: it extends the lease and executes the commands.
func (g *Guard) handle(d link.OwnerMessage) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.core.ExtendLease(d) {
		return errReplaced
	}
	if !g.core.Matches(d) {
		if len(d.Start) > 0 {
			g.log.Info(event.CommandsIgnored, "worker", d.Worker, "starts", len(d.Start))
		}
		return nil
	}
	if d.AckedEnd > 0 {
		signal(g.endsAcked)
	}
	for _, s := range d.Start {
		if o, ok := g.core.BeginStart(g.clock(), s); ok {
			g.commands.Go(func() { g.start(o) })
		} else {
			signal(g.changed)
		}
	}
	for _, s := range d.Stop {
		g.core.RequestStop(s)
	}
	g.sendDueCommands()
	return nil
}

// reportState records what was last reported to the owner on a link.
type reportState struct {
	// runsAt is when all runs were last reported, tailSum the sum of the tail latencies then, lastEnd the number
	// of the newest run end reported, and sentAt the time of the last message.
	runsAt  time.Time
	tailSum float64
	lastEnd int64
	sentAt  time.Time
	// unixSentAt is when the time of day was last sent.
	unixSentAt time.Time
}

// unixInterval is the time between two reports of the time of day.
const unixInterval = 2 * time.Second

// addUnixTime adds the time of day to a message when it is due.
func (l *reportState) addUnixTime(up *link.GuardMessage) {
	if now := time.Now(); now.Sub(l.unixSentAt) >= unixInterval {
		l.unixSentAt = now
		up.UnixMS = now.UnixMilli()
	}
}

// report sends changes as they come, and a heartbeat when there are none.
func (g *Guard) report(ctx context.Context, conn *link.Conn, addr string) error {
	if err := conn.Send(link.GuardMessage{Node: g.node, ClockMS: g.clock(), Pace: fullPace}); err != nil {
		return err
	}
	complete := false
	last := reportState{sentAt: time.Now()}
	for ctx.Err() == nil {
		g.wait(ctx, g.changed, link.HeartbeatInterval)
		if g.owner.OwnerAddr() != addr {
			return errReplaced
		}
		g.mu.Lock()
		up, news := g.nextReport(&complete, &last)
		g.mu.Unlock()
		if !news && time.Since(last.sentAt) < link.HeartbeatInterval {
			continue
		}
		last.sentAt = time.Now()
		last.addUnixTime(&up)
		if err := conn.Send(up); err != nil {
			return err
		}
		pause.For(ctx, minReportInterval)
	}
	return ctx.Err()
}

// nextReport returns the next message and whether it contains anything new. On a new link, or when an inventory is
// due, it returns heartbeats until there is a listing for a complete inventory. The caller holds the lock.
func (g *Guard) nextReport(complete *bool, last *reportState) (link.GuardMessage, bool) {
	switch {
	case g.core.Settling():
	case *complete && !g.core.inventoryDue:
		up := g.core.Report(g.clock(), g.listing, false)
		g.listing = nil
		return up, last.trim(&up, g.core.TailSum())
	case g.listingUnderEpoch && g.listing != nil && g.listing.Incarnation == g.core.incarnation && g.core.Described():
		up := g.core.Report(g.clock(), g.listing, true)
		g.core.inventoryDue, g.listing, *complete = false, nil, true
		*last = reportState{unixSentAt: last.unixSentAt}
		last.trim(&up, g.core.TailSum())
		return up, true
	}
	up := g.core.Heartbeat(g.clock())
	return up, len(up.EndedIncarnations) > 0
}

// trim removes from a message what was reported before on this link; it reports whether anything new is left.
func (l *reportState) trim(up *link.GuardMessage, tails float64) bool {
	up.Ended = slices.DeleteFunc(slices.Clone(up.Ended), func(e link.RunEnd) bool { return e.Number > 0 && e.Number <= l.lastEnd })
	for _, e := range up.Ended {
		l.lastEnd = max(l.lastEnd, e.Number)
	}
	switch {
	case !up.Reported:
	case tails == l.tailSum && time.Since(l.runsAt) < runsReportInterval:
		up.Reported, up.Running = false, nil
	default:
		l.runsAt, l.tailSum = time.Now(), tails
	}
	return up.Reported || up.Worker != nil || len(up.Ended) > 0 || len(up.EndedIncarnations) > 0
}
