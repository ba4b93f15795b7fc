package link

import (
	"bufio"
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
	// Path is where an owner takes links.
	Path = "/v1/link"
	// protocol names the stream in the upgrade of the HTTP connection.
	protocol = "crocus-link"
	// Beat is the longest time between two messages in each direction.
	Beat = 250 * time.Millisecond
	// silence is after what time without a message a link is taken to be dead: some beats, so that one
	// slow turn of a process doesn't cut it.
	silence = 1500 * time.Millisecond
	// writeTimeout bounds one write; a peer that doesn't read for so long is gone.
	writeTimeout = time.Second
	// maxMessage bounds one message in bytes.
	maxMessage = 4 << 20
)

// ErrRejected says that the peer is not the owner.
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

// upgrade turns the HTTP connection into a stream.
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

// Accept takes a link that Dial opened.
func Accept(w http.ResponseWriter, r *http.Request) (*Conn, error) {
	if r.Header.Get("Upgrade") != protocol {
		http.Error(w, "expected an upgrade to "+protocol, http.StatusUpgradeRequired)
		return nil, fmt.Errorf("%w: no upgrade asked for", ErrRejected)
	}
	raw, buf, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return nil, fmt.Errorf("accept link: %w", err)
	}
	const answer = "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: " + protocol + "\r\n\r\n"
	c := &Conn{raw: raw, in: buf.Reader}
	if err := raw.SetDeadline(time.Time{}); err != nil {
		raw.Close()
		return nil, fmt.Errorf("accept link: %w", err)
	}
	if err := c.write([]byte(answer)); err != nil {
		raw.Close()
		return nil, fmt.Errorf("accept link: %w", err)
	}
	return c, nil
}

// Send writes one message.
func (c *Conn) Send(m any) error {
	data, err := json.Marshal(m)
	if err != nil {
		return fmt.Errorf("encode message: %w", err)
	}
	return c.write(append(data, '\n'))
}

// write writes bytes within the bound.
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

// Receive reads one message; a link that stays silent for too long fails.
func (c *Conn) Receive(into any) error {
	if err := c.raw.SetReadDeadline(time.Now().Add(silence)); err != nil {
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

// line reads up to the end of a line, within the bound of a message.
func (c *Conn) line() ([]byte, error) {
	var whole []byte
	for {
		part, err := c.in.ReadSlice('\n')
		if err == nil && whole == nil {
			return part, nil
		}
		whole = append(whole, part...)
		if err == nil {
			return whole, nil
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return nil, err
		}
		if len(whole) > maxMessage {
			return nil, fmt.Errorf("message of more than %d bytes", maxMessage)
		}
	}
}

// Close ends the link.
func (c *Conn) Close() error { return c.raw.Close() }

// Peer returns the address of the other end.
func (c *Conn) Peer() string { return c.raw.RemoteAddr().String() }
