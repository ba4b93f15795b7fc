package targetapi

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// TestFirstAttemptHasDeadline checks that the target can enforce the deadline of the very first attempt, however late
// it arrives, and that a target without a clock is served too.
func TestFirstAttemptHasDeadline(t *testing.T) {
	for name, hasClock := range map[string]bool{"with a clock": true, "without a clock": false} {
		t.Run(name, func(t *testing.T) {
			var deadline atomic.Pointer[string]
			mux := http.NewServeMux()
			mux.HandleFunc("GET /v1/ping", func(w http.ResponseWriter, _ *http.Request) {
				if hasClock {
					w.Header().Set(HeaderClock, FormatClock("start-1", 5*time.Second))
				}
			})
			mux.HandleFunc("POST /v1/run", func(w http.ResponseWriter, r *http.Request) {
				text := r.Header.Get(HeaderDeadline)
				deadline.Store(&text)
				w.Header().Set("Content-Length", "0")
			})
			srv := httptest.NewServer(mux)
			defer srv.Close()
			h := NewHTTP(4)
			_, err := h.Call(t.Context(), strings.TrimPrefix(srv.URL, "http://"), Call{RequestID: "r", Attempt: 1, Budget: time.Minute})
			if err != nil {
				t.Fatal(err)
			}
			got := *deadline.Load()
			if start, since, ok := ParseClock(got); hasClock && (!ok || start != "start-1" || since <= 5*time.Second) {
				t.Errorf("deadline is %q", got)
			}
			if !hasClock && got != "" {
				t.Errorf("deadline is %q without a clock", got)
			}
		})
	}
}
