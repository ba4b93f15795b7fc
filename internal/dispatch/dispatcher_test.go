package dispatch

import (
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	peerv1 "github.com/crocusspring/crocusspring/api/peer/v1"
	"github.com/crocusspring/crocusspring/internal/announce"
	"github.com/crocusspring/crocusspring/internal/logs"
	"github.com/crocusspring/crocusspring/internal/retry"
	"github.com/crocusspring/crocusspring/internal/standin/targetstand"
	"github.com/crocusspring/crocusspring/internal/targetapi"
)

// staticMembers is a membership that never changes.
type staticMembers []announce.Member

func (f staticMembers) Version() uint64                      { return 1 }
func (f staticMembers) Live(announce.Role) []announce.Member { return f }

func (f staticMembers) CallBorrow(context.Context, string, *peerv1.BorrowRequest) (*peerv1.BorrowResponse, error) {
	return nil, net.ErrClosed
}

// serve runs a stand-in target on loopback and a dispatcher with that target alone.
func serve(t *testing.T) (*targetstand.Target, *Dispatcher, *runCounter) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	counter := &runCounter{began: map[string]int{}}
	a := announce.Announcement{
		Role: announce.RoleTarget, Name: "target-1", Address: l.Addr().String(), Service: "holds", Slots: 4, Connections: 16,
	}
	tg := targetstand.New(a, func() time.Duration { return 0 }, counter)
	srv := &http.Server{Handler: tg.Handler()}
	go func() { _ = srv.Serve(tg.Listen(l)) }()
	caller := targetapi.NewHTTP(16)
	d := New(Settings{Self: "a", Granters: []string{"a"}, Incarnation: 1}, staticMembers{{Announcement: a, Expires: time.Now().Add(time.Hour)}}, caller, logs.Discard())
	d.credits.EndQuarantine(time.Now())
	d.refresh()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { d.Run(ctx); close(done) }()
	t.Cleanup(func() {
		cancel()
		<-done
		_ = srv.Close()
	})
	return tg, d, counter
}

// runCounter counts the runs that a target has begun, by request id.
type runCounter struct {
	mu    sync.Mutex
	began map[string]int
}

func (s *runCounter) Began(_, request, _ string, _ time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.began[request]++
}

func (s *runCounter) Ended(string, string, string, time.Time) {}

// runs returns how many times a request was begun.
func (s *runCounter) runs(request string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.began[request]
}

// TestFaultsOfTarget checks the outcome of a request under each fault of its target. Attempts are probed
// early only in the case of a silent connection, so that the results do not depend on the machine's speed.
func TestFaultsOfTarget(t *testing.T) {
	const long = time.Minute
	faults := func(f targetstand.Faults) func(*targetstand.Target) {
		return func(tg *targetstand.Target) { tg.SetFaults(f) }
	}
	silence := func(tg *targetstand.Target) { tg.Blackhole() }
	cases := []struct {
		name          string
		fault         func(*targetstand.Target)
		kind          retry.Kind
		budget        time.Duration
		minProbeDelay time.Duration
		expect        []targetapi.Outcome
	}{
		{"healthy", func(*targetstand.Target) {}, retry.Once, long, long, []targetapi.Outcome{targetapi.Answered}},
		{"silent connection, once", silence, retry.Once, long, time.Millisecond, []targetapi.Outcome{targetapi.NotRun}},
		{"truncated answer", faults(targetstand.Faults{Truncate: true}), retry.Once, long, long, []targetapi.Outcome{targetapi.Answered}},
		{"lost answer", faults(targetstand.Faults{LoseAnswer: true}), retry.Once, long, long, []targetapi.Outcome{targetapi.Answered}},
		{"too slow", faults(targetstand.Faults{Delay: time.Hour}), retry.Once, long, long, []targetapi.Outcome{targetapi.Unknown}},
		// A byte may or may not have been sent before the crash was noticed, so both outcomes are correct.
		{"crashed", func(tg *targetstand.Target) { tg.Crash() }, retry.Once, 200 * time.Millisecond, long, []targetapi.Outcome{targetapi.Unknown, targetapi.NotRun}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			tg, d, counter := serve(t)
			send := func(id string, kind retry.Kind, budget time.Duration) Reply {
				q := Request{ID: id, Service: "holds", Workspace: "w", Deadline: time.Now().Add(budget), Kind: kind}
				return d.Do(context.Background(), q, targetapi.Call{RequestID: id, Service: "holds", Body: []byte(id)})
			}
			d.minProbeDelay = long
			if r := send("warm", retry.Once, long); r.Outcome != targetapi.Answered {
				t.Fatalf("healthy target: %+v", r)
			}
			c.fault(tg)
			d.minProbeDelay = c.minProbeDelay
			r := send("probe", c.kind, c.budget)
			if !slices.Contains(c.expect, r.Outcome) {
				t.Errorf("outcome is %s (%s), not one of %v", r.Outcome, r.Reason, c.expect)
			}
			if n := counter.runs("probe"); n > 1 || r.Outcome == targetapi.NotRun && n > 0 || r.Outcome == targetapi.Answered && n != 1 {
				t.Errorf("outcome is %s after %d runs", r.Outcome, n)
			}
			if r.Outcome == targetapi.Answered && string(r.Answer.Body) != "target-1 probe probe" {
				t.Errorf("answer is %q", r.Answer.Body)
			}
		})
	}
}

// TestRetryAfterSilentConnection checks that an idempotent request sent over a connection that gives no
// answer is retried on a new one, and runs once.
func TestRetryAfterSilentConnection(t *testing.T) {
	tg, d, counter := serve(t)
	d.minProbeDelay = time.Minute
	send := func(id string) Reply {
		q := Request{ID: id, Service: "holds", Workspace: "w", Deadline: time.Now().Add(time.Minute), Kind: retry.Idempotent}
		return d.Do(context.Background(), q, targetapi.Call{RequestID: id, Service: "holds", Body: []byte(id)})
	}
	if r := send("warm"); r.Outcome != targetapi.Answered {
		t.Fatalf("healthy target: %+v", r)
	}
	tg.Blackhole()
	d.minProbeDelay = 500 * time.Millisecond
	r := send("again")
	if n := counter.runs("again"); r.Outcome != targetapi.Answered || n != 1 {
		t.Errorf("%+v after %d runs", r, n)
	}
}
