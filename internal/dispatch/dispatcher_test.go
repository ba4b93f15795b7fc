package dispatch

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	peerv1 "github.com/crocusspring/crocusspring/api/peer/v1"
	"github.com/crocusspring/crocusspring/internal/announce"
	"github.com/crocusspring/crocusspring/internal/logs"
	"github.com/crocusspring/crocusspring/internal/retry"
	"github.com/crocusspring/crocusspring/internal/standin/targetstand"
	"github.com/crocusspring/crocusspring/internal/targetapi"
)

// fixed is a membership that never changes.
type fixed []announce.Member

func (f fixed) News() uint64                         { return 1 }
func (f fixed) Live(announce.Role) []announce.Member { return f }

func (f fixed) CallBorrow(context.Context, string, *peerv1.BorrowRequest) (*peerv1.BorrowResponse, error) {
	return nil, net.ErrClosed
}

// serve runs a stand-in target on loopback and a dispatcher that knows just it.
func serve(t *testing.T) (*targetstand.Target, *Dispatcher) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	a := announce.Announcement{
		Role: announce.RoleTarget, Name: "target-1", Address: l.Addr().String(), Service: "holds", Slots: 4, Connections: 16,
	}
	tg := targetstand.New(a, func() time.Duration { return 0 }, nil)
	srv := &http.Server{Handler: tg.Handler()}
	go func() { _ = srv.Serve(tg.Listen(l)) }()
	caller := targetapi.NewHTTP(16)
	d := New(Settings{Self: "a", Homes: []string{"a"}, Incarnation: 1}, fixed{{Announcement: a, Expires: time.Now().Add(time.Hour)}}, caller, logs.Discard())
	d.credits.SetRested(time.Now())
	d.refresh()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { d.Run(ctx); close(done) }()
	t.Cleanup(func() {
		cancel()
		<-done
		_ = srv.Close()
	})
	return tg, d
}

// TestFaultsOfTarget checks the outcome of a request under each fault of its target.
func TestFaultsOfTarget(t *testing.T) {
	const budget = 1500 * time.Millisecond
	cases := []struct {
		name   string
		fault  func(*targetstand.Target)
		kind   retry.Kind
		expect targetapi.Outcome
	}{
		{"healthy", func(*targetstand.Target) {}, retry.Once, targetapi.Answered},
		{"silent connection, once", func(tg *targetstand.Target) { tg.Silence() }, retry.Once, targetapi.NotRun},
		{"silent connection, idempotent", func(tg *targetstand.Target) { tg.Silence() }, retry.Idempotent, targetapi.Answered},
		{"truncated answer", func(tg *targetstand.Target) { tg.SetFaults(targetstand.Faults{Truncate: true}) }, retry.Once, targetapi.Answered},
		{"lost answer", func(tg *targetstand.Target) { tg.SetFaults(targetstand.Faults{LoseAnswer: true}) }, retry.Once, targetapi.Answered},
		{"too slow", func(tg *targetstand.Target) { tg.SetFaults(targetstand.Faults{Slow: time.Minute}) }, retry.Once, targetapi.Unknown},
		{"crashed", func(tg *targetstand.Target) { tg.Crash() }, retry.Once, targetapi.Unknown},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			tg, d := serve(t)
			send := func(id string, kind retry.Kind) Reply {
				q := Request{ID: id, Service: "holds", Workspace: "w", Deadline: time.Now().Add(budget), Kind: kind}
				return d.Do(context.Background(), q, targetapi.Call{RequestID: id, Service: "holds", Body: []byte(id)})
			}
			if r := send("warm", retry.Once); r.Outcome != targetapi.Answered {
				t.Fatalf("healthy target: %+v", r)
			}
			c.fault(tg)
			r := send("probe", c.kind)
			if r.Outcome != c.expect {
				t.Errorf("outcome is %s (%s), not %s", r.Outcome, r.Reason, c.expect)
			}
			if r.Outcome == targetapi.Answered && string(r.Answer.Body) != "target-1 probe probe" {
				t.Errorf("answer is %q", r.Answer.Body)
			}
		})
	}
}
