package ingress

import "time"

// Memory that requests are counted with, in bytes.
const (
	// connCost is that of a connection without a request: its goroutine, buffers and structures.
	connCost = 32 << 10
	// headerCost is that of a received byte of headers: each may be a name with a list of values.
	headerCost = 24
	// bodyCost is that of a received byte of a body: the body itself, its decoded form, and the record made of it.
	bodyCost = 4
	// messageCost is that of a received byte of a message on a connection that a handler has taken over.
	messageCost = 4
)

// requestMemory returns what a request with a body is counted with at most, in bytes, with a few connections beside it.
func requestMemory(bodyBytes int64) int64 {
	const connections = 16
	return bodyBytes*bodyCost + maxHeaderBytes*headerCost + connections*connCost
}

const (
	// progressBytes is what a client has to send so that it counts as making progress.
	progressBytes = 4 << 10
	// minStall is how long a client must have made no progress before its connection is closed to free memory.
	minStall = 100 * time.Millisecond
)

// phase is what a connection is used for at present.
type phase int

// Phases of a connection.
const (
	// idle connections have no request.
	idle phase = iota
	// readingHeaders and readingBody wait for the client to send the rest of a request.
	readingHeaders
	readingBody
	// serving connections have a whole request.
	serving
	// detached connections were taken over by a handler, which bounds their times itself.
	detached
)

// entry is one connection of a table.
type entry struct {
	phase phase
	// stalledSince is when the phase began, or when the client last made progress since then; received counts the bytes
	// after that.
	stalledSince time.Time
	received     int64
	// memory is what the request in progress is counted with, besides connCost.
	memory int64
	// blocked says that an answer is being written, so that the server waits for the client.
	blocked bool
	// gone says that the entry was removed from the table.
	gone bool
}

// waits reports whether the server waits for the client.
func (e *entry) waits() bool {
	return e.phase != detached && (e.blocked || e.phase != serving)
}

// table bounds the connections of a listener and the memory of their requests. When there is no room for a connection or
// for more of a request, the connection whose client has made no progress for longest makes room: ordinary clients, which
// send a request in one go and read the answer, aren't held up by others that don't. Connections with a whole request
// stay. The zero value is not usable; use newTable.
type table struct {
	maxConns int
	// maxMemory bounds memory, in bytes.
	maxMemory int64
	memory    int64
	entries   map[*entry]struct{}
}

// newTable returns an empty table.
func newTable(maxConns int, maxMemory int64) *table {
	return &table{maxConns: maxConns, maxMemory: maxMemory, entries: map[*entry]struct{}{}}
}

// open adds a connection and returns the connections that are closed for it; its entry is nil if there is no room.
func (t *table) open(now time.Time) (e *entry, closed []*entry) {
	for len(t.entries) >= t.maxConns || t.memory+connCost > t.maxMemory {
		v := t.longestStalled(now, 0, nil)
		if v == nil {
			return nil, closed
		}
		t.remove(v)
		closed = append(closed, v)
	}
	e = &entry{phase: idle, stalledSince: now}
	t.entries[e] = struct{}{}
	t.memory += connCost
	return e, closed
}

// receive counts n bytes that a client has sent, and returns the connections that are closed for them. It reports false
// if there is no room for the bytes.
func (t *table) receive(e *entry, n int64, now time.Time) (closed []*entry, ok bool) {
	if e.gone {
		return nil, false
	}
	if e.phase == idle {
		t.enter(e, readingHeaders, now)
	}
	if e.received += n; e.received >= progressBytes {
		e.stalledSince, e.received = now, 0
	}
	cost := costs[e.phase] * n
	for t.memory+cost > t.maxMemory {
		v := t.longestStalled(now, minStall, e)
		if v == nil {
			return closed, false
		}
		t.remove(v)
		closed = append(closed, v)
	}
	e.memory += cost
	t.memory += cost
	return closed, true
}

// costs are the costs of a received byte by phase.
var costs = map[phase]int64{readingHeaders: headerCost, readingBody: bodyCost, detached: messageCost}

// enter begins a phase of a connection.
func (t *table) enter(e *entry, p phase, now time.Time) {
	if e.gone || e.phase == detached {
		return
	}
	e.phase, e.stalledSince, e.received = p, now, 0
	if p == idle || p == detached {
		t.release(e)
	}
}

// release gives back what a request or a message was counted with.
func (t *table) release(e *entry) {
	t.memory -= e.memory
	e.memory = 0
}

// block begins or ends the writing of an answer.
func (t *table) block(e *entry, blocked bool, now time.Time) {
	e.blocked = blocked
	if blocked && e.phase == serving {
		e.stalledSince = now
	}
}

// longestStalled returns the connection other than except whose client has made no progress for longest, for at least a
// given time; nil if there is none.
func (t *table) longestStalled(now time.Time, atLeast time.Duration, except *entry) *entry {
	var longest *entry
	for e := range t.entries {
		if e == except || !e.waits() || now.Sub(e.stalledSince) < atLeast {
			continue
		}
		if longest == nil || e.stalledSince.Before(longest.stalledSince) {
			longest = e
		}
	}
	return longest
}

// remove removes a connection.
func (t *table) remove(e *entry) {
	if e.gone {
		return
	}
	e.gone = true
	delete(t.entries, e)
	t.memory -= connCost
	t.release(e)
}
