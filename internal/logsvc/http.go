package logsvc

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/crocusspring/crocusspring/internal/netdial"
)

// maxAnswer bounds the bytes read from one answer of the service.
const maxAnswer = 16 << 20

// AppendRequest is the body of POST /v1/streams/{stream}/records.
type AppendRequest struct {
	Records []json.RawMessage `json:"records"`
}

// AppendResponse is the answer to an append.
type AppendResponse struct {
	First Offset `json:"first"`
}

// ExpiredResponse is the body of a 410 answer to a read.
type ExpiredResponse struct {
	First Offset `json:"first"`
}

// HTTP is the client of the service's HTTP interface.
type HTTP struct {
	base   string
	client *http.Client
}

// NewHTTP returns a client of the service at an IP address with port.
func NewHTTP(addr string, dial ...netdial.Func) *HTTP {
	t := &http.Transport{
		DialContext:         netdial.FirstNonNil(time.Second, dial...),
		MaxIdleConnsPerHost: 8,
		IdleConnTimeout:     time.Minute,
	}
	return &HTTP{base: "http://" + addr, client: &http.Client{Transport: t}}
}

// Append implements Appender.
func (h *HTTP) Append(ctx context.Context, stream string, records []json.RawMessage) (Offset, error) {
	body, err := json.Marshal(AppendRequest{Records: records})
	if err != nil {
		return 0, fmt.Errorf("encode append: %w", err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, h.url(stream), bytes.NewReader(body))
	if err != nil {
		return 0, fmt.Errorf("append to %s: %w", stream, err)
	}
	req.Header.Set("Content-Type", "application/json")
	var out AppendResponse
	status, err := h.do(req, &out)
	var dial *net.OpError
	if errors.As(err, &dial) && dial.Op == "dial" {
		return 0, fmt.Errorf("append to %s: %w: %w", stream, ErrRefused, err)
	}
	if err != nil {
		return 0, fmt.Errorf("append to %s: %w", stream, err)
	}
	switch status {
	case http.StatusServiceUnavailable:
		return 0, fmt.Errorf("append to %s: %w (status %d)", stream, ErrRefused, status)
	case http.StatusTooManyRequests:
		return 0, fmt.Errorf("append to %s: %w", stream, ErrOverRate)
	}
	if status != http.StatusOK {
		return 0, fmt.Errorf("append to %s: status %d", stream, status)
	}
	return out.First, nil
}

// Read implements Reader.
func (h *HTTP) Read(ctx context.Context, stream string, from Offset, limit int, wait time.Duration) (Batch, error) {
	q := url.Values{}
	q.Set("from", strconv.FormatInt(int64(from), 10))
	q.Set("limit", strconv.Itoa(limit))
	q.Set("wait_ms", strconv.FormatInt(wait.Milliseconds(), 10))
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, h.url(stream)+"?"+q.Encode(), nil)
	if err != nil {
		return Batch{}, fmt.Errorf("read %s: %w", stream, err)
	}
	var out Batch
	var gone ExpiredResponse
	var raw json.RawMessage
	status, err := h.do(req, &raw)
	if err != nil {
		return Batch{}, fmt.Errorf("read %s: %w", stream, err)
	}
	switch status {
	case http.StatusOK:
		err = json.Unmarshal(raw, &out)
	case http.StatusGone:
		if err = json.Unmarshal(raw, &gone); err == nil {
			err = &ExpiredError{Stream: stream, From: from, First: gone.First}
		}
	default:
		err = fmt.Errorf("status %d", status)
	}
	if err != nil {
		return Batch{}, fmt.Errorf("read %s: %w", stream, err)
	}
	return out, nil
}

// url returns the address of a stream's records.
func (h *HTTP) url(stream string) string {
	return h.base + "/v1/streams/" + url.PathEscape(stream) + "/records"
}

// do sends a request and decodes the JSON body of an answer with status 200 or 410 into out.
func (h *HTTP) do(req *http.Request, out any) (int, error) {
	resp, err := h.client.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	if err != nil {
		return 0, err
	}
	if resp.StatusCode != http.StatusOK && resp.StatusCode != http.StatusGone {
		return resp.StatusCode, nil
	}
	if err := json.Unmarshal(data, out); err != nil {
		return 0, fmt.Errorf("decode answer: %w", err)
	}
	return resp.StatusCode, nil
}
