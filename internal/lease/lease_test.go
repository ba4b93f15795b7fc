package lease

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/crocusspring/crocusspring/internal/logsvc"
	"pgregory.net/rapid"
)

// newCore returns a candidate without lease extension.
func newCore(self string, length time.Duration) *Core {
	return New(Options{Self: self, Length: length, TaskLease: 2 * length})
}

// promiseMessage is a promise in transit: the request to a voter, or its answer when granted is set.
type promiseMessage struct {
	from, to    int
	request     PromiseRequest
	requestedAt time.Time
	granted     bool
}

// TestOneOwner checks that two candidates never own the cell at once, however their appends and promises
// are delayed, lost or duplicated. The exception is a candidate that is not a voter of the older owner: it
// may own the cell beside that owner's extended lease, but must know until when.
func TestOneOwner(t *testing.T) {
	extended := 0
	rapid.Check(t, func(t *rapid.T) {
		const length = 2 * time.Second
		now := time.Unix(0, 0)
		names := []string{"a", "b", "c", "d"}
		var cores []*Core
		for i, n := range names {
			c := New(Options{Self: n, Length: length, TaskLease: 2 * length, MaxExtension: 10 * time.Second})
			if i < 3 {
				c.SetVoters(slices.DeleteFunc(slices.Clone(names[:3]), func(o string) bool { return o == n }))
			}
			cores = append(cores, c)
		}
		read := make([]int, len(cores))
		var log, delayed []Body
		var messages []promiseMessage
		down := rapid.Bool().Draw(t, "log goes down")
		steps := rapid.IntRange(10, 200).Draw(t, "steps")
		for step := range steps {
			now = now.Add(time.Duration(rapid.IntRange(0, 700).Draw(t, "ms")) * time.Millisecond)
			i := rapid.IntRange(0, len(cores)-1).Draw(t, "core")
			j := rapid.IntRange(0, len(cores)-1).Draw(t, "other")
			switch rapid.IntRange(0, 5).Draw(t, "what") {
			case 0, 1:
				for read[i] < len(log) {
					cores[i].Fold(now, logsvc.Offset(read[i]+1), log[read[i]])
					read[i]++
				}
			case 2, 3:
				if b, ok := cores[i].Tick(now); ok {
					delayed = append(delayed, b)
				}
			default:
				if r, ok := cores[i].PromiseRequest(); ok && i != j {
					messages = append(messages, promiseMessage{from: i, to: j, request: r, requestedAt: now})
				}
			}
			if up := !down || step < steps/3; up && len(delayed) > 0 && rapid.Bool().Draw(t, "land") {
				k := rapid.IntRange(0, len(delayed)-1).Draw(t, "which")
				log = append(log, delayed[k])
				if !rapid.Bool().Draw(t, "again") {
					delayed = append(delayed[:k], delayed[k+1:]...)
				}
			}
			if len(messages) > 0 && rapid.IntRange(0, 3).Draw(t, "word") > 0 {
				k := rapid.IntRange(0, len(messages)-1).Draw(t, "which word")
				if w := &messages[k]; w.granted {
					cores[w.from].RecordPromise(names[w.to], w.request, w.requestedAt)
					messages = append(messages[:k], messages[k+1:]...)
				} else if w.granted = cores[w.to].Promise(now, w.request); !w.granted {
					messages = append(messages[:k], messages[k+1:]...)
				}
			}
			if err := overlap(cores, now); err != "" {
				t.Fatal(err)
			}
			for _, c := range cores {
				if _, ok := c.Owner(now); ok && !now.Before(c.validUntil) {
					extended++
				}
			}
		}
	})
	if extended == 0 {
		t.Error("no lease was ever extended")
	}
}

// overlap returns an error text if two candidates own the cell now, unless the older one is past its lease
// without extension and the newer one, which is not one of its voters, knows that the older may still act.
func overlap(cores []*Core, now time.Time) string {
	for _, a := range cores {
		for _, b := range cores {
			old, ok := a.Owner(now)
			epoch, also := b.Owner(now)
			if !ok || !also || old >= epoch {
				continue
			}
			allowed := !now.Before(a.validUntil) && now.Before(b.PriorHolderUntil()) && !slices.Contains(a.voters, b.opt.Self)
			if !allowed {
				return fmt.Sprintf("epochs %d and %d are both owned at %v", old, epoch, now)
			}
		}
	}
	return ""
}

// TestTakeover checks that an owner that stops renewing is replaced once its lease was waited out.
func TestTakeover(t *testing.T) {
	now := time.Unix(0, 0)
	a, b := newCore("a", time.Second), newCore("b", time.Second)
	first, ok := a.Tick(now)
	if !ok || first.Op != OpTake {
		t.Fatalf("first record is %+v, %v", first, ok)
	}
	a.Fold(now, 1, first)
	b.Fold(now, 1, first)
	if _, ok := a.Owner(now); !ok {
		t.Fatal("taker does not own the cell")
	}
	if r, ok := b.Tick(now.Add(time.Second)); ok {
		t.Fatalf("second candidate appends %+v before the lease expired", r)
	}
	later := now.Add(time.Second + Margin + 1)
	take, ok := b.Tick(later)
	if !ok || take.Replaces != 1 {
		t.Fatalf("second candidate appends %+v, %v after the lease", take, ok)
	}
	if _, ok := a.Owner(later); ok {
		t.Fatal("first owner still owns after its lease")
	}
	b.Fold(later, 2, take)
	if epoch, ok := b.Owner(later); !ok || epoch != 2 {
		t.Fatalf("second candidate owns epoch %d, %v", epoch, ok)
	}
}

// TestRefusedRenewals checks that an owner whose renewals are refused for a part of its lease keeps the
// cell, and that it stops acting when its lease expires if they stay refused.
func TestRefusedRenewals(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const length = 3 * time.Second
		now := time.Unix(0, 0)
		a := newCore("a", length)
		take, _ := a.Tick(now)
		a.Fold(now, 1, take)
		began, last := now, logsvc.Offset(1)
		refuse := time.Duration(rapid.IntRange(0, 4000).Draw(t, "outage ms")) * time.Millisecond
		for now = now.Add(50 * time.Millisecond); now.Sub(began) < 5*time.Second; now = now.Add(50 * time.Millisecond) {
			b, ok := a.Tick(now)
			if ok && now.Sub(began) >= refuse {
				last++
				a.Fold(now, last, b)
			}
			_, owns := a.Owner(now)
			if refuse <= 2*time.Second && !owns {
				t.Fatalf("owner lost the cell %v after an outage of %v began", now.Sub(began), refuse)
			}
			if owns && last == 1 && now.Sub(began) >= length {
				t.Fatalf("owner still acts %v after its only append", now.Sub(began))
			}
		}
	})
}
