// Package logstand is a small stand-in of the platform's log service for tests and demonstrations.
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

// Faults say how the stand-in misbehaves.
type Faults struct {
	// Down refuses everything.
	Down bool `json:"down"`
	// LoseAnswers appends but closes the connection without an answer.
	LoseAnswers bool `json:"lose_answers"`
	// Delay is added before every answer.
	Delay time.Duration `json:"delay"`
}

// Server is the stand-in. Use New to make one.
type Server struct {
	mu      sync.Mutex
	streams map[string]*stream
	faults  Faults
	appends []time.Time
	keep    int
}

// stream holds the retained records of one stream.
type stream struct {
	first   logsvc.Offset
	records []json.RawMessage
	grown   chan struct{}
}

// New returns an empty log that keeps the newest keep records of a stream; 0 keeps all.
func New(keep int) *Server {
	return &Server{streams: map[string]*stream{}, keep: keep}
}

// SetFaults changes how the stand-in misbehaves.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Appends returns the times of all appends that took effect.
func (s *Server) Appends() []time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]time.Time(nil), s.appends...)
}

// Handler returns the HTTP interface.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/streams/{stream}/records", s.append)
	mux.HandleFunc("GET /v1/streams/{stream}/records", s.read)
	return mux
}

// stream returns a stream and makes it when it is new. The caller holds the lock.
func (s *Server) stream(name string) *stream {
	st := s.streams[name]
	if st == nil {
		st = &stream{first: 1, grown: make(chan struct{})}
		s.streams[name] = st
	}
	return st
}

// append serves POST.
func (s *Server) append(w http.ResponseWriter, r *http.Request) {
	var req logsvc.AppendRequest
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil || len(req.Records) == 0 {
		http.Error(w, "bad append", http.StatusBadRequest)
		return
	}
	f := s.now()
	time.Sleep(f.Delay)
	if f.Down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	first := s.add(r.PathValue("stream"), req.Records)
	if f.LoseAnswers {
		panic(http.ErrAbortHandler)
	}
	jsonhttp.Write(w, http.StatusOK, logsvc.AppendResponse{First: first})
}

// now returns the faults in force.
func (s *Server) now() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// add appends records and wakes readers.
func (s *Server) add(name string, records []json.RawMessage) logsvc.Offset {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stream(name)
	first := st.first + logsvc.Offset(len(st.records))
	st.records = append(st.records, records...)
	if over := len(st.records) - s.keep; s.keep > 0 && over > 0 {
		st.records = append([]json.RawMessage(nil), st.records[over:]...)
		st.first += logsvc.Offset(over)
	}
	s.appends = append(s.appends, time.Now())
	close(st.grown)
	st.grown = make(chan struct{})
	return first
}

// read serves GET.
func (s *Server) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, _ := strconv.ParseInt(q.Get("from"), 10, 64)
	limit, _ := strconv.Atoi(q.Get("limit"))
	waitMS, _ := strconv.ParseInt(q.Get("wait_ms"), 10, 64)
	deadline := time.NewTimer(min(time.Duration(waitMS)*time.Millisecond, maxWait))
	defer deadline.Stop()
	for {
		f := s.now()
		if f.Down {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		b, grown, expired := s.batch(r.PathValue("stream"), logsvc.Offset(from), max(1, limit))
		if expired {
			jsonhttp.Write(w, http.StatusGone, logsvc.ExpiredResponse{First: b.First})
			return
		}
		if len(b.Entries) > 0 {
			time.Sleep(f.Delay)
			jsonhttp.Write(w, http.StatusOK, b)
			return
		}
		select {
		case <-grown:
		case <-r.Context().Done():
			return
		case <-deadline.C:
			jsonhttp.Write(w, http.StatusOK, b)
			return
		}
	}
}

// batch returns the records from an offset on, and a channel that is closed when the stream grows.
func (s *Server) batch(name string, from logsvc.Offset, limit int) (logsvc.Batch, chan struct{}, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stream(name)
	tail := st.first + logsvc.Offset(len(st.records))
	b := logsvc.Batch{First: st.first, Next: max(from, 1), Tail: tail}
	if b.Next < st.first {
		return b, nil, true
	}
	for at := b.Next; at < tail && len(b.Entries) < limit; at++ {
		b.Entries = append(b.Entries, logsvc.Entry{Offset: at, Data: st.records[at-st.first]})
		b.Next = at + 1
	}
	return b, st.grown, false
}
