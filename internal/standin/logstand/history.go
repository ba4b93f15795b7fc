package logstand

import (
	"encoding/json"
	"sort"
	"time"

	"github.com/crocusspring/crocusspring/internal/logsvc"
)

// Event is one record that was appended to a stream.
type Event struct {
	Stream string `json:"stream"`
	// ID is the record's id; empty when the record can't be read.
	ID     string          `json:"id"`
	Offset logsvc.Offset   `json:"offset"`
	Time   time.Time       `json:"time"`
	Data   json.RawMessage `json:"data"`
}

// Observer is called with every appended record in the order of the log. It is called under a lock and must return quickly.
type Observer func(Event)

// Observe sets the observer; nil for none. Call it before the log is used.
func (s *Server) Observe(o Observer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.observer = o
}

// notify calls the observer. The caller holds the lock.
func (s *Server) notify(e Event) {
	if s.observer != nil {
		s.observer(e)
	}
}

// recordID returns the id in a record's envelope; empty when it can't be read.
func recordID(data json.RawMessage) string {
	var env struct {
		ID string `json:"id"`
	}
	if json.Unmarshal(data, &env) != nil {
		return ""
	}
	return env.ID
}

// Appends returns the times of all appends that took effect; one append may carry many records.
func (s *Server) Appends() []time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]time.Time(nil), s.appends...)
}

// Records returns how many records were appended.
func (s *Server) Records() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.records
}

// PeakAppends returns the most appends that took effect in any one second.
func (s *Server) PeakAppends() int {
	peak, low := 0, 0
	times := s.Appends()
	for i, t := range times {
		for t.Sub(times[low]) >= time.Second {
			low++
		}
		peak = max(peak, i-low+1)
	}
	return peak
}

// recentAppends counts the appends of the last second. The caller holds the lock.
func (s *Server) recentAppends(now time.Time) int {
	from := now.Add(-time.Second)
	return len(s.appends) - sort.Search(len(s.appends), func(i int) bool { return s.appends[i].After(from) })
}
