package ingress

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/crocusspring/crocusspring/internal/logs"
)

// serveGate serves a handler behind a gate and returns the address.
func serveGate(t *testing.T, l Limits, h http.Handler) string {
	t.Helper()
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	g := New("test", l, tally.NoopScope, logs.Discard())
	s := g.Server(h)
	go func() { _ = s.Serve(g.Listen(raw)) }() // always returns an error after Close
	t.Cleanup(func() { _ = s.Close() })
	return raw.Addr().String()
}

// exchange sends text on a new connection and returns the connection with a reader of its answers.
func exchange(t *testing.T, addr, text string) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(time.Minute))
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
	return c, bufio.NewReader(c)
}

// status reads one answer and returns its status, and whether the connection ends with it.
func status(t *testing.T, r *bufio.Reader) (int, bool) {
	t.Helper()
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		t.Fatalf("no answer: %v", err)
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		t.Error(err)
	}
	return resp.StatusCode, resp.Close
}

// ample are limits that no test of bodies reaches.
var ample = Limits{Connections: 100, Memory: 100 << 20, Body: time.Minute, Answer: time.Minute}

// refuseAll answers without reading the body.
var refuseAll = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) })

// TestRefusalDoesntWaitForBody checks that a refusal comes although the body doesn't, and ends the connection; and that the
// connection is kept if the body was there.
func TestRefusalDoesntWaitForBody(t *testing.T) {
	addr := serveGate(t, ample, refuseAll)
	_, r := exchange(t, addr, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 100\r\n\r\nxx")
	if got, closes := status(t, r); got != http.StatusServiceUnavailable || !closes {
		t.Errorf("an unfinished request is answered with %d, connection closed: %t", got, closes)
	}
	if _, err := r.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("the connection goes on: %v", err)
	}
	whole := "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nxx"
	_, r = exchange(t, addr, whole+whole)
	for range 2 {
		if got, closes := status(t, r); got != http.StatusServiceUnavailable || closes {
			t.Errorf("a whole request is answered with %d, connection closed: %t", got, closes)
		}
	}
}

// TestBodyInTime checks that a body that doesn't end is given up at the earlier of the gate's and the request's deadline, and
// that requests on a kept connection aren't cancelled by the deadline of an earlier body.
func TestBodyInTime(t *testing.T) {
	const own = 400 * time.Millisecond
	read := func(timeout time.Duration) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			ctx, cancel := context.WithTimeout(r.Context(), timeout)
			defer cancel()
			data, err := ReadBody(w, r.WithContext(ctx), 1000)
			if err != nil {
				w.WriteHeader(Status(err))
				return
			}
			if len(data) > 2 {
				// Longer than the deadline of the body.
				time.Sleep(2 * own)
			}
			if r.Context().Err() != nil {
				w.WriteHeader(http.StatusInternalServerError)
			}
		})
	}
	for name, addr := range map[string]string{
		"gate":    serveGate(t, Limits{Connections: 10, Memory: 10 << 20, Body: own, Answer: time.Minute}, read(time.Minute)),
		"request": serveGate(t, ample, read(own)),
	} {
		t.Run(name, func(t *testing.T) {
			_, r := exchange(t, addr, "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n")
			if got, closes := status(t, r); got != http.StatusRequestTimeout || !closes {
				t.Errorf("answered with %d, connection closed: %t", got, closes)
			}
			_, r = exchange(t, addr, strings.Repeat("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nxxx", 2))
			for i := range 2 {
				if got, _ := status(t, r); got != http.StatusOK {
					t.Errorf("request %d on a kept connection is answered with %d", i, got)
				}
			}
		})
	}
}

// TestHalfARequestIsNotHandled checks that a request whose method has no use for a body is handled only once its body has arrived:
// its client may be gone before.
func TestHalfARequestIsNotHandled(t *testing.T) {
	handled := make(chan string, 10)
	addr := serveGate(t, ample, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { handled <- r.Method }))
	for _, method := range []string{http.MethodGet, http.MethodDelete, http.MethodHead} {
		c, r := exchange(t, addr, method+" / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nx")
		time.Sleep(50 * time.Millisecond)
		select {
		case m := <-handled:
			t.Fatalf("half a %s is handled", m)
		default:
		}
		if _, err := io.WriteString(c, "x"); err != nil {
			t.Fatal(err)
		}
		if m := <-handled; m != method {
			t.Errorf("%s is handled, want %s", m, method)
		}
		resp, err := http.ReadResponse(r, &http.Request{Method: method})
		if err != nil || resp.StatusCode != http.StatusOK {
			t.Errorf("%s: answer %v, %v", method, resp, err)
		}
	}
}

// TestConnectionEndsWithoutRoom checks that nothing is read any more on a connection some of whose bytes found no room: what
// follows could be taken for another request.
func TestConnectionEndsWithoutRoom(t *testing.T) {
	served := 0
	read := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		served++
		if _, err := ReadBody(w, r, 1<<20); err != nil {
			w.WriteHeader(Status(err))
		}
	})
	small := ample
	small.Memory = 4 * connCost
	// The second request stands in the body of the first.
	const inner = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n"
	text := strings.Repeat(inner, 60<<10/len(inner))
	_, r := exchange(t, serveGate(t, small, read), fmt.Sprintf("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s%s", len(text), text, text))
	if got, closes := status(t, r); got != http.StatusServiceUnavailable || !closes {
		t.Errorf("answered with %d, connection closed: %t", got, closes)
	}
	if rest, err := io.ReadAll(r); len(rest) > 0 {
		t.Errorf("%d bytes of further answers, %v", len(rest), err)
	}
	if served != 1 {
		t.Errorf("%d requests are handled", served)
	}
}

// TestBodyStatus checks the answers to bodies that are too large, announced or not, and to those for which there is no
// memory.
func TestBodyStatus(t *testing.T) {
	read := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, err := ReadBody(w, r, 100<<10); err != nil {
			w.WriteHeader(Status(err))
		}
	})
	small := ample
	small.Memory = 4 * connCost
	chunk := fmt.Sprintf("%x\r\n%s\r\n", 60<<10, strings.Repeat("x", 60<<10))
	for _, c := range []struct {
		name, coding, body string
		limits             Limits
		want               int
	}{
		{"announced too large", "Content-Length: 200000", "", ample, http.StatusRequestEntityTooLarge},
		{"sent too large", "Transfer-Encoding: chunked", chunk + chunk + "0\r\n\r\n", ample, http.StatusRequestEntityTooLarge},
		{"fits", "Transfer-Encoding: chunked", chunk + "0\r\n\r\n", ample, http.StatusOK},
		{"no memory", "Transfer-Encoding: chunked", chunk + "0\r\n\r\n", small, http.StatusServiceUnavailable},
	} {
		t.Run(c.name, func(t *testing.T) {
			addr := serveGate(t, c.limits, read)
			_, r := exchange(t, addr, "POST / HTTP/1.1\r\nHost: a\r\n"+c.coding+"\r\n\r\n"+c.body)
			if got, _ := status(t, r); got != c.want {
				t.Errorf("answered with %d, want %d", got, c.want)
			}
		})
	}
}
