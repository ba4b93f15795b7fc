package dispatch

import (
	"context"
	"sync"
	"time"

	peerv1 "github.com/crocusspring/crocusspring/api/peer/v1"
	"github.com/crocusspring/crocusspring/internal/credit"
)

// borrow requests slots from lenders until ctx ends: every borrowInterval, and every
// queuedBorrowInterval while requests are queued.
func (d *Dispatcher) borrow(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-d.borrowNow:
			d.borrowOnce(ctx)
			sleep(ctx, queuedBorrowInterval)
		case <-time.After(borrowInterval):
			d.mu.Lock()
			d.credits.Tick(time.Now())
			d.mu.Unlock()
			d.borrowOnce(ctx)
		case <-ctx.Done():
		}
		if d.Waiting() > 0 {
			d.triggerBorrow()
		}
	}
}

// Waiting returns the number of requests that wait for a slot.
func (d *Dispatcher) Waiting() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.core.Waiting()
}

// borrowOnce sends one request to every lender that has none in progress.
func (d *Dispatcher) borrowOnce(ctx context.Context) {
	d.mu.Lock()
	lenders := d.credits.Lenders()
	d.mu.Unlock()
	for _, l := range lenders {
		if !d.beginBorrow(l) {
			continue
		}
		go func() {
			defer d.endBorrow(l)
			d.mu.Lock()
			r, ok := d.credits.NextRequest(time.Now(), l)
			d.mu.Unlock()
			if ok {
				d.sendBorrow(ctx, l, r)
			}
		}()
	}
}

// beginBorrow marks a request to a lender as in progress and reports whether none was before.
func (d *Dispatcher) beginBorrow(l string) bool {
	_, busy := d.borrowing.LoadOrStore(l, true)
	return !busy
}

// endBorrow marks the request to a lender as ended.
func (d *Dispatcher) endBorrow(l string) { d.borrowing.Delete(l) }

// sendBorrow sends one request to a lender and applies its response.
func (d *Dispatcher) sendBorrow(ctx context.Context, lender string, r credit.Request) {
	msg := &peerv1.BorrowRequest{Holder: r.Holder, Incarnation: r.Incarnation, Seq: r.Seq, Wants: encodeWants(r.Wants)}
	resp, err := d.members.CallBorrow(ctx, lender, msg)
	if err != nil {
		d.lg.Debug("Borrowing failed.", "lender", lender, "err", err)
		return
	}
	lease := time.Duration(resp.LeaseMs) * time.Millisecond
	d.step(func(now time.Time) Actions {
		d.credits.ApplyResponse(lender, r, credit.Response{Loans: decodeWants(resp.Loans), Lease: lease})
		return d.core.Tick(now)
	})
}

// Lend handles a peer's request for slots.
func (d *Dispatcher) Lend(m *peerv1.BorrowRequest) *peerv1.BorrowResponse {
	d.refresh()
	d.mu.Lock()
	defer d.mu.Unlock()
	r := credit.Request{Holder: m.Holder, Incarnation: m.Incarnation, Seq: m.Seq, Wants: decodeWants(m.Wants)}
	resp := d.credits.Lend(time.Now(), r)
	return &peerv1.BorrowResponse{Loans: encodeWants(resp.Loans), LeaseMs: resp.Lease.Milliseconds()}
}

// returnLoans returns the borrowed slots to every lender.
func (d *Dispatcher) returnLoans(ctx context.Context) {
	d.mu.Lock()
	lenders := d.credits.Lenders()
	d.mu.Unlock()
	var wg sync.WaitGroup
	for _, l := range lenders {
		wg.Go(func() {
			d.mu.Lock()
			r := d.credits.ReturnRequest(time.Now(), l)
			d.mu.Unlock()
			d.sendBorrow(ctx, l, r)
		})
	}
	wg.Wait()
}

// encodeWants converts wants to their wire form.
func encodeWants(ws []credit.TargetSlots) []*peerv1.Loan {
	var out []*peerv1.Loan
	for _, w := range ws {
		out = append(out, &peerv1.Loan{Target: w.Target, Slots: int32(w.Slots)})
	}
	return out
}

// decodeWants converts wants from their wire form.
func decodeWants(ls []*peerv1.Loan) []credit.TargetSlots {
	var out []credit.TargetSlots
	for _, l := range ls {
		out = append(out, credit.TargetSlots{Target: l.Target, Slots: int(l.Slots)})
	}
	return out
}
