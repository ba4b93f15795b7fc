package crowd

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/crocusspring/crocusspring/platform/standin"
)

// misuse is a request that one client of a crowd sends; afterwards it leaves the connection open and reads nothing.
type misuse struct {
	// method and path are those of the request; an empty path is that of a new job.
	method, path string
	// announced is the Content-Length; 0 sends chunks of the size chunk.
	announced int64
	chunk     int
	// body is sent as far as the server takes it; whole sends the end of a chunked body too.
	body  []byte
	whole bool
	// raw, if set, is sent instead of a request.
	raw []byte
}

// client is one connection of a crowd.
type client struct{ net.Conn }

// crowd is a set of clients.
type crowd struct{ clients []*client }

// gather has n clients send a misuse to an address, and returns when each has sent all that the server takes. The
// connections stay open until the test ends.
func gather(t *testing.T, addr string, n int, m misuse) *crowd {
	t.Helper()
	c := &crowd{}
	var sending sync.WaitGroup
	for range n {
		raw, err := net.DialTimeout("tcp", addr, 10*time.Second)
		if err != nil {
			continue // refused, as is allowed
		}
		one := &client{raw}
		c.clients = append(c.clients, one)
		t.Cleanup(func() { _ = raw.Close() })
		sending.Go(func() { one.send(m) })
	}
	sending.Wait()
	return c
}

// sendTimeout bounds the wait for a server that doesn't read on.
const sendTimeout = 3 * time.Second

// send sends a misuse until the server takes no more.
func (c *client) send(m misuse) {
	_ = c.SetWriteDeadline(time.Now().Add(sendTimeout))
	if m.raw != nil {
		_, _ = c.Write(m.raw) // a refusal, as is allowed
		return
	}
	path := m.path
	if path == "" {
		path = standin.QueuePrefix + newJobID()
	}
	w := bufio.NewWriterSize(c, 16<<10)
	fmt.Fprintf(w, "%s %s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\n", m.method, path, standin.QueueHost)
	if m.chunk > 0 {
		fmt.Fprint(w, "Transfer-Encoding: chunked\r\n\r\n")
		for part := range chunks(m.body, m.chunk) {
			if _, err := fmt.Fprintf(w, "%x\r\n%s\r\n", len(part), part); err != nil {
				return
			}
		}
		if m.whole {
			fmt.Fprint(w, "0\r\n\r\n")
		}
	} else {
		fmt.Fprintf(w, "Content-Length: %d\r\n\r\n", m.announced)
		if _, err := w.Write(m.body); err != nil {
			return
		}
	}
	_ = w.Flush()
}

// chunks yields parts of a body.
func chunks(body []byte, size int) func(yield func([]byte) bool) {
	return func(yield func([]byte) bool) {
		for len(body) > 0 {
			n := min(size, len(body))
			if !yield(body[:n]) {
				return
			}
			body = body[n:]
		}
	}
}

// checkDismissed checks that the server ends every connection of the crowd by itself. The wait is longer than any time
// that the interface gives a client.
func (c *crowd) checkDismissed(t *testing.T) {
	t.Helper()
	const wait = 45 * time.Second
	until := time.Now().Add(wait)
	held := 0
	for _, one := range c.clients {
		_ = one.SetReadDeadline(until)
		if _, err := io.Copy(io.Discard, one); errors.Is(err, os.ErrDeadlineExceeded) {
			held++
		}
	}
	if held > 0 {
		t.Errorf("%d of %d connections of the crowd are still held", held, len(c.clients))
	}
}

// paddedJob returns the body of a valid job that is size bytes long.
func paddedJob(size int) []byte {
	body := []byte(`{"spec":"x","steps":[{"count":1,"cpu":100,"mem_mb":10}]`)
	body = append(body, bytes.Repeat([]byte(" "), size-len(body)-1)...)
	return append(body, '}')
}

// filledArray returns a body of size bytes in which an array is filled with one element as often as it fits.
func filledArray(before, element, after string, size int) []byte {
	n := (size - len(before) - len(after) + 1) / (len(element) + 1)
	return []byte(before + strings.TrimSuffix(strings.Repeat(element+",", n), ",") + after)
}

// post sends a whole body in one request and returns the status and the body of the answer; an error is no answer.
func post(t *testing.T, addr, path string, body []byte) (int, []byte, error) {
	t.Helper()
	const timeout = 20 * time.Second
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+addr+path, bytes.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Host = standin.QueueHost
	req.Header.Set("Content-Type", "application/json")
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: timeout}
	resp, err := client.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, data, err
}
