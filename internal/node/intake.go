package node

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

const (
	// maxHeader bounds the bytes of a request's headers.
	maxHeader = 16 << 10
	// maxIntake and maxIntakeBytes bound the requests that are held at once, and their bodies.
	maxIntake      = 4096
	maxIntakeBytes = 48 << 20
	// maxBodyTime bounds how long a caller may take to send a body.
	maxBodyTime = 2 * time.Second
	// maxAnswerTime bounds how long a caller may take to receive an answer.
	maxAnswerTime = 10 * time.Second
)

// intake bounds the memory that requests hold. The zero value is empty.
type intake struct {
	mu       sync.Mutex
	requests int
	bytes    int64
}

// errFull says that no more requests can be held now.
var errFull = errors.New("too many requests are held at once")

// take makes room for a request whose body has at most size bytes.
func (in *intake) take(size int64) error {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.requests >= maxIntake || in.bytes+size > maxIntakeBytes {
		return errFull
	}
	in.requests++
	in.bytes += size
	return nil
}

// give gives the room back.
func (in *intake) give(size int64) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.requests--
	in.bytes -= size
}

// size returns the room a request's body may need.
func size(r *http.Request) int64 {
	if r.ContentLength >= 0 && r.ContentLength <= maxRequestBody {
		return r.ContentLength
	}
	return maxRequestBody
}

// badRequest is a request that can't be taken, with the status that says so.
type badRequest struct {
	status int
	err    error
}

// Error gives the reason.
func (b *badRequest) Error() string { return b.err.Error() }

// Unwrap returns the cause.
func (b *badRequest) Unwrap() error { return b.err }

// bad returns a badRequest.
func bad(status int, format string, args ...any) error {
	return &badRequest{status, fmt.Errorf(format, args...)}
}

// headerBytes returns the size of a request's headers.
func headerBytes(r *http.Request) int {
	n := len(r.RequestURI)
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + len(": \r\n")
		}
	}
	return n
}

// readBody reads the whole body within a time.
func readBody(w http.ResponseWriter, r *http.Request, within time.Duration) ([]byte, error) {
	if r.ContentLength > maxRequestBody {
		return nil, bad(http.StatusRequestEntityTooLarge, "body has %d bytes, at most %d are taken", r.ContentLength, maxRequestBody)
	}
	// The deadline can't be set on a connection in tests without one; the body is bounded all the same.
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(min(within, maxBodyTime)))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBody))
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return nil, bad(http.StatusRequestEntityTooLarge, "body is too large, at most %d bytes are taken", maxRequestBody)
	case err != nil:
		w.Header().Set("Connection", "close")
		return nil, bad(http.StatusRequestTimeout, "body did not arrive in time: %w", err)
	}
	_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	return body, nil
}
