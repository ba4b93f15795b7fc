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

// ErrUndecided says that the verdict on a proposal was not seen in time; it may still be accepted.
var ErrUndecided = errors.New("verdict not known yet")

// againAfter is how long a proposal whose append was not answered is looked for before it is appended
// again under the same id, of which only the first counts.
const againAfter = time.Second

// Propose publishes a proposal under a record id and waits for its verdict. A proposal that is beaten
// already is refused without being published. An error that is a logsvc.ErrRefused means that nothing
// was published either.
func (d *Driver) Propose(ctx context.Context, id, by string, p config.Proposal) (config.Verdict, error) {
	if v, ok := d.early(id, p); ok {
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
		_, err := d.log.Append(logsvc.WithClass(ctx, logsvc.ClassConfig), config.Stream, []json.RawMessage{raw})
		if errors.Is(err, logsvc.ErrRefused) && !sent {
			return config.Verdict{}, fmt.Errorf("publish %s: %w", p.Key, err)
		}
		sent = true
		v, ok := d.verdict(ctx, id, err == nil)
		if ok {
			return v, nil
		}
		if ctx.Err() != nil {
			return config.Verdict{}, fmt.Errorf("publish %s: %w", p.Key, ErrUndecided)
		}
	}
}

// early returns the verdict on a proposal that was judged before or that can't win any more.
func (d *Driver) early(id string, p config.Proposal) (config.Verdict, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.state.Early(id, p)
}

// verdict waits until the fold has judged a record. Unless the append was answered it gives up after
// againAfter.
func (d *Driver) verdict(ctx context.Context, id string, answered bool) (config.Verdict, bool) {
	if !answered {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, againAfter)
		defer cancel()
	}
	for {
		d.mu.Lock()
		v, ok := d.state.Verdict(id)
		grown := d.grown
		d.mu.Unlock()
		if ok {
			return v, true
		}
		select {
		case <-grown:
		case <-ctx.Done():
			return config.Verdict{}, false
		}
	}
}
