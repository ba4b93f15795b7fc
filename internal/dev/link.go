package dev

import (
	"errors"
	"net"
	"sync"
	"time"
)

// errClosed is returned by a link that was closed locally.
var errClosed = errors.New("connection is closed")

// readSize is how many bytes a link reads at once.
const readSize = 32 << 10

// chunk is data in transit, or the error that ends it.
type chunk struct {
	data []byte
	due  time.Time
	err  error
}

// queue holds chunks in order until they are popped; the reader waits until each is due.
type queue struct {
	mu      sync.Mutex
	changed *sync.Cond
	chunks  []chunk
	closed  bool
}

// newQueue returns an empty queue.
func newQueue() *queue {
	q := &queue{}
	q.changed = sync.NewCond(&q.mu)
	return q
}

// push adds a chunk; it reports false when the queue is closed.
func (q *queue) push(c chunk) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed {
		return false
	}
	q.chunks = append(q.chunks, c)
	q.changed.Signal()
	return true
}

// pop waits for the next chunk; false when the queue is closed and empty.
func (q *queue) pop() (chunk, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for len(q.chunks) == 0 {
		if q.closed {
			return chunk{}, false
		}
		q.changed.Wait()
	}
	c := q.chunks[0]
	q.chunks = q.chunks[1:]
	return c, true
}

// unpop puts the unread rest of a chunk back at the front.
func (q *queue) unpop(c chunk) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.chunks = append([]chunk{c}, q.chunks...)
}

// close closes the queue; its chunks can still be popped unless drop is set.
func (q *queue) close(drop bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closed = true
	if drop {
		q.chunks = nil
	}
	q.changed.Broadcast()
}

// link is a connection dialled by a host: data arrives after the simulated latency, is held back while
// the host is paused, and is discarded once the link is blackholed.
type link struct {
	net.Conn
	h          *host
	addr       string
	delay      time.Duration
	out        *queue
	in         *queue
	mu         sync.Mutex
	blackholed bool
	closeOnce  sync.Once
}

// newLink wraps a connection and starts the goroutines of its two directions.
func newLink(c net.Conn, h *host, addr string, delay time.Duration) *link {
	l := &link{Conn: c, h: h, addr: addr, delay: delay, out: newQueue(), in: newQueue()}
	go l.send()
	go l.receive()
	return l
}

// isBlackholed reports whether data is discarded.
func (l *link) isBlackholed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.blackholed
}

// blackhole discards data in both directions from now on; true when it was not discarded before.
func (l *link) blackhole() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	was := l.blackholed
	l.blackholed = true
	return !was
}

// Write queues data for sending after the latency.
func (l *link) Write(p []byte) (int, error) {
	data := append([]byte(nil), p...)
	if !l.out.push(chunk{data: data, due: time.Now().Add(l.delay)}) {
		return 0, errClosed
	}
	return len(p), nil
}

// send delivers written data when it is due. Data written before a close still arrives, as with a real socket.
func (l *link) send() {
	defer l.Conn.Close()
	for {
		c, ok := l.out.pop()
		if !ok {
			return
		}
		if l.h.wait() != nil {
			return
		}
		time.Sleep(time.Until(c.due))
		if l.h.wait() != nil {
			return
		}
		if l.isBlackholed() {
			continue
		}
		if _, err := l.Conn.Write(c.data); err != nil {
			l.in.push(chunk{err: err})
			return
		}
	}
}

// receive queues received data for Read.
func (l *link) receive() {
	for {
		buf := make([]byte, readSize)
		n, err := l.Conn.Read(buf)
		if l.isBlackholed() {
			if err != nil {
				return
			}
			continue
		}
		if !l.in.push(chunk{data: buf[:n], due: time.Now().Add(l.delay), err: err}) || err != nil {
			return
		}
	}
}

// Read returns received data once its latency has passed and the host runs.
func (l *link) Read(p []byte) (int, error) {
	c, ok := l.in.pop()
	if !ok {
		return 0, errClosed
	}
	time.Sleep(time.Until(c.due))
	if err := l.h.wait(); err != nil {
		return 0, err
	}
	n := copy(p, c.data)
	if n < len(c.data) {
		c.data = c.data[n:]
		l.in.unpop(c)
		return n, nil
	}
	if c.err != nil {
		l.in.close(false)
		if n == 0 {
			return 0, c.err
		}
		l.in.unpop(chunk{err: c.err})
	}
	return n, nil
}

// Close closes the link locally; data already written is still sent.
func (l *link) Close() error {
	l.closeOnce.Do(func() {
		l.in.close(true)
		l.out.close(false)
		l.h.remove(l)
	})
	return nil
}

// abort closes the link and drops the data in transit.
func (l *link) abort() {
	l.in.close(true)
	l.out.close(true)
	_ = l.Conn.Close()
}

// SetDeadline does nothing: the clients of a link bound their calls by contexts.
func (l *link) SetDeadline(time.Time) error { return nil }

// SetReadDeadline does nothing.
func (l *link) SetReadDeadline(time.Time) error { return nil }

// SetWriteDeadline does nothing.
func (l *link) SetWriteDeadline(time.Time) error { return nil }
