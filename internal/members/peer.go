package members

import (
	"time"

	peerv1 "github.com/crocusspring/crocusspring/api/peer/v1"
	"github.com/crocusspring/crocusspring/api/peer/v1/peerv1connect"
	"github.com/crocusspring/crocusspring/internal/announce"
)

// peer is one process this one exchanges with, and what it was told.
type peer struct {
	addr   string
	client peerv1connect.PeerServiceClient
	busy   bool
	known  bool
	rounds int
	told   map[announce.ID]told
}

// told is what a peer knows of a member from this process.
type told struct {
	incarnation int64
	leaving     bool
	expires     time.Time
}

// batch is what to tell a peer.
type batch struct {
	list []*peerv1.Announcement
	sent map[announce.ID]told
	news bool
}

// untold returns the members the peer has not been told of, or whose lease it will soon see end.
func (p *peer) untold(now time.Time, members []announce.Member) batch {
	b := batch{sent: map[announce.ID]told{}}
	for _, m := range members {
		left := m.Expires.Sub(now)
		id := announce.ID{Role: m.Role, Name: m.Name}
		t, ok := p.told[id]
		news := !ok || t.incarnation != m.Incarnation || t.leaving != m.Leaving
		if left <= 0 || !news && !soon(now, t.expires, m) {
			continue
		}
		b.news = b.news || news
		b.list = append(b.list, encode(m.Announcement, left))
		b.sent[id] = told{m.Incarnation, m.Leaving, m.Expires}
	}
	return b
}

// soon reports whether a lease the peer knows has lost a quarter of its length.
func soon(now, expires time.Time, m announce.Member) bool {
	lease := time.Duration(m.LeaseMS) * time.Millisecond
	return m.Expires.After(expires) && expires.Sub(now) < lease*3/4
}

// remember notes what the peer was told and forgets members that are long gone.
func (p *peer) remember(sent map[announce.ID]told) {
	if p.told == nil {
		p.told = map[announce.ID]told{}
	}
	for id, t := range sent {
		p.told[id] = t
	}
	if p.rounds%fullEvery == 0 {
		p.told = sent
	}
}

// peer returns the peer at an address. The caller holds the lock or is the only user.
func (m *Members) peer(addr string) *peer {
	p := m.byAddr[addr]
	if p == nil {
		p = &peer{addr: addr, client: peerv1connect.NewPeerServiceClient(m.client, "http://"+addr)}
		m.byAddr[addr] = p
	}
	return p
}
