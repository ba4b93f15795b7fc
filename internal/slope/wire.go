package slope

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/crocusspring/crocusspring/internal/netcount"
)

// settleTime is how long a rig runs before it is measured.
const settleTime = 2 * time.Second

// minPeriodicWindow is the least time for which axes with a periodic cost are measured: peers request the
// whole table every ten seconds.
const minPeriodicWindow = 10 * time.Second

// Prefixes of the request lines by which the counters tell requests apart.
const (
	lineExchange = "POST /crocusspring.peer.v1.PeerService/"
	lineAnnounce = "POST /v1/announce"
	lineSync     = "POST /v1/sync"
	lineAppend   = "POST /v1/streams/"
	lineRead     = "GET /v1/streams/"
)

// wireAxes returns the axes that are measured on running nodes.
func wireAxes() []Axis {
	return []Axis{
		{
			ID: "base", Unit: "idle nodes in one process", Sizes: []float64{1, 2, 4, 8},
			Mechanism: "the runtime, the binary and an idle node", run: runBase,
		},
		{
			ID: "failures", Unit: "of 12 workers with 10 tasks each that fail at once", Sizes: []float64{0, 1, 2, 3, 4},
			Mechanism: "cell.Core gives up silent workers and places their tasks again", run: runFailures,
		},
		{
			ID: "members", Unit: "announced targets and workers", Sizes: []float64{8, 16, 32, 64, 96},
			Mechanism: "members.Members exchanges announcements between nodes", run: runMembers,
		},
		{
			ID: "nodes", Unit: "nodes with 24 targets", Sizes: []float64{2, 3, 4, 6, 8},
			Mechanism: "members.Members calls every peer", run: runNodes,
		},
		{
			ID: "workers", Unit: "idle workers in the cell", Sizes: []float64{6, 12, 24, 36, 48},
			Mechanism: "cell.Core syncs with each worker", run: runWorkers,
		},
		{
			ID: "syncs", Unit: "syncs a second with 24 idle workers", Sizes: []float64{8, 16, 32, 64},
			Mechanism: "a sync on the wire and its step", run: runSyncs,
		},
		{
			ID: "tasks", Unit: "running tasks on 12 workers", Sizes: []float64{0, 60, 120, 180, 288},
			Mechanism: "a sync lists the worker's inventory", run: runTasks,
		},
		{
			ID: "starts", Unit: "task starts a second on 12 workers", Sizes: []float64{1, 2, 4, 8},
			Mechanism: "job, assign and task-state records on the cell's stream", run: runStarts,
		},
		{
			ID: "config", Unit: "configuration changes a second", Sizes: []float64{1, 2, 4, 8},
			Mechanism: "every process follows the config stream", run: runConfig,
		},
		{
			ID: "requests", Unit: "requests a second through one of two nodes, 11 targets", Sizes: []float64{50, 100, 200, 400},
			Mechanism: "node.call, route.Table.Pick and the call to a target", run: runRequests,
		},
	}
}

// traffic is a reading of all counters of a rig at one time.
type traffic struct {
	at                   time.Time
	peer, announce, sync netcount.Count
	ownerLog, otherLog   netcount.Count
	appends, reads       netcount.Count
}

// traffic reads the counters.
func (r *rig) traffic() traffic {
	t := traffic{at: time.Now(), sync: r.workerWire.Match(lineSync)}
	for _, c := range r.nodeWire {
		t.peer = t.peer.Add(c.Match(lineExchange))
		t.announce = t.announce.Add(c.Match(lineAnnounce))
	}
	for _, c := range r.logWire {
		t.appends = t.appends.Add(c.Match(lineAppend))
		t.reads = t.reads.Add(c.Match(lineRead))
	}
	t.ownerLog = r.logWire[0].Match("")
	t.otherLog = r.logWire[len(r.logWire)-1].Match("")
	return t
}

