package logsvc

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"
)

// fakeLog is a log in memory whose answers can be slow, refused or lost.
type fakeLog struct {
	mu      sync.Mutex
	streams map[string][]json.RawMessage
	// times are when appends were sent, refused ones too.
	times []time.Time
	// next returns the behaviour for each append; nil for a healthy log.
	next func() behaviour
}

// behaviour is how the log handles one append.
type behaviour struct {
	delay  time.Duration
	refuse bool
	lose   bool
}

// Append implements Appender.
func (f *fakeLog) Append(ctx context.Context, stream string, records []json.RawMessage) (Offset, error) {
	var now behaviour
	f.mu.Lock()
	f.times = append(f.times, time.Now())
	if f.next != nil {
		now = f.next()
	}
	f.mu.Unlock()
	time.Sleep(now.delay)
	if now.refuse {
		return 0, ErrRefused
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	first := Offset(len(f.streams[stream]) + 1)
	f.streams[stream] = append(f.streams[stream], records...)
	if now.lose || ctx.Err() != nil {
		return 0, errors.New("answer lost")
	}
	return first, nil
}

// Read implements Reader.
func (f *fakeLog) Read(_ context.Context, stream string, from Offset, limit int, _ time.Duration) (Batch, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	all := f.streams[stream]
	b := Batch{First: 1, Next: from, Tail: Offset(len(all) + 1)}
	for b.Next < b.Tail && len(b.Entries) < limit {
		b.Entries = append(b.Entries, Entry{Offset: b.Next, Data: all[b.Next-1]})
		b.Next++
	}
	return b, nil
}

// offsetsOf returns the offsets of the records with an id.
func (f *fakeLog) offsetsOf(stream, id string) []Offset {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []Offset
	for i, r := range f.streams[stream] {
		if entryID(Entry{Data: r}) == id {
			out = append(out, Offset(i+1))
		}
	}
	return out
}

// peak returns the most appends in any one second.
func (f *fakeLog) peak() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	peak, low := 0, 0
	for i, t := range f.times {
		for t.Sub(f.times[low]) >= time.Second {
			low++
		}
		peak = max(peak, i-low+1)
	}
	return peak
}

// TestCommitterOutcomes checks for random callers, faults, budgets and deadlines that an accepted call is
// in the log once, together and at its offset, a refused one never, and that the budget holds in every second.
func TestCommitterOutcomes(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		faults := rapid.SliceOfN(rapid.IntRange(0, 9), 40, 40).Draw(rt, "faults")
		perSecond := rapid.IntRange(2, 50).Draw(rt, "perSecond")
		calls := rapid.IntRange(1, 60).Draw(rt, "calls")
		gaps := rapid.SliceOfN(rapid.IntRange(0, 30), calls, calls).Draw(rt, "gaps")
		budgets := rapid.SliceOfN(rapid.IntRange(1, 4000), calls, calls).Draw(rt, "budgets")
		synctest.Test(t, func(*testing.T) {
			f := &fakeLog{streams: map[string][]json.RawMessage{}}
			f.next = func() behaviour {
				if len(faults) == 0 {
					return behaviour{delay: time.Millisecond}
				}
				n := faults[0]
				faults = faults[1:]
				return behaviour{delay: time.Duration(n*n*n) * 4 * time.Millisecond, refuse: n == 2, lose: n == 1}
			}
			opt := DefaultCommitOptions()
			opt.PerSecond, opt.MaxRecords, opt.MaxPending = float64(perSecond), 8, 40
			c := NewCommitter(f, opt)
			outcomes := make([]error, calls)
			offsets := make([]Offset, calls)
			var wg sync.WaitGroup
			for i := range calls {
				time.Sleep(time.Duration(gaps[i]) * time.Millisecond)
				wg.Go(func() {
					ctx, cancel := context.WithTimeout(context.Background(), time.Duration(budgets[i])*time.Millisecond)
					defer cancel()
					offsets[i], outcomes[i] = c.Append(WithClass(ctx, Class(i%int(classes))), streamOf(i), pair(i))
				})
			}
			wg.Wait()
			time.Sleep(time.Minute)
			checkOutcomes(rt, f, outcomes, offsets)
			if p := f.peak(); p > perSecond+max(1, perSecond/5)+1 {
				rt.Errorf("%d appends in one second under a budget of %d", p, perSecond)
			}
			if c.Pending() != 0 || len(c.queues) != 0 {
				rt.Errorf("%d records and %d queues are left", c.Pending(), len(c.queues))
			}
		})
	})
}

