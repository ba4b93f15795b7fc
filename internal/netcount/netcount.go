// Package netcount counts the messages and bytes that arrive at and leave from a listener, by the
// method and path of the HTTP request they belong to, such as "POST /v1/sync".
package netcount

import (
	"bytes"
	"net"
	"strings"
	"sync"
)

// Count is the traffic of one class of requests as the server saw it.
type Count struct {
	Messages int64
	In       int64
	Out      int64
}

// Bytes returns the bytes of both directions.
func (c Count) Bytes() int64 { return c.In + c.Out }

// Add returns the sum of both counts.
func (c Count) Add(o Count) Count {
	return Count{c.Messages + o.Messages, c.In + o.In, c.Out + o.Out}
}

// Sub returns the traffic since an earlier reading.
func (c Count) Sub(o Count) Count {
	return Count{c.Messages - o.Messages, c.In - o.In, c.Out - o.Out}
}

// Counter sums the traffic of any number of listeners. The zero value is ready.
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

// Match sums the counts of all paths that begin with a prefix.
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

// add books traffic on a path.
func (c *Counter) add(path string, n Count) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.counts == nil {
		c.counts = map[string]Count{}
	}
	c.counts[path] = c.counts[path].Add(n)
}

// Listen returns a listener whose connections are counted.
func (c *Counter) Listen(l net.Listener) net.Listener { return &listener{Listener: l, c: c} }

// listener wraps accepted connections.
type listener struct {
	net.Listener
	c *Counter
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: raw, c: l.c}, nil
}

// maxHead bounds how much of a request is kept while its path is looked for.
const maxHead = 4 << 10

// conn books what it carries on the path of the request in progress. A request begins with the first
// byte read after a write, since HTTP/1.1 clients of the system do not pipeline.
type conn struct {
	net.Conn
	c *Counter

	mu    sync.Mutex
	wrote bool
	path  string
	head  []byte
}

// Read implements net.Conn.
func (k *conn) Read(p []byte) (int, error) {
	n, err := k.Conn.Read(p)
	if n > 0 {
		k.read(p[:n])
	}
	return n, err
}

// read books bytes that came in.
func (k *conn) read(p []byte) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.wrote {
		k.wrote, k.path, k.head = false, "", nil
	}
	if k.path != "" {
		k.c.add(k.path, Count{In: int64(len(p))})
		return
	}
	k.head = append(k.head, p...)
	path, ok := requestPath(k.head)
	if !ok && len(k.head) < maxHead {
		return
	}
	k.path = path
	k.c.add(path, Count{Messages: 1, In: int64(len(k.head))})
	k.head = nil
}

// requestPath returns the method and path of a request line without its query.
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

// Write implements net.Conn. The mark is set before the bytes leave, since the next request may be
// read before the call returns.
func (k *conn) Write(p []byte) (int, error) {
	k.mu.Lock()
	k.wrote = true
	path := k.path
	k.mu.Unlock()
	n, err := k.Conn.Write(p)
	k.c.add(path, Count{Out: int64(n)})
	return n, err
}
