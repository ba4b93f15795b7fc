package logstand

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/crocusspring/crocusspring/internal/jsonhttp"
	"github.com/crocusspring/crocusspring/internal/logsvc"
)

// maxWait bounds how long a read waits for new records.
const maxWait = 10 * time.Second

// Faults configure how an endpoint misbehaves.
type Faults struct {
	// Down refuses every call before it takes effect.
	Down bool `json:"down"`
	// LoseAnswers carries out appends but closes the connection without an answer.
	LoseAnswers bool `json:"lose_answers"`
	// Delay is added before every append and every batch of a read, in nanoseconds.
	Delay time.Duration `json:"delay"`
}

// Endpoint is one access point to the log with faults of its own, so that the log can be down for one
// process and up for another. The server itself is an endpoint too.
type Endpoint struct {
	server *Server

	mu     sync.Mutex
	faults Faults
	counts map[string]int
}

// Names of the counters of an endpoint for faults that took place.
const (
	CountRefused     = "log_refused"
	CountAnswerLost  = "log_answer_lost"
	CountSlowed      = "log_slowed"
	CountExpiredRead = "log_expired_read"
	CountOverRate    = "log_over_rate"
)

// NewEndpoint returns one more access point to the log.
func (s *Server) NewEndpoint() *Endpoint { return &Endpoint{server: s, counts: map[string]int{}} }

// SetFaults changes how the endpoint misbehaves.
func (e *Endpoint) SetFaults(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
}

// FaultCounts returns how often each fault took place.
func (e *Endpoint) FaultCounts() map[string]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := map[string]int{}
	for k, n := range e.counts {
		out[k] = n
	}
	return out
}

// countFault counts one fault that took place.
func (e *Endpoint) countFault(name string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.counts[name]++
}

// Handler returns the HTTP interface. POST /faults sets the faults of the endpoint from outside.
func (e *Endpoint) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/streams/{stream}/records", e.append)
	mux.HandleFunc("GET /v1/streams/{stream}/records", e.read)
	mux.HandleFunc("POST /faults", func(w http.ResponseWriter, r *http.Request) {
		var f Faults
		if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
			http.Error(w, "bad faults", http.StatusBadRequest)
			return
		}
		e.SetFaults(f)
	})
	return mux
}

// append serves POST /v1/streams/{stream}/records.
func (e *Endpoint) append(w http.ResponseWriter, r *http.Request) {
	var req logsvc.AppendRequest
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil || len(req.Records) == 0 {
		http.Error(w, "bad append", http.StatusBadRequest)
		return
	}
	if e.delay(); e.refuse(w) {
		return
	}
	first, ok := e.server.add(r.PathValue("stream"), req.Records)
	if !ok {
		e.countFault(CountOverRate)
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	if e.currentFaults().LoseAnswers {
		e.countFault(CountAnswerLost)
		panic(http.ErrAbortHandler)
	}
	jsonhttp.Write(w, http.StatusOK, logsvc.AppendResponse{First: first})
}

// currentFaults returns the faults in effect.
func (e *Endpoint) currentFaults() Faults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

// delay waits for the delay in effect, if any.
func (e *Endpoint) delay() {
	if d := e.currentFaults().Delay; d > 0 {
		e.countFault(CountSlowed)
		time.Sleep(d)
	}
}

// refuse refuses the call when the endpoint is down and reports whether it did.
func (e *Endpoint) refuse(w http.ResponseWriter) bool {
	if !e.currentFaults().Down {
		return false
	}
	e.countFault(CountRefused)
	w.WriteHeader(http.StatusServiceUnavailable)
	return true
}

// read serves GET /v1/streams/{stream}/records.
func (e *Endpoint) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, _ := strconv.ParseInt(q.Get("from"), 10, 64)
	limit, _ := strconv.Atoi(q.Get("limit"))
	waitMS, _ := strconv.ParseInt(q.Get("wait_ms"), 10, 64)
	deadline := time.NewTimer(min(time.Duration(waitMS)*time.Millisecond, maxWait))
	defer deadline.Stop()
	for timedOut := false; !e.refuse(w); {
		b, grown, expired := e.server.batch(r.PathValue("stream"), logsvc.Offset(from), max(1, limit))
		if expired {
			e.countFault(CountExpiredRead)
			jsonhttp.Write(w, http.StatusGone, logsvc.ExpiredResponse{First: b.First})
			return
		}
		if timedOut || len(b.Entries) > 0 {
			e.delay()
			jsonhttp.Write(w, http.StatusOK, b)
			return
		}
		select {
		case <-grown:
		case <-r.Context().Done():
			return
		case <-deadline.C:
			timedOut = true
		}
	}
}
