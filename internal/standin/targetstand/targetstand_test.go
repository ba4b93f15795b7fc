package targetstand

import (
	"context"
	"errors"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/crocusspring/crocusspring/internal/announce"
	"github.com/crocusspring/crocusspring/internal/targetapi"
)

// serve runs a target on loopback and returns its address.
func serve(t *testing.T, tg *Target) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	srv := &http.Server{Handler: tg.Handler()}
	go func() { _ = srv.Serve(tg.Listen(l)) }()
	t.Cleanup(func() { _ = srv.Close() })
	return l.Addr().String()
}

// TestFaults checks what a caller sees of each fault, and that the target serves again after it.
func TestFaults(t *testing.T) {
	tg := New(announce.Announcement{Name: "target-1", Slots: 2}, func() time.Duration { return 0 }, nil)
	addr := serve(t, tg)
	caller := targetapi.NewHTTP(4)
	attempt := 0
	call := func() (targetapi.Answer, error) {
		attempt++
		return caller.Call(context.Background(), addr, targetapi.Call{RequestID: "r", Attempt: attempt, Budget: 300 * time.Millisecond})
	}
	var unknown *targetapi.UnknownError
	for name, f := range map[string]Faults{"truncate": {Truncate: true}, "lose": {LoseAnswer: true}} {
		tg.SetFaults(f)
		if _, err := call(); !errors.As(err, &unknown) {
			t.Errorf("%s: error is %v, not unknown", name, err)
		}
	}
	tg.SetFaults(Faults{Fail: true})
	if a, err := call(); err != nil || a.Status != http.StatusInternalServerError {
		t.Errorf("fail: status %d, error %v", a.Status, err)
	}
	tg.SetFaults(Faults{})
	if _, err := call(); err != nil {
		t.Errorf("healthy: %v", err)
	}
	if n := tg.Blackhole(); n == 0 {
		t.Error("no connection was blackholed")
	}
	if _, err := targetapi.NewHTTP(1).Call(context.Background(), addr, targetapi.Call{RequestID: "new", Attempt: 1, Budget: time.Second}); err != nil {
		t.Errorf("new connection: %v", err)
	}
	tg.Crash()
	if _, err := call(); err == nil {
		t.Error("a crashed target answered")
	}
	tg.Restart()
	if _, err := targetapi.NewHTTP(1).Call(context.Background(), addr, targetapi.Call{RequestID: "r", Attempt: 1, Budget: time.Second}); err != nil {
		t.Errorf("restarted: %v", err)
	}
}
