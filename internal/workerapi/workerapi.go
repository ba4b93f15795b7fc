// Package workerapi is the port to workers and its HTTP adapter.
//
// One call, sync, does everything: it fences by epoch, renews the lease of the cell's tasks, carries
// commands and returns the inventory with delayed usage. The worker answers with a reading of its own
// monotonic clock; the next sync sends the newest reading back, and the worker's lease ends a lease
// length after that reading. However long a sync is delayed, it can't lengthen a lease past what the
// owner counts from the moment it received the reading, and a start that comes too late is refused.
package workerapi

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/crocusspring/crocusspring/internal/netdial"
	"github.com/crocusspring/crocusspring/internal/resource"
)

// Op is the operation of a command.
type Op string

// Operations of a command.
const (
	OpStart      Op = "start"
	OpStop       Op = "stop"
	OpCheckpoint Op = "checkpoint"
	OpThrottle   Op = "throttle"
	OpForget     Op = "forget"
)

// Command tells a worker to perform an operation on one attempt of a task.
type Command struct {
	Op      Op     `json:"op"`
	Task    string `json:"task"`
	Attempt int    `json:"attempt"`
	// Class, Declare, Reserve and RunMS describe the work of a start; the worker holds the attempt to Reserve.
	Class   string          `json:"class,omitempty"`
	Declare resource.Vector `json:"declare,omitzero"`
	Reserve resource.Vector `json:"reserve,omitzero"`
	RunMS   int64           `json:"run_ms,omitempty"`
	// Resume is the checkpoint a start continues from.
	Resume *Checkpoint `json:"resume,omitempty"`
	// Percent is the share of processor time a throttle leaves.
	Percent int `json:"percent,omitempty"`
}

// Checkpoint is the completely saved progress of a task.
type Checkpoint struct {
	// Attempt is the attempt that wrote it.
	Attempt int `json:"attempt"`
	// DoneMS is the progress in milliseconds of work.
	DoneMS int64 `json:"done_ms"`
}

// State is the state of an attempt on its worker.
type State string

// States of an attempt as a worker reports them.
const (
	StateRunning  State = "running"
	StateFinished State = "finished"
	StateFailed   State = "failed"
	StateStopped  State = "stopped"
	StateExpired  State = "lapsed"
)

// Attempt is one attempt in a worker's inventory. Ended ones stay until forgotten.
type Attempt struct {
	Task       string      `json:"task"`
	Attempt    int         `json:"attempt"`
	State      State       `json:"state"`
	Checkpoint *Checkpoint `json:"checkpoint,omitempty"`
	Reason     string      `json:"reason,omitempty"`
	// DoneMS is the progress at the time of the reading, in milliseconds of work.
	DoneMS int64 `json:"done_ms,omitempty"`
	// Percent is the share of processor time a throttle leaves; 0 when not throttled.
	Percent int `json:"percent,omitempty"`
	// Used is delayed usage; AgeMS is how old the reading is.
	Used  resource.Vector `json:"used,omitzero"`
	AgeMS int64           `json:"age_ms,omitempty"`
	// Slowdown is the factor by which neighbours slow the attempt: 1 means none. Delayed like Used.
	Slowdown float64 `json:"slowdown,omitempty"`
}

// Resident is a latency-critical service that runs on a worker outside of any cell's control.
type Resident struct {
	Name    string          `json:"name"`
	Class   string          `json:"class"`
	Reserve resource.Vector `json:"reserve"`
	// Slowdown and AgeMS are delayed like those of an attempt.
	Slowdown float64 `json:"slowdown,omitempty"`
	AgeMS    int64   `json:"age_ms,omitempty"`
}

// Refusal says that a worker did not execute a command, and why.
type Refusal struct {
	Task    string `json:"task"`
	Attempt int    `json:"attempt"`
	Reason  string `json:"reason"`
}

