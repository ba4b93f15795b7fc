package dispatch

import (
	"context"
	"sync"
	"time"

	peerv1 "github.com/crocusspring/crocusspring/api/peer/v1"
	"github.com/crocusspring/crocusspring/internal/credit"
)

// borrow asks lenders for slots until ctx ends, soon when a request waits.
func (d *Dispatcher) borrow(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-d.hungry:
			d.round(ctx)
			sleep(ctx, starveEvery)
		case <-time.After(creditEvery):
			d.mu.Lock()
			d.credits.Tick(time.Now())
			d.mu.Unlock()
			d.round(ctx)
		case <-ctx.Done():
		}
		if d.Waiting() > 0 {
			d.wake()
		}
	}
}

// Waiting returns how many requests wait for a slot.
func (d *Dispatcher) Waiting() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.core.Waiting()
}

// round asks every lender once, each only after its last answer or timeout.
func (d *Dispatcher) round(ctx context.Context) {
	d.mu.Lock()
	lenders := d.credits.Lenders()
	d.mu.Unlock()
	for _, l := range lenders {
		if !d.claimLender(l) {
			continue
		}
		go func() {
			defer d.freeLender(l)
			d.mu.Lock()
			r, ok := d.credits.NextRequest(time.Now(), l)
			d.mu.Unlock()
			if ok {
				d.ask(ctx, l, r)
			}
		}()
	}
}

// claimLender reports whether no request to a lender is on its way, and notes one.
func (d *Dispatcher) claimLender(l string) bool {
	_, busy := d.asking.LoadOrStore(l, true)
	return !busy
}

// freeLender notes that the request to a lender has ended.
func (d *Dispatcher) freeLender(l string) { d.asking.Delete(l) }

// ask sends one request to a lender and takes its answer.
func (d *Dispatcher) ask(ctx context.Context, lender string, r credit.Request) {
	msg := &peerv1.BorrowRequest{Holder: r.Holder, Incarnation: r.Incarnation, Seq: r.Seq, Wants: encode(r.Wants)}
	resp, err := d.members.CallBorrow(ctx, lender, msg)
	if err != nil {
		d.lg.Debug("Borrowing failed.", "lender", lender, "err", err)
		return
	}
	lease := time.Duration(resp.LeaseMs) * time.Millisecond
	d.step(func(now time.Time) Actions {
		d.credits.ApplyResponse(lender, r, credit.Response{Loans: decode(resp.Loans), Lease: lease})
		return d.core.Tick(now)
	})
}

// Lend answers a peer that asks for slots.
func (d *Dispatcher) Lend(m *peerv1.BorrowRequest) *peerv1.BorrowResponse {
	d.refresh()
	d.mu.Lock()
	defer d.mu.Unlock()
	r := credit.Request{Holder: m.Holder, Incarnation: m.Incarnation, Seq: m.Seq, Wants: decode(m.Wants)}
	resp := d.credits.Lend(time.Now(), r)
	return &peerv1.BorrowResponse{Loans: encode(resp.Loans), LeaseMs: resp.Lease.Milliseconds()}
}

// giveBack gives borrowed slots back to every lender.
func (d *Dispatcher) giveBack(ctx context.Context) {
	d.mu.Lock()
	lenders := d.credits.Lenders()
	d.mu.Unlock()
	var wg sync.WaitGroup
	for _, l := range lenders {
		wg.Go(func() {
			d.mu.Lock()
			r := d.credits.ReturnRequest(time.Now(), l)
			d.mu.Unlock()
			d.ask(ctx, l, r)
		})
	}
	wg.Wait()
}

// encode returns the wire form of wants.
func encode(ws []credit.TargetSlots) []*peerv1.Loan {
	var out []*peerv1.Loan
	for _, w := range ws {
		out = append(out, &peerv1.Loan{Target: w.Target, Slots: int32(w.Slots)})
	}
	return out
}

// decode returns the wants of a wire form.
func decode(ls []*peerv1.Loan) []credit.TargetSlots {
	var out []credit.TargetSlots
	for _, l := range ls {
		out = append(out, credit.TargetSlots{Target: l.Target, Slots: int(l.Slots)})
	}
	return out
}
