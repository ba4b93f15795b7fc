package targetstand

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/crocusspring/crocusspring/internal/announce"
	"github.com/crocusspring/crocusspring/internal/netdial"
	"github.com/crocusspring/crocusspring/internal/targetapi"
)

// pipeListener accepts the in-memory connections that its dial opens, so that a bubble of synctest holds both ends.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

// newPipeListener returns an open listener.
func newPipeListener() *pipeListener {
	return &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
}

// dial opens a connection to the listener. It is a netdial.Func.
func (l *pipeListener) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	near, far := net.Pipe()
	select {
	case l.conns <- far:
		return near, nil
	case <-l.closed:
		return nil, net.ErrClosed
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Accept implements net.Listener.
func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr implements net.Listener.
func (l *pipeListener) Addr() net.Addr { return &net.UnixAddr{Name: "target", Net: "pipe"} }

// serve runs a target until the test ends and returns the function that dials it.
func serve(t *testing.T, tg *Target) netdial.Func {
	t.Helper()
	l := newPipeListener()
	srv := &http.Server{Handler: tg.Handler()}
	go func() { _ = srv.Serve(tg.Listen(l)) }()
	t.Cleanup(func() { _ = srv.Close() })
	return l.dial
}

// TestFaults checks what a caller sees of each fault, and that the target serves again after it. Its budgets run on the
// clock of the bubble, so that a busy machine uses up none of them.
func TestFaults(t *testing.T) { synctest.Test(t, testFaults) }

// testFaults is TestFaults inside a bubble.
func testFaults(t *testing.T) {
	tg := New(announce.Announcement{Name: "target-1", Slots: 2}, func() time.Duration { return 0 }, nil)
	dial := serve(t, tg)
	const addr = "target-1:80"
	caller := targetapi.NewHTTP(4, dial)
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
	if _, err := targetapi.NewHTTP(1, dial).Call(context.Background(), addr, targetapi.Call{RequestID: "new", Attempt: 1, Budget: time.Second}); err != nil {
		t.Errorf("new connection: %v", err)
	}
	tg.Crash()
	if _, err := call(); err == nil {
		t.Error("a crashed target answered")
	}
	tg.Restart()
	if _, err := targetapi.NewHTTP(1, dial).Call(context.Background(), addr, targetapi.Call{RequestID: "r", Attempt: 1, Budget: time.Second}); err != nil {
		t.Errorf("restarted: %v", err)
	}
}
