package node

import (
	"time"

	"github.com/crocusspring/crocusspring/internal/logsvc"
)

// Defaults returns the default settings of a node.
func Defaults() Options {
	return Options{
		Share:        1,
		OwnerLease:   3 * time.Second,
		OwnerStretch: 3 * time.Minute,
		TaskLease:    8 * time.Second,
		SyncEvery:    500 * time.Millisecond,
		SnapshotAge:  time.Hour,
		LogAppends:   logsvc.DefaultAppends,
		Drain:        10 * time.Second,
		ReadyLag:     time.Second,
	}
}
