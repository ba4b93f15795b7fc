package claimrun

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	peerv1 "github.com/crocusspring/crocusspring/api/peer/v1"
	"github.com/crocusspring/crocusspring/internal/claim"
	"github.com/crocusspring/crocusspring/internal/dispatch"
	"github.com/crocusspring/crocusspring/internal/logs"
	"github.com/crocusspring/crocusspring/internal/logsvc"
	"github.com/crocusspring/crocusspring/internal/standin/logstand"
	"github.com/crocusspring/crocusspring/internal/targetapi"
)

// group is a set of KeyRunners that call each other directly.
type group struct {
	mu      sync.Mutex
	runners map[string]*KeyRunner
}

// CallOutcome implements Peers.
func (g *group) CallOutcome(ctx context.Context, addr string, r *peerv1.OutcomeRequest) (*peerv1.OutcomeResponse, error) {
	g.mu.Lock()
	k := g.runners[addr]
	g.mu.Unlock()
	if k == nil {
		return nil, net.ErrClosed
	}
	return k.Outcome(ctx, r), nil
}

// remove makes a KeyRunner unreachable, as if its process had died.
func (g *group) remove(addr string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.runners, addr)
}

// start runs KeyRunners on one log and waits until they have reached its tail.
func start(t *testing.T, names ...string) (*logstand.Server, *group) {
	t.Helper()
	log := logstand.New(0)
	srv := httptest.NewServer(log.Handler())
	g := &group{runners: map[string]*KeyRunner{}}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for _, name := range names {
		k := New(logsvc.NewHTTP(strings.TrimPrefix(srv.URL, "http://")), g, Options{Self: name, Others: without(names, name), SnapshotAge: time.Minute}, logs.Discard())
		g.runners[name] = k
		wg.Go(func() { k.Run(ctx) })
	}
	t.Cleanup(func() {
		cancel()
		srv.CloseClientConnections()
		wg.Wait()
		srv.Close()
	})
	for _, k := range g.runners {
		for !read(k) {
			time.Sleep(time.Millisecond)
		}
	}
	return log, g
}

// read reports whether a KeyRunner has reached the tail.
func read(k *KeyRunner) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.caughtUp
}

// request returns a request with a key and a deadline.
func request(key string, within time.Duration) Request {
	return Request{Workspace: "w", Service: "enrol", Key: key, Body: []byte("pay"), Deadline: time.Now().Add(within)}
}

// answer returns the reply of the modelled target.
func answer() dispatch.Reply {
	return dispatch.Reply{Outcome: targetapi.Answered, Answer: targetapi.Answer{Status: 200, Body: []byte("paid")}}
}

// TestSameKeyEverywhere checks that a key sent through every KeyRunner at once, several times, runs once, and
// that another body under the same key is refused.
func TestSameKeyEverywhere(t *testing.T) {
	_, g := start(t, "a", "b", "c")
	var runs atomic.Int64
	run := func() dispatch.Reply {
		runs.Add(1)
		time.Sleep(5 * time.Millisecond)
		return answer()
	}
	var wg sync.WaitGroup
	for range 4 {
		for _, k := range g.runners {
			wg.Go(func() {
				r, err := k.Do(context.Background(), request("key", 10*time.Second), run)
				if err != nil || r.Outcome != targetapi.Answered || string(r.Answer.Body) != "paid" {
					t.Errorf("reply %+v, error %v", r, err)
				}
			})
		}
	}
	wg.Wait()
	if n := runs.Load(); n != 1 {
		t.Errorf("the request ran %d times", n)
	}
	other := request("key", time.Second)
	other.Body = []byte("another")
	if r, err := g.runners["a"].Do(context.Background(), other, run); !errors.Is(err, ErrOtherRequest) || r.Outcome != targetapi.NotRun {
		t.Errorf("another body under the same key: %+v, %v", r, err)
	}
}

// TestOwnerDies checks that the outcome of a key is unknown after its owner died, and that it is not run
// again.
func TestOwnerDies(t *testing.T) {
	_, g := start(t, "a", "b")
	block := make(chan struct{})
	began := make(chan struct{})
	go func() {
		_, _ = g.runners["a"].Do(context.Background(), request("key", 10*time.Second), func() dispatch.Reply {
			close(began)
			<-block
			return answer()
		})
	}()
	<-began
	b := g.runners["b"]
	g.remove("a")
	for {
		if _, known, _ := b.Lookup(context.Background(), "w", "enrol", "key"); known {
			break
		}
		time.Sleep(time.Millisecond)
	}
	r, err := b.Do(context.Background(), request("key", 10*time.Second), func() dispatch.Reply {
		t.Error("the request ran again")
		return answer()
	})
	if err != nil || r.Outcome != targetapi.Unknown {
		t.Errorf("reply %+v, error %v", r, err)
	}
	close(block)
}

