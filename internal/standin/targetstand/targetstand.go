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
	began    time.Time
	start    string
	work     func() time.Duration
	active   int
	peak     int
	seen     Observer
	faults   Faults
	conns    connSet
	crashed  bool
	// down is closed when the target crashes and renewed when it restarts.
	down     chan struct{}
	attempts map[string]attemptState
	order    []string
}

// New returns a target as its announcement describes it; work gives the time of each request.
// The observer may be nil.
func New(a announce.Announcement, work func() time.Duration, seen Observer) *Target {
	now := time.Now()
	return &Target{
		announce: a, work: work, began: now, start: strconv.FormatInt(now.UnixNano(), 36), seen: seen, down: make(chan struct{}), attempts: map[string]attemptState{},
	}
}

// Handler returns the HTTP interface.
func (t *Target) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/run", t.run)
	mux.HandleFunc("POST /v1/attempts/{request}/{attempt}/fence", t.fence)
	mux.HandleFunc("GET /v1/ping", func(w http.ResponseWriter, _ *http.Request) {
		t.tell(w)
		w.WriteHeader(http.StatusNoContent)
	})
	return mux
}

// tell gives the reading of the target's clock.
func (t *Target) tell(w http.ResponseWriter) {
	w.Header().Set(targetapi.HeaderClock, targetapi.FormatClock(t.start, time.Since(t.began)))
}

// left returns the time an attempt has: what its budget says, counted from now, and its deadline by
// the target's clock, whichever ends first.
func (t *Target) left(r *http.Request) time.Duration {
	ms, err := strconv.ParseInt(r.Header.Get(targetapi.HeaderBudgetMS), 10, 64)
	if err != nil {
		return 0
	}
	left := time.Duration(ms) * time.Millisecond
	start, deadline, ok := targetapi.ParseClock(r.Header.Get(targetapi.HeaderDeadline))
	switch {
	case !ok:
		return left
	case start != t.start:
		return 0
	default:
		return min(left, deadline-time.Since(t.began))
	}
}

// Peak returns the largest number of requests that ran at once.
func (t *Target) Peak() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.peak
}

// run serves one request: it works for a while and answers with the body it got. The work ends at
// the deadline whatever happens.
func (t *Target) run(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBody))
	if err != nil {
		return
	}
	id, attempt := r.Header.Get(targetapi.HeaderRequestID), r.Header.Get(targetapi.HeaderAttempt)
	t.tell(w)
	budget := t.left(r)
	if budget <= 0 {
		t.refuse(w, id, attempt, "no budget left")
		return
	}
	down, reason := t.begin(id, attempt)
	if reason != "" {
		t.refuse(w, id, attempt, reason)
		return
	}
	f := t.Faults()
	t.observe(id, attempt, true)
	whole, crashed := t.sleep(t.work()+f.Slow, budget, down)
	if crashed {
		panic(http.ErrAbortHandler)
	}
	t.observe(id, attempt, false)
	answer := &targetapi.Answer{Status: http.StatusOK, ContentType: "text/plain", Body: fmt.Appendf(nil, "%s %s %s", t.announce.Name, id, body)}
	t.end(down, id, attempt, answer, whole)
	if !whole {
		w.Header().Set(targetapi.HeaderOutcome, string(targetapi.Unknown))
		w.Header().Set(targetapi.HeaderReason, "deadline passed")
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	}
	if f.spoil(w, answer.Body) {
		return
	}
	w.Header().Set("Content-Type", answer.ContentType)
	w.Header().Set("Content-Length", itoa(len(answer.Body)))
	_, _ = w.Write(answer.Body)
}

// sleep works for the given time and reports whether the deadline left room for the whole work, and
// whether the target crashed meanwhile.
func (t *Target) sleep(work, budget time.Duration, down <-chan struct{}) (whole, crashed bool) {
	timer := time.NewTimer(min(work, budget))
	defer timer.Stop()
	select {
	case <-timer.C:
		return work <= budget, false
	case <-down:
		return false, true
	}
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

// begin takes a slot for an attempt. It returns a channel that is closed when the target crashes, or
// the reason of a refusal.
func (t *Target) begin(request, attempt string) (<-chan struct{}, string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	key := attemptKey(request, attempt)
	if _, ok := t.attempts[key]; ok {
		return nil, "attempt was fenced or seen before"
	}
	if t.crashed {
		return nil, "target is down"
	}
	if t.active >= t.announce.Slots {
		return nil, "no free slot"
	}
	t.remember(key, attemptState{state: targetapi.AttemptRunning})
	t.active++
	t.peak = max(t.peak, t.active)
	return t.down, ""
}

// end gives the slot back and keeps the answer, unless the target crashed since the attempt began.
func (t *Target) end(began <-chan struct{}, request, attempt string, answer *targetapi.Answer, whole bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.crashed || (<-chan struct{})(t.down) != began {
		return
	}
	t.active--
	s := attemptState{state: targetapi.AttemptEnded}
	if whole {
		s.answer = answer
	}
	t.remember(attemptKey(request, attempt), s)
}

// refuse answers that the request did not run.
func (t *Target) refuse(w http.ResponseWriter, request, attempt, reason string) {
	if o, ok := t.seen.(Watcher); ok {
		o.Refused(t.announce.Name, request, attempt, reason, time.Now())
	}
	w.Header().Set(targetapi.HeaderOutcome, string(targetapi.NotRun))
	w.Header().Set(targetapi.HeaderReason, reason)
	w.WriteHeader(http.StatusServiceUnavailable)
}

// itoa formats a length for a header.
func itoa(n int) string { return strconv.Itoa(n) }