// SyncRequest is the body of POST /v1/sync.
type SyncRequest struct {
	Cell  string `json:"cell"`
	Epoch int64  `json:"epoch"`
	// Seq grows with every sync of an epoch; a worker refuses one that is not newer.
	Seq int64 `json:"seq"`
	// EchoMS is the newest clock reading received from this incarnation of the worker; 0 for none yet.
	EchoMS int64 `json:"echo_ms"`
	// Incarnation is the worker start the echo came from; 0 for none yet.
	Incarnation int64 `json:"incarnation"`
	LeaseMS     int64 `json:"lease_ms"`
	// Since is the newest inventory version received from this incarnation in this epoch; the answer
	// lists what changed after it, and 0 asks for everything.
	Since int64 `json:"since,omitempty"`
	// WaitMS is how long the worker may wait for an attempt to end before it answers; a newer sync
	// ends the wait.
	WaitMS   int64     `json:"wait_ms,omitempty"`
	Commands []Command `json:"commands,omitempty"`
}

// SyncResponse is the answer to a sync.
type SyncResponse struct {
	Worker      string `json:"worker"`
	Incarnation int64  `json:"incarnation"`
	ClockMS     int64  `json:"clock_ms"`
	// Version is that of the inventory; Full says that Attempts is the whole inventory and not only changes.
	Version  int64     `json:"version"`
	Full     bool      `json:"full,omitempty"`
	Attempts []Attempt `json:"attempts,omitempty"`
	Refusals []Refusal `json:"refusals,omitempty"`
	// Residents are listed in a full answer and when they changed.
	Residents []Resident `json:"residents,omitempty"`
}

// StaleError says that the worker has seen a newer epoch, or a newer sync of the same one.
type StaleError struct{ Epoch int64 }

// Error names the newest epoch the worker has seen.
func (e *StaleError) Error() string { return fmt.Sprintf("worker has seen epoch %d", e.Epoch) }

// Syncer is the port to workers.
type Syncer interface {
	// Sync calls the worker at an address. It returns a *StaleError when the sync is fenced off.
	Sync(ctx context.Context, addr string, req SyncRequest) (SyncResponse, error)
}

// HTTP is the adapter over HTTP and JSON.
type HTTP struct{ client *http.Client }

// NewHTTP returns an adapter.
func NewHTTP(dial ...netdial.Func) *HTTP {
	t := &http.Transport{
		DialContext:         netdial.FirstNonNil(time.Second, dial...),
		MaxIdleConnsPerHost: 2,
		DisableCompression:  true,
	}
	return &HTTP{client: &http.Client{Transport: t}}
}

// maxAnswer bounds the bytes read from one answer of a worker.
const maxAnswer = 8 << 20

// Sync implements Syncer.
func (h *HTTP) Sync(ctx context.Context, addr string, req SyncRequest) (SyncResponse, error) {
	var out SyncResponse
	body, err := json.Marshal(req)
	if err != nil {
		return out, fmt.Errorf("encode sync: %w", err)
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/v1/sync", bytes.NewReader(body))
	if err != nil {
		return out, fmt.Errorf("sync with %s: %w", addr, err)
	}
	// The header is left out to save bytes: syncs are most of an owner's traffic.
	r.Header.Set("User-Agent", "")
	resp, err := h.client.Do(r)
	if err != nil {
		return out, fmt.Errorf("sync with %s: %w", addr, err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	if err != nil {
		return out, fmt.Errorf("sync with %s: %w", addr, err)
	}
	if resp.StatusCode == http.StatusConflict {
		stale := &StaleError{}
		if err := json.Unmarshal(data, stale); err != nil {
			return out, fmt.Errorf("sync with %s: %w", addr, err)
		}
		return out, stale
	}
	if resp.StatusCode != http.StatusOK {
		return out, fmt.Errorf("sync with %s: status %d", addr, resp.StatusCode)
	}
	if err := json.Unmarshal(data, &out); err != nil {
		return out, fmt.Errorf("sync with %s: %w", addr, err)
	}
	return out, nil
}
