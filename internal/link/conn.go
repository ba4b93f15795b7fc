package link

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// Path is where an owner accepts links.
	Path = "/v1/link"
	// protocol names the stream in the upgrade of the HTTP connection.
	protocol = "crocus-link"
	// HeartbeatInterval is the longest time between two messages in each direction.
	HeartbeatInterval = 250 * time.Millisecond
	// readTimeout is the time without a message after which a link counts as dead: several heartbeats, so that a
	// short stall of a process doesn't close it.
	readTimeout = 1500 * time.Millisecond
	// writeTimeout bounds the opening of a link and one write; a peer that doesn't read for so long counts as dead.
	writeTimeout = time.Second
	// maxMessage bounds one message in bytes.
	maxMessage = 4 << 20
)

// ErrRejected means that a connection was not upgraded to a link: the peer is not the owner, or it didn't request
// the upgrade.
var ErrRejected = errors.New("link rejected")

// Conn is one end of a link. Send may be called from several goroutines, Receive from one.
type Conn struct {
	raw net.Conn
	in  *bufio.Reader
	mu  sync.Mutex
}

// Dial opens a link to an owner.
func Dial(ctx context.Context, addr string) (*Conn, error) {
	dialer := net.Dialer{Timeout: writeTimeout}
	raw, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("link to %s: %w", addr, err)
	}
	c := &Conn{raw: raw, in: bufio.NewReader(raw)}
	if err := c.upgrade(ctx, addr); err != nil {
		raw.Close()
		return nil, fmt.Errorf("link to %s: %w", addr, err)
	}
	return c, nil
}

// upgrade upgrades the HTTP connection to a message stream.
func (c *Conn) upgrade(ctx context.Context, addr string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+Path, nil)
	if err != nil {
		return err
	}
	req.Header.Set("Connection", "Upgrade")
	req.Header.Set("Upgrade", protocol)
	if err := c.raw.SetDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	if err := req.Write(c.raw); err != nil {
		return err
	}
	resp, err := http.ReadResponse(c.in, req)
	if err != nil {
		return err
	}
	resp.Body.Close()
	if resp.StatusCode != http.StatusSwitchingProtocols {
		return fmt.Errorf("%w: status %d", ErrRejected, resp.StatusCode)
	}
	return c.raw.SetDeadline(time.Time{})
}

// Accept accepts a link that the peer opens with Dial.
func Accept(w http.ResponseWriter, r *http.Request) (*Conn, error) {
	if r.Header.Get("Upgrade") != protocol {
		http.Error(w, "expected an upgrade to "+protocol, http.StatusUpgradeRequired)
		return nil, fmt.Errorf("%w: no upgrade requested", ErrRejected)
	}
	raw, buf, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return nil, fmt.Errorf("accept link: %w", err)
	}
	const response = "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: " + protocol + "\r\n\r\n"
	c := &Conn{raw: raw, in: buf.Reader}
	if err := raw.SetDeadline(time.Time{}); err != nil {
		raw.Close()
		return nil, fmt.Errorf("accept link: %w", err)
	}
	if err := c.write([]byte(response)); err != nil {
		raw.Close()
		return nil, fmt.Errorf("accept link: %w", err)
	}
	return c, nil
}

// Send writes one message as a line of JSON.
func (c *Conn) Send(m any) error {
	data, err := json.Marshal(m)
	if err != nil {
		return fmt.Errorf("encode message: %w", err)
	}
	return c.write(append(data, '\n'))
}

// write writes bytes within writeTimeout.
func (c *Conn) write(data []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.raw.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return fmt.Errorf("link: %w", err)
	}
	if _, err := c.raw.Write(data); err != nil {
		return fmt.Errorf("link: %w", err)
	}
	return nil
}

// messageEnder is a connection that counts what is received until the end of a message, such as one of a listener that bounds
// the memory of its peers.
type messageEnder interface{ EndMessage() }

// Receive reads one message; it fails when none comes for too long.
func (c *Conn) Receive(into any) error {
	if m, ok := c.raw.(messageEnder); ok {
		m.EndMessage()
	}
	if err := c.raw.SetReadDeadline(time.Now().Add(readTimeout)); err != nil {
		return fmt.Errorf("link: %w", err)
	}
	line, err := c.line()
	if err != nil {
		return fmt.Errorf("link: %w", err)
	}
	if err := json.Unmarshal(line, into); err != nil {
		return fmt.Errorf("decode message: %w", err)
	}
	return nil
}

// line reads up to the end of a line, of at most about maxMessage bytes. The result is valid until the next read.
func (c *Conn) line() ([]byte, error) {
	var whole bytes.Buffer
	for {
		part, err := c.in.ReadSlice('\n')
		if err == nil && whole.Len() == 0 {
			return part, nil
		}
		whole.Write(part)
		if err == nil {
			return whole.Bytes(), nil
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return nil, err
		}
		if whole.Len() > maxMessage {
			return nil, fmt.Errorf("message of more than %d bytes", maxMessage)
		}
	}
}

// Close closes the link.
func (c *Conn) Close() error { return c.raw.Close() }

// Peer returns the address of the other end.
func (c *Conn) Peer() string { return c.raw.RemoteAddr().String() }
