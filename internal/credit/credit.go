// Package credit decides how many requests a process may have in progress at each target, so that
// all processes together never exceed the target's slots.
//
// Every slot has one home, the process that may use it or lend it. The homes of a target's slots are
// its guard, or else the entries, dealt by rendezvous hash over the addresses in their settings. Both
// are known without agreement, so there is one granter for a slot at any time, log up or down.
//
// The invariant is that a home's own use plus what it has lent never exceeds the slots it is home of.
// A loan has a lease. The borrower counts it from before it asked and starts only attempts that end
// inside it; the lender counts it from when it was asked and adds a margin for clocks. So what a dead
// or paused borrower holds comes back by itself, and an attempt that runs is always counted by its
// home. A home that starts with nothing rests for as long as anything from its earlier life may last.
package credit

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Options are the settings of a book.
type Options struct {
	// Self is the address of this process.
	Self string
	// Homes are the addresses of the processes that slots without a guard are dealt to.
	Homes []string
	// Incarnation is larger after every start of this process.
	Incarnation int64
	// Lease is how long a loan holds.
	Lease time.Duration
	// MaxAttempt is the longest time an attempt may take.
	MaxAttempt time.Duration
	// Margin is added by a lender for clocks that run at different rates.
	Margin time.Duration
}

// rest is how long slots rest when this process can't know what was done with them before.
func (o Options) rest() time.Duration { return max(o.Lease, o.MaxAttempt) + o.Margin }

// Token is one slot in use. Lender is empty for a slot this process is home of.
type Token struct {
	Target string
	Lender string
}

// Book is what one process knows of the slots. Use New to make one.
type Book struct {
	opt     Options
	began   time.Time
	targets map[string]*account
	// heard holds the newest request of each borrower's address.
	heard map[string]heard
	// asks holds the seq of the newest request to each lender.
	asks map[string]int64
}

// account is the state of one target's slots.
type account struct {
	slots int
	guard string
	// own is how many slots this process is home of, usable after rests.
	own   int
	rests time.Time
	inUse int
	// peak is the recent largest use of all slots, own and borrowed.
	peak float64
	// extra is how many more slots waiting requests ask for.
	extra    int
	lent     map[holder][]grant
	borrowed map[string]*loan
}

// heard names a request.
type heard struct{ incarnation, seq int64 }

// before reports whether a request was made before another.
func (h heard) before(o heard) bool {
	return h.incarnation < o.incarnation || h.incarnation == o.incarnation && h.seq < o.seq
}

// holder is one start of a borrower.
type holder struct {
	addr        string
	incarnation int64
}

// grant is what a lender has to count for a borrower until a time.
type grant struct {
	slots int
	until time.Time
}

// loan is what a borrower may use until a time.
type loan struct {
	slots int
	until time.Time
	inUse int
}

// New returns the book of a process that starts now.
func New(o Options, now time.Time) *Book {
	return &Book{opt: o, began: now, targets: map[string]*account{}, heard: map[string]heard{}, asks: map[string]int64{}}
}

// SetTarget says how many slots a target has and which guard runs beside it, if any.
func (b *Book) SetTarget(now time.Time, name string, slots int, guard string) {
	a := b.targets[name]
	if a != nil && a.slots == slots && a.guard == guard {
		return
	}
	rests := b.began.Add(b.opt.rest())
	if a == nil {
		a = &account{lent: map[holder][]grant{}, borrowed: map[string]*loan{}}
		b.targets[name] = a
	} else {
		rests = now.Add(b.opt.rest())
	}
	a.slots, a.guard, a.rests = slots, guard, rests
	a.own = share(name, slots, b.homes(a), b.opt.Self)
}

// Known returns the names of the targets in the book.
func (b *Book) Known() []string {
	var out []string
	for name := range b.targets {
		out = append(out, name)
	}
	return out
}

// Drop forgets a target of which nothing is in use or lent.
func (b *Book) Drop(now time.Time, name string) {
	a := b.targets[name]
	if a == nil || a.total() > 0 || a.outstanding(now, holder{}) > 0 {
		return
	}
	delete(b.targets, name)
}

// homes returns the homes of a target's slots.
func (b *Book) homes(a *account) []string {
	if a.guard != "" {
		return []string{a.guard}
	}
	return b.opt.Homes
}

