package targetapi

import (
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"
)

// maxDrift is how much faster or slower than another a clock may run, as 1/maxDrift.
const maxDrift = 2000

// clock knows a target's clock from below: a reading was taken before it arrived here, so the
// target's clock is at least the reading plus the time since. A deadline made from it has surely
// passed at the target once the same time has passed here, however late the request arrives and
// whatever the two clocks are set to.
type clock struct {
	mu    sync.Mutex
	start string
	// base is the largest known difference between the target's clock and ours, as of at.
	base time.Duration
	at   time.Time
	from time.Time
}

// FormatClock returns the value of HeaderClock and HeaderDeadline.
func FormatClock(start string, since time.Duration) string {
	return fmt.Sprintf("%s %d", start, since.Milliseconds())
}

// ParseClock reads such a value.
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

// read takes a reading that arrived now. A late one says less than an earlier one and is passed over.
func (c *clock) read(now time.Time, text string) {
	start, since, ok := ParseClock(text)
	if !ok {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.start != start {
		c.start, c.from, c.at, c.base = start, now, now, since
		return
	}
	base := since - now.Sub(c.from)
	if base >= c.known(now) {
		c.base, c.at = base, now
	}
}

// known returns the difference between the clocks that surely still holds. The caller holds the lock.
func (c *clock) known(now time.Time) time.Duration { return c.base - now.Sub(c.at)/maxDrift }

// deadline returns the header of a deadline that lies left ahead.
func (c *clock) deadline(now time.Time, left time.Duration) (string, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.start == "" {
		return "", false
	}
	return FormatClock(c.start, now.Sub(c.from)+c.known(now)+left), true
}
