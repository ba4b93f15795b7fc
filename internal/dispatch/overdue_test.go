package dispatch

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/crocusspring/crocusspring/internal/announce"
	"github.com/crocusspring/crocusspring/internal/logs"
	"github.com/crocusspring/crocusspring/internal/retry"
	"github.com/crocusspring/crocusspring/internal/targetapi"
)

// lateTarget is a busy target with one slot: it ends an attempt some time after its deadline.
type lateTarget struct {
	late time.Duration

	mu    sync.Mutex
	ends  map[string]time.Time
	calls []string
	// overfull counts the attempts that arrived while another one ran.
	overfull int
}

// Call implements targetapi.Caller. The call ends at its deadline, which the target enforces.
func (l *lateTarget) Call(ctx context.Context, _ string, c targetapi.Call) (targetapi.Answer, error) {
	l.mu.Lock()
	for _, end := range l.ends {
		if time.Now().Before(end) {
			l.overfull++
		}
	}
	l.calls = append(l.calls, c.RequestID)
	l.ends[c.RequestID] = time.Now().Add(c.Budget + l.late)
	l.mu.Unlock()
	<-ctx.Done()
	return targetapi.Answer{}, &targetapi.UnknownError{Err: ctx.Err(), Ended: true, ByDeadline: true}
}

// Probe implements targetapi.Caller.
func (l *lateTarget) Probe(_ context.Context, _, request string, _ int) (targetapi.Probe, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if time.Now().Before(l.ends[request]) {
		return targetapi.Probe{State: targetapi.AttemptRunning}, nil
	}
	return targetapi.Probe{State: targetapi.AttemptEnded}, nil
}

// TestSlotOfOverdueAttempt guards against a request too many at a target. A busy target ends an attempt some
// milliseconds after its deadline; its slot must not be used again before.
func TestSlotOfOverdueAttempt(t *testing.T) {
	for _, late := range []time.Duration{5 * time.Millisecond, 300 * time.Millisecond} {
		t.Run(late.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				target := &lateTarget{late: late, ends: map[string]time.Time{}}
				a := announce.Announcement{Role: announce.RoleTarget, Name: "target-1", Address: "t", Service: "holds", Slots: 1, Connections: 4}
				live := staticMembers{{Announcement: a, Expires: time.Now().Add(time.Hour)}}
				d := New(Settings{Self: "a", Granters: []string{"a"}, Incarnation: 1}, live, target, logs.Discard())
				d.credits.EndQuarantine(time.Now())
				d.refresh()
				ctx, cancel := context.WithCancel(t.Context())
				var wg sync.WaitGroup
				wg.Go(func() { d.Run(ctx) })
				for _, id := range []string{"first", "second"} {
					wg.Go(func() {
						q := Request{ID: id, Service: "holds", Workspace: "w", Deadline: time.Now().Add(time.Second), Kind: retry.Once}
						if id == "second" {
							q.Deadline = q.Deadline.Add(time.Second)
						}
						d.Do(context.Background(), q, targetapi.Call{RequestID: id, Service: "holds"})
					})
					time.Sleep(time.Millisecond)
				}
				time.Sleep(5 * time.Second)
				cancel()
				wg.Wait()
				if target.overfull > 0 || len(target.calls) != 2 {
					t.Errorf("%d attempts arrived while the slot was in use; calls %v", target.overfull, target.calls)
				}
			})
		})
	}
}
