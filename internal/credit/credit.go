// Package credit decides how many requests a process may have in progress at each target, so that
// all processes together never exceed the target's slots.
//
// Every slot has one granter, the process that may use it or lend it. The granter of a target's slots is
// its guard if it has one; otherwise the slots are distributed over the entries by rendezvous hashing of
// the addresses in their settings. Both are known without coordination, so a slot has one granter at any
// time, whether the log is available or not.
//
// The invariant is that the slots a granter uses plus those it has lent never exceed the slots it grants.
// A loan has a lease. The borrower counts it from before it sent the request and starts only attempts that
// end within it; the lender counts it from when it received the request and adds a margin for clock drift.
// So slots lent to a dead or paused borrower become free when the lease expires, and a running attempt is
// always counted by its granter. A granter that starts without state keeps its slots in quarantine for as
// long as loans and attempts from its earlier incarnation may last.
package credit

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Options are the settings of a Book.
type Options struct {
	// Self is the address of this process.
	Self string
	// Granters are the addresses of the processes that slots of targets without a guard are distributed over.
	Granters []string
	// Incarnation is larger after every start of this process.
	Incarnation int64
	// Lease is how long a loan is valid.
	Lease time.Duration
	// MaxAttempt is the longest time an attempt may take.
	MaxAttempt time.Duration
	// Margin is added by a lender for clocks that run at different rates.
	Margin time.Duration
}

// quarantine is how long own slots must not be used or lent when loans and attempts from an earlier
// incarnation, or from before a change of the target, may still last.
func (o Options) quarantine() time.Duration { return max(o.Lease, o.MaxAttempt) + o.Margin }

// Token is one slot in use. Lender is empty for a slot that this process itself grants.
type Token struct {
	Target string
	Lender string
}

// Book is one process's ledger of slots that it uses, lends and borrows. Use New to make one.
type Book struct {
	opt     Options
	began   time.Time
	targets map[string]*account
	// newestRequest holds the identity of the newest request received from each borrower's address.
	newestRequest map[string]requestID
	// requestSeq holds the sequence number of the newest request to each lender.
	requestSeq map[string]int64
}

// account is the state of one target's slots in this process.
type account struct {
	slots int
	guard string
	// own is how many slots this process grants; they are not used or lent before quarantinedUntil.
	own              int
	quarantinedUntil time.Time
	inUse            int
	// peak is the recent largest number of slots in use, own and borrowed; it decays with each Tick.
	peak float64
	// shortfall is how many more slots waiting requests need.
	shortfall int
	lent      map[holder][]grant
	borrowed  map[string]*loan
}

// requestID identifies a request of one borrower.
type requestID struct{ incarnation, seq int64 }

// before reports whether the request was made before another of the same borrower.
func (h requestID) before(o requestID) bool {
	return h.incarnation < o.incarnation || h.incarnation == o.incarnation && h.seq < o.seq
}

// holder is one incarnation of a borrower.
type holder struct {
	addr        string
	incarnation int64
}

// grant is a number of slots that a lender counts as lent to a borrower until a time.
type grant struct {
	slots int
	until time.Time
}

// loan is a number of slots that a borrower may use until a time.
type loan struct {
	slots int
	until time.Time
	inUse int
}

// New returns the Book of a process that starts now.
func New(o Options, now time.Time) *Book {
	return &Book{opt: o, began: now, targets: map[string]*account{}, newestRequest: map[string]requestID{}, requestSeq: map[string]int64{}}
}

// SetTarget sets how many slots a target has and the guard that runs beside it; guard is empty if there is
// none. A change puts the own slots of the target into quarantine.
func (b *Book) SetTarget(now time.Time, name string, slots int, guard string) {
	a := b.targets[name]
	if a != nil && a.slots == slots && a.guard == guard {
		return
	}
	quarantinedUntil := b.began.Add(b.opt.quarantine())
	if a == nil {
		a = &account{lent: map[holder][]grant{}, borrowed: map[string]*loan{}}
		b.targets[name] = a
	} else {
		quarantinedUntil = now.Add(b.opt.quarantine())
	}
	a.slots, a.guard, a.quarantinedUntil = slots, guard, quarantinedUntil
	a.own = share(name, slots, b.granters(a), b.opt.Self)
}

