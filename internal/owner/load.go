package owner

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/crocusspring/crocusspring/internal/directory"
	"github.com/crocusspring/crocusspring/internal/event"
	"github.com/crocusspring/crocusspring/internal/job"
	"github.com/crocusspring/crocusspring/internal/safe"
	"github.com/crocusspring/crocusspring/internal/sched"
	"github.com/crocusspring/crocusspring/internal/store"
)

// announceParallelism is how many nodes are notified of a takeover at the same time.
const announceParallelism = 16

// announce notifies all nodes of the takeover, since some may not be able to read the lease.
func (c *Cell) announce(ctx context.Context) error {
	nodes, err := directory.Nodes(ctx, c.store)
	if err != nil {
		c.log.Warn(event.TakeoverNotAnnounced, "err", err)
		return nil
	}
	lease, ok := c.lease.Holder()
	if !ok {
		return nil
	}
	grp := errgroup.Group{}
	grp.SetLimit(announceParallelism)
	for node, addr := range nodes {
		grp.Go(func() error {
			call, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			if err := c.client.AnnounceTakeover(call, addr, lease); err != nil {
				c.log.Debug("takeover not announced", "node", node, "err", err)
			}
			return nil
		})
	}
	return grp.Wait()
}

// load fences earlier owners and loads the cell from the store. It returns the offsets of the next records of
// TopicJobs and TopicRuns.
func (c *Cell) load(ctx context.Context, epoch int64) (*sched.Core, store.Offset, store.Offset, error) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	runs, err := c.store.Newest(ctx, store.TopicRuns)
	if err != nil {
		return nil, 0, 0, fmt.Errorf("read runs: %w", err)
	}
	fence := store.Record{Key: ownerKey, Value: fmt.Appendf(nil, "%d", epoch)}
	at, err := c.store.Append(ctx, store.TopicRuns, runs.End, []store.Record{fence})
	if err != nil {
		return nil, 0, 0, fmt.Errorf("fence earlier owners: %w", err)
	}
	jobs, err := c.store.Newest(ctx, store.TopicJobs)
	if err != nil {
		return nil, 0, 0, fmt.Errorf("read jobs: %w", err)
	}
	now := time.Now()
	core := sched.New(c.opt)
	c.submitJobs(core, now, jobs.Records)
	sched.SortForRestore(runs.Records)
	for _, r := range runs.Records {
		if r.Key == ownerKey {
			continue
		}
		restore := func() error { return core.Restore(now, r.Key, r.Value) }
		if err := safe.Call("restore "+r.Key, restore); err != nil {
			c.log.Error(event.RecordSkipped, "topic", store.TopicRuns, "offset", r.Offset, "err", err)
		}
	}
	// A cancellation applies to the progress of its job.
	applyCancellations(core, now, jobs.Records)
	return core, jobs.End, at + 1, nil
}

// applyRecords applies records of TopicJobs to a core, jobs before cancellations.
func (c *Cell) applyRecords(core *sched.Core, now time.Time, records []store.Record) {
	c.submitJobs(core, now, records)
	applyCancellations(core, now, records)
}

// submitJobs submits the jobs among records of TopicJobs.
func (c *Cell) submitJobs(core *sched.Core, now time.Time, records []store.Record) {
	for _, r := range records {
		if id, ok := strings.CutPrefix(r.Key, store.PrefixJob); ok && len(r.Value) > 0 {
			c.submit(core, now, id, r)
		}
	}
}

// applyCancellations cancels the jobs that records of TopicJobs say are cancelled.
func applyCancellations(core *sched.Core, now time.Time, records []store.Record) {
	for _, r := range records {
		if id, ok := strings.CutPrefix(r.Key, store.PrefixCancel); ok && len(r.Value) > 0 {
			core.Cancel(now, id)
		}
	}
}

// submit submits one accepted job to a core; a record that can't be decoded or is invalid is skipped.
func (c *Cell) submit(core *sched.Core, now time.Time, id string, r store.Record) {
	spec, err := decodeJob(id, r.Value)
	if err == nil {
		err = safe.Call("submit "+id, func() error {
			core.Submit(now, spec)
			return nil
		})
	}
	if err != nil {
		c.log.Error(event.RecordSkipped, "topic", store.TopicJobs, "offset", r.Offset, "job", id, "err", err)
	}
}

// decodeJob decodes and checks the record of the accepted job with an ID.
func decodeJob(id string, value []byte) (*job.Spec, error) {
	spec := &job.Spec{}
	if err := json.Unmarshal(value, spec); err != nil {
		return nil, err
	}
	if spec.ID != id {
		return nil, fmt.Errorf("the record holds job %.*q", job.MaxID, spec.ID)
	}
	return spec, spec.Check()
}
