package credit

import (
	"math"
	"time"
)

// TargetSlots is a number of slots of one target, requested or lent.
type TargetSlots struct {
	Target string
	Slots  int
}

// Request is a borrower's request for slots of a lender. Once it is made, the borrower starts no attempts
// beyond the slots in Wants, so the slots of a target that is not listed are given back.
type Request struct {
	Holder      string
	Incarnation int64
	Seq         int64
	Wants       []TargetSlots
	// At is when the borrower made the request, by its own clock; it is not sent.
	At time.Time
}

// Response is a lender's answer.
type Response struct {
	Loans []TargetSlots
	Lease time.Duration
}

// decay is the factor that each Tick multiplies the recent peak of use by.
const decay = 0.7

// Tick decays the recent peaks of use, resets shortfalls and drops holders whose grants have expired. It is
// called a few times a second.
func (b *Book) Tick(now time.Time) {
	for _, a := range b.targets {
		a.peak = max(float64(a.totalInUse()), a.peak*decay)
		a.shortfall = 0
		for h, gs := range a.lent {
			if largest(now, gs) == 0 {
				delete(a.lent, h)
			}
		}
	}
}

// ReportShortfall records that waiting requests need more slots of a target. Until the next Tick these slots
// are requested from lenders, and this process's own slots are not lent and loans of them are not renewed.
func (b *Book) ReportShortfall(target string, more int) {
	if a := b.targets[target]; a != nil {
		a.shortfall = max(a.shortfall, more)
	}
}

// wanted returns how many slots of a target this process wants to borrow from all lenders together.
func (a *account) wanted(now time.Time) int {
	shortfall, own := a.shortfall, a.own
	if now.Before(a.quarantinedUntil) {
		own, shortfall = 0, max(1, shortfall)
	}
	want := int(math.Ceil(a.peak-0.5)) + shortfall - max(0, own-a.outstanding(now, holder{}))
	return min(max(0, want), a.slots)
}

// Lenders returns the addresses of the processes that this process may request slots from, in order.
func (b *Book) Lenders() []string {
	set := map[string]bool{}
	for _, a := range b.targets {
		for _, h := range b.granters(a) {
			if h != b.opt.Self {
				set[h] = true
			}
		}
	}
	return sortedKeys(set)
}

// NextRequest returns the next request to a lender, and false if there are no slots to request or give back.
func (b *Book) NextRequest(now time.Time, lender string) (Request, bool) {
	b.requestSeq[lender]++
	r := Request{Holder: b.opt.Self, Incarnation: b.opt.Incarnation, Seq: b.requestSeq[lender], At: now}
	held := false
	for _, name := range sortedKeys(b.targets) {
		a := b.targets[name]
		l := a.borrowed[lender]
		held = held || l != nil && l.slots > 0
		want := b.wantedFrom(now, a, lender)
		if l != nil {
			want = max(want, l.inUse)
			l.slots = min(l.slots, want)
		}
		if want > 0 {
			r.Wants = append(r.Wants, TargetSlots{name, want})
		}
	}
	return r, held || len(r.Wants) > 0
}

// wantedFrom returns how many of the wanted slots to request from one lender: an equal part, rounded up.
func (b *Book) wantedFrom(now time.Time, a *account, lender string) int {
	granters := b.granters(a)
	lenders, grants := 0, false
	for _, h := range granters {
		if h != b.opt.Self {
			lenders++
			grants = grants || h == lender
		}
	}
	if !grants {
		return 0
	}
	return (a.wanted(now) + lenders - 1) / lenders
}

// ReturnRequest returns the request that gives all slots borrowed from a lender back, except those in use.
func (b *Book) ReturnRequest(now time.Time, lender string) Request {
	b.requestSeq[lender]++
	r := Request{Holder: b.opt.Self, Incarnation: b.opt.Incarnation, Seq: b.requestSeq[lender], At: now}
	for _, name := range sortedKeys(b.targets) {
		if l := b.targets[name].borrowed[lender]; l != nil {
			l.slots = l.inUse
			if l.inUse > 0 {
				r.Wants = append(r.Wants, TargetSlots{name, l.inUse})
			}
		}
	}
	return r
}

// ApplyResponse applies the response to the newest request to a lender; responses to older ones are ignored.
func (b *Book) ApplyResponse(lender string, r Request, resp Response) {
	if r.Seq != b.requestSeq[lender] {
		return
	}
	until := r.At.Add(resp.Lease)
	for _, granted := range resp.Loans {
		a := b.targets[granted.Target]
		if a == nil {
			continue
		}
		l := a.borrowed[lender]
		if l == nil {
			l = &loan{}
			a.borrowed[lender] = l
		}
		l.slots, l.until = granted.Slots, until
	}
}

// Lend answers a request. A request that is not newer than the last one from the same address gets nothing.
func (b *Book) Lend(now time.Time, r Request) Response {
	h := holder{r.Holder, r.Incarnation}
	id := requestID{r.Incarnation, r.Seq}
	if !b.newestRequest[r.Holder].before(id) {
		return Response{}
	}
	b.newestRequest[r.Holder] = id
	wants := map[string]int{}
	for _, w := range r.Wants {
		wants[w.Target] = max(0, w.Slots)
	}
	resp := Response{Lease: b.opt.Lease}
	for _, name := range sortedKeys(b.targets) {
		a := b.targets[name]
		want := wants[name]
		a.limit(now, h, want)
		n := min(want, a.lendable(now, h))
		if n > 0 {
			a.lent[h] = append(a.lent[h], grant{n, now.Add(b.opt.Lease + b.opt.Margin)})
		}
		if want > 0 {
			resp.Loans = append(resp.Loans, TargetSlots{name, n})
		}
	}
	return resp
}

// limit drops the expired grants of a holder and caps the others at the slots it now wants, since the
// borrower starts no attempts beyond them.
func (a *account) limit(now time.Time, h holder, want int) {
	var left []grant
	for _, g := range a.lent[h] {
		g.slots = min(g.slots, want)
		if now.Before(g.until) && g.slots > 0 {
			left = append(left, g)
		}
	}
	if left == nil {
		delete(a.lent, h)
		return
	}
	a.lent[h] = merge(left)
}

// merge drops grants that a later one covers: with at least as many slots, and not ending earlier.
func merge(gs []grant) []grant {
	var out []grant
	for i, g := range gs {
		covered := false
		for j, o := range gs {
			covered = covered || j > i && o.slots >= g.slots && !o.until.Before(g.until)
		}
		if !covered {
			out = append(out, g)
		}
	}
	return out
}

// lendable returns how many slots a holder may have in all: those that are not in use here, not lent to
// others and not kept for this process's own recent peak; none during quarantine or a shortfall.
func (a *account) lendable(now time.Time, h holder) int {
	if now.Before(a.quarantinedUntil) {
		return 0
	}
	free := a.own - a.inUse - a.outstanding(now, h)
	keep := int(math.Ceil(a.peak-0.5)) - a.totalInUse()
	if a.shortfall > 0 {
		keep = a.own
	}
	return max(0, free-max(0, keep))
}
