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

// Faults say how a gate misbehaves.
type Faults struct {
	// Down refuses everything before it takes effect.
	Down bool `json:"down"`
	// LoseAnswers appends but closes the connection without an answer.
	LoseAnswers bool `json:"lose_answers"`
	// Delay is added before every append and every answer with records, in nanoseconds.
	Delay time.Duration `json:"delay"`
}

// Gate is one way to the log with faults of its own, so that the log can be down for one process and
// up for another. The server itself is a gate too.
type Gate struct {
	server *Server

	mu     sync.Mutex
	faults Faults
	struck map[string]int
}

// Names of what a gate counts when a fault took place.
const (
	StruckDown   = "log_refused"
	StruckLost   = "log_answer_lost"
	StruckSlow   = "log_slowed"
	StruckGone   = "log_expired_read"
	StruckTooFar = "log_over_rate"
)

// NewGate returns one more way to the log.
func (s *Server) NewGate() *Gate { return &Gate{server: s, struck: map[string]int{}} }

// SetFaults changes how the gate misbehaves.
func (g *Gate) SetFaults(f Faults) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.faults = f
}

// Struck returns how often each fault took place.
func (g *Gate) Struck() map[string]int {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := map[string]int{}
	for k, n := range g.struck {
		out[k] = n
	}
	return out
}

// strike counts one fault that took place.
func (g *Gate) strike(name string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.struck[name]++
}

// Handler returns the HTTP interface. POST /faults sets the faults of the gate from outside.
func (g *Gate) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/streams/{stream}/records", g.append)
	mux.HandleFunc("GET /v1/streams/{stream}/records", g.read)
	mux.HandleFunc("POST /faults", func(w http.ResponseWriter, r *http.Request) {
		var f Faults
		if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
			http.Error(w, "bad faults", http.StatusBadRequest)
			return
		}
		g.SetFaults(f)
	})
	return mux
}

// append serves POST.
func (g *Gate) append(w http.ResponseWriter, r *http.Request) {
	var req logsvc.AppendRequest
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil || len(req.Records) == 0 {
		http.Error(w, "bad append", http.StatusBadRequest)
		return
	}
	if g.slow(); g.down(w) {
		return
	}
	first, ok := g.server.add(r.PathValue("stream"), req.Records)
	if !ok {
		g.strike(StruckTooFar)
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	if g.now().LoseAnswers {
		g.strike(StruckLost)
		panic(http.ErrAbortHandler)
	}
	jsonhttp.Write(w, http.StatusOK, logsvc.AppendResponse{First: first})
}

// now returns the faults in force.
func (g *Gate) now() Faults {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.faults
}

// slow waits when the gate is slow.
func (g *Gate) slow() {
	if d := g.now().Delay; d > 0 {
		g.strike(StruckSlow)
		time.Sleep(d)
	}
}

// down refuses when the gate is down.
func (g *Gate) down(w http.ResponseWriter) bool {
	if !g.now().Down {
		return false
	}
	g.strike(StruckDown)
	w.WriteHeader(http.StatusServiceUnavailable)
	return true
}

// read serves GET.
func (g *Gate) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, _ := strconv.ParseInt(q.Get("from"), 10, 64)
	limit, _ := strconv.Atoi(q.Get("limit"))
	waitMS, _ := strconv.ParseInt(q.Get("wait_ms"), 10, 64)
	deadline := time.NewTimer(min(time.Duration(waitMS)*time.Millisecond, maxWait))
	defer deadline.Stop()
	for late := false; !g.down(w); {
		b, grown, expired := g.server.batch(r.PathValue("stream"), logsvc.Offset(from), max(1, limit))
		if expired {
			g.strike(StruckGone)
			jsonhttp.Write(w, http.StatusGone, logsvc.ExpiredResponse{First: b.First})
			return
		}
		if late || len(b.Entries) > 0 {
			g.slow()
			jsonhttp.Write(w, http.StatusOK, b)
			return
		}
		select {
		case <-grown:
		case <-r.Context().Done():
			return
		case <-deadline.C:
			late = true
		}
	}
}
