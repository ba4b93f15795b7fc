// Package targetstand is a small stand-in for a target for tests and demonstrations.
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

// Observer is notified of requests that actually run.
type Observer interface {
	Began(target, request, attempt string, at time.Time)
	Ended(target, request, attempt string, at time.Time)
}

// maxBody bounds the bytes of one request.
const maxBody = 8 << 20

// Target is the stand-in. Use New to make one.
type Target struct {
	mu          sync.Mutex
	announce    announce.Announcement
	startedAt   time.Time
	startID     string
	serviceTime func() time.Duration
	active      int
	peak        int
	observer    Observer
	faults      Faults
	conns       connSet
	crashed     bool
	// down is closed when the target crashes and replaced when it restarts.
	down         chan struct{}
	attempts     map[string]attemptState
	attemptOrder []string
}

// New returns a target as its announcement describes it; serviceTime returns the time one request takes.
// The observer may be nil.
func New(a announce.Announcement, serviceTime func() time.Duration, observer Observer) *Target {
	now := time.Now()
	return &Target{
		announce: a, serviceTime: serviceTime, startedAt: now, startID: strconv.FormatInt(now.UnixNano(), 36), observer: observer, down: make(chan struct{}), attempts: map[string]attemptState{},
	}
}

// Handler returns the HTTP interface.
func (t *Target) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/run", t.run)
	mux.HandleFunc("POST /v1/attempts/{request}/{attempt}/fence", t.fence)
	mux.HandleFunc("GET /v1/ping", func(w http.ResponseWriter, _ *http.Request) {
		t.setClock(w)
		w.WriteHeader(http.StatusNoContent)
	})
	return mux
}

// setClock adds a reading of the target's clock to an answer.
func (t *Target) setClock(w http.ResponseWriter) {
	w.Header().Set(targetapi.HeaderClock, targetapi.FormatClock(t.startID, time.Since(t.startedAt)))
}

// remaining returns the time an attempt has: its budget, counted from now, or the time until its deadline
// by the target's clock, whichever is shorter. It is 0 without a valid budget and for a deadline of
// another start.
func (t *Target) remaining(r *http.Request) time.Duration {
	ms, err := strconv.ParseInt(r.Header.Get(targetapi.HeaderBudgetMS), 10, 64)
	if err != nil {
		return 0
	}
	left := time.Duration(ms) * time.Millisecond
	start, deadline, ok := targetapi.ParseClock(r.Header.Get(targetapi.HeaderDeadline))
	switch {
	case !ok:
		return left
	case start != t.startID:
		return 0
	default:
		return min(left, deadline-time.Since(t.startedAt))
	}
}

// Peak returns the largest number of requests that ran concurrently.
func (t *Target) Peak() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.peak
}

// run serves one request: it works for a while and answers with the body it received. The work always
// ends at the deadline.
func (t *Target) run(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBody))
	if err != nil {
		return
	}
	id, attempt := r.Header.Get(targetapi.HeaderRequestID), r.Header.Get(targetapi.HeaderAttempt)
	t.setClock(w)
	budget := t.remaining(r)
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
	completed, crashed := t.sleep(t.serviceTime()+f.Delay, budget, down)
	if crashed {
		panic(http.ErrAbortHandler)
	}
	t.observe(id, attempt, false)
	answer := &targetapi.Answer{Status: http.StatusOK, ContentType: "text/plain", Body: fmt.Appendf(nil, "%s %s %s", t.announce.Name, id, body)}
	t.end(down, id, attempt, answer, completed)
	if !completed {
		w.Header().Set(targetapi.HeaderOutcome, string(targetapi.Unknown))
		w.Header().Set(targetapi.HeaderReason, "deadline passed")
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	}
	if f.respond(w, answer.Body) {
		return
	}
	w.Header().Set("Content-Type", answer.ContentType)
	w.Header().Set("Content-Length", itoa(len(answer.Body)))
	_, _ = w.Write(answer.Body)
}

// sleep works for the given time, at most for the budget, and reports whether the work was completed and
// whether the target crashed meanwhile.
func (t *Target) sleep(work, budget time.Duration, down <-chan struct{}) (completed, crashed bool) {
	timer := time.NewTimer(min(work, budget))
	defer timer.Stop()
	select {
	case <-timer.C:
		return work <= budget, false
	case <-down:
		return false, true
	}
}

// observe notifies the observer of a begin or an end.
func (t *Target) observe(id, attempt string, began bool) {
	switch {
	case t.observer == nil:
	case began:
		t.observer.Began(t.announce.Name, id, attempt, time.Now())
	default:
		t.observer.Ended(t.announce.Name, id, attempt, time.Now())
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
	t.store(key, attemptState{state: targetapi.AttemptRunning})
	t.active++
	t.peak = max(t.peak, t.active)
	return t.down, ""
}

// end releases the slot and stores the answer if it is complete, unless the target crashed since the attempt began.
func (t *Target) end(began <-chan struct{}, request, attempt string, answer *targetapi.Answer, completed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.crashed || (<-chan struct{})(t.down) != began {
		return
	}
	t.active--
	s := attemptState{state: targetapi.AttemptEnded}
	if completed {
		s.answer = answer
	}
	t.store(attemptKey(request, attempt), s)
}

// refuse answers that the request did not run.
func (t *Target) refuse(w http.ResponseWriter, request, attempt, reason string) {
	if o, ok := t.observer.(FaultObserver); ok {
		o.Refused(t.announce.Name, request, attempt, reason, time.Now())
	}
	w.Header().Set(targetapi.HeaderOutcome, string(targetapi.NotRun))
	w.Header().Set(targetapi.HeaderReason, reason)
	w.WriteHeader(http.StatusServiceUnavailable)
}

// itoa formats a length for a header.
func itoa(n int) string { return strconv.Itoa(n) }