// Targets returns the names of the targets in the Book.
func (b *Book) Targets() []string {
	var out []string
	for name := range b.targets {
		out = append(out, name)
	}
	return out
}

// Drop removes a target, unless a slot of it is in use or lent.
func (b *Book) Drop(now time.Time, name string) {
	a := b.targets[name]
	if a == nil || a.totalInUse() > 0 || a.outstanding(now, holder{}) > 0 {
		return
	}
	delete(b.targets, name)
}

// granters returns the addresses of the processes that grant a target's slots.
func (b *Book) granters(a *account) []string {
	if a.guard != "" {
		return []string{a.guard}
	}
	return b.opt.Granters
}

// share returns how many of a target's slots the process at one address grants.
func share(target string, slots int, granters []string, self string) int {
	order := slices.Clone(granters)
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

// score returns the rendezvous hash of a target and a granter.
func score(target, granter string) uint64 { return xxhash.Sum64String(target + "\x00" + granter) }

// totalInUse returns how many slots this process uses, own and borrowed.
func (a *account) totalInUse() int {
	n := a.inUse
	for _, l := range a.borrowed {
		n += l.inUse
	}
	return n
}

// outstanding returns how many slots are lent, except to one holder.
func (a *account) outstanding(now time.Time, except holder) int {
	n := 0
	for h, gs := range a.lent {
		if h != except {
			n += largest(now, gs)
		}
	}
	return n
}

// largest returns the slots of the largest grant that has not expired.
func largest(now time.Time, gs []grant) int {
	n := 0
	for _, g := range gs {
		if now.Before(g.until) {
			n = max(n, g.slots)
		}
	}
	return n
}

// ownFree returns how many own slots are free and may be used now.
func (a *account) ownFree(now time.Time) int {
	if now.Before(a.quarantinedUntil) {
		return 0
	}
	return max(0, a.own-a.inUse-a.outstanding(now, holder{}))
}

// free returns how many borrowed slots may be used by an attempt that ends by a time.
func (l *loan) free(until time.Time) int {
	if until.After(l.until) {
		return 0
	}
	return max(0, l.slots-l.inUse)
}

// Free returns how many attempts that end by a time may be started at a target now.
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

// Ready reports whether the quarantine after the start is over, or borrowed slots of at least half of the
// targets, and of at least one, can be used until then.
func (b *Book) Ready(now time.Time) bool {
	if !now.Before(b.began.Add(b.opt.quarantine())) {
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
		return a.totalInUse()
	}
	return 0
}

// Take takes a slot for an attempt that ends by a time at the latest, own slots first. It fails if no slot
// is free or the attempt may take longer than MaxAttempt.
func (b *Book) Take(now time.Time, target string, until time.Time) (Token, bool) {
	a := b.targets[target]
	if a == nil || until.Sub(now) > b.opt.MaxAttempt {
		return Token{}, false
	}
	defer func() { a.peak = max(a.peak, float64(a.totalInUse())) }()
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

// Return frees the slot of an attempt that has certainly ended.
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

// sortedKeys returns the keys of a map in order, so that the same events always lead to the same actions.
func sortedKeys[V any](m map[string]V) []string {
	out := make([]string, 0, len(m))
	for k := range m {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}

// EndQuarantine ends the quarantine of all own slots, for callers that know that no loan or attempt from an
// earlier incarnation of this process can still last.
func (b *Book) EndQuarantine(now time.Time) {
	b.began = now.Add(-b.opt.quarantine())
	for _, a := range b.targets {
		a.quarantinedUntil = now
	}
}
