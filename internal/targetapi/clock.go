package targetapi

import (
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"
)

// driftDivisor bounds the relative drift between two clocks to 1/driftDivisor.
const driftDivisor = 2000

// clock is a lower bound of a target's clock: a reading was taken before it arrived here, so the
// target's clock is at least the reading plus the time since. A deadline made from it has certainly
// passed at the target once the same time has passed here, however late the request arrives and
// whatever the two clocks are set to.
type clock struct {
	mu      sync.Mutex
	startID string
	// base is the largest lower bound of the difference between the target's clock and the time since
	// origin, at the time asOf.
	base   time.Duration
	asOf   time.Time
	origin time.Time
}

// FormatClock returns the value of HeaderClock and HeaderDeadline.
func FormatClock(start string, since time.Duration) string {
	return fmt.Sprintf("%s %d", start, since.Milliseconds())
}

// ParseClock parses the value of HeaderClock or HeaderDeadline.
func ParseClock(text string) (start string, since time.Duration, ok bool) {
	start, ms, ok := strings.Cut(text, " ")
	if !ok || start == "" {
		return "", 0, false
	}
	n, err := strconv.ParseInt(ms, 10, 64)
	if err != nil || n < 0 {
		return "", 0, false
	}
	return start, time.Duration(n) * time.Millisecond, true
}

// known reports whether there was a reading.
func (c *clock) known() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.startID != ""
}

// update applies a reading that arrived now. One that was delayed too long to raise the bound is ignored.
func (c *clock) update(now time.Time, text string) {
	start, since, ok := ParseClock(text)
	if !ok {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.startID != start {
		c.startID, c.origin, c.asOf, c.base = start, now, now, since
		return
	}
	base := since - now.Sub(c.origin)
	if base >= c.lowerBound(now) {
		c.base, c.asOf = base, now
	}
}

// lowerBound returns the difference between the clocks that is still certain after drift. The caller holds the lock.
func (c *clock) lowerBound(now time.Time) time.Duration { return c.base - now.Sub(c.asOf)/driftDivisor }

// deadline returns the header value of a deadline after the remaining time; false before the first reading.
func (c *clock) deadline(now time.Time, remaining time.Duration) (string, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.startID == "" {
		return "", false
	}
	return FormatClock(c.startID, now.Sub(c.origin)+c.lowerBound(now)+remaining), true
}
