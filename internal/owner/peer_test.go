package owner

import (
	"encoding/json"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/crocusspring/crocusspring/internal/job"
	"github.com/crocusspring/crocusspring/internal/link"
	"github.com/crocusspring/crocusspring/internal/store"
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

// TestExtensionCountsConfirmations checks which guards an owner counts after its lease has ended: those that confirm messages of
// the last GuardSilence. A report that a link held up proves nothing: its guard may follow another owner by now.
func TestExtensionCountsConfirmations(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		mem := memstore.New()
		var records []store.Record
		for _, node := range []string{"a", "b", "c"} {
			records = append(records, store.Record{Key: "w/worker-" + node, Value: []byte(node)})
		}
		if _, err := mem.Append(t.Context(), store.TopicRuns, store.AnyOffset, records); err != nil {
			t.Fatal(err)
		}
		c := ownedCell(t, mem)
		first := c.clockMS()
		check := func(what string, want bool) {
			t.Helper()
			c.mu.Lock()
			defer c.mu.Unlock()
			if got := c.mayExtend(time.Now()); got != want {
				t.Errorf("%s: may extend: %v, want %v", what, got, want)
			}
		}
		confirm := func(heardMS int64, nodes ...string) {
			for _, node := range nodes {
				up := link.GuardMessage{Node: node, ClockMS: 1, Follows: link.Following{Epoch: c.epoch, SinceMS: first, HeardMS: heardMS}}
				if err := c.report(&peer{}, c.epoch, up); err != nil {
					t.Error(err)
				}
			}
		}
		// Without a look each second the process would count as one that has stood still.
		pass := func(seconds int) {
			for range seconds {
				time.Sleep(time.Second)
				c.mu.Lock()
				c.mayExtend(time.Now())
				c.mu.Unlock()
			}
		}
		check("with a lease", true)
		mem.SetFaults(func(string, string) memstore.Fault { return memstore.Fault{Refuse: true} })
		pass(2)
		check("without a lease or a guard", false)
		sent := c.clockMS()
		confirm(sent, "a")
		check("with one guard of three", false)
		confirm(sent, "b")
		check("with two guards of three", true)
		time.Sleep(c.opt.GuardSilence)
		confirm(sent, "a", "b", "c")
		check("with reports that were held up", false)
		confirm(c.clockMS(), "b", "c")
		check("with two others", true)
		pass(2)
		confirm(c.clockMS(), "b", "c")
		check("with two others, when it takes all", false)
		confirm(c.clockMS(), "a")
		check("with all", true)
	})
}
