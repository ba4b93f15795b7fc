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
)

// links keeps a link to the owner.
func (g *Guard) links(ctx context.Context) error {
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
	g.core.inventory = true
	g.listing, g.full = nil, false
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

// errReplaced says that the owner at the other end was replaced.
var errReplaced = errors.New("owner was replaced")

// receive takes the owner's messages.
func (g *Guard) receive(conn *link.Conn) error {
	for {
		var d link.Down
		if err := conn.Receive(&d); err != nil {
			return err
		}
		if err := g.take(d); err != nil {
			return err
		}
	}
}

// take carries one message out.
func (g *Guard) take(d link.Down) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.core.Vouch(d) {
		return errReplaced
	}
	if !g.core.Meant(d) {
		if len(d.Start) > 0 {
			g.log.Info(event.CommandsIgnored, "worker", d.Worker, "starts", len(d.Start))
		}
		return nil
	}
	if d.Forget > 0 {
		signal(g.forgot)
	}
	for _, s := range d.Start {
		if o, ok := g.core.Begin(g.clock(), s); ok {
			g.tasks.Go(func() { g.start(o) })
		} else {
			signal(g.changed)
		}
	}
	for _, s := range d.Stop {
		g.core.Halt(s)
	}
	g.act()
	return nil
}

// sent is what the owner was told last on a link.
type sent struct {
	// rows is when all that runs was reported, tails the sum of the tails then, end the newest end.
	rows  time.Time
	tails float64
	end   int64
	at    time.Time
}

// report sends what has changed, and a beat when nothing has.
func (g *Guard) report(ctx context.Context, conn *link.Conn, addr string) error {
	if err := conn.Send(link.Up{Node: g.node, ClockMS: g.clock(), Pace: fullPace}); err != nil {
		return err
	}
	complete := false
	last := sent{at: time.Now()}
	for ctx.Err() == nil {
		g.wait(ctx, g.changed, link.Beat)
		if g.owner.OwnerAddr() != addr {
			return errReplaced
		}
		g.mu.Lock()
		up, news := g.next(&complete, &last)
		g.mu.Unlock()
		if !news && time.Since(last.at) < link.Beat {
			continue
		}
		last.at = time.Now()
		if err := conn.Send(up); err != nil {
			return err
		}
		pause.For(ctx, reportGap)
	}
	return ctx.Err()
}

// next returns the next message and whether it says anything new. The caller holds the lock.
func (g *Guard) next(complete *bool, last *sent) (link.Up, bool) {
	switch {
	case *complete && !g.core.inventory:
		up := g.core.Report(g.clock(), g.listing, false)
		g.listing = nil
		return up, last.trim(&up, g.core.Tails())
	case g.full && g.listing != nil:
		up := g.core.Report(g.clock(), g.listing, true)
		g.core.inventory, g.listing, *complete = false, nil, true
		*last = sent{}
		last.trim(&up, g.core.Tails())
		return up, true
	}
	return link.Up{ClockMS: g.clock(), Pace: fullPace}, false
}

// trim takes out of a message what the owner was told before on this link; it reports whether anything
// is left that is news.
func (l *sent) trim(up *link.Up, tails float64) bool {
	up.Ended = slices.DeleteFunc(slices.Clone(up.Ended), func(e link.RunEnd) bool { return e.N > 0 && e.N <= l.end })
	for _, e := range up.Ended {
		l.end = max(l.end, e.N)
	}
	switch {
	case !up.Reported:
	case tails == l.tails && time.Since(l.rows) < rowsEvery:
		up.Reported, up.Running = false, nil
	default:
		l.rows, l.tails = time.Now(), tails
	}
	return up.Reported || up.Worker != nil || len(up.Ended) > 0 || len(up.Over) > 0
}
