// Package targetstand is a small stand-in of a target for tests and demonstrations.
package targetstand

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/crocusspring/crocusspring/internal/announce"
	"github.com/crocusspring/crocusspring/internal/targetapi"
)

// Observer sees what really runs.
type Observer interface {
	Began(target, request, attempt string, at time.Time)
	Ended(target, request, attempt string, at time.Time)
}

// maxBody bounds the bytes of one request.
const maxBody = 8 << 20

// Target is the stand-in. Use New to make one.
type Target struct {
	mu       sync.Mutex
	announce announce.Announcement
	work     func() time.Duration
	active   int
	peak     int
	seen     Observer
}

// New returns a target as its announcement describes it; work gives the time of each request.
// The observer may be nil.
func New(a announce.Announcement, work func() time.Duration, seen Observer) *Target {
	return &Target{announce: a, work: work, seen: seen}
}

// Handler returns the HTTP interface.
func (t *Target) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/run", t.run)
	return mux
}

// Peak returns the largest number of requests that ran at once.
func (t *Target) Peak() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.peak
}

// run serves one request: it works for a while and answers with the body it got.
func (t *Target) run(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBody))
	if err != nil {
		return
	}
	id, attempt := r.Header.Get(targetapi.HeaderRequestID), r.Header.Get(targetapi.HeaderAttempt)
	budget, err := strconv.ParseInt(r.Header.Get(targetapi.HeaderBudgetMS), 10, 64)
	if err != nil || budget <= 0 {
		refuse(w, "no budget left")
		return
	}
	if !t.begin() {
		refuse(w, "no free slot")
		return
	}
	defer t.end()
	t.observe(id, attempt, true)
	timer := time.NewTimer(min(t.work(), time.Duration(budget)*time.Millisecond))
	defer timer.Stop()
	<-timer.C
	t.observe(id, attempt, false)
	w.Header().Set("Content-Type", "text/plain")
	fmt.Fprintf(w, "%s %s %s", t.announce.Name, id, body)
}

// observe tells the observer of a begin or an end.
func (t *Target) observe(id, attempt string, began bool) {
	switch {
	case t.seen == nil:
	case began:
		t.seen.Began(t.announce.Name, id, attempt, time.Now())
	default:
		t.seen.Ended(t.announce.Name, id, attempt, time.Now())
	}
}

// begin takes a slot.
func (t *Target) begin() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.active >= t.announce.Slots {
		return false
	}
	t.active++
	t.peak = max(t.peak, t.active)
	return true
}

// end gives the slot back.
func (t *Target) end() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.active--
}

// refuse answers that the request did not run.
func refuse(w http.ResponseWriter, reason string) {
	w.Header().Set(targetapi.HeaderOutcome, string(targetapi.NotRun))
	w.Header().Set(targetapi.HeaderReason, reason)
	w.WriteHeader(http.StatusServiceUnavailable)
}
