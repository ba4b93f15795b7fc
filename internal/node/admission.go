package node

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/crocusspring/crocusspring/internal/ingress"
)

const (
	// maxHeader is the maximum size of a request's headers, in bytes.
	maxHeader = 16 << 10
	// maxAdmitted and maxAdmittedBytes bound the requests held in memory at the same time and the bytes of
	// their bodies.
	maxAdmitted      = 4096
	maxAdmittedBytes = 48 << 20
	// maxBodyTime bounds how long a caller may take to send a body.
	maxBodyTime = 2 * time.Second
	// maxAnswerTime bounds how long a caller may take to receive an answer.
	maxAnswerTime = 10 * time.Second
)

// admission bounds the memory that requests in progress take up. The zero value has none in progress.
type admission struct {
	mu       sync.Mutex
	requests int
	bytes    int64
}

// errFull means that another request would exceed maxAdmitted or maxAdmittedBytes.
var errFull = errors.New("too many requests are held at once")

// acquire reserves memory for a request whose body has at most size bytes. It returns errFull when there is
// none left for it.
func (in *admission) acquire(size int64) error {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.requests >= maxAdmitted || in.bytes+size > maxAdmittedBytes {
		return errFull
	}
	in.requests++
	in.bytes += size
	return nil
}

// release releases what acquire reserved.
func (in *admission) release(size int64) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.requests--
	in.bytes -= size
}

// bodyReservation returns the maximum number of bytes that a request's body may need.
func bodyReservation(r *http.Request) int64 {
	if r.ContentLength >= 0 && r.ContentLength <= maxRequestBody {
		return r.ContentLength
	}
	return maxRequestBody
}

// badRequest is the error for an invalid request, with the HTTP status to answer.
type badRequest struct {
	status int
	err    error
}

// Error implements error.
func (b *badRequest) Error() string { return b.err.Error() }

// Unwrap returns the underlying error.
func (b *badRequest) Unwrap() error { return b.err }

// newBadRequest returns a badRequest with a formatted message.
func newBadRequest(status int, format string, args ...any) error {
	return &badRequest{status, fmt.Errorf(format, args...)}
}

// readBody reads the whole body within the shorter of the given time and maxBodyTime.
func readBody(w http.ResponseWriter, r *http.Request, limit time.Duration) ([]byte, error) {
	ctx, cancel := context.WithTimeout(r.Context(), min(limit, maxBodyTime))
	defer cancel()
	body, err := ingress.ReadBody(w, r.WithContext(ctx), maxRequestBody)
	if err != nil {
		return nil, &badRequest{ingress.Status(err), err}
	}
	return body, nil
}
