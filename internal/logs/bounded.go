package logs

import (
	"bytes"
	"fmt"
	"io"
	"sort"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// kindPerSecond and kindBurst are the rate and burst limits for lines of one kind, which is their
	// message. An owner of a cell logs about 200 decisions per second at peak.
	kindPerSecond = 400
	kindBurst     = 800
	// maxKinds is the number of kinds with a limit of their own; any further ones share one limit.
	maxKinds = 64
	// bufferedLines is the number of lines buffered for a slow reader.
	bufferedLines = 4096
	// reportInterval is the least time between two reports of the numbers of dropped lines.
	reportInterval = time.Second
)

// Bounded is a writer of log lines that never blocks. Lines that exceed the rate limit of their kind, or
// arrive while the buffer is full because of a slow reader, are dropped and counted. Use NewBounded to
// create one.
type Bounded struct {
	out   io.Writer
	lines chan []byte
	now   func() time.Time
	// unwritten counts the lines that are buffered or being written.
	unwritten atomic.Int64

	mu         sync.Mutex
	kinds      map[string]*tokenBucket
	dropped    map[string]int
	reportedAt time.Time
}

// tokenBucket limits the rate of the lines of one kind.
type tokenBucket struct {
	tokens    float64
	updatedAt time.Time
}

// NewBounded returns a Bounded that writes to out from a goroutine of its own.
func NewBounded(out io.Writer) *Bounded {
	b := newBounded(out, time.Now)
	go b.drain()
	return b
}

// newBounded returns a Bounded without the goroutine that drains it.
func newBounded(out io.Writer, now func() time.Time) *Bounded {
	return &Bounded{
		out: out, lines: make(chan []byte, bufferedLines), now: now,
		kinds: map[string]*tokenBucket{}, dropped: map[string]int{}, reportedAt: now(),
	}
}

// drain writes buffered lines to the output until the channel is closed.
func (b *Bounded) drain() {
	for line := range b.lines {
		// There is nowhere else to report an error; later lines may succeed.
		_, _ = b.out.Write(line)
		b.unwritten.Add(-1)
	}
}

// Flush waits until all lines are written, for at most a given time. It is meant for a stopping process,
// which logs no further lines.
func (b *Bounded) Flush(timeout time.Duration) {
	const pollInterval = 5 * time.Millisecond
	for waited := time.Duration(0); waited < timeout && b.unwritten.Load() > 0; waited += pollInterval {
		time.Sleep(pollInterval)
	}
}

// Write buffers or drops one line; it never fails and never blocks.
func (b *Bounded) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	kind := kindOf(line)
	if !b.allow(now, kind) {
		b.dropped[kind]++
	} else {
		b.enqueue(kind, bytes.Clone(line))
	}
	b.report(now)
	return len(line), nil
}

// kindOf returns the message of a JSON line, or "other" for any other line.
func kindOf(line []byte) string {
	const prefix = `"msg":"`
	i := bytes.Index(line, []byte(prefix))
	if i < 0 {
		return "other"
	}
	rest := line[i+len(prefix):]
	j := bytes.IndexByte(rest, '"')
	if j < 0 {
		return "other"
	}
	return string(rest[:j])
}

// allow takes a token from the bucket of a kind and reports whether there was one. The caller holds the
// lock.
func (b *Bounded) allow(now time.Time, kind string) bool {
	a := b.kinds[kind]
	if a == nil && len(b.kinds) >= maxKinds {
		kind = "other"
		a = b.kinds[kind]
	}
	if a == nil {
		a = &tokenBucket{tokens: kindBurst, updatedAt: now}
		b.kinds[kind] = a
	}
	a.tokens = min(kindBurst, a.tokens+now.Sub(a.updatedAt).Seconds()*kindPerSecond)
	a.updatedAt = now
	if a.tokens < 1 {
		return false
	}
	a.tokens--
	return true
}

// enqueue buffers a line, or counts it as dropped if the buffer is full. The caller holds the lock.
func (b *Bounded) enqueue(kind string, line []byte) {
	if !b.buffer(line) {
		b.dropped[kind]++
	}
}

// buffer buffers a line unless the buffer is full.
func (b *Bounded) buffer(line []byte) bool {
	b.unwritten.Add(1)
	select {
	case b.lines <- line:
		return true
	default:
		b.unwritten.Add(-1)
		return false
	}
}

// report buffers a line with the number of dropped lines for each kind, at most once per reportInterval.
// The caller holds the lock.
func (b *Bounded) report(now time.Time) {
	if len(b.dropped) == 0 || now.Sub(b.reportedAt) < reportInterval {
		return
	}
	b.reportedAt = now
	kinds := make([]string, 0, len(b.dropped))
	for k := range b.dropped {
		kinds = append(kinds, k)
	}
	sort.Strings(kinds)
	for _, k := range kinds {
		line := fmt.Sprintf(`{"time":%q,"level":"warn","prefix":"logs","msg":"lines left out","kind":%q,"count":%d}`+"\n",
			now.Format(timeFormat), k, b.dropped[k])
		if !b.buffer([]byte(line)) {
			return
		}
		delete(b.dropped, k)
	}
}
