// Package configrun drives the fold of the configuration stream and publishes proposals.
package configrun

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/crocusspring/crocusspring/internal/config"
	"github.com/crocusspring/crocusspring/internal/follow"
	"github.com/crocusspring/crocusspring/internal/logsvc"
	"github.com/crocusspring/crocusspring/internal/record"
)

// ErrUndecided says that the verdict on a proposal was not seen in time; it may still be accepted.
var ErrUndecided = errors.New("verdict not known yet")

// Driver keeps the configuration in force. Use New to make one.
type Driver struct {
	log  logsvc.Client
	lg   *log.Logger
	self string

	mu     sync.Mutex
	state  *config.State
	atTail bool
	grown  chan struct{}
}

// New returns a driver; self names the process in records.
func New(lc logsvc.Client, self string, lg *log.Logger) *Driver {
	return &Driver{log: lc, lg: lg, self: self, state: config.NewState(), grown: make(chan struct{})}
}

// Run follows the stream until ctx ends.
func (d *Driver) Run(ctx context.Context) {
	follow.Run(ctx, d.log, config.Stream, 1, d, d.lg)
}

// Entries implements follow.Handler.
func (d *Driver) Entries(entries []logsvc.Entry, tail logsvc.Offset) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, e := range entries {
		if _, err := d.state.Step(e); err != nil {
			d.lg.Error("Record is bad.", "err", err)
		}
	}
	d.atTail = d.state.Next() >= tail
	close(d.grown)
	d.grown = make(chan struct{})
}

// Expired implements follow.Handler.
func (d *Driver) Expired(first logsvc.Offset) logsvc.Offset {
	d.lg.Error("Entries have expired.", "stream", config.Stream, "first", first)
	return first
}

// Propose publishes a proposal under a record id and waits for its verdict.
func (d *Driver) Propose(ctx context.Context, id, by string, p config.Proposal) (config.Verdict, error) {
	env, err := record.New(id, record.KindProposal, 1, by, p)
	if err != nil {
		return config.Verdict{}, err
	}
	raw, err := env.Encode()
	if err != nil {
		return config.Verdict{}, err
	}
	_, err = d.log.Append(ctx, config.Stream, []json.RawMessage{raw})
	if errors.Is(err, logsvc.ErrRefused) {
		return config.Verdict{}, fmt.Errorf("publish %s: %w", p.Key, err)
	}
	return d.verdict(ctx, id)
}

// verdict waits until the fold has judged a record.
func (d *Driver) verdict(ctx context.Context, id string) (config.Verdict, error) {
	for {
		d.mu.Lock()
		v, ok := d.state.Verdict(id)
		grown := d.grown
		d.mu.Unlock()
		if ok {
			return v, nil
		}
		select {
		case <-grown:
		case <-ctx.Done():
			return config.Verdict{}, ErrUndecided
		}
	}
}

// View calls f with the state under the driver's lock. f must not keep it.
func (d *Driver) View(f func(*config.State)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f(d.state)
}

// Offset returns the newest offset in force; 0 for none.
func (d *Driver) Offset() logsvc.Offset {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.state.Next() - 1
}

// Ready reports whether the tail of the stream has been reached.
func (d *Driver) Ready() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.atTail
}

// WaitTimeout bounds how long a proposal waits for its verdict.
const WaitTimeout = 5 * time.Second
