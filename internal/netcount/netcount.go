// Package netcount counts the requests and the bytes in both directions on the connections of a listener, by the
// method and path of the HTTP request to which they belong, such as "POST /v1/sync".
package netcount

import (
	"bytes"
	"net"
	"strings"
	"sync"
)

// Count is the traffic of a set of requests, from the view of the server.
type Count struct {
	// Messages is the number of requests.
	Messages int64
	// In is the number of bytes received.
	In int64
	// Out is the number of bytes sent.
	Out int64
}

// Bytes returns the sum of the bytes in both directions.
func (c Count) Bytes() int64 { return c.In + c.Out }

// Add returns the sum of both counts.
func (c Count) Add(o Count) Count {
	return Count{c.Messages + o.Messages, c.In + o.In, c.Out + o.Out}
}

// Sub returns the traffic since the earlier reading o.
func (c Count) Sub(o Count) Count {
	return Count{c.Messages - o.Messages, c.In - o.In, c.Out - o.Out}
}

// Counter sums the traffic of any number of listeners. The zero value is ready to use.
type Counter struct {
	mu     sync.Mutex
	counts map[string]Count
}

// Snapshot returns the counts by method and path.
func (c *Counter) Snapshot() map[string]Count {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make(map[string]Count, len(c.counts))
	for k, v := range c.counts {
		out[k] = v
	}
	return out
}

// Match returns the sum of the counts whose method and path begin with a prefix, such as "GET /v1/streams/".
func (c *Counter) Match(prefix string) Count {
	c.mu.Lock()
	defer c.mu.Unlock()
	var sum Count
	for path, n := range c.counts {
		if strings.HasPrefix(path, prefix) {
			sum = sum.Add(n)
		}
	}
	return sum
}

// add adds traffic to the count of a method and path.
func (c *Counter) add(path string, n Count) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.counts == nil {
		c.counts = map[string]Count{}
	}
	c.counts[path] = c.counts[path].Add(n)
}

// Listen returns a listener that counts the traffic of its connections.
func (c *Counter) Listen(l net.Listener) net.Listener { return &listener{Listener: l, counter: c} }

// listener wraps the connections that it accepts.
type listener struct {
	net.Listener
	counter *Counter
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: raw, counter: l.counter}, nil
}

// maxHead bounds the bytes of a request that are buffered until its request line is complete. A request with a
// longer line is counted as "other".
const maxHead = 4 << 10

// conn counts its traffic for the request in progress. A request begins with the first byte read after a write,
// since the system's HTTP/1.1 clients don't pipeline requests.
type conn struct {
	net.Conn
	counter *Counter

	mu sync.Mutex
	// wrote says that bytes were sent since the request began, so that the next read begins a new request.
	wrote bool
	// path is the method and path of the request in progress; empty until its request line is complete.
	path string
	// head is the beginning of the request while path is empty.
	head []byte
}

// Read implements net.Conn.
func (k *conn) Read(p []byte) (int, error) {
	n, err := k.Conn.Read(p)
	if n > 0 {
		k.countRead(p[:n])
	}
	return n, err
}

// countRead counts received bytes.
func (k *conn) countRead(p []byte) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.wrote {
		k.wrote, k.path, k.head = false, "", nil
	}
	if k.path != "" {
		k.counter.add(k.path, Count{In: int64(len(p))})
		return
	}
	k.head = append(k.head, p...)
	path, ok := requestPath(k.head)
	if !ok && len(k.head) < maxHead {
		return
	}
	k.path = path
	k.counter.add(path, Count{Messages: 1, In: int64(len(k.head))})
	k.head = nil
}

// requestPath returns the method and path of a request line, without the query; false while the line is
// incomplete.
func requestPath(head []byte) (string, bool) {
	line, _, ok := bytes.Cut(head, []byte("\r\n"))
	if !ok {
		return "other", false
	}
	parts := bytes.Fields(line)
	if len(parts) != 3 {
		return "other", true
	}
	path, _, _ := bytes.Cut(parts[1], []byte("?"))
	return string(parts[0]) + " " + string(path), true
}

// Write implements net.Conn. wrote is set before the bytes are sent, since the next request may be read before
// the call returns.
func (k *conn) Write(p []byte) (int, error) {
	k.mu.Lock()
	k.wrote = true
	path := k.path
	k.mu.Unlock()
	n, err := k.Conn.Write(p)
	k.counter.add(path, Count{Out: int64(n)})
	return n, err
}
