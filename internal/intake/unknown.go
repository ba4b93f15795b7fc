package intake

import (
	"errors"
	"time"

	"github.com/crocusspring/crocusspring/internal/sched"
	"github.com/crocusspring/crocusspring/internal/store"
)

const (
	// maxUnresolvedAge is how long a record of unknown outcome is stored again. Owners keep the state of an ended job for longer, and
	// the cancellation of one that they don't know: a job that is stored after that would run again, or although it was cancelled.
	maxUnresolvedAge = sched.CancelRetention / 2
	// maxUnknownCancels is how many cancellations of jobs that don't exist an entry stores within sched.CancelRetention.
	maxUnknownCancels = 2000
)

// errManyUnknown means that too many jobs that don't exist were cancelled.
var errManyUnknown = errors.New("too many cancellations of unknown jobs")

// unresolvedRecord is a record whose outcome has been unknown since a time.
type unresolvedRecord struct {
	record store.Record
	since  time.Time
}

// unresolvedRecords returns the records to store again, and drops those that are too old for that. The caller holds the lock.
func (in *Intake) unresolvedRecords(now time.Time) []store.Record {
	var out []store.Record
	for key, u := range in.unresolved {
		if now.Sub(u.since) > maxUnresolvedAge {
			delete(in.unresolved, key)
			continue
		}
		out = append(out, u.record)
	}
	return out
}

// cancelLimit counts cancellations in two successive spans of sched.CancelRetention.
type cancelLimit struct {
	began         time.Time
	before, count int
}

// admit counts one cancellation and reports whether it is within the limit: the span before counts as far as sched.CancelRetention
// reaches into it.
func (l *cancelLimit) admit(now time.Time) bool {
	switch passed := now.Sub(l.began); {
	case passed >= 2*sched.CancelRetention:
		*l = cancelLimit{began: now}
	case passed >= sched.CancelRetention:
		*l = cancelLimit{began: l.began.Add(sched.CancelRetention), before: l.count}
	}
	left := 1 - float64(now.Sub(l.began))/float64(sched.CancelRetention)
	if float64(l.before)*left+float64(l.count) >= maxUnknownCancels {
		return false
	}
	l.count++
	return true
}

// admitUnknownCancel reports whether one more cancellation of a job that doesn't exist is stored.
func (in *Intake) admitUnknownCancel(now time.Time) bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.unknownCancels.admit(now)
}
