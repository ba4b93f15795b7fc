package configrun

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/crocusspring/crocusspring/internal/config"
	"github.com/crocusspring/crocusspring/internal/logsvc"
	"github.com/crocusspring/crocusspring/internal/record"
)

// ErrUndecided means that the verdict on a proposal was not read in time; it may still be accepted.
var ErrUndecided = errors.New("verdict not known yet")

// resendAfter is how long the verdict on a proposal whose append got no response is awaited before the
// proposal is appended again with the same id. Only the first record of an id counts.
const resendAfter = time.Second

// Propose publishes a proposal with a record id and waits for its verdict. A proposal that expects a replaced
// version is refused without being published. An error that is a logsvc.ErrRefused means that nothing was
// published either.
func (d *Driver) Propose(ctx context.Context, id, by string, p config.Proposal) (config.Verdict, error) {
	if v, ok := d.earlyVerdict(id, p); ok {
		return v, nil
	}
	env, err := record.New(id, record.KindProposal, config.ProposalSchema, by, p)
	if err != nil {
		return config.Verdict{}, err
	}
	raw, err := env.Encode()
	if err != nil {
		return config.Verdict{}, err
	}
	for sent := false; ; {
		_, err := d.logClient.Append(logsvc.WithClass(ctx, logsvc.ClassConfig), config.Stream, []json.RawMessage{raw})
		if errors.Is(err, logsvc.ErrRefused) && !sent {
			return config.Verdict{}, fmt.Errorf("publish %s: %w", p.Key, err)
		}
		sent = true
		v, ok := d.awaitVerdict(ctx, id, err == nil)
		if ok {
			return v, nil
		}
		if ctx.Err() != nil {
			return config.Verdict{}, fmt.Errorf("publish %s: %w", p.Key, ErrUndecided)
		}
	}
}

// earlyVerdict returns the verdict on a proposal that was decided before or that can't be accepted any more.
func (d *Driver) earlyVerdict(id string, p config.Proposal) (config.Verdict, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.state.EarlyVerdict(id, p)
}

// awaitVerdict waits until the fold has decided on a record or ctx ends. When the append got no response, it
// gives up after resendAfter.
func (d *Driver) awaitVerdict(ctx context.Context, id string, gotResponse bool) (config.Verdict, bool) {
	if !gotResponse {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, resendAfter)
		defer cancel()
	}
	for {
		d.mu.Lock()
		v, ok := d.state.Verdict(id)
		updated := d.updated
		d.mu.Unlock()
		if ok {
			return v, true
		}
		select {
		case <-updated:
		case <-ctx.Done():
			return config.Verdict{}, false
		}
	}
}
