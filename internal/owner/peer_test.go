package owner

import (
	"encoding/json"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/crocusspring/crocusspring/internal/job"
	"github.com/crocusspring/crocusspring/internal/link"
	"github.com/crocusspring/crocusspring/internal/store/memstore"
)

// TestManyStartsAreSplit guards against a link that fails again and again: the starts of one round, each with the payload of its
// job, were one message, which could exceed what a guard takes.
func TestManyStartsAreSplit(t *testing.T) {
	const starts = 2000
	const linkLimit = 4 << 20
	p := &peer{wake: make(chan struct{}, 1)}
	for i := range starts {
		p.outbox.Start = append(p.outbox.Start, link.Start{
			Traits: link.Traits{RunRef: link.RunRef{Task: job.TaskID{Job: "job", Index: i}, Run: 1}}, Payload: strings.Repeat("x", job.MaxPayload),
		})
	}
	p.outbox.Stop, p.outbox.AckedEnd = []link.RunRef{{Run: 1}}, 7
	next := 0
	for messages := 0; next < starts; messages++ {
		d := p.nextCommands()
		if data, err := json.Marshal(d); err != nil || len(data) > linkLimit/4 {
			t.Fatalf("message of %d bytes, %v", len(data), err)
		}
		if (messages == 0) != (len(d.Stop) == 1 && d.AckedEnd == 7) {
			t.Errorf("message %d has stops %v and acknowledges up to %d", messages, d.Stop, d.AckedEnd)
		}
		for _, s := range d.Start {
			if s.Task.Index != next {
				t.Fatalf("start of task %d, want %d", s.Task.Index, next)
			}
			next++
		}
		select {
		case <-p.wake:
		default:
			if next < starts {
				t.Fatalf("no wake-up for %d starts that are left", starts-next)
			}
		}
	}
}

// TestNoExtensionAfterStall guards against a run that goes on beside its successor: an owner that was frozen, or whose machine
// was suspended, extended its lease by what its links still held, although another process had taken the cell meanwhile.
func TestNoExtensionAfterStall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := ownedCell(t, memstore.New())
		check := func(d time.Duration, want bool) {
			t.Helper()
			time.Sleep(d)
			c.mu.Lock()
			defer c.mu.Unlock()
			if got := c.mayExtend(time.Now()); got != want {
				t.Errorf("may extend: %v, want %v", got, want)
			}
		}
		check(0, true)
		check(maxStall, true)
		check(maxStall+time.Millisecond, false)
		check(c.opt.GuardSilence-time.Millisecond, false)
		check(time.Millisecond, true)
	})
}