// TestLogFaults checks claims while the log's responses are lost and while it is unavailable.
func TestLogFaults(t *testing.T) {
	log, g := start(t, "a", "b")
	runs := 0
	run := func() dispatch.Reply { runs++; return answer() }
	log.SetFaults(logstand.Faults{LoseAnswers: true})
	if r, _ := g.runners["a"].Do(context.Background(), request("lost answer", 10*time.Second), run); r.Outcome != targetapi.Answered || runs != 1 {
		t.Errorf("with the log's answer lost: %+v after %d runs", r, runs)
	}
	log.SetFaults(logstand.Faults{Down: true})
	r, _ := g.runners["a"].Do(context.Background(), request("down", 10*time.Second), run)
	if r.Outcome != targetapi.NotRun || r.RetryAfter == 0 || runs != 1 {
		t.Errorf("with the log down: %+v after %d runs", r, runs)
	}
	log.SetFaults(logstand.Faults{})
	for range 200 {
		if r, _ = g.runners["b"].Do(context.Background(), request("down", 10*time.Second), run); r.Outcome == targetapi.Answered {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	if r.Outcome != targetapi.Answered || runs != 2 {
		t.Errorf("after the outage: %+v after %d runs", r, runs)
	}
}

// TestNotRunStays checks that a key reported as not run never runs later, through whichever process and
// however soon it is sent again.
func TestNotRunStays(t *testing.T) {
	_, g := start(t, "a", "b")
	ran := func() dispatch.Reply {
		t.Error("the key ran after it was reported as not run")
		return answer()
	}
	r, _ := g.runners["a"].Do(context.Background(), request("key", 10*time.Second), func() dispatch.Reply { return refused("no slot", time.Second) })
	if r.Outcome != targetapi.NotRun {
		t.Fatalf("reply %+v", r)
	}
	for range 200 {
		for _, name := range []string{"a", "b"} {
			r, err := g.runners[name].Do(context.Background(), request("key", 10*time.Second), ran)
			if err != nil || r.Outcome == targetapi.Answered {
				t.Fatalf("reply %+v, %v through %s", r, err, name)
			}
		}
		if r, _ := g.runners["b"].Do(context.Background(), request("key", 10*time.Second), ran); r.Outcome == targetapi.NotRun {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Error("the other process never learned that the key was refused")
}

// without returns all names except one.
func without(names []string, name string) []string {
	return slices.DeleteFunc(slices.Clone(names), func(n string) bool { return n == name })
}

// TestRefusalIsTrue checks that during an outage of the log a key is reported as not run only if no other
// process may have run it.
func TestRefusalIsTrue(t *testing.T) {
	log, g := start(t, "a", "b", "c")
	a, b := g.runners["a"], g.runners["b"]
	never := func() dispatch.Reply {
		t.Error("the request ran without a claim")
		return answer()
	}
	block, began, done := make(chan struct{}), make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		_, _ = b.Do(context.Background(), request("runs", 10*time.Second), func() dispatch.Reply {
			close(began)
			<-block
			return answer()
		})
	}()
	<-began
	log.SetFaults(logstand.Faults{Down: true})
	a.mu.Lock()
	a.fold = claim.NewFold() // As if a had not read the claim of b before the outage began.
	a.mu.Unlock()
	if r, _ := a.Do(context.Background(), request("runs", 10*time.Second), never); r.Outcome != targetapi.Unknown {
		t.Errorf("a key that runs elsewhere: %+v", r)
	}
	if r, _ := a.Do(context.Background(), request("fresh", 10*time.Second), never); r.Outcome != targetapi.NotRun {
		t.Errorf("a key nobody knows: %+v", r)
	}
	g.remove("c")
	if r, _ := a.Do(context.Background(), request("other", 10*time.Second), never); r.Outcome != targetapi.Unknown {
		t.Errorf("a key a dead process may have run: %+v", r)
	}
	close(block)
	<-done
}

// TestRestartAfterRetention checks that a process that starts after the log's retention removed a claim
// restores its key from a snapshot.
func TestRestartAfterRetention(t *testing.T) {
	const keep, keyed = 60, 60
	log := logstand.New(keep)
	srv := httptest.NewServer(log.Handler())
	t.Cleanup(srv.Close)
	g := &group{runners: map[string]*KeyRunner{}}
	addr := strings.TrimPrefix(srv.URL, "http://")
	run := func(name string) func() {
		k := New(logsvc.NewHTTP(addr), g, Options{Self: name, SnapshotAge: time.Millisecond}, logs.Discard())
		g.runners[name] = k
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() { k.Run(ctx); close(done) }()
		for !read(k) {
			time.Sleep(time.Millisecond)
		}
		return func() { cancel(); srv.CloseClientConnections(); <-done }
	}
	stopA := run("a")
	var keys []string
	for i := range keyed {
		keys = append(keys, fmt.Sprint("key-", i))
	}
	for _, key := range keys {
		if r, _ := g.runners["a"].Do(context.Background(), request(key, 10*time.Second), answer); r.Outcome != targetapi.Answered {
			t.Fatalf("key %s: %+v", key, r)
		}
	}
	stopB := run("b")
	b := g.runners["b"]
	complete := false
	for range 10000 {
		b.mu.Lock()
		complete = b.fold.Complete() && b.fold.Len() == len(keys)
		b.mu.Unlock()
		if complete {
			break
		}
		time.Sleep(time.Millisecond)
	}
	if !complete {
		t.Fatal("no snapshot completed the fold")
	}
	r, _ := b.Do(context.Background(), request("key-0", 10*time.Second), func() dispatch.Reply {
		t.Error("the request ran again")
		return answer()
	})
	if r.Outcome == targetapi.NotRun {
		t.Errorf("reply %+v", r)
	}
	if r, _ = b.Do(context.Background(), request("eleven", 10*time.Second), answer); r.Outcome != targetapi.Answered {
		t.Errorf("a fresh key: %+v", r)
	}
	stopB()
	stopA()
}
