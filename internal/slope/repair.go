package slope

import (
	"context"
	"fmt"
	"os"
	"runtime/debug"
	"strconv"
	"strings"
	"time"
)

// runBase measures the memory of a process with idle nodes.
func runBase(ctx context.Context, size float64, _ time.Duration) (Reading, error) {
	r, err := startRig(ctx, shape{nodes: int(size)})
	if err != nil {
		return nil, err
	}
	err = pause(ctx, settle)
	debug.FreeOSMemory()
	resident, rerr := residentBytes()
	out := Reading{ResidentBytes: resident}
	if serr := r.stop(); err == nil {
		err = serr
	}
	if err == nil {
		err = rerr
	}
	return out, err
}

// residentBytes reads the resident memory of this process.
func residentBytes() (float64, error) {
	data, err := os.ReadFile("/proc/self/status")
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(data)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, err := strconv.ParseFloat(strings.Fields(rest)[0], 64)
			return kb * 1024, err
		}
	}
	return 0, fmt.Errorf("/proc/self/status has no VmRSS")
}

const (
	failWorkers   = 12
	tasksOfWorker = 10
	// repairWindow is longer than a task lease and the placing that follows it.
	repairWindow = 14 * time.Second
)

// runFailures measures what the failure of hosts costs the owner of their cell.
func runFailures(ctx context.Context, size float64, _ time.Duration) (Reading, error) {
	r, err := startRig(ctx, shape{nodes: 2, workers: failWorkers})
	if err != nil {
		return nil, err
	}
	out, err := r.failures(ctx, int(size))
	if serr := r.stop(); err == nil {
		err = serr
	}
	return out, err
}

// failures starts tasks, fails some workers and counts what the repair takes.
func (r *rig) failures(ctx context.Context, n int) (Reading, error) {
	for i := range failWorkers * tasksOfWorker {
		if err := r.submit(ctx, i, 0); err != nil {
			return nil, err
		}
	}
	if err := pause(ctx, 2*settle); err != nil {
		return nil, err
	}
	before := r.traffic()
	for _, fail := range r.failWorker[:n] {
		fail()
	}
	if err := pause(ctx, repairWindow); err != nil {
		return nil, err
	}
	after := r.traffic()
	return Reading{
		RepairAppends: float64(after.appends.Sub(before.appends).Messages),
		RepairBytes: float64(after.ownerLog.Sub(before.ownerLog).Bytes() +
			after.sync.Sub(before.sync).Bytes()),
	}, nil
}
