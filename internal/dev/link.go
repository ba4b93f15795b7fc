package dev

import (
	"errors"
	"net"
	"sync"
	"time"
)

// errClosed is returned by a link that was closed at this end.
var errClosed = errors.New("connection is closed")

// readSize is how many bytes a link reads at once.
const readSize = 32 << 10

// chunk is some bytes on their way.
type chunk struct {
	data []byte
	due  time.Time
	err  error
}

// queue hands chunks over in order, each not before it is due.
type queue struct {
	mu     sync.Mutex
	grown  *sync.Cond
	chunks []chunk
	closed bool
}

// newQueue returns an empty queue.
func newQueue() *queue {
	q := &queue{}
	q.grown = sync.NewCond(&q.mu)
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
	q.grown.Signal()
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
		q.grown.Wait()
	}
	c := q.chunks[0]
	q.chunks = q.chunks[1:]
	return c, true
}

// unpop puts back what is left of a chunk.
func (q *queue) unpop(c chunk) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.chunks = append([]chunk{c}, q.chunks...)
}

// close ends the queue; what is in it can still be popped unless drop is set.
func (q *queue) close(drop bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closed = true
	if drop {
		q.chunks = nil
	}
	q.grown.Broadcast()
}

// link is a connection as seen from the host that dialled it: bytes take the latency of the way, stay
// where they are while the host is paused, and vanish once the link is silent.
type link struct {
	net.Conn
	h      *host
	addr   string
	delay  time.Duration
	out    *queue
	in     *queue
	mu     sync.Mutex
	silent bool
	once   sync.Once
}

// newLink wraps a connection and starts its two directions.
func newLink(c net.Conn, h *host, addr string, delay time.Duration) *link {
	l := &link{Conn: c, h: h, addr: addr, delay: delay, out: newQueue(), in: newQueue()}
	go l.send()
	go l.receive()
	return l
}

// isSilent reports whether bytes vanish.
func (l *link) isSilent() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.silent
}

// silence makes bytes vanish in both directions for good; true when they did not before.
func (l *link) silence() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	was := l.silent
	l.silent = true
	return !was
}

// Write puts bytes on their way.
func (l *link) Write(p []byte) (int, error) {
	data := append([]byte(nil), p...)
	if !l.out.push(chunk{data: data, due: time.Now().Add(l.delay)}) {
		return 0, errClosed
	}
	return len(p), nil
}

// send delivers what was written. Bytes written before a close still arrive, as with a real socket.
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
		if l.isSilent() {
			continue
		}
		if _, err := l.Conn.Write(c.data); err != nil {
			l.in.push(chunk{err: err})
			return
		}
	}
}

// receive takes what arrives at the far end of the way.
func (l *link) receive() {
	for {
		buf := make([]byte, readSize)
		n, err := l.Conn.Read(buf)
		if l.isSilent() {
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

// Read returns bytes that have come the whole way.
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

// Close ends the link at this end.
func (l *link) Close() error {
	l.once.Do(func() {
		l.in.close(true)
		l.out.close(false)
		l.h.forget(l)
	})
	return nil
}

// abort ends the link with everything on its way.
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
