package credit

import (
	"math"
	"time"
)

// Want is a number of slots of one target.
type Want struct {
	Target string
	Slots  int
}

// Request asks a lender for slots. From the moment it is made the borrower starts nothing beyond what
// it wants, so a target that is not named is given back.
type Request struct {
	Holder      string
	Incarnation int64
	Seq         int64
	Wants       []Want
	// At is when the request was made by the borrower's clock; it is not sent.
	At time.Time
}

// Response is a lender's answer.
type Response struct {
	Loans []Want
	Lease time.Duration
}

// decay is what is left of the recent peak of use after each Tick.
const decay = 0.7

// Tick lets recent peaks fade. It is called a few times a second.
func (b *Book) Tick(now time.Time) {
	for _, a := range b.targets {
		a.peak = max(float64(a.total()), a.peak*decay)
		a.extra = 0
		for h, gs := range a.lent {
			if largest(now, gs) == 0 {
				delete(a.lent, h)
			}
		}
	}
}

// Starve notes that requests wait for so many more slots of a target, so that they are asked for and
// none of this process's own are lent on.
func (b *Book) Starve(target string, more int) {
	if a := b.targets[target]; a != nil {
		a.extra = max(a.extra, more)
	}
}

// wanted returns how many slots of a target this process wants to borrow in all.
func (a *account) wanted(now time.Time) int {
	spare, own := a.extra, a.own
	if now.Before(a.rests) {
		own, spare = 0, max(1, spare)
	}
	want := int(math.Ceil(a.peak-0.5)) + spare - max(0, own-a.outstanding(now, holder{}))
	return min(max(0, want), a.slots)
}

// Lenders returns the processes to ask for slots now.
func (b *Book) Lenders() []string {
	set := map[string]bool{}
	for _, a := range b.targets {
		for _, h := range b.homes(a) {
			if h != b.opt.Self {
				set[h] = true
			}
		}
	}
	return sortedKeys(set)
}

// Ask returns the request to a lender, and false when there is nothing to want or give back.
func (b *Book) Ask(now time.Time, lender string) (Request, bool) {
	b.asks[lender]++
	r := Request{Holder: b.opt.Self, Incarnation: b.opt.Incarnation, Seq: b.asks[lender], At: now}
	held := false
	for _, name := range sortedKeys(b.targets) {
		a := b.targets[name]
		l := a.borrowed[lender]
		held = held || l != nil && l.slots > 0
		want := b.wantOf(now, a, lender)
		if l != nil {
			want = max(want, l.inUse)
			l.slots = min(l.slots, want)
		}
		if want > 0 {
			r.Wants = append(r.Wants, Want{name, want})
		}
	}
	return r, held || len(r.Wants) > 0
}

// wantOf returns the part of what is wanted that one lender is asked for.
func (b *Book) wantOf(now time.Time, a *account, lender string) int {
	homes := b.homes(a)
	lenders, asked := 0, false
	for _, h := range homes {
		if h != b.opt.Self {
			lenders++
			asked = asked || h == lender
		}
	}
	if !asked {
		return 0
	}
	return (a.wanted(now) + lenders - 1) / lenders
}

// GiveBack returns the request that gives everything borrowed from a lender back.
func (b *Book) GiveBack(now time.Time, lender string) Request {
	b.asks[lender]++
	r := Request{Holder: b.opt.Self, Incarnation: b.opt.Incarnation, Seq: b.asks[lender], At: now}
	for _, name := range sortedKeys(b.targets) {
		if l := b.targets[name].borrowed[lender]; l != nil {
			l.slots = l.inUse
			if l.inUse > 0 {
				r.Wants = append(r.Wants, Want{name, l.inUse})
			}
		}
	}
	return r
}

// Granted takes the answer to the newest request to a lender; answers to older ones mean nothing.
func (b *Book) Granted(lender string, r Request, resp Response) {
	if r.Seq != b.asks[lender] {
		return
	}
	until := r.At.Add(resp.Lease)
	for _, g := range resp.Loans {
		a := b.targets[g.Target]
		if a == nil {
			continue
		}
		l := a.borrowed[lender]
		if l == nil {
			l = &loan{}
			a.borrowed[lender] = l
		}
		l.slots, l.until = g.Slots, until
	}
}

// Lend answers a request. One that was overtaken by a newer one gets nothing.
func (b *Book) Lend(now time.Time, r Request) Response {
	h := holder{r.Holder, r.Incarnation}
	this := heard{r.Incarnation, r.Seq}
	if !b.heard[r.Holder].before(this) {
		return Response{}
	}
	b.heard[r.Holder] = this
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
			resp.Loans = append(resp.Loans, Want{name, n})
		}
	}
	return resp
}

// limit drops what has lapsed and caps the rest, since the borrower promised to start no more.
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

// merge drops grants that another one with at least as many slots outlives.
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

// lendable returns how many slots a holder may have in all: what is not in use here, not lent to
// others and not kept for this process's own recent use.
func (a *account) lendable(now time.Time, h holder) int {
	if now.Before(a.rests) {
		return 0
	}
	free := a.own - a.inUse - a.outstanding(now, h)
	keep := int(math.Ceil(a.peak-0.5)) - a.total()
	if a.extra > 0 {
		keep = a.own
	}
	return max(0, free-max(0, keep))
}
