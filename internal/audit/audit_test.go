package audit

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/crocusspring/crocusspring/internal/logs"
	"github.com/crocusspring/crocusspring/internal/logsvc"
)

// flakyLog refuses its first three appends and loses the answers of the next three.
type flakyLog struct {
	mu   sync.Mutex
	data []json.RawMessage
	n    int
}

// Append implements logsvc.Appender.
func (f *flakyLog) Append(_ context.Context, _ string, records []json.RawMessage) (logsvc.Offset, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.n++
	if f.n <= 3 {
		return 0, logsvc.ErrRefused
	}
	f.data = append(f.data, records...)
	if f.n <= 6 {
		return 0, errors.New("answer lost")
	}
	return logsvc.Offset(len(f.data) - len(records) + 1), nil
}

// Read implements logsvc.Reader.
func (f *flakyLog) Read(_ context.Context, _ string, from logsvc.Offset, limit int, _ time.Duration) (logsvc.Batch, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	b := logsvc.Batch{First: 1, Next: from, Tail: logsvc.Offset(len(f.data) + 1)}
	for b.Next < b.Tail && len(b.Entries) < limit {
		b.Entries = append(b.Entries, logsvc.Entry{Offset: b.Next, Data: f.data[b.Next-1]})
		b.Next++
	}
	return b, nil
}

// TestTrail checks that records survive refusals and lost answers of the log, that a search finds each
// once, newest first, by filter and workspace, and that records beyond the limit of the queue are counted
// as dropped.
func TestTrail(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const records = maxPending + 10
		f := &flakyLog{}
		w := NewWriter(f, "p", logs.Discard())
		for i := range records {
			w.Add(Record{ID: fmt.Sprint(i), Who: fmt.Sprint("op", i%2), Workspace: fmt.Sprint("ws", i%2), Name: "service/x", Verdict: Done})
		}
		ctx, cancel := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		wg.Go(func() { w.Run(ctx) })
		time.Sleep(time.Minute)
		cancel()
		wg.Wait()
		if d := w.Dropped(); d != records-maxPending {
			t.Errorf("%d records dropped, want %d", d, records-maxPending)
		}
		for _, c := range []struct {
			f    Filter
			want int
		}{
			{Filter{}, maxPending},
			{Filter{Who: "op1"}, maxPending / 2},
			{Filter{Name: "service/y"}, 0},
			{Filter{Name: "service/"}, maxPending},
			{Filter{Workspaces: []string{"ws0"}}, maxPending / 2},
			{Filter{Workspaces: []string{}}, 0},
			{Filter{Since: time.Now()}, 0},
		} {
			got, err := Search(t.Context(), f, c.f, 2*records)
			if err != nil || len(got) != c.want {
				t.Errorf("%+v: %d records, want %d: %v", c.f, len(got), c.want, err)
			}
		}
		got, err := Search(t.Context(), f, Filter{}, 2)
		if err != nil || len(got) != 2 || got[0].ID != fmt.Sprint(maxPending-1) || got[1].ID != fmt.Sprint(maxPending-2) {
			t.Errorf("newest records are %+v: %v", got, err)
		}
	})
}
