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
	// minRetry doubles up to maxRetry while a batch does not appear in the stream.
	minRetry = 100 * time.Millisecond
	maxRetry = 2 * time.Second
	// maxRunReportDelay is how long run reports may wait to be batched with other decisions.
	maxRunReportDelay = time.Second
)

// outbox collects decisions and appends them to the stream in batches, one batch at a time. The same record
// is appended again until it is seen there; readers fold a batch number once.
type outbox struct {
	assigns []Assign
	reports []Report
	forget  []string
	// open are the reports that are not folded yet, and ending the attempts whose end is among them.
	open   map[reportKey]bool
	ending map[attemptKey]bool

	// runReportsSince is since when only run reports are queued; zero when there are other decisions or
	// none.
	runReportsSince time.Time

	inFlight      *record.Envelope
	inFlightBatch Batch
	appending     bool
	appendCount   int
	retryAt       time.Time
	sentAt        time.Time
}

// reportKey identifies one report of an attempt.
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

// nextRecord returns the record to append now, or nil. Batches are numbered after the newest folded one.
func (o *outbox) nextRecord(now time.Time, by string, epoch logsvc.Offset, folded int64) *record.Envelope {
	if o.appending {
		return nil
	}
	if o.inFlight == nil && o.idle(now) {
		return nil
	}
	if o.inFlight == nil && !o.pack(now, by, epoch, folded+1) {
		return nil
	}
	if now.Before(o.retryAt) {
		return nil
	}
	o.retryAt = now.Add(min(maxRetry, minRetry<<min(o.appendCount, 8)))
	o.appendCount++
	o.appending = true
	return o.inFlight
}

// idle reports whether nothing is queued that must be sent now. Run reports may wait for the next other
// decision, since the worker also reports that the attempt runs.
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
		o.runReportsSince = time.Time{}
		return true
	}
	if o.runReportsSince.IsZero() {
		o.runReportsSince = now
	}
	return now.Sub(o.runReportsSince) < maxRunReportDelay
}

// pack makes the next batch of the queued decisions and reports whether there is one.
func (o *outbox) pack(now time.Time, by string, epoch logsvc.Offset, seq int64) bool {
	b := Batch{Epoch: epoch, Seq: seq}
	b.Assigns, o.assigns = splitAt(o.assigns, maxBatch)
	b.Reports, o.reports = splitAt(o.reports, maxBatch)
	b.Forget, o.forget = splitAt(o.forget, maxBatch)
	if len(b.Assigns)+len(b.Reports)+len(b.Forget) == 0 {
		return false
	}
	env, err := record.New(record.NewID(), KindBatch, SchemaVersion, by, b)
	if err != nil {
		return false
	}
	o.inFlight, o.inFlightBatch, o.appendCount, o.retryAt, o.sentAt = &env, b, 0, now, now
	o.runReportsSince = time.Time{}
	return true
}

// splitAt splits off up to n items.
func splitAt[T any](items []T, n int) (head, tail []T) {
	n = min(n, len(items))
	return items[:n:n], items[n:]
}

// appendReturned notes that the append in flight returned; its outcome is read from the stream. A refused
// append took no effect, and after an error it may have, so both are retried when due.
func (o *outbox) appendReturned(id string) {
	if o.inFlight != nil && o.inFlight.ID == id {
		o.appending = false
	}
}

// confirm drops the batch in flight once it is seen in the stream.
func (o *outbox) confirm(id string) {
	if o.inFlight == nil || o.inFlight.ID != id {
		return
	}
	for _, r := range o.inFlightBatch.Reports {
		k := reportKey{attemptKey{r.Task, r.Attempt}, chart.Event(r.Event)}
		delete(o.open, k)
		delete(o.ending, k.attemptKey)
	}
	o.inFlight, o.inFlightBatch, o.appending = nil, Batch{}, false
}

// stuck reports whether a batch has been in flight for so long that the log seems to be unavailable.
func (o *outbox) stuck(now time.Time) bool { return o.inFlight != nil && now.Sub(o.sentAt) > maxRetry }

// unconfirmed counts the decisions that have not been seen in the stream yet.
func (o *outbox) unconfirmed() int {
	return len(o.assigns) + len(o.reports) + len(o.forget) + len(o.inFlightBatch.Assigns) + len(o.inFlightBatch.Reports) + len(o.inFlightBatch.Forget)
}
