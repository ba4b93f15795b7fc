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

// self is a process with an address.
type self struct {
	id, addr    string
	incarnation int64
}

func (s *self) Process() *peerv1.Process {
	return &peerv1.Process{Id: s.id, Address: s.addr, Incarnation: s.incarnation}
}

// pair is two processes that exchange by hand; no time passes in them but what the exchanges take.
type pair struct{ a, b *Members }

// newPair serves two processes on loopback.
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

// names returns the live targets with whether they leave.
func names(m *Members) map[string]bool {
	out := map[string]bool{}
	for _, mb := range m.Live(announce.RoleTarget) {
		out[mb.Name] = mb.Leaving
	}
	return out
}

// TestSpread checks that one exchange carries new and leaving targets, that a process which starts with
// nothing learns all of them from its peer, and that leaving is never taken back.
func TestSpread(t *testing.T) {
	p := newPair(t)
	ctx := context.Background()
	p.a.Announce(target("x", 1, false))
	p.a.exchange(ctx, p.a.peers[0])
	if got := names(p.b); len(got) != 1 || got["x"] {
		t.Fatalf("after one exchange: %v", got)
	}
	p.a.Announce(target("x", 2, true))
	p.a.exchange(ctx, p.a.peers[0])
	p.b.Announce(target("x", 1, false))
	if got := names(p.b); !got["x"] {
		t.Fatalf("leaving was not passed on: %v", got)
	}
	fresh := New(&self{"b", p.b.self.Process().Address, 2}, []string{p.a.self.Process().Address}, logs.Discard())
	fresh.exchange(ctx, fresh.peers[0])
	if got := names(fresh); !got["x"] {
		t.Errorf("a process that starts with nothing knows %v", got)
	}
}

// TestRenewalIsSmall checks that a lease is passed on without the rest of the announcement, and before
// it ends.
func TestRenewalIsSmall(t *testing.T) {
	p := newPair(t)
	now := time.Now()
	for i := range 100 {
		p.a.Announce(target(fmt.Sprintf("target-%02d", i), 1, false))
	}
	to := p.a.peers[0]
	first := to.untold(now, p.a.table.All())
	to.remember(now, 1, first.sent)
	if again := to.untold(now, p.a.table.All()); len(again.list)+len(again.renewals) > 0 {
		t.Errorf("%d announcements and %d renewals were sent again at once", len(again.list), len(again.renewals))
	}
	for i := range 100 {
		p.a.table.Step(now.Add(20*time.Second), target(fmt.Sprintf("target-%02d", i), 2, false))
	}
	later := to.untold(now.Add(20*time.Second), p.a.table.All())
	if len(later.renewals) != 100 || len(later.list) != 0 {
		t.Fatalf("%d renewals and %d announcements", len(later.renewals), len(later.list))
	}
	whole := proto.Size(&peerv1.ExchangeRequest{Announcements: first.list})
	small := proto.Size(&peerv1.ExchangeRequest{Renewals: later.renewals})
	if small >= whole {
		t.Errorf("renewals take %d bytes, announcements %d", small, whole)
	}
	t.Logf("a renewal takes %d bytes, an announcement %d", small/100, whole/100)
}
