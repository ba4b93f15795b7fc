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
	pathRoom    = "/v1/cell/room"
	pathRelay   = "/v1/cell/relay"
	pathOwner   = "/v1/cell/owner"
)

// queryConfirm is the parameter of a query for a job whose absence the store must confirm. Owners of an earlier version ignore
// it, whereas they would answer that a path which they don't know isn't found.
const queryConfirm = "confirm"

const (
	// maxBodyBytes bounds the body of a relayed append or of an answer, in bytes, maxRelayValues the values of an append,
	// which has some for each of a hundred records.
	maxBodyBytes   = 4 << 20
	maxRelayValues = 4 << 10
	// maxNoticeBytes and maxNoticeValues bound the body of a takeover notice.
	maxNoticeBytes  = 64 << 10
	maxNoticeValues = 64
)

// Routes registers the handlers that an owner serves to guards and entries.
func (c *Cell) Routes(mux *http.ServeMux) {
	mux.HandleFunc("GET "+link.Path, c.ServeLink)
	mux.HandleFunc("GET "+pathJob+"{id}", func(w http.ResponseWriter, r *http.Request) {
		if !r.URL.Query().Has(queryConfirm) {
			serveJob(w, r, c.Job)
			return
		}
		serveJob(w, r, func(id string) (sched.View, bool, error) { return c.ConfirmedJob(r.Context(), id) })
	})
	mux.HandleFunc("GET "+pathJob+"{id}/explain", func(w http.ResponseWriter, r *http.Request) { serveJob(w, r, c.Explain) })
	mux.HandleFunc("GET "+pathWaiting, c.serveWaiting)
	mux.HandleFunc("GET "+pathRoom, c.serveRoom)
	mux.HandleFunc("POST "+pathRelay, c.serveRelay)
	mux.HandleFunc("GET "+pathRelay, c.serveCheckStore)
}

// serveJob answers with the state of a job.
func serveJob(w http.ResponseWriter, r *http.Request, query func(string) (sched.View, bool, error)) {
	v, found, err := query(r.PathValue("id"))
	switch {
	case err != nil:
		jsonhttp.WriteError(w, http.StatusServiceUnavailable, err)
	case !found:
		jsonhttp.WriteError(w, http.StatusNotFound, fmt.Errorf("job %s is not known", r.PathValue("id")))
	default:
		jsonhttp.Write(w, http.StatusOK, v)
	}
}

// serveWaiting answers with the number of waiting jobs by queue.
func (c *Cell) serveWaiting(w http.ResponseWriter, _ *http.Request) {
	counts, err := c.Waiting()
	if err != nil {
		jsonhttp.WriteError(w, http.StatusServiceUnavailable, err)
		return
	}
	jsonhttp.Write(w, http.StatusOK, counts)
}

// roomAnswer is the memory that an owner has for further jobs; Bytes is missing if it has no limit.
type roomAnswer struct {
	Bytes *int64 `json:"bytes,omitempty"`
}

// serveRoom answers with the memory for further jobs.
func (c *Cell) serveRoom(w http.ResponseWriter, _ *http.Request) {
	left, limited, err := c.Room()
	switch {
	case err != nil:
		jsonhttp.WriteError(w, http.StatusServiceUnavailable, err)
	case !limited:
		jsonhttp.Write(w, http.StatusOK, roomAnswer{})
	default:
		jsonhttp.Write(w, http.StatusOK, roomAnswer{&left})
	}
}

// serveRelay appends jobs for an entry to which the store doesn't answer, or answers slowly.
func (c *Cell) serveRelay(w http.ResponseWriter, r *http.Request) {
	var records []store.Record
	if err := jsonhttp.Read(w, r, maxBodyBytes, maxRelayValues, &records); err != nil {
		jsonhttp.ReadError(w, err)
		return
	}
	err := c.relayed.Append(r.Context(), records)
	switch {
	case err == nil:
		jsonhttp.Write(w, http.StatusOK, struct{}{})
	case errors.Is(err, store.ErrBusy):
		jsonhttp.WriteError(w, http.StatusTooManyRequests, err)
	case errors.Is(err, store.ErrRejected):
		jsonhttp.WriteError(w, http.StatusUnprocessableEntity, err)
	case errors.Is(err, store.ErrRefused):
		jsonhttp.WriteError(w, http.StatusServiceUnavailable, err)
	default:
		jsonhttp.WriteError(w, http.StatusBadGateway, err)
	}
}

// serveCheckStore answers whether this node can reach the store.
func (c *Cell) serveCheckStore(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), callTimeout)
	defer cancel()
	if err := store.Check(ctx, c.store); err != nil {
		jsonhttp.WriteError(w, http.StatusServiceUnavailable, err)
		return
	}
	jsonhttp.Write(w, http.StatusOK, struct{}{})
}

