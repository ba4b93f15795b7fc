package slope

import (
	"context"
	"encoding/json"
	"fmt"
	"runtime"
	"time"

	"github.com/crocusspring/crocusspring/internal/announce"
	"github.com/crocusspring/crocusspring/internal/config"
	"github.com/crocusspring/crocusspring/internal/logsvc"
	"github.com/crocusspring/crocusspring/internal/record"
)

// cellWorkers is the number of workers in the cell of the core axes.
const cellWorkers = 48

// coreAxes returns the axes that are measured on the decision code alone, without a network.
func coreAxes() []Axis {
	return []Axis{
		{
			ID: "cell-tasks", Unit: "running tasks on 48 workers", Sizes: []float64{250, 500, 750, 1000, 1250},
			Mechanism: "cell.Core.Step folds, schedules and compares inventories", run: runCellTasks,
		},
		{
			ID: "cell-done", Unit: "ended tasks in the stream", Sizes: []float64{250, 500, 1000, 2000},
			Mechanism: "cell.Core keeps ended tasks; a new owner folds the stream", run: runCellDone,
		},
		{
			ID: "config-records", Unit: "accepted changes", Sizes: []float64{1000, 2000, 4000, 8000},
			Mechanism: "config.State folds the whole stream", run: runConfigRecords,
		},
		{
			ID: "table", Unit: "members in the table", Sizes: []float64{500, 1000, 2000, 4000, 8000},
			Mechanism: "announce.Table keeps every member a process hears of", run: runTable,
		},
	}
}

// liveHeap returns the live heap in bytes after a full garbage collection.
func liveHeap() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// runConfigRecords measures the folding of a stream of configuration changes that are spread evenly over
// configKeys keys.
func runConfigRecords(_ context.Context, size float64, _ time.Duration) (Reading, error) {
	entries, bytes, err := configStream(int(size))
	if err != nil {
		return nil, err
	}
	before := liveHeap()
	s := config.NewState()
	began := time.Now()
	for _, e := range entries {
		if _, err := s.Step(e); err != nil {
			return nil, err
		}
	}
	elapsed := time.Since(began)
	r := Reading{
		HeapBytes:   liveHeap() - before,
		FoldMicros:  elapsed.Seconds() * 1e6 / size,
		ReplayBytes: bytes,
	}
	if got := len(s.All()); got != configKeys {
		return nil, fmt.Errorf("%d records in effect, want %d", got, configKeys)
	}
	runtime.KeepAlive(entries)
	return r, nil
}

// configKeys is the number of configuration keys over which the changes are spread.
const configKeys = 200

// configStream returns a stream of n changes, each of which is accepted, and its size in bytes.
func configStream(n int) ([]logsvc.Entry, float64, error) {
	var out []logsvc.Entry
	bytes := 0
	for i := range n {
		p := config.Proposal{
			Key: config.Key{Kind: "service", Name: fmt.Sprintf("service-%d", i%configKeys)}, Schema: 1,
			Expected: int64(i / configKeys), Spec: json.RawMessage(`{"budget_ms":200}`),
		}
		env, err := record.New(record.NewID(), record.KindProposal, 1, "load", p)
		if err != nil {
			return nil, 0, err
		}
		raw, err := env.Encode()
		if err != nil {
			return nil, 0, err
		}
		out = append(out, logsvc.Entry{Offset: logsvc.Offset(i + 1), Data: raw})
		bytes += len(raw)
	}
	return out, float64(bytes), nil
}

// runTable measures the heap of a table of members and the time to list its live targets.
func runTable(_ context.Context, size float64, _ time.Duration) (Reading, error) {
	now := time.Unix(0, 0)
	before := liveHeap()
	t := announce.NewTable()
	for i := range int(size) {
		t.Apply(now, announce.Announcement{
			Role: announce.RoleTarget, Name: fmt.Sprintf("target-%05d", i), Address: fmt.Sprintf("10.0.%d.%d:8500", i/250, i%250),
			DataCentre: fmt.Sprintf("dc-%02d", i%12), Rack: fmt.Sprintf("rack-%03d", i/40), Service: fmt.Sprintf("service-%d", i%50),
			Slots: 8, Connections: 64, Incarnation: 1, Seq: 1, LeaseMS: 2000,
		})
	}
	r := Reading{HeapBytes: liveHeap() - before}
	const rounds = 50
	began := time.Now()
	for range rounds {
		if len(t.Live(now, announce.RoleTarget)) != int(size) {
			return nil, fmt.Errorf("table lost members")
		}
	}
	r[StepMicros] = time.Since(began).Seconds() * 1e6 / rounds
	return r, nil
}
