package logs

import (
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// collector collects the text written to it.
type collector struct {
	mu   sync.Mutex
	text strings.Builder
}

// Write implements io.Writer.
func (c *collector) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.text.Write(p)
}

// TestRate checks that lines over the rate limit of one kind don't displace those of another, and that
// dropped lines are counted.
func TestRate(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	out := &collector{}
	b := newBounded(out, func() time.Time { return now })
	for i := range 2 * kindBurst {
		fmt.Fprintf(b, `{"msg":"place","n":%d}`+"\n", i)
	}
	fmt.Fprintln(b, `{"msg":"stop"}`)
	now = now.Add(reportInterval)
	fmt.Fprintln(b, `{"msg":"stop"}`)
	close(b.lines)
	b.drain()
	got := out.text.String()
	if n := strings.Count(got, `"msg":"place"`); n != kindBurst {
		t.Errorf("%d lines of one kind, want %d", n, kindBurst)
	}
	if n := strings.Count(got, `"msg":"stop"`); n != 2 {
		t.Errorf("%d lines of the other kind, want 2", n)
	}
	want := fmt.Sprintf(`"msg":"lines left out","kind":"place","count":%d}`, kindBurst)
	if !strings.Contains(got, want) {
		t.Errorf("no count of the dropped lines in %.200s", got)
	}
}

// TestBlockedReader checks that writers don't block when the reader doesn't read.
func TestBlockedReader(t *testing.T) {
	r, w := io.Pipe()
	defer r.Close()
	b := NewBounded(w)
	l := New(b, Options{Level: "info", JSON: true})
	for i := range 3 * bufferedLines {
		l.Info(fmt.Sprintf("kind %d", i%maxKinds), "n", i)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.dropped) == 0 {
		t.Error("no line was dropped although the reader doesn't read")
	}
}

// lateWriter records a line some time after Write was called.
type lateWriter struct {
	mu    sync.Mutex
	lines int
}

// Write implements io.Writer.
func (w *lateWriter) Write(line []byte) (int, error) {
	time.Sleep(50 * time.Millisecond)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lines++
	return len(line), nil
}

// TestFlushWaitsForLastLine guards against the loss of the last line of a process: it has left the buffer and is still
// being written when Flush is called.
func TestFlushWaitsForLastLine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &lateWriter{}
		b := NewBounded(out)
		if _, err := b.Write([]byte(`{"msg":"process stopped"}`)); err != nil {
			t.Fatal(err)
		}
		synctest.Wait()
		b.Flush(time.Second)
		out.mu.Lock()
		lines := out.lines
		out.mu.Unlock()
		if lines != 1 {
			t.Errorf("%d lines written after the flush, want 1", lines)
		}
		close(b.lines)
	})
}
