package owner

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/crocusspring/crocusspring/internal/event"
	"github.com/crocusspring/crocusspring/internal/logs"
	"github.com/crocusspring/crocusspring/internal/sched"
	"github.com/crocusspring/crocusspring/internal/trace"
)

// buffer is a bytes.Buffer for concurrent use.
type buffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (b *buffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.Write(p)
}

func (b *buffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.String()
}

// TestEveryDecisionIsLogged answers for the pattern "a burst of wide jobs": 40 rounds in a second in which 25 tasks of
// several jobs are placed and as many end, after a takeover that decides about 1,500 at once. Every decision must be
// found again, although lines of one kind are limited to a few hundred a second.
func TestEveryDecisionIsLogged(t *testing.T) {
	out := &buffer{}
	bounded := logs.NewBounded(out)
	c := &Cell{scope: tally.NoopScope, log: logs.New(bounded, logs.Options{Level: "info", JSON: true}), epoch: 7}
	want := map[string]bool{}
	var round []sched.DecisionRecord
	decide := func(kind event.Message, n int) {
		subject := fmt.Sprintf("%016x.0.0.%d", n%50, n)
		round = append(round, sched.DecisionRecord{Decision: kind, Subject: subject, Reason: fmt.Sprintf("run=%d worker=w reason=%q", n, "a | b: c")})
		want[string(kind)+" "+subject] = true
	}
	n := 0
	for i := range 41 {
		tasks := 25
		if i == 0 {
			tasks = 1500
		}
		round = nil
		for range tasks {
			n++
			decide(event.End, n)
			decide(event.Place, n)
		}
		c.logGroups(groupDecisions(round))
	}
	bounded.Flush(10 * time.Second)
	lines, skipped, err := trace.Read(strings.NewReader(out.String()), "owner")
	if err != nil || skipped > 0 {
		t.Fatalf("read %d lines, skipped %d: %v", len(lines), skipped, err)
	}
	for _, l := range lines {
		if l.Message == event.LinesDropped {
			t.Fatalf("lines were dropped: %v", l.Fields)
		}
		subject, _ := l.Fields["subject"].(string)
		key := string(l.Message) + " " + subject
		if !want[key] {
			t.Errorf("unexpected or repeated: %s", key)
		}
		delete(want, key)
		if inputs, _ := l.Fields["inputs"].(string); !strings.Contains(inputs, "run=") {
			t.Errorf("%s has inputs %q", key, inputs)
		}
	}
	if len(want) > 0 {
		t.Errorf("%d decisions are not in the log", len(want))
	}
}

// BenchmarkLogDecisions measures the lines of a round that places and ends 25 tasks each, grouped and one by one.
func BenchmarkLogDecisions(b *testing.B) {
	c := &Cell{scope: tally.NoopScope, log: logs.New(logs.NewBounded(&buffer{}), logs.Options{Level: "info", JSON: true})}
	var round []sched.DecisionRecord
	for i := range 50 {
		kind := []event.Message{event.Place, event.End}[i%2]
		round = append(round, sched.DecisionRecord{Decision: kind, Subject: fmt.Sprintf("%016x.0.0.%d", i, i), Reason: "run=1 worker=i-bbf93d8ce0 free=20950 spare=22170 pace=100 slack=1.2s"})
	}
	b.Run("grouped", func(b *testing.B) {
		for b.Loop() {
			c.logGroups(groupDecisions(round))
		}
	})
	b.Run("each", func(b *testing.B) {
		for b.Loop() {
			for _, r := range round {
				c.logGroups(groupDecisions([]sched.DecisionRecord{r}))
			}
		}
	})
}
