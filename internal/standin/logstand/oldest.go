package logstand

import (
	"time"

	"github.com/crocusspring/crocusspring/internal/logsvc"
)

// Oldest returns the largest first offset that any stream still keeps; 1 while nothing has expired.
func (s *Server) Oldest() logsvc.Offset {
	s.mu.Lock()
	defer s.mu.Unlock()
	oldest := logsvc.Offset(1)
	for _, st := range s.streams {
		s.applyRetention(st, time.Now())
		oldest = max(oldest, st.first)
	}
	return oldest
}