// streamOf spreads calls over two streams.
func streamOf(i int) string { return fmt.Sprintf("s%d", i%2) }

// pair returns the two records of a call.
func pair(i int) []json.RawMessage {
	return []json.RawMessage{
		json.RawMessage(fmt.Sprintf(`{"id":"%d-a"}`, i)),
		json.RawMessage(fmt.Sprintf(`{"id":"%d-b"}`, i)),
	}
}

// checkOutcomes compares the results of the callers with the content of the log.
func checkOutcomes(rt *rapid.T, f *fakeLog, outcomes []error, offsets []Offset) {
	for i, err := range outcomes {
		a, b := f.offsetsOf(streamOf(i), fmt.Sprintf("%d-a", i)), f.offsetsOf(streamOf(i), fmt.Sprintf("%d-b", i))
		if len(a) > 1 || len(a) != len(b) || len(a) == 1 && b[0] != a[0]+1 {
			rt.Fatalf("call %d stands at %v and %v", i, a, b)
		}
		if err == nil && (len(a) != 1 || a[0] != offsets[i]) {
			rt.Fatalf("call %d was told offset %d and stands at %v", i, offsets[i], a)
		}
		if errors.Is(err, ErrRefused) && len(a) != 0 {
			rt.Fatalf("call %d was refused (%v) and stands at %v", i, err, a)
		}
	}
}

// TestGroupCommit checks that calls made together share one append, and that a lease doesn't wait
// behind a queue of audit records when the budget is short.
func TestGroupCommit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeLog{streams: map[string][]json.RawMessage{}}
		c := NewCommitter(f, DefaultCommitOptions())
		var wg sync.WaitGroup
		for i := range 200 {
			wg.Go(func() {
				if _, err := c.Append(t.Context(), "claims", pair(i)); err != nil {
					t.Error(err)
				}
			})
		}
		wg.Wait()
		if n := f.peak(); n != 1 {
			t.Errorf("200 calls made %d appends, want 1", n)
		}
		c.SetRate(1)
		for i := range 5 {
			go c.Append(WithClass(t.Context(), ClassAudit), fmt.Sprintf("audit-%d", i), pair(i))
		}
		time.Sleep(100 * time.Millisecond)
		if _, err := c.Append(WithClass(t.Context(), ClassLease), "cell", pair(0)); err != nil {
			t.Error(err)
		}
		audits := 0
		for i := range 5 {
			audits += len(f.offsetsOf(fmt.Sprintf("audit-%d", i), fmt.Sprintf("%d-a", i)))
		}
		if audits > 1 {
			t.Errorf("%d audit records went before the lease, want at most 1", audits)
		}
		time.Sleep(time.Minute)
	})
}

// TestSlowLog checks that a caller whose deadline can't be met is refused before its append takes effect.
func TestSlowLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeLog{streams: map[string][]json.RawMessage{}, next: func() behaviour { return behaviour{delay: time.Second} }}
		c := NewCommitter(f, DefaultCommitOptions())
		for i := range 3 {
			if _, err := c.Append(t.Context(), "s0", pair(i)); err != nil {
				t.Fatal(err)
			}
		}
		ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
		defer cancel()
		var down *DownError
		if _, err := c.Append(ctx, "s0", pair(9)); !errors.As(err, &down) || !errors.Is(err, ErrRefused) {
			t.Errorf("got %v, want a refusal because the log is slow", err)
		}
		if at := f.offsetsOf("s0", "9-a"); at != nil {
			t.Errorf("a refused record stands at %v", at)
		}
	})
}

// TestSharesAddUp checks for random deployments that the shares of all processes never exceed the total
// by more than the least share of each.
func TestSharesAddUp(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		entries := rapid.IntRange(1, 8).Draw(rt, "entries")
		guards := rapid.IntRange(0, 50).Draw(rt, "guards")
		owners := rapid.SliceOfN(rapid.IntRange(0, entries+guards-1), 0, 60).Draw(rt, "owners")
		sum := 0.0
		for p := range entries + guards {
			w := Writers{Entries: entries, Cells: len(owners), Entry: p < entries}
			for _, o := range owners {
				if o == p {
					w.Owned++
				}
			}
			sum += w.Share(DefaultAppends)
		}
		if most := DefaultAppends + minShare*float64(entries+guards); sum > most+1e-6 {
			rt.Errorf("shares add up to %f, more than %f", sum, most)
		}
	})
}
