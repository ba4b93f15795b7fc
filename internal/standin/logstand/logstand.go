// Package logstand is a small stand-in for the platform's log service for tests and demonstrations.
//
// It keeps records for a limited time and count, can be down or slow, can lose the answer to an append
// that took effect, can corrupt records, and refuses appends over a rate. It reports every appended
// record to an observer, so that a history can be checked independently of the product.
package logstand

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/crocusspring/crocusspring/internal/logsvc"
)

// Options limit the retention and the append rate of the stand-in; zero means no limit.
type Options struct {
	// KeepRecords is how many records of a stream are kept.
	KeepRecords int
	// KeepFor is how long a record is kept.
	KeepFor time.Duration
	// MaxAppends is how many appends are accepted in any one second; more are refused with 429.
	MaxAppends int
}

// Server is the stand-in. Use New or NewWith to make one.
type Server struct {
	*Endpoint
	opt Options

	mu       sync.Mutex
	streams  map[string]*stream
	appends  []time.Time
	records  int
	corrupt  int
	observer Observer
}

// stream holds the retained records of one stream.
type stream struct {
	first   logsvc.Offset
	records []retained
	grown   chan struct{}
}

// retained is one retained record.
type retained struct {
	data json.RawMessage
	at   time.Time
}

// New returns an empty log that keeps the newest keep records of a stream; 0 keeps all.
func New(keep int) *Server { return NewWith(Options{KeepRecords: keep}) }

// NewWith returns an empty log.
func NewWith(opt Options) *Server {
	s := &Server{opt: opt, streams: map[string]*stream{}}
	s.Endpoint = s.NewEndpoint()
	return s
}

// stream returns a stream and creates it when it is new. The caller holds the lock.
func (s *Server) stream(name string) *stream {
	st := s.streams[name]
	if st == nil {
		st = &stream{first: 1, grown: make(chan struct{})}
		s.streams[name] = st
	}
	return st
}

// tail returns the offset of the next record.
func (st *stream) tail() logsvc.Offset { return st.first + logsvc.Offset(len(st.records)) }

// drop removes the oldest n records.
func (st *stream) drop(n int) {
	if n <= 0 {
		return
	}
	n = min(n, len(st.records))
	st.records = append([]retained(nil), st.records[n:]...)
	st.first += logsvc.Offset(n)
}

// applyRetention drops the records that are past retention. The caller holds the lock.
func (s *Server) applyRetention(st *stream, now time.Time) {
	if s.opt.KeepRecords > 0 {
		st.drop(len(st.records) - s.opt.KeepRecords)
	}
	if s.opt.KeepFor <= 0 {
		return
	}
	expired := 0
	for expired < len(st.records) && now.Sub(st.records[expired].at) > s.opt.KeepFor {
		expired++
	}
	st.drop(expired)
}

// Expire drops the records of a stream before an offset, as if they were past retention.
func (s *Server) Expire(name string, before logsvc.Offset) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stream(name)
	st.drop(int(before - st.first))
}

// ExpireAll drops all records of every stream and returns how many were dropped.
func (s *Server) ExpireAll() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, st := range s.streams {
		n += len(st.records)
		st.drop(len(st.records))
	}
	return n
}

// Tails returns the offset of the next record of every stream.
func (s *Server) Tails() map[string]logsvc.Offset {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[string]logsvc.Offset{}
	for name, st := range s.streams {
		out[name] = st.tail()
	}
	return out
}

// CorruptNext corrupts the next n records that are appended.
func (s *Server) CorruptNext(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.corrupt = n
}

// Put appends records to a stream without a client, as an operator's own tool would.
func (s *Server) Put(name string, records ...json.RawMessage) logsvc.Offset {
	first, _ := s.add(name, records)
	return first
}

// add appends records and wakes readers; it reports false when the rate is exceeded.
func (s *Server) add(name string, records []json.RawMessage) (logsvc.Offset, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if s.opt.MaxAppends > 0 && s.recentAppends(now) >= s.opt.MaxAppends {
		return 0, false
	}
	st := s.stream(name)
	first := st.tail()
	for i, data := range records {
		if s.corrupt > 0 {
			s.corrupt--
			data = json.RawMessage(`"garbled"`)
		}
		st.records = append(st.records, retained{data, now})
		s.notify(Event{Stream: name, ID: recordID(data), Offset: first + logsvc.Offset(i), Time: now, Data: data})
	}
	s.appends = append(s.appends, now)
	s.records += len(records)
	s.applyRetention(st, now)
	close(st.grown)
	st.grown = make(chan struct{})
	return first, true
}

// batch returns the records from an offset on, a channel that is closed when the stream grows, and
// whether the offset has expired.
func (s *Server) batch(name string, from logsvc.Offset, limit int) (logsvc.Batch, chan struct{}, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stream(name)
	s.applyRetention(st, time.Now())
	b := logsvc.Batch{First: st.first, Next: max(from, 1), Tail: st.tail()}
	if b.Next < st.first {
		return b, nil, true
	}
	for at := b.Next; at < b.Tail && len(b.Entries) < limit; at++ {
		b.Entries = append(b.Entries, logsvc.Entry{Offset: at, Data: st.records[at-st.first].data})
		b.Next = at + 1
	}
	return b, st.grown, false
}
