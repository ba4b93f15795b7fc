package logs

import (
	"bytes"
	"fmt"
	"io"
	"sort"
	"sync"
	"time"
)

const (
	// kindPerSecond and kindBurst bound the lines of one kind, which is the message they carry. An owner
	// of a cell writes about two hundred decisions a second at its busiest.
	kindPerSecond = 400
	kindBurst     = 800
	// maxKinds bounds how many kinds are told apart; further ones share a bound.
	maxKinds = 64
	// bufferedLines bounds the lines that wait for a slow reader.
	bufferedLines = 4096
	// reportEvery is the time between two lines that say how many were left out.
	reportEvery = time.Second
)

// Bounded is a writer of log lines that never blocks: lines over the rate of their kind, and lines that
// find the buffer full since nobody reads, are left out and counted. Use NewBounded to make one.
type Bounded struct {
	out   io.Writer
	lines chan []byte
	now   func() time.Time

	mu      sync.Mutex
	kinds   map[string]*allowance
	left    map[string]int
	reports time.Time
}

// allowance is how many lines of a kind may be written at once.
type allowance struct {
	tokens float64
	at     time.Time
}

// NewBounded returns a writer in front of another, which it writes to from a goroutine of its own.
func NewBounded(out io.Writer) *Bounded {
	b := newBounded(out, time.Now)
	go b.drain()
	return b
}

// newBounded returns a writer that nothing drains yet.
func newBounded(out io.Writer, now func() time.Time) *Bounded {
	return &Bounded{
		out: out, lines: make(chan []byte, bufferedLines), now: now,
		kinds: map[string]*allowance{}, left: map[string]int{}, reports: now(),
	}
}

// drain writes lines as fast as they are read.
func (b *Bounded) drain() {
	for line := range b.lines {
		if _, err := b.out.Write(line); err != nil {
			// There is no other place to say so; later lines may get through.
			continue
		}
	}
}

// Flush waits until buffered lines are written, at most for a time; a stopping process has no more.
func (b *Bounded) Flush(most time.Duration) {
	const grain = 5 * time.Millisecond
	for waited := time.Duration(0); waited < most && len(b.lines) > 0; waited += grain {
		time.Sleep(grain)
	}
}

// Write takes one line; it never fails and never waits.
func (b *Bounded) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	kind := kindOf(line)
	if !b.allow(now, kind) {
		b.left[kind]++
	} else {
		b.put(kind, bytes.Clone(line))
	}
	b.report(now)
	return len(line), nil
}

// kindOf returns the message of a line in JSON; all others are of one kind.
func kindOf(line []byte) string {
	const mark = `"msg":"`
	i := bytes.Index(line, []byte(mark))
	if i < 0 {
		return "other"
	}
	rest := line[i+len(mark):]
	j := bytes.IndexByte(rest, '"')
	if j < 0 {
		return "other"
	}
	return string(rest[:j])
}

// allow takes a token of a kind. The caller holds the lock.
func (b *Bounded) allow(now time.Time, kind string) bool {
	a := b.kinds[kind]
	if a == nil && len(b.kinds) >= maxKinds {
		kind = "other"
		a = b.kinds[kind]
	}
	if a == nil {
		a = &allowance{tokens: kindBurst, at: now}
		b.kinds[kind] = a
	}
	a.tokens = min(kindBurst, a.tokens+now.Sub(a.at).Seconds()*kindPerSecond)
	a.at = now
	if a.tokens < 1 {
		return false
	}
	a.tokens--
	return true
}

// put buffers a line, or counts it as left out. The caller holds the lock.
func (b *Bounded) put(kind string, line []byte) {
	select {
	case b.lines <- line:
	default:
		b.left[kind]++
	}
}

// report says now and then how many lines were left out. The caller holds the lock.
func (b *Bounded) report(now time.Time) {
	if len(b.left) == 0 || now.Sub(b.reports) < reportEvery {
		return
	}
	b.reports = now
	kinds := make([]string, 0, len(b.left))
	for k := range b.left {
		kinds = append(kinds, k)
	}
	sort.Strings(kinds)
	for _, k := range kinds {
		line := fmt.Sprintf(`{"time":%q,"level":"warn","prefix":"logs","msg":"lines left out","kind":%q,"count":%d}`+"\n",
			now.Format(timeFormat), k, b.left[k])
		select {
		case b.lines <- []byte(line):
			delete(b.left, k)
		default:
			return
		}
	}
}