// ServeTakeover returns the handler for notices of a takeover.
func ServeTakeover(lease *ownership.Runner) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var l ownership.Lease
		if err := jsonhttp.Read(w, r, maxNoticeBytes, maxNoticeValues, &l); err != nil {
			jsonhttp.ReadError(w, err)
			return
		}
		lease.ObserveAnnounced(l)
		jsonhttp.Write(w, http.StatusOK, struct{}{})
	}
}

// TakeoverPath is where nodes receive notices of a takeover.
const TakeoverPath = pathOwner

// Client calls the owner. Use NewClient to make one.
type Client struct{ http *http.Client }

// NewClient returns a client that opens at most a number of connections to a node, 0 for any, and keeps few idle ones, each for
// a few seconds.
func NewClient(connections int) *Client {
	const idleTimeout = 5 * time.Second
	return &Client{http: &http.Client{Transport: &http.Transport{
		MaxConnsPerHost: connections, MaxIdleConnsPerHost: 4, IdleConnTimeout: idleTimeout, DisableCompression: true,
	}}}
}

// Job returns the state of a job; found is false only when the job is certain not to exist.
func (c *Client) Job(ctx context.Context, addr, id string) (v sched.View, found bool, err error) {
	return c.job(ctx, addr, id)
}

// ConfirmedJob returns the state of a job; found is false only when the store has confirmed that the job doesn't exist.
func (c *Client) ConfirmedJob(ctx context.Context, addr, id string) (v sched.View, found bool, err error) {
	return c.job(ctx, addr, id+"?"+queryConfirm)
}

// Explain returns the state of a job and what its tasks wait for; found is as for Job.
func (c *Client) Explain(ctx context.Context, addr, id string) (v sched.View, found bool, err error) {
	return c.job(ctx, addr, id+"/explain")
}

// job queries the owner for a job.
func (c *Client) job(ctx context.Context, addr, path string) (v sched.View, found bool, err error) {
	status, err := c.do(ctx, http.MethodGet, addr, pathJob+path, nil, &v)
	if status == http.StatusNotFound {
		return v, false, nil
	}
	return v, err == nil, err
}

// Waiting returns the number of waiting jobs by queue.
func (c *Client) Waiting(ctx context.Context, addr string) (map[string]int, error) {
	var out map[string]int
	_, err := c.do(ctx, http.MethodGet, addr, pathWaiting, nil, &out)
	return out, err
}

// Room returns the memory that an owner has for further jobs, in bytes; sched.ErrNoLimit from one that has or tells no limit.
func (c *Client) Room(ctx context.Context, addr string) (int64, error) {
	var out roomAnswer
	status, err := c.do(ctx, http.MethodGet, addr, pathRoom, nil, &out)
	switch {
	case status == http.StatusNotFound || err == nil && out.Bytes == nil:
		return 0, sched.ErrNoLimit
	case err != nil:
		return 0, err
	}
	return *out.Bytes, nil
}

// Relay appends jobs through another node. The error is a store.ErrRefused when they are certain not to be stored, among
// these a store.ErrRejected when the store doesn't take them and a store.ErrBusy when it is slow.
func (c *Client) Relay(ctx context.Context, addr string, records []store.Record) error {
	status, err := c.do(ctx, http.MethodPost, addr, pathRelay, records, nil)
	if status == http.StatusUnprocessableEntity {
		return fmt.Errorf("relay: %w", store.ErrRejected)
	}
	if status == http.StatusTooManyRequests {
		return fmt.Errorf("relay: %w", store.ErrBusy)
	}
	if status == http.StatusServiceUnavailable || status == http.StatusNotFound {
		return fmt.Errorf("relay: %w", store.ErrRefused)
	}
	return err
}

// CheckStore returns nil if a node can reach the store.
func (c *Client) CheckStore(ctx context.Context, addr string) error {
	_, err := c.do(ctx, http.MethodGet, addr, pathRelay, nil, nil)
	return err
}

// AnnounceTakeover notifies a node of a takeover.
func (c *Client) AnnounceTakeover(ctx context.Context, addr string, l ownership.Lease) error {
	_, err := c.do(ctx, http.MethodPost, addr, pathOwner, l, nil)
	return err
}

// do makes one call; the status is 0 when there was no complete answer.
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
	var opErr *net.OpError
	if errors.As(err, &opErr) && opErr.Op == "dial" {
		// The connection failed, so nothing was sent.
		return 0, fmt.Errorf("call owner: %w: %w", store.ErrRefused, err)
	}
	if err != nil {
		// Other idle connections may be dead too.
		c.http.CloseIdleConnections()
		return 0, fmt.Errorf("call owner: %w", err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxBodyBytes))
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
