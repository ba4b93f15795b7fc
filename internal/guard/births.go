package guard

import "github.com/crocusspring/crocusspring/internal/link"

// A fencing token is made of the owner's epoch and, in its low bits, a number that grows with the births of the worker which a
// guard has seen. Calls name the worker's ID only, so that one that is held up may be carried out by a later birth: it has no
// effect there once that birth has answered a call with a higher token.
const (
	// birthBits is the size of the low part, in bits. Epochs grow with the records of the owners' topic, about two a second;
	// below 2^32 tokens stay below 2^53, which any reader of JSON keeps exactly.
	birthBits = 21
	// maxBirth is the highest number of the low part. A guard that reaches it keeps it until the next epoch.
	maxBirth = 1<<birthBits - 1
	// birthSpan is the number of values with which guards begin, by the second of their start: twelve days. The rest is room to
	// grow.
	birthSpan = 1 << (birthBits - 1)
	// firstLeap is how far the number is raised after a refusal; it doubles each time, so that sixteen lead to maxBirth at most.
	firstLeap = 64
)

// births makes the low part of fencing tokens.
type births struct {
	// first is the number with which this process began, and seen the births since.
	first, seen int64
	// leap is added while the worker has seen higher numbers under the same epoch, from an earlier guard process beside it whose
	// time of day was later.
	leap int64
	// least is the lowest token of polls whose answers count: a birth may have answered polls with lower ones before another
	// began.
	least int64
	// open says that another birth has answered a poll and none one with least yet. Until then calls to the birth before may be
	// carried out in the next.
	open bool
}

// newBirths returns the numbers of a process that started at a time of day in Unix seconds.
func newBirths(startedUnix int64) births { return births{first: max(0, startedUnix) % birthSpan} }

// number returns the low part of tokens.
func (b *births) number() int64 { return min(b.first+b.seen+b.leap, maxBirth) }

// Token returns the fencing token of calls to the worker.
func (c *Core) Token() int64 { return c.epoch<<birthBits | c.births.number() }

// UnderEpoch reports whether calls with a token keep out all calls of earlier owners and of earlier births.
func (c *Core) UnderEpoch(token int64) bool { return c.epoch > 0 && token >= c.Token() }

// raise keeps calls with the tokens used so far out of what answers from now on.
func (c *Core) raise() {
	c.births.seen++
	c.births.least = c.Token()
}

// counts reports whether an answer counts. The first answer of another birth may be to a poll with the token of the birth before: it
// raises the token, and whoever answers the next poll is the current birth. Times of birth don't order them, since clocks may be
// set back.
func (c *Core) counts(l Listing) bool {
	switch {
	case link.ParseIncarnation(l.Incarnation).ID != link.ParseIncarnation(c.polled()).ID, l.Token < c.births.least:
		// A delayed answer.
		return false
	case c.incarnation != "" && l.Incarnation != c.incarnation && !c.births.open:
		c.raise()
		c.births.open = true
		return false
	}
	c.births.open = false
	return true
}

// silent reports whether the worker may have started again: a poll wasn't answered, or another birth has answered one.
func (c *Core) silent() bool { return c.silentSinceMS > 0 || c.births.open }

// Fenced records that the worker has refused a poll since it has seen a higher token. Only guards on this machine call it: if the
// epoch is that of the owner, an earlier process used a higher number.
func (c *Core) Fenced(token int64) {
	if token == c.Token() {
		c.births.leap = min(max(firstLeap, 2*c.births.leap), maxBirth)
	}
}
