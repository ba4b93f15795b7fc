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

// flakyLog refuses or loses the answers of its first appends.
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

// TestTrail checks that lines outlive refusals and lost answers of the log, that each is found once,
// newest first, by filter and workspace, and that what is over the buffer is counted.
func TestTrail(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const lines = maxWaiting + 10
		f := &flakyLog{}
		w := NewWriter(f, "p", logs.Discard())
		for i := range lines {
			w.Note(Record{ID: fmt.Sprint(i), Who: fmt.Sprint("op", i%2), Workspace: fmt.Sprint("ws", i%2), Name: "service/x", Verdict: Done})
		}
		ctx, cancel := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		wg.Go(func() { w.Run(ctx) })
		time.Sleep(time.Minute)
		cancel()
		wg.Wait()
		if d := w.Dropped(); d != lines-maxWaiting {
			t.Errorf("%d lines dropped, want %d", d, lines-maxWaiting)
		}
		for _, c := range []struct {
			f    Filter
			want int
		}{
			{Filter{}, maxWaiting},
			{Filter{Who: "op1"}, maxWaiting / 2},
			{Filter{Name: "service/y"}, 0},
			{Filter{Name: "service/"}, maxWaiting},
			{Filter{Workspaces: []string{"ws0"}}, maxWaiting / 2},
			{Filter{Workspaces: []string{}}, 0},
			{Filter{Since: time.Now()}, 0},
		} {
			got, err := Search(t.Context(), f, c.f, 2*lines)
			if err != nil || len(got) != c.want {
				t.Errorf("%+v: %d lines, want %d: %v", c.f, len(got), c.want, err)
			}
		}
		got, err := Search(t.Context(), f, Filter{}, 2)
		if err != nil || len(got) != 2 || got[0].ID != fmt.Sprint(maxWaiting-1) || got[1].ID != fmt.Sprint(maxWaiting-2) {
			t.Errorf("newest lines are %+v: %v", got, err)
		}
	})
}