// measure measures a rig for a window, after settleTime.
func (r *rig) measure(ctx context.Context, window time.Duration) (Reading, error) {
	if err := sleep(ctx, settleTime); err != nil {
		return nil, err
	}
	p, err := startCPU()
	if err != nil {
		return nil, err
	}
	before := r.traffic()
	err = sleep(ctx, window)
	after := r.traffic()
	parts, perr := p.stop()
	if err != nil {
		return nil, err
	}
	if perr != nil {
		return nil, perr
	}
	sec := after.at.Sub(before.at).Seconds()
	nodes := float64(len(r.nodeAddrs))
	peer := after.peer.Sub(before.peer)
	sync := after.sync.Sub(before.sync)
	last := nodePart(len(r.nodeAddrs) - 1)
	return Reading{
		// Counted twice, since each exchange costs the calling and the called node.
		PeerBytes:     2 * float64(peer.Bytes()) / nodes / sec,
		PeerMessages:  2 * float64(peer.Messages) / nodes / sec,
		AnnounceBytes: float64(after.announce.Sub(before.announce).Bytes()) / sec,
		OwnerLogBytes: float64(after.ownerLog.Sub(before.ownerLog).Bytes()) / sec,
		OtherLogBytes: float64(after.otherLog.Sub(before.otherLog).Bytes()) / sec,
		Appends:       float64(after.appends.Sub(before.appends).Messages) / sec,
		LogReads:      float64(after.reads.Sub(before.reads).Messages) / sec,
		SyncBytes:     float64(sync.Bytes()) / sec,
		SyncMessages:  float64(sync.Messages) / sec,
		OwnerCPU:      100 * parts[nodePart(0)].Seconds() / sec,
		OtherCPU:      100 * parts[last].Seconds() / sec,
	}, nil
}

// selectMetrics returns only the metrics that belong to an axis; it passes an error on.
func selectMetrics(r Reading, err error, keep ...Metric) (Reading, error) {
	if err != nil {
		return nil, err
	}
	out := Reading{}
	for _, m := range keep {
		out[m] = r[m]
	}
	return out, nil
}

// sleep waits for d; it returns an error if ctx ends first.
func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}

// measureRig starts a rig and measures it while drive puts load on it.
func measureRig(ctx context.Context, o rigOptions, window time.Duration, drive func(context.Context, *rig) error) (Reading, error) {
	r, err := startRig(ctx, o)
	if err != nil {
		return nil, err
	}
	run, cancel := context.WithCancel(ctx)
	done := make(chan error, 1)
	go func() { done <- drive(run, r) }()
	out, err := r.measure(ctx, window)
	cancel()
	if derr := <-done; err == nil {
		err = derr
	}
	if serr := r.stop(); err == nil {
		err = serr
	}
	return out, err
}

// idle is a drive function that puts no load on the rig.
func idle(context.Context, *rig) error { return nil }

// runMembers measures the cost of announcements between two nodes.
func runMembers(ctx context.Context, size float64, window time.Duration) (Reading, error) {
	r, err := measureRig(ctx, rigOptions{nodes: 2, targets: int(size)}, max(window, minPeriodicWindow), idle)
	return selectMetrics(r, err, PeerBytes, PeerMessages, AnnounceBytes, OtherCPU)
}

// runNodes measures what additional nodes cost each node.
func runNodes(ctx context.Context, size float64, window time.Duration) (Reading, error) {
	r, err := measureRig(ctx, rigOptions{nodes: int(size), targets: 24}, max(window, minPeriodicWindow), idle)
	return selectMetrics(r, err, PeerBytes, PeerMessages, LogReads, OtherCPU)
}

// runWorkers measures what idle workers cost the owner of their cell.
func runWorkers(ctx context.Context, size float64, window time.Duration) (Reading, error) {
	r, err := measureRig(ctx, rigOptions{nodes: 2, workers: int(size)}, window, idle)
	return selectMetrics(r, err, SyncBytes, SyncMessages, OwnerLogBytes, OtherLogBytes, Appends, OwnerCPU, OtherCPU)
}

const (
	// syncWorkers is the number of workers over which the syncs of the axis syncs are spread.
	syncWorkers = 24
	// syncsInLease is how many syncs a worker with nothing to report answers in the time of a task lease.
	syncsInLease = 3
)

