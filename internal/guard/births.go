package guard

import "github.com/crocusspring/crocusspring/internal/link"

// A fencing token is made of the owner's epoch and, in its low bits, a number that grows with the births of the worker which a
// guard has seen. Calls name the worker's ID only, so that one that is held up may be carried out by a later birth: it has no
// effect there once that birth has answered a call with a higher token.
const (
	// birthBits is the size of the low part, in bits. Epochs grow with the records of the owners' topic, two a second at most;
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
	// next is the birth that has answered a call but not yet one with the token nextToken or a higher one; empty for none.
	// Until it has, calls to the birth before it may be carried out there.
	next      string
	nextToken int64
}

// newBirths returns the numbers of a process that started at a time of day in Unix seconds.
func newBirths(startedUnix int64) births { return births{first: max(0, startedUnix) % birthSpan} }

// number returns the low part of tokens.
func (b *births) number() int64 { return min(b.first+b.seen+b.leap, maxBirth) }

// Token returns the fencing token of calls to the worker.
func (c *Core) Token() int64 { return c.epoch<<birthBits | c.births.number() }

// UnderEpoch reports whether calls with a token keep out all calls of earlier owners and of earlier births.
func (c *Core) UnderEpoch(token int64) bool { return c.epoch > 0 && token >= c.Token() }

// begins reports whether an answer is the first one of its birth that counts. The first answer of a birth may be to a call with a
// token of the birth before; it raises the token, and the answer to the next poll counts.
func (c *Core) begins(l Listing) bool {
	if !link.Reborn(l.Incarnation, c.incarnation) {
		return true
	}
	if l.Incarnation != c.births.next {
		c.births.seen++
		c.births.next, c.births.nextToken = l.Incarnation, c.Token()
		return false
	}
	return l.Token >= c.births.nextToken
}

// overtaken reports whether an answer is a delayed one, of a birth that a later one has followed.
func (c *Core) overtaken(l Listing) bool {
	current := c.polled()
	if c.births.next != "" {
		current = c.births.next
	}
	return l.Incarnation != current && !link.Reborn(l.Incarnation, current)
}

// silent reports whether the worker may have started again: a poll wasn't answered, or another birth has answered one.
func (c *Core) silent() bool { return c.silentSinceMS > 0 || c.births.next != "" }

// Fenced records that the worker has refused a poll since it has seen a higher token. Only guards on this machine call it: if the
// epoch is that of the owner, an earlier process used a higher number.
func (c *Core) Fenced(token int64) {
	if token == c.Token() {
		c.births.leap = min(max(firstLeap, 2*c.births.leap), maxBirth)
	}
}
