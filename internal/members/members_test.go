package members

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	peerv1 "github.com/crocusspring/crocusspring/api/peer/v1"
	"github.com/crocusspring/crocusspring/api/peer/v1/peerv1connect"
	"github.com/crocusspring/crocusspring/internal/announce"
	"github.com/crocusspring/crocusspring/internal/logs"
	"google.golang.org/protobuf/proto"
)

// self is the status of a test process.
type self struct {
	id, addr    string
	incarnation int64
}

func (s *self) Process() *peerv1.Process {
	return &peerv1.Process{Id: s.id, Address: s.addr, Incarnation: s.incarnation}
}

// pair is two processes that exchange only when the test calls exchange.
type pair struct{ a, b *Members }

// newPair starts the servers of two processes on loopback.
func newPair(t *testing.T) pair {
	t.Helper()
	var p pair
	serve := func(m **Members) string {
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, h := peerv1connect.NewPeerServiceHandler(*m)
			h.ServeHTTP(w, r)
		}))
		t.Cleanup(srv.Close)
		return strings.TrimPrefix(srv.URL, "http://")
	}
	addrA, addrB := serve(&p.a), serve(&p.b)
	p.a = New(&self{"a", addrA, 1}, []string{addrB}, logs.Discard())
	p.b = New(&self{"b", addrB, 1}, []string{addrA}, logs.Discard())
	return p
}

// target returns an announcement of a target.
func target(name string, seq int64, leaving bool) announce.Announcement {
	return announce.Announcement{
		Role: announce.RoleTarget, Name: name, Address: "127.10.20.30:18400", DataCentre: "petaling", Service: "enrolment",
		Slots: 8, Connections: 64, Incarnation: 1796331600123456789, Seq: seq, LeaseMS: time.Minute.Milliseconds(), Leaving: leaving,
	}
}

// targetsLeaving returns the names of the live targets and whether each is leaving.
func targetsLeaving(m *Members) map[string]bool {
	out := map[string]bool{}
	for _, mb := range m.Live(announce.RoleTarget) {
		out[mb.Name] = mb.Leaving
	}
	return out
}

// TestSpread checks that one exchange carries new and leaving targets, that a process which starts with
// an empty table receives all of them from its peer, and that an older announcement doesn't revert
// leaving.
func TestSpread(t *testing.T) {
	p := newPair(t)
	ctx := context.Background()
	p.a.Announce(target("x", 1, false))
	p.a.exchange(ctx, p.a.peers[0])
	if got := targetsLeaving(p.b); len(got) != 1 || got["x"] {
		t.Fatalf("after one exchange: %v", got)
	}
	p.a.Announce(target("x", 2, true))
	p.a.exchange(ctx, p.a.peers[0])
	p.b.Announce(target("x", 1, false))
	if got := targetsLeaving(p.b); !got["x"] {
		t.Fatalf("leaving was not passed on: %v", got)
	}
	fresh := New(&self{"b", p.b.self.Process().Address, 2}, []string{p.a.self.Process().Address}, logs.Discard())
	fresh.exchange(ctx, fresh.peers[0])
	if got := targetsLeaving(fresh); !got["x"] {
		t.Errorf("a process that started with an empty table has %v", got)
	}
}

// TestRenewalIsSmall checks that a renewed lease is sent before the old one expires and without the rest
// of the announcement.
func TestRenewalIsSmall(t *testing.T) {
	p := newPair(t)
	now := time.Now()
	for i := range 100 {
		p.a.Announce(target(fmt.Sprintf("target-%02d", i), 1, false))
	}
	to := p.a.peers[0]
	first := to.pending(now, p.a.table.All())
	to.recordSent(now, 1, first.sent)
	if again := to.pending(now, p.a.table.All()); len(again.announcements)+len(again.renewals) > 0 {
		t.Errorf("%d announcements and %d renewals were sent again at once", len(again.announcements), len(again.renewals))
	}
	for i := range 100 {
		p.a.table.Apply(now.Add(20*time.Second), target(fmt.Sprintf("target-%02d", i), 2, false))
	}
	later := to.pending(now.Add(20*time.Second), p.a.table.All())
	if len(later.renewals) != 100 || len(later.announcements) != 0 {
		t.Fatalf("%d renewals and %d announcements", len(later.renewals), len(later.announcements))
	}
	whole := proto.Size(&peerv1.ExchangeRequest{Announcements: first.announcements})
	small := proto.Size(&peerv1.ExchangeRequest{Renewals: later.renewals})
	if small >= whole {
		t.Errorf("renewals take %d bytes, announcements %d", small, whole)
	}
	t.Logf("a renewal takes %d bytes, an announcement %d", small/100, whole/100)
}

// TestVersionNeedsNoLock guards against requests that wait, past their deadline on a busy machine, until exchanges with
// peers have had their turns of the table: every request reads the version.
func TestVersionNeedsNoLock(t *testing.T) {
	m := New(&self{}, nil, logs.Discard())
	m.Announce(target("target-1", 1, false))
	m.mu.Lock()
	defer m.mu.Unlock()
	got := make(chan uint64)
	go func() { got <- m.Version() }()
	select {
	case v := <-got:
		if v != 1 {
			t.Errorf("version %d, want 1", v)
		}
	case <-time.After(5 * time.Second):
		t.Error("the version waits for the table")
	}
}

// TestRenewedMemberChangesVersion guards against requests that don't learn of a member which is back: the renewal of a lease that had
// expired came without a change of the version.
func TestRenewedMemberChangesVersion(t *testing.T) {
	m := New(&self{}, nil, logs.Discard())
	a := target("target-1", 1, false)
	a.LeaseMS = 1
	m.Announce(a)
	for len(m.Live(announce.RoleTarget)) > 0 {
		time.Sleep(time.Millisecond)
	}
	before := m.Version()
	m.renew([]*peerv1.Renewal{{Role: string(a.Role), Name: a.Name, Incarnation: a.Incarnation, Seq: 2, LeaseMs: time.Minute.Milliseconds()}})
	if len(m.Live(announce.RoleTarget)) != 1 || m.Version() == before {
		t.Errorf("live %v, version %d as before; want the member, and another version", m.Live(announce.RoleTarget), m.Version())
	}
}
