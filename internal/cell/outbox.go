package cell

import (
	"time"

	"github.com/crocusspring/crocusspring/internal/chart"
	"github.com/crocusspring/crocusspring/internal/logsvc"
	"github.com/crocusspring/crocusspring/internal/record"
)

const (
	// maxBatch is how many decisions one batch carries at the most.
	maxBatch = 200
	// firstRetry doubles up to lastRetry while a batch does not show up in the stream.
	firstRetry = 100 * time.Millisecond
	lastRetry  = 2 * time.Second
	// lazyFor is how long a report that nothing waits for may wait for others to go with.
	lazyFor = time.Second
)

// outbox collects decisions and has one batch of them on its way to the stream at a time. The same
// record is appended again until it is seen there; readers fold a batch number once.
type outbox struct {
	assigns []Assign
	reports []Report
	forget  []string
	// open are the reports that are not folded yet, and ending the attempts whose end is among them.
	open   map[reportKey]bool
	ending map[attemptKey]bool

	// lazy is since when only reports are queued that nothing waits for; zero when there are others.
	lazy time.Time

	flight *record.Envelope
	body   Batch
	calls  bool
	tries  int
	due    time.Time
	since  time.Time
}

// reportKey names one report of an attempt.
type reportKey struct {
	attemptKey
	event chart.Event
}

// newOutbox returns an empty outbox.
func newOutbox() outbox {
	return outbox{open: map[reportKey]bool{}, ending: map[attemptKey]bool{}}
}

// ends reports whether an event ends an attempt.
func ends(e chart.Event) bool { return e != EventRun && e != EventCheckpoint }

// add queues a report unless the same one is open, or the attempt's end is.
func (o *outbox) add(r Report) {
	k := reportKey{attemptKey{r.Task, r.Attempt}, chart.Event(r.Event)}
	if o.open[k] || o.ending[k.attemptKey] {
		return
	}
	o.open[k] = true
	if ends(k.event) {
		o.ending[k.attemptKey] = true
	}
	o.reports = append(o.reports, r)
}

// take returns the record to append now, or nil. Batches are numbered after the newest folded one.
func (o *outbox) take(now time.Time, by string, epoch logsvc.Offset, folded int64) *record.Envelope {
	if o.calls {
		return nil
	}
	if o.flight == nil && o.idle(now) {
		return nil
	}
	if o.flight == nil && !o.pack(now, by, epoch, folded+1) {
		return nil
	}
	if now.Before(o.due) {
		return nil
	}
	o.due = now.Add(min(lastRetry, firstRetry<<min(o.tries, 8)))
	o.tries++
	o.calls = true
	return o.flight
}

// idle reports whether nothing is queued that can't wait: that an attempt runs is also told by its
// worker, so it goes with the next assignment or end.
func (o *outbox) idle(now time.Time) bool {
	if len(o.assigns)+len(o.forget) > 0 {
		return false
	}
	for _, r := range o.reports {
		if chart.Event(r.Event) != EventRun {
			return false
		}
	}
	if len(o.reports) == 0 {
		o.lazy = time.Time{}
		return true
	}
	if o.lazy.IsZero() {
		o.lazy = now
	}
	return now.Sub(o.lazy) < lazyFor
}

// pack makes the next batch of what is queued and reports whether there is one.
func (o *outbox) pack(now time.Time, by string, epoch logsvc.Offset, seq int64) bool {
	b := Batch{Epoch: epoch, Seq: seq}
	b.Assigns, o.assigns = cut(o.assigns, maxBatch)
	b.Reports, o.reports = cut(o.reports, maxBatch)
	b.Forget, o.forget = cut(o.forget, maxBatch)
	if len(b.Assigns)+len(b.Reports)+len(b.Forget) == 0 {
		return false
	}
	env, err := record.New(record.NewID(), KindBatch, SchemaVersion, by, b)
	if err != nil {
		return false
	}
	o.flight, o.body, o.tries, o.due, o.since = &env, b, 0, now, now
	o.lazy = time.Time{}
	return true
}

// cut splits off up to n items.
func cut[T any](items []T, n int) (head, tail []T) {
	n = min(n, len(items))
	return items[:n:n], items[n:]
}

// answered says that the append in flight returned; what became of it is read from the stream. A
// refused one took no effect, and after an error it may have, so both are made again when due.
func (o *outbox) answered(id string) {
	if o.flight != nil && o.flight.ID == id {
		o.calls = false
	}
}

// seen drops the batch that stands in the stream.
func (o *outbox) seen(id string) {
	if o.flight == nil || o.flight.ID != id {
		return
	}
	for _, r := range o.body.Reports {
		k := reportKey{attemptKey{r.Task, r.Attempt}, chart.Event(r.Event)}
		delete(o.open, k)
		delete(o.ending, k.attemptKey)
	}
	o.flight, o.body, o.calls = nil, Batch{}, false
}

// stuck reports whether a batch has been on its way for so long that the log seems to be down.
func (o *outbox) stuck(now time.Time) bool { return o.flight != nil && now.Sub(o.since) > lastRetry }

// size counts decisions that do not stand in the stream yet.
func (o *outbox) size() int {
	return len(o.assigns) + len(o.reports) + len(o.forget) + len(o.body.Assigns) + len(o.body.Reports) + len(o.body.Forget)
}
