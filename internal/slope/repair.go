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

// runBase measures the resident memory of a process with idle nodes.
func runBase(ctx context.Context, size float64, _ time.Duration) (Reading, error) {
	r, err := startRig(ctx, rigOptions{nodes: int(size)})
	if err != nil {
		return nil, err
	}
	err = sleep(ctx, settleTime)
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

// residentBytes returns the resident memory of this process, as Linux reports it.
func residentBytes() (float64, error) {
	data, err := os.ReadFile("/proc/self/status")
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(data)) {
		if value, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, err := strconv.ParseFloat(strings.Fields(value)[0], 64)
			return kb * 1024, err
		}
	}
	return 0, fmt.Errorf("/proc/self/status has no VmRSS")
}

const (
	failureAxisWorkers   = 12
	tasksPerFailedWorker = 10
	// repairWindow is longer than a task lease and the placement that follows its expiry.
	repairWindow = 14 * time.Second
)

// runFailures measures what the simultaneous failure of hosts costs the owner of their cell.
func runFailures(ctx context.Context, size float64, _ time.Duration) (Reading, error) {
	r, err := startRig(ctx, rigOptions{nodes: 2, workers: failureAxisWorkers})
	if err != nil {
		return nil, err
	}
	out, err := r.failures(ctx, int(size))
	if serr := r.stop(); err == nil {
		err = serr
	}
	return out, err
}

// failures starts tasks, fails n workers, and counts the appends and bytes within repairWindow.
func (r *rig) failures(ctx context.Context, n int) (Reading, error) {
	for i := range failureAxisWorkers * tasksPerFailedWorker {
		if err := r.submit(ctx, i, 0); err != nil {
			return nil, err
		}
	}
	if err := sleep(ctx, 2*settleTime); err != nil {
		return nil, err
	}
	before := r.traffic()
	for _, fail := range r.failWorker[:n] {
		fail()
	}
	if err := sleep(ctx, repairWindow); err != nil {
		return nil, err
	}
	after := r.traffic()
	return Reading{
		RepairAppends: float64(after.appends.Sub(before.appends).Messages),
		RepairBytes: float64(after.ownerLog.Sub(before.ownerLog).Bytes() +
			after.sync.Sub(before.sync).Bytes()),
	}, nil
}
