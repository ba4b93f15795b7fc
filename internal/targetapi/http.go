package targetapi

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/crocusspring/crocusspring/internal/netdial"
)

// HTTP is the adapter over HTTP. Use NewHTTP to make one.
type HTTP struct {
	conns int
	dial  netdial.Func
	mu    sync.Mutex
	pools map[string]*pool
}

// NewHTTP returns an adapter that keeps at most conns connections to each target.
func NewHTTP(conns int, dial ...netdial.Func) *HTTP {
	return &HTTP{conns: max(1, conns), dial: netdial.FirstNonNil(dialTimeout, dial...), pools: map[string]*pool{}}
}

// Call implements Caller.
func (h *HTTP) Call(ctx context.Context, addr string, c Call) (Answer, error) {
	began := time.Now()
	ctx, cancel := context.WithTimeout(ctx, c.Budget)
	defer cancel()
	p := h.pool(addr)
	conn, err := p.take(ctx)
	if err != nil {
		return Answer{}, &NotRunError{Reason: "no free connection to the target"}
	}
	ans, err := h.callOn(ctx, conn, p, addr, c, began)
	p.put(conn, err == nil || errors.As(err, new(*NotRunError)))
	return ans, err
}

// callOn runs an attempt on one connection. Before the first attempt at a target it reads the target's clock:
// without a reading the target can't enforce the deadline of an attempt that arrives late.
func (h *HTTP) callOn(ctx context.Context, conn *clientConn, p *pool, addr string, c Call, began time.Time) (Answer, error) {
	if !p.clock.known() && !p.ping(ctx, conn) {
		return Answer{}, &NotRunError{Reason: "no connection to the target"}
	}
	remaining := c.Budget - time.Since(began)
	if remaining <= 0 {
		return Answer{}, &NotRunError{Reason: "no budget left"}
	}
	req, err := newRequest(ctx, addr, c, remaining)
	if err != nil {
		return Answer{}, &NotRunError{Reason: err.Error()}
	}
	deadline, enforced := p.clock.deadline(time.Now(), remaining)
	if enforced {
		req.Header.Set(HeaderDeadline, deadline)
	}
	conn.written.Store(0)
	resp, err := conn.client.Do(req)
	if err != nil && conn.written.Load() == 0 {
		return Answer{}, &NotRunError{Reason: "no connection to the target"}
	}
	if err != nil {
		ended := enforced && errors.Is(ctx.Err(), context.DeadlineExceeded)
		return Answer{}, &UnknownError{Err: err, Ended: ended, ByDeadline: ended}
	}
	defer resp.Body.Close()
	p.clock.update(time.Now(), resp.Header.Get(HeaderClock))
	return readAnswer(resp)
}

// newRequest returns the request of an attempt. The transport can't retry it, since its method is not
// idempotent and its body can't be rewound.
func newRequest(ctx context.Context, addr string, c Call, remaining time.Duration) (*http.Request, error) {
	body := io.Reader(http.NoBody)
	if len(c.Body) > 0 {
		body = io.NopCloser(bytes.NewReader(c.Body))
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/v1/run", body)
	if err != nil {
		return nil, err
	}
	req.ContentLength = int64(len(c.Body))
	req.Header.Set(HeaderRequestID, c.RequestID)
	req.Header.Set(HeaderAttempt, strconv.Itoa(c.Attempt))
	req.Header.Set(HeaderBudgetMS, strconv.FormatInt(max(1, remaining.Milliseconds()), 10))
	req.Header.Set(HeaderWorkspace, c.Workspace)
	req.Header.Set("Content-Type", "application/octet-stream")
	return req, nil
}

// errNoLength says that an answer carries no length, so that a truncated one can't be detected.
var errNoLength = errors.New("answer has no length")

// readAnswer reads the whole answer; a truncated one is an error.
func readAnswer(resp *http.Response) (Answer, error) {
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		return Answer{}, &UnknownError{Err: errNoLength}
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, MaxAnswer+1))
	if err != nil {
		return Answer{}, &UnknownError{Err: fmt.Errorf("read answer: %w", err)}
	}
	if len(body) > MaxAnswer {
		return Answer{}, &UnknownError{Err: errors.New("answer is too large")}
	}
	reason := resp.Header.Get(HeaderReason)
	switch Outcome(resp.Header.Get(HeaderOutcome)) {
	case NotRun:
		return Answer{}, &NotRunError{Reason: "target refused: " + reason, Sent: true}
	case Unknown:
		return Answer{}, &UnknownError{Err: errors.New("target: " + reason), Ended: true}
	}
	return Answer{Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type"), Body: body}, nil
}

// Probe implements Caller.
func (h *HTTP) Probe(ctx context.Context, addr, request string, attempt int) (Probe, error) {
	p := h.pool(addr)
	conn, err := p.takeProbe(ctx)
	if err != nil {
		return Probe{}, err
	}
	defer p.putProbe(conn)
	path := "http://" + addr + "/v1/attempts/" + url.PathEscape(request) + "/" + strconv.Itoa(attempt) + "/fence"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, path, http.NoBody)
	if err != nil {
		return Probe{}, err
	}
	resp, err := conn.client.Do(req)
	if err != nil {
		return Probe{}, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return Probe{}, fmt.Errorf("%w (status %d)", ErrNoProbe, resp.StatusCode)
	}
	var out Probe
	if err := json.NewDecoder(io.LimitReader(resp.Body, 2*MaxAnswer)).Decode(&out); err != nil {
		return Probe{}, fmt.Errorf("probe: %w", err)
	}
	return out, nil
}

// pool returns the pool of a target and creates it when it is new.
func (h *HTTP) pool(addr string) *pool {
	h.mu.Lock()
	defer h.mu.Unlock()
	p := h.pools[addr]
	if p == nil {
		p = newPool(addr, h.conns, h.dial)
		h.pools[addr] = p
	}
	p.used = time.Now()
	return p
}

// Run pings idle connections and closes unused ones until ctx ends.
func (h *HTTP) Run(ctx context.Context) {
	t := time.NewTicker(pingEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			now := time.Now()
			for _, p := range h.sweep(now) {
				go p.pingIdle(ctx, now.Add(-pingEvery/2))
			}
		}
	}
}

// sweep removes pools without a connection in use that were not used for poolMaxIdle, and returns the others.
func (h *HTTP) sweep(now time.Time) []*pool {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []*pool
	for addr, p := range h.pools {
		if now.Sub(p.used) > poolMaxIdle && p.closeIdle() {
			delete(h.pools, addr)
			continue
		}
		out = append(out, p)
	}
	return out
}
