package ingress

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"
)

// body is the body of a request with a deadline, which ends with the body. It is used by one goroutine.
type body struct {
	io.ReadCloser
	conn     *conn
	control  *http.ResponseController
	deadline time.Time
	ended    bool
}

// setDeadline sets when the whole body must have been read, unless an earlier time is set.
func (b *body) setDeadline(t time.Time) {
	if b.deadline.IsZero() || t.Before(b.deadline) {
		b.deadline = t
		_ = b.control.SetReadDeadline(t)
	}
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) && !b.ended {
		b.end()
	}
	return n, err
}

// end lifts the deadline. From the end of the body on the server reads ahead, and cancels the requests of the connection if
// that times out: if it may have, the connection isn't used again.
func (b *body) end() {
	b.ended = true
	_ = b.control.SetReadDeadline(time.Time{})
	if !time.Now().Before(b.deadline) {
		b.conn.late.Store(true)
	}
	b.conn.enter(serving)
}

// maxSkipped is the largest body of a request that has no use for one, in bytes.
const maxSkipped = 1 << 20

// skip reads the body of a request whose method has no use for one. Handlers of such methods never look at the body, and would
// work on for a client that has sent half a request, and whose connection may be closed for that.
func (b *body) skip(w http.ResponseWriter, method string) error {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodDelete:
		_, err := io.Copy(io.Discard, http.MaxBytesReader(w, b, maxSkipped))
		return readError(err, maxSkipped)
	default:
		return nil
	}
}

const (
	// drainTime is how long an answer waits for the rest of a body that the handler has left, drainBytes how much of it is
	// read to keep the connection.
	drainTime  = 10 * time.Millisecond
	drainBytes = 16 << 10
)

// longPast is a deadline that has passed.
var longPast = time.Unix(1, 0)

// drain reads what the handler has left of the body if it is short and has arrived. Otherwise the connection ends with the
// answer.
func (b *body) drain() {
	if b.ended {
		return
	}
	b.setDeadline(time.Now().Add(drainTime))
	// An error ends the connection, as does a rest.
	_, _ = io.CopyN(io.Discard, b, drainBytes)
	if !b.ended {
		_ = b.control.SetReadDeadline(longPast)
	}
}

// Errors of ReadBody beside ErrNoRoom.
var (
	// ErrTooLarge means that a body has more bytes than are allowed.
	ErrTooLarge = errors.New("body is too large")
	// ErrIncomplete means that a client has not sent the whole body in time.
	ErrIncomplete = errors.New("body did not arrive")
)

// firstRead is the most memory that is taken for a body before any of it is read, in bytes.
const firstRead = 4 << 10

// ReadBody reads the body of a request, of at most limit bytes, until the deadline of the request's context or that of the
// gate. One that is announced to be larger isn't read.
func ReadBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	if r.ContentLength > limit {
		return nil, fmt.Errorf("%w: it has %d bytes, at most %d are allowed", ErrTooLarge, r.ContentLength, limit)
	}
	if b, ok := r.Body.(*body); ok {
		if until, ok := r.Context().Deadline(); ok {
			b.setDeadline(until)
		}
	}
	var data bytes.Buffer
	data.Grow(int(max(0, min(r.ContentLength, firstRead))) + bytes.MinRead)
	if _, err := data.ReadFrom(http.MaxBytesReader(w, r.Body, limit)); err != nil {
		return nil, readError(err, limit)
	}
	return data.Bytes(), nil
}

// readError returns the error of ReadBody for one of reading a body; nil for none.
func readError(err error, limit int64) error {
	var large *http.MaxBytesError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &large):
		return fmt.Errorf("%w: at most %d bytes are allowed", ErrTooLarge, limit)
	case errors.Is(err, ErrNoRoom):
		return err
	default:
		return fmt.Errorf("%w: %w", ErrIncomplete, err)
	}
}

// HeaderBytes returns the size of a request's line and headers.
func HeaderBytes(r *http.Request) int64 {
	n := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + len(": \r\n")
		}
	}
	return int64(n)
}

// Status returns the status of the answer to a request whose body ReadBody didn't return; 503 promises that the request was
// not handled.
func Status(err error) int {
	switch {
	case errors.Is(err, ErrTooLarge):
		return http.StatusRequestEntityTooLarge
	case errors.Is(err, ErrIncomplete):
		return http.StatusRequestTimeout
	case errors.Is(err, ErrNoRoom):
		return http.StatusServiceUnavailable
	default:
		return http.StatusBadRequest
	}
}
