package cell

import (
	"time"

	"github.com/crocusspring/crocusspring/internal/place"
)

// Options are the fixed parameters of a core.
type Options struct {
	Cell string
	// Self is unique to this incarnation of the process.
	Self       string
	OwnerLease time.Duration
	// TaskLease is how long tasks run on without contact to their owner; it is longer than a change of owner
	// takes.
	TaskLease time.Duration
	// SyncEvery is the least time between two syncs with a worker that has no commands waiting.
	SyncEvery time.Duration
	// TakeDelay is the delay before taking the cell, so that a preferred candidate takes it first.
	TakeDelay time.Duration
	// MaxLeaseExtension bounds how long an owner continues with the promises of the other candidates while the
	// log is unavailable, counted from the append of its newest lease record; 0 disables this.
	MaxLeaseExtension time.Duration
	// MaxFailures is how often a task may fail before it is failed for good.
	MaxFailures int
	// SnapshotEvery is the least number of entries between two snapshots; 0 means the default. Snapshots of
	// large folds are written less often, so that the cost for each entry stays bounded.
	SnapshotEvery int
	// SnapshotAge is how old the newest snapshot may become while entries are added; it must be well below
	// the time the log keeps entries. 0 means the default.
	SnapshotAge time.Duration
	// SlowdownLimit is the slowdown of a service above which its neighbours are throttled or evicted.
	SlowdownLimit float64
	// KeepDone is how long ended tasks are kept, and MaxDone how many at the most.
	KeepDone time.Duration
	MaxDone  int
	// Pipeline places tasks; nil means the default pipeline or the one that the policies select.
	Pipeline *place.Pipeline
}

const (
	defaultSnapshotEvery = 200
	defaultSlowdownLimit = 1.8
	defaultKeepDone      = 24 * time.Hour
	defaultMaxDone       = 5000
	// minKeepDone is how long an ended task is kept however many there are, so that a job submitted
	// again is not run again.
	minKeepDone = time.Hour
)

// withDefaults fills in what is not set.
func (o Options) withDefaults() Options {
	if o.SnapshotAge == 0 {
		o.SnapshotAge = defaultSnapshotAge
	}
	if o.SnapshotEvery == 0 {
		o.SnapshotEvery = defaultSnapshotEvery
	}
	if o.SlowdownLimit == 0 {
		o.SlowdownLimit = defaultSlowdownLimit
	}
	if o.KeepDone == 0 {
		o.KeepDone = defaultKeepDone
	}
	if o.MaxDone == 0 {
		o.MaxDone = defaultMaxDone
	}
	return o
}