// runSyncs measures what syncs cost the owner. The task lease sets their rate; a rate that differs from the
// wanted one by more than a factor of two is an error.
func runSyncs(ctx context.Context, size float64, window time.Duration) (Reading, error) {
	lease := time.Duration(syncsInLease * syncWorkers / size * float64(time.Second))
	r, err := measureRig(ctx, rigOptions{nodes: 1, workers: syncWorkers, taskLease: lease}, max(window, minPeriodicWindow), idle)
	if err == nil && (r[SyncMessages] < size/2 || r[SyncMessages] > size*2) {
		err = fmt.Errorf("%.1f syncs a second", r[SyncMessages])
	}
	return selectMetrics(r, err, SyncBytes, SyncMessages, OwnerCPU)
}

// runTasks measures what running tasks cost the owner of a cell.
func runTasks(ctx context.Context, size float64, window time.Duration) (Reading, error) {
	r, err := measureRig(ctx, rigOptions{nodes: 2, workers: 12}, window, func(ctx context.Context, r *rig) error {
		for i := range int(size) {
			if err := r.submit(ctx, i, 0); err != nil && ctx.Err() == nil {
				return err
			}
		}
		return nil
	})
	return selectMetrics(r, err, SyncBytes, SyncMessages, OwnerLogBytes, OwnerCPU, OtherCPU)
}

// runStarts measures what task starts cost the owner of a cell and the other candidates.
func runStarts(ctx context.Context, size float64, window time.Duration) (Reading, error) {
	r, err := measureRig(ctx, rigOptions{nodes: 2, workers: 12}, max(window, minPeriodicWindow), func(ctx context.Context, r *rig) error {
		return r.callAtRate(ctx, size, func(ctx context.Context, i int) error { return r.submit(ctx, i, 1000) })
	})
	return selectMetrics(r, err, SyncBytes, SyncMessages, OwnerLogBytes, OtherLogBytes, Appends, OwnerCPU, OtherCPU)
}

// runConfig measures what configuration changes cost every process.
func runConfig(ctx context.Context, size float64, window time.Duration) (Reading, error) {
	r, err := measureRig(ctx, rigOptions{nodes: 3}, window, func(ctx context.Context, r *rig) error {
		return r.callAtRate(ctx, size, r.propose)
	})
	return selectMetrics(r, err, OtherLogBytes, Appends, LogReads, OtherCPU)
}

// runRequests measures what requests cost the node that serves them.
func runRequests(ctx context.Context, size float64, window time.Duration) (Reading, error) {
	r, err := measureRig(ctx, rigOptions{nodes: 2, targets: 11}, window, func(ctx context.Context, r *rig) error {
		return r.callAtRate(ctx, size, r.call)
	})
	return selectMetrics(r, err, OwnerCPU, OwnerLogBytes, Appends, PeerBytes)
}

// submit submits one job; runMS 0 makes a task without an end.
func (r *rig) submit(ctx context.Context, i int, runMS int64) error {
	body := map[string]any{
		"id": fmt.Sprintf("job-%06d-%d", i, time.Now().UnixNano()), "workspace": "centre-a", "class": "timetable-rebuild",
		"run_ms": runMS, "data_centre": cellName, "declare": map[string]any{"milli_cpu": 500, "memory_mb": 1000},
	}
	return callJSON(ctx, http.MethodPost, r.nodeAddrs[0], "/v1/jobs", body, nil)
}

// propose publishes one small configuration record.
func (r *rig) propose(ctx context.Context, i int) error {
	body := map[string]any{
		"id": fmt.Sprintf("change-%d", i), "by": "load", "kind": "service", "name": fmt.Sprintf("service-%d", i), "schema": 1,
		"spec": map[string]any{"budget_ms": 200},
	}
	return callJSON(ctx, http.MethodPost, r.nodeAddrs[0], "/v1/records", body, nil)
}

// call sends one request to the service. Its outcome doesn't matter, since only the cost is measured.
func (r *rig) call(ctx context.Context, i int) error {
	return callJSON(ctx, http.MethodPost, r.nodeAddrs[0], "/v1/services/"+service+"/call", i, nil)
}

// callAtRate calls f at a steady rate until ctx ends, each time in a new goroutine, and waits for the calls to
// return. Errors of f are ignored.
func (r *rig) callAtRate(ctx context.Context, perSecond float64, f func(context.Context, int) error) error {
	t := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
	defer t.Stop()
	var wg sync.WaitGroup
	defer wg.Wait()
	for i := 0; ; i++ {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
			wg.Go(func() { _ = f(ctx, i) })
		}
	}
}
