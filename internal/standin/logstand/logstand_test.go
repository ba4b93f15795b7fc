package logstand

import (
	"context"
	"encoding/json"
	"errors"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/crocusspring/crocusspring/internal/logsvc"
)

// rec returns a record with an id.
func rec(id string) json.RawMessage { return json.RawMessage(`{"id":"` + id + `"}`) }

// client serves an endpoint and returns a client of it.
func client(t *testing.T, e *Endpoint) *logsvc.HTTP {
	srv := httptest.NewServer(e.Handler())
	t.Cleanup(srv.Close)
	return logsvc.NewHTTP(strings.TrimPrefix(srv.URL, "http://"))
}

// TestFaults checks each fault by what a client and the observer see of it.
func TestFaults(t *testing.T) {
	ctx := context.Background()
	s := New(3)
	events := make(chan Event, 8)
	s.Observe(func(e Event) { events <- e })
	faulty := s.NewEndpoint()
	c, cb := client(t, s.Endpoint), client(t, faulty)

	faulty.SetFaults(Faults{Down: true})
	if _, err := cb.Append(ctx, "a", []json.RawMessage{rec("x")}); !errors.Is(err, logsvc.ErrRefused) {
		t.Errorf("down: got %v", err)
	}
	faulty.SetFaults(Faults{LoseAnswers: true})
	if _, err := cb.Append(ctx, "a", []json.RawMessage{rec("lost")}); err == nil || errors.Is(err, logsvc.ErrRefused) {
		t.Errorf("lost answer: got %v", err)
	}
	if e := <-events; e.ID != "lost" || e.Offset != 1 {
		t.Errorf("observer saw %+v first, want the record whose answer was lost", e)
	}
	s.CorruptNext(1)
	first, err := c.Append(ctx, "a", []json.RawMessage{rec("b"), rec("c"), rec("d")})
	if err != nil || first != 2 {
		t.Fatalf("append through a healthy endpoint: %d, %v", first, err)
	}
	var gone *logsvc.ExpiredError
	if _, err := c.Read(ctx, "a", 1, 10, 0); !errors.As(err, &gone) || gone.First != 2 {
		t.Errorf("expired read: got %v", err)
	}
	b, err := c.Read(ctx, "a", 2, 10, 0)
	if err != nil || len(b.Entries) != 3 || b.Tail != 5 || json.Valid(b.Entries[0].Data) && b.Entries[0].Data[0] == '{' {
		t.Errorf("read: %+v, %v; want a corrupt record first", b, err)
	}
	if n := faulty.FaultCounts(); n[CountRefused] != 1 || n[CountAnswerLost] != 1 {
		t.Errorf("fault counts %v", n)
	}
}

// TestRetentionAndRate checks expiry by time, the refusal over the rate and the peak of appends.
func TestRetentionAndRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := NewWith(Options{KeepFor: time.Minute, MaxAppends: 2})
		for range 2 {
			s.Put("a", rec("x"))
		}
		if _, ok := s.add("a", []json.RawMessage{rec("y")}); ok {
			t.Error("a third append within a second was taken")
		}
		time.Sleep(time.Second)
		s.Put("a", rec("y"))
		if p := s.PeakAppends(); p != 2 {
			t.Errorf("peak %d, want 2", p)
		}
		time.Sleep(time.Minute)
		if b, _, gone := s.batch("a", 1, 10); !gone || b.First != 3 {
			t.Errorf("first kept is %d (expired %v), want 3", b.First, gone)
		}
	})
}
