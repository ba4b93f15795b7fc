package owner

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/crocusspring/crocusspring/internal/jsonhttp"
	"github.com/crocusspring/crocusspring/internal/link"
	"github.com/crocusspring/crocusspring/internal/ownership"
	"github.com/crocusspring/crocusspring/internal/sched"
	"github.com/crocusspring/crocusspring/internal/store"
)

// Paths that an owner serves to entries and other nodes.
const (
	pathJob     = "/v1/cell/jobs/"
	pathWaiting = "/v1/cell/waiting"
	pathRelay   = "/v1/cell/relay"
	pathOwner   = "/v1/cell/owner"
)

// maxRelay bounds the bytes of one relayed append.
const maxRelay = 4 << 20

// Routes adds what an owner serves.
func (c *Cell) Routes(mux *http.ServeMux) {
	mux.HandleFunc("GET "+link.Path, c.ServeLink)
	mux.HandleFunc("GET "+pathJob+"{id}", func(w http.ResponseWriter, r *http.Request) { serveJob(w, r, c.Job) })
	mux.HandleFunc("GET "+pathJob+"{id}/explain", func(w http.ResponseWriter, r *http.Request) { serveJob(w, r, c.Explain) })
	mux.HandleFunc("GET "+pathWaiting, c.serveWaiting)
	mux.HandleFunc("POST "+pathRelay, c.serveRelay)
}

// serveJob answers how a job stands.
func serveJob(w http.ResponseWriter, r *http.Request, ask func(string) (sched.View, bool, error)) {
	v, found, err := ask(r.PathValue("id"))
	switch {
	case err != nil:
		jsonhttp.Fail(w, http.StatusServiceUnavailable, err)
	case !found:
		jsonhttp.Fail(w, http.StatusNotFound, fmt.Errorf("job %s is not known", r.PathValue("id")))
	default:
		jsonhttp.Write(w, http.StatusOK, v)
	}
}

// serveWaiting answers the number of waiting jobs by queue.
func (c *Cell) serveWaiting(w http.ResponseWriter, _ *http.Request) {
	counts, err := c.Waiting()
	if err != nil {
		jsonhttp.Fail(w, http.StatusServiceUnavailable, err)
		return
	}
	jsonhttp.Write(w, http.StatusOK, counts)
}

// serveRelay appends jobs for an entry that can't reach the store.
func (c *Cell) serveRelay(w http.ResponseWriter, r *http.Request) {
	var records []store.Record
	if err := jsonhttp.Read(w, r, maxRelay, &records); err != nil {
		jsonhttp.Fail(w, http.StatusBadRequest, err)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), callTimeout)
	defer cancel()
	_, err := c.store.Append(ctx, store.TopicJobs, store.AnyOffset, records)
	switch {
	case err == nil:
		jsonhttp.Write(w, http.StatusOK, struct{}{})
	case errors.Is(err, store.ErrRefused):
		jsonhttp.Fail(w, http.StatusServiceUnavailable, err)
	default:
		jsonhttp.Fail(w, http.StatusBadGateway, err)
	}
}

// ServeHint takes word of a takeover.
func ServeHint(lease *ownership.Runner) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var l ownership.Lease
		if err := jsonhttp.Read(w, r, maxRelay, &l); err != nil {
			jsonhttp.Fail(w, http.StatusBadRequest, err)
			return
		}
		lease.Hint(l)
		jsonhttp.Write(w, http.StatusOK, struct{}{})
	}
}

// HintPath is where nodes take word of a takeover.
const HintPath = pathOwner

// Client asks the owner. Use NewClient.
type Client struct{ http *http.Client }

// NewClient returns a client with few kept connections, which are closed when they have been idle.
func NewClient() *Client {
	const idle = 5 * time.Second
	return &Client{http: &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: 4, IdleConnTimeout: idle, DisableCompression: true,
	}}}
}

// Job asks how a job stands; found is false when there surely is none.
func (c *Client) Job(ctx context.Context, addr, id string) (v sched.View, found bool, err error) {
	status, err := c.do(ctx, http.MethodGet, addr, pathJob+id, nil, &v)
	if status == http.StatusNotFound {
		return v, false, nil
	}
	return v, err == nil, err
}

// Explain asks what the tasks of a job wait for besides how it stands.
func (c *Client) Explain(ctx context.Context, addr, id string) (v sched.View, found bool, err error) {
	status, err := c.do(ctx, http.MethodGet, addr, pathJob+id+"/explain", nil, &v)
	if status == http.StatusNotFound {
		return v, false, nil
	}
	return v, err == nil, err
}

// Waiting asks for the number of waiting jobs by queue.
func (c *Client) Waiting(ctx context.Context, addr string) (map[string]int, error) {
	var out map[string]int
	_, err := c.do(ctx, http.MethodGet, addr, pathWaiting, nil, &out)
	return out, err
}

// Relay appends jobs through the owner.
func (c *Client) Relay(ctx context.Context, addr string, records []store.Record) error {
	status, err := c.do(ctx, http.MethodPost, addr, pathRelay, records, nil)
	if status == http.StatusServiceUnavailable || status == http.StatusNotFound {
		return fmt.Errorf("relay: %w", store.ErrRefused)
	}
	return err
}

// Hint tells a node of a takeover.
func (c *Client) Hint(ctx context.Context, addr string, l ownership.Lease) error {
	_, err := c.do(ctx, http.MethodPost, addr, pathOwner, l, nil)
	return err
}

// do makes one call; the status is 0 when there was no answer.
func (c *Client) do(ctx context.Context, method, addr, path string, body, into any) (int, error) {
	var content []byte
	if body != nil {
		var err error
		if content, err = json.Marshal(body); err != nil {
			return 0, fmt.Errorf("call owner: %w", err)
		}
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, bytes.NewReader(content))
	if err != nil {
		return 0, fmt.Errorf("call owner: %w", err)
	}
	resp, err := c.http.Do(req)
	var dial *net.OpError
	if errors.As(err, &dial) && dial.Op == "dial" {
		// Without a connection nothing was sent.
		return 0, fmt.Errorf("call owner: %w: %w", store.ErrRefused, err)
	}
	if err != nil {
		// Connections that were kept may have gone silent too.
		c.http.CloseIdleConnections()
		return 0, fmt.Errorf("call owner: %w", err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxRelay))
	if err != nil {
		return 0, fmt.Errorf("call owner: %w", err)
	}
	if resp.StatusCode != http.StatusOK {
		return resp.StatusCode, fmt.Errorf("call owner: status %d", resp.StatusCode)
	}
	if into == nil {
		return resp.StatusCode, nil
	}
	if err := json.Unmarshal(data, into); err != nil {
		return resp.StatusCode, fmt.Errorf("call owner: %w", err)
	}
	return resp.StatusCode, nil
}