// share returns how many of a target's slots are at home at one address.
func share(target string, slots int, homes []string, self string) int {
	order := slices.Clone(homes)
	slices.SortFunc(order, func(x, y string) int {
		return cmp.Or(cmp.Compare(score(target, y), score(target, x)), cmp.Compare(x, y))
	})
	rank := slices.Index(order, self)
	if rank < 0 {
		return 0
	}
	n := slots / len(order)
	if rank < slots%len(order) {
		n++
	}
	return n
}

// score is the rendezvous hash of a target and a home.
func score(target, home string) uint64 { return xxhash.Sum64String(target + "\x00" + home) }

// total returns how many slots this process uses.
func (a *account) total() int {
	n := a.inUse
	for _, l := range a.borrowed {
		n += l.inUse
	}
	return n
}

// outstanding returns how many slots are lent, but for one holder.
func (a *account) outstanding(now time.Time, except holder) int {
	n := 0
	for h, gs := range a.lent {
		if h != except {
			n += largest(now, gs)
		}
	}
	return n
}

// largest returns the largest grant that may still hold.
func largest(now time.Time, gs []grant) int {
	n := 0
	for _, g := range gs {
		if now.Before(g.until) {
			n = max(n, g.slots)
		}
	}
	return n
}

// ownFree returns how many own slots may be used now.
func (a *account) ownFree(now time.Time) int {
	if now.Before(a.rests) {
		return 0
	}
	return max(0, a.own-a.inUse-a.outstanding(now, holder{}))
}

// free returns how many borrowed slots may be used by an attempt that is over by a time.
func (l *loan) free(until time.Time) int {
	if until.After(l.until) {
		return 0
	}
	return max(0, l.slots-l.inUse)
}

// Free returns how many attempts that are over by a time may be started at a target now.
func (b *Book) Free(now time.Time, target string, until time.Time) int {
	a := b.targets[target]
	if a == nil {
		return 0
	}
	n := a.ownFree(now)
	for _, l := range a.borrowed {
		n += l.free(until)
	}
	return n
}

// Warm reports whether own slots no longer rest, or borrowed ones of at least half of the targets can
// be used meanwhile.
func (b *Book) Warm(now time.Time) bool {
	if !now.Before(b.began.Add(b.opt.rest())) {
		return true
	}
	usable := 0
	for _, a := range b.targets {
		for _, l := range a.borrowed {
			if l.free(now) > 0 {
				usable++
				break
			}
		}
	}
	return usable > 0 && 2*usable >= len(b.targets)
}

// InUse returns how many slots of a target this process uses.
func (b *Book) InUse(target string) int {
	if a := b.targets[target]; a != nil {
		return a.total()
	}
	return 0
}

// Take takes a slot for an attempt that is over by a time, at the latest.
func (b *Book) Take(now time.Time, target string, until time.Time) (Token, bool) {
	a := b.targets[target]
	if a == nil || until.Sub(now) > b.opt.MaxAttempt {
		return Token{}, false
	}
	defer func() { a.peak = max(a.peak, float64(a.total())) }()
	if a.ownFree(now) > 0 {
		a.inUse++
		return Token{Target: target}, true
	}
	for _, lender := range sortedKeys(a.borrowed) {
		if l := a.borrowed[lender]; l.free(until) > 0 {
			l.inUse++
			return Token{target, lender}, true
		}
	}
	return Token{}, false
}

// Return gives a slot back once the attempt is surely over.
func (b *Book) Return(t Token) {
	a := b.targets[t.Target]
	if a == nil {
		return
	}
	if t.Lender == "" {
		a.inUse = max(0, a.inUse-1)
		return
	}
	if l := a.borrowed[t.Lender]; l != nil {
		l.inUse = max(0, l.inUse-1)
	}
}

// sortedKeys returns the keys of a map in order, so that the same events lead to the same actions.
func sortedKeys[V any](m map[string]V) []string {
	out := make([]string, 0, len(m))
	for k := range m {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}

// SetRested says that nothing from an earlier life of this process can last, so that its own slots
// may be used at once.
func (b *Book) SetRested(now time.Time) {
	b.began = now.Add(-b.opt.rest())
	for _, a := range b.targets {
		a.rests = now
	}
}
